package authority

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Limits on the recorded proposals.
const (
	// MaxProposals limits the proposals of all servers together. Beyond it, the oldest
	// one is dropped.
	MaxProposals = 4096
	// MaxProposalsPerOrder limits the proposals of one order.
	MaxProposalsPerOrder = 64
	// ProposalRetention is how long a proposal is recorded after its order was recorded
	// or settled. It is longer than a process sends a proposal again.
	ProposalRetention = 20 * time.Minute
)

// Proposal identifies a process's request for an order. The process repeats the request
// under the same id until it has an answer.
type Proposal struct {
	VM string
	ID uint64
}

// ProposedOrder is the order that was recorded for a proposal.
type ProposedOrder struct {
	Proposal Proposal
	Server   string
	Order    Order
	// At is when the order was recorded or settled, in Unix milliseconds.
	At int64
}

// Proposed returns the order that was recorded for a proposal, as of its last change,
// and whether there is one. A repeated request must not lead to another order.
func (l *Locks) Proposed(p Proposal) (ProposedOrder, bool) {
	i := slices.IndexFunc(l.proposals, func(o ProposedOrder) bool { return o.Proposal == p })
	if i < 0 {
		return ProposedOrder{}, false
	}
	return l.proposals[i], true
}

// recordProposals records the order of the given proposals and of all earlier ones for
// the same order.
func (l *Locks) recordProposals(proposals []Proposal, server string, order Order, at int64) {
	l.dropOldProposals(at)
	updated := slices.Clone(l.proposals)
	for i, o := range updated {
		if o.Server == server && o.Order.Fence == order.Fence {
			updated[i].Order, updated[i].At = order, at
		}
	}
	for _, p := range proposals {
		if _, known := l.Proposed(p); !known {
			updated = append(updated, ProposedOrder{Proposal: p, Server: server, Order: order, At: at})
		}
	}
	l.proposals = updated[max(0, len(updated)-MaxProposals):]
}

// dropOldProposals drops the proposals of settled orders past their retention.
func (l *Locks) dropOldProposals(now int64) {
	l.proposals = slices.DeleteFunc(slices.Clone(l.proposals), func(o ProposedOrder) bool {
		return o.Order.State.Settled() && now-o.At > ProposalRetention.Milliseconds()
	})
}

func checkProposals(proposals []Proposal) *fault.Error {
	if len(proposals) > MaxProposalsPerOrder {
		return invalid("an order has at most %d proposals", MaxProposalsPerOrder)
	}
	for _, p := range proposals {
		if p.VM == "" || len(p.VM) > MaxIDBytes {
			return invalid("the VM of a proposal must have 1 to %d bytes", MaxIDBytes)
		}
	}
	return nil
}

// check checks a proposal of a snapshot.
func (o ProposedOrder) check() error {
	if checkServerID(o.Server) != nil || checkProposals([]Proposal{o.Proposal}) != nil || o.Order.State >= numOrderStates {
		return fault.New(fault.Corrupt, part, "a proposal in the snapshot is invalid")
	}
	return nil
}
