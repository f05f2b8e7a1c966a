package machine

// Break takes one safety rule out of a machine, for tests that show that the
// loss is noticed.
func (m *Machine) Break(r Rule) { m.broken = r }

// Leads reports whether the machine believes that it leads.
func (m *Machine) Leads() bool { return m.replica != nil && m.replica.leader != nil }

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
)
