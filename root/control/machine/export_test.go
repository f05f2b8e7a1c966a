package machine

import "github.com/wagtaildyke/wagtaildyke/root/control/consensus"

// Break takes one safety rule out of a machine, for tests that show that the
// loss is noticed.
func (m *Machine) Break(r Rule) { m.broken = r }

// Leads reports whether the machine believes that it leads.
func (m *Machine) Leads() bool { return m.replica != nil && m.replica.leader != nil }

// Members returns the replica's newest set of members.
func (m *Machine) Members() consensus.Members { return m.replica.core.Status().Members }

// LastIndex returns the index of the replica's last log entry.
func (m *Machine) LastIndex() uint64 { return m.replica.core.Status().LastIndex }

// Routes returns the version of the routes that the replica has applied.
func (m *Machine) Routes() uint64 { return m.replica.state.ReadRoutes().Version }

// Timing returns the machine's timing.
func (m *Machine) Timing() Timing { return m.cfg.Timing }

// Rules that tests take out.
type Rule = rule

const (
	RuleNone            = ruleNone
	RuleLeaseFromSend   = ruleLeaseFromSend
	RuleEarlierLeases   = ruleEarlierLeases
	RuleAwaitHolders    = ruleAwaitHolders
	RuleViewOrder       = ruleViewOrder
	RuleLeaderLease     = ruleLeaderLease
	RuleDrainBeforeSend = ruleDrainBeforeSend
	RuleOwnOrders       = ruleOwnOrders
	RuleKeepVoters      = ruleKeepVoters
)
