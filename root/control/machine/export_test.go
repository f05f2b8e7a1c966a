package machine

import "github.com/wagtaildyke/wagtaildyke/root/control/consensus"

// DisableRule disables one safety rule, for tests that show that its absence is
// detected.
func (m *Machine) DisableRule(r SafetyRule) { m.disabledRule = r }

// Leads reports whether the machine acts as leader.
func (m *Machine) Leads() bool { return m.replica != nil && m.replica.leader != nil }

// Members returns the latest membership that the replica knows.
func (m *Machine) Members() consensus.Members { return m.replica.core.Status().Members }

// LastIndex returns the index of the replica's last log entry.
func (m *Machine) LastIndex() uint64 { return m.replica.core.Status().LastIndex }

// RoutesVersion returns the version of the routes that the replica has applied.
func (m *Machine) RoutesVersion() uint64 { return m.replica.state.ReadRoutes().Version }

// Timing returns the machine's intervals and timeouts.
func (m *Machine) Timing() Timing { return m.cfg.Timing }

// SafetyRule exports safetyRule to the tests.
type SafetyRule = safetyRule

// The safety rules that tests disable.
const (
	RuleNone               = ruleNone
	RuleLeaseFromSend      = ruleLeaseFromSend
	RuleAwaitEarlierLeases = ruleAwaitEarlierLeases
	RuleAwaitHolders       = ruleAwaitHolders
	RuleMonotonicViews     = ruleMonotonicViews
	RuleLeaderLease        = ruleLeaderLease
	RuleDrainBeforeOrder   = ruleDrainBeforeOrder
	RuleLeaveOwnOrders     = ruleLeaveOwnOrders
	RuleMinVoters          = ruleMinVoters
)
