package machine

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// maxOrderAnswers bounds the answers that a leader remembers.
const maxOrderAnswers = 1024

// orderAnswers remembers the answers that this leader gave to requests for orders. A
// process sends a request again until it has the answer, so one may arrive after that.
// Orders that were recorded are also known to later leaders (authority.Proposed);
// refusals are known to this leader only.
type orderAnswers struct {
	results map[authority.Proposal]replicated.Result
	// oldest lists the proposals in the order of their answers.
	oldest []authority.Proposal
}

func newOrderAnswers() orderAnswers {
	return orderAnswers{results: map[authority.Proposal]replicated.Result{}}
}

func (a *orderAnswers) add(p proposer, result replicated.Result) {
	id := p.proposal()
	if _, known := a.results[id]; known {
		return
	}
	a.results[id] = result
	a.oldest = append(a.oldest, id)
	if len(a.oldest) > maxOrderAnswers {
		delete(a.results, a.oldest[0])
		a.oldest = a.oldest[1:]
	}
}

func (p proposer) proposal() authority.Proposal { return authority.Proposal{VM: p.vm, ID: p.id} }

// answer answers a request for an order and remembers the answer.
func (o *orders) answer(p proposer, result replicated.Result) {
	if p.vm == "" {
		return
	}
	o.answers.add(p, result)
	o.l.answer(p, result)
}

// repeat handles a request that this or an earlier leader has handled before, and
// reports whether it is one. Such a request must not lead to another order.
func (o *orders) repeat(p proposer) bool {
	if result, answered := o.answers.results[p.proposal()]; answered {
		o.l.answer(p, result)
		return true
	}
	recorded, known := o.l.r.state.Authority().Proposed(p.proposal())
	if !known {
		return false
	}
	if recorded.Order.State.Settled() {
		o.answer(p, orderResult(replicated.Result{Authority: &authority.Result{
			Fence: recorded.Order.Fence, Order: recorded.Order, Repeated: true,
		}}))
		return true
	}
	// The order is being recovered. Without an entry for it, the request waits for its
	// next resend.
	ord := o.byServer[recorded.Server]
	if ord != nil && ord.action == recorded.Order.Action && len(ord.proposers) < authority.MaxProposalsPerOrder {
		ord.proposers = append(ord.proposers, p)
	}
	return true
}

// proposals returns the requests that a server's issued order serves.
func (o *orders) proposals(server string) []authority.Proposal {
	ord := o.byServer[server]
	if ord == nil || ord.phase != orderIssued {
		return nil
	}
	return ord.proposals()
}

func (ord *order) proposals() []authority.Proposal {
	var out []authority.Proposal
	for _, p := range ord.proposers {
		out = append(out, p.proposal())
	}
	return out
}

// orderResult adds the error of an order that failed to its result.
func orderResult(result replicated.Result) replicated.Result {
	if result.Err == nil && result.Authority.Order.State == authority.Failed {
		result.Err = fault.New(fault.BackendFailed, part, "the backend server did not carry out the order").WithRan(fault.RanNo)
	}
	return result
}
