package machine

// safetyRule names a safety rule that tests can disable to show that its absence
// violates an invariant. Outside tests all rules are enforced.
type safetyRule uint8

const (
	ruleNone safetyRule = iota
	// ruleLeaseFromSend measures a view lease from the time the Renew was sent.
	ruleLeaseFromSend
	// ruleAwaitEarlierLeases waits for leases granted by an earlier leader to
	// expire.
	ruleAwaitEarlierLeases
	// ruleAwaitHolders answers a table change only after every lease holder has
	// applied it.
	ruleAwaitHolders
	// ruleMonotonicViews rejects views of an earlier term or sequence.
	ruleMonotonicViews
	// ruleLeaderLease lets a leader act only while its leader lease is valid.
	ruleLeaderLease
	// ruleDrainBeforeOrder waits for a server's requests to end before an order is
	// sent.
	ruleDrainBeforeOrder
	// ruleLeaveOwnOrders never observes an unsettled order of this process, which may
	// still send it.
	ruleLeaveOwnOrders
	// ruleMinVoters keeps at least minVoters voters, even unresponsive ones.
	ruleMinVoters
)

func (m *Machine) enforces(r safetyRule) bool { return m.disabledRule != r }
