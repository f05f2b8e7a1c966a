package machine

// rule names a safety rule that a test may take out to show that its loss is
// noticed. A machine outside tests keeps all of them.
type rule uint8

const (
	ruleNone rule = iota
	// ruleLeaseFromSend measures a view lease from the moment of the Renew.
	ruleLeaseFromSend
	// ruleEarlierLeases waits for the leases of an earlier leader.
	ruleEarlierLeases
	// ruleAwaitHolders waits for every lease holder before a change is answered.
	ruleAwaitHolders
	// ruleViewOrder refuses a view of an earlier term or sequence.
	ruleViewOrder
	// ruleLeaderLease lets a leader act only within its own lease.
	ruleLeaderLease
	// ruleDrainBeforeSend waits for a server's streams before an order.
	ruleDrainBeforeSend
	// ruleOwnOrders leaves an unsettled order of this process to its sender.
	ruleOwnOrders
	// ruleKeepVoters takes no silent voter out of the last three.
	ruleKeepVoters
)

// keeps reports whether the machine keeps a rule.
func (m *Machine) keeps(r rule) bool { return m.broken != r }
