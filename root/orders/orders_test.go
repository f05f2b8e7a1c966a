package orders_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/orders"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

func startSender(t *testing.T, checks bool) (*standin.Server, fleet.Server, *orders.Sender, <-chan machine.OrderDone) {
	engine := standin.New(standin.Options{ID: "engine-1", Models: []string{"m"}, Slots: 1, PrefillRate: 1, ChecksFencing: checks})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	done := make(chan machine.OrderDone, 4)
	sender := orders.New(func(d machine.OrderDone) { done <- d }, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = sender.Serve(ctx) }()
	return engine, fleet.Server{ID: "engine-1", Address: server.URL}, sender, done
}

func roleChange(fence uint64, role fleet.Role) authority.Order {
	return authority.Order{Fence: fence, Action: authority.Action{Kind: authority.ChangeRole, Role: role}}
}

func TestOrderTakesEffectOnce(t *testing.T) {
	c := qt.New(t)
	engine, server, sender, done := startSender(t, true)
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(3, fleet.Prefill), Fence: 3})
	d := <-done
	c.Assert(d.Applied, qt.IsTrue)
	c.Assert(d.Fence, qt.Equals, uint64(3))
	c.Assert(len(engine.Orders()), qt.Equals, 1)
}

func TestStaleOrderHasNoEffect(t *testing.T) {
	c := qt.New(t)
	engine, server, sender, done := startSender(t, true)
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(5, fleet.Prefill), Fence: 5})
	<-done
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(4, fleet.Decode), Fence: 4})
	d := <-done
	c.Assert(d.Applied, qt.IsFalse)
	c.Assert(len(engine.Orders()), qt.Equals, 1)
}

// TestUnansweredOrderIsRetried checks that an order is applied although the server
// closes connections without a response at first. The fault may be cleared before the
// first request arrives. The test then passes without a retry.
func TestUnansweredOrderIsRetried(t *testing.T) {
	c := qt.New(t)
	engine, server, sender, done := startSender(t, false)
	engine.SetFaults(standin.Faults{IgnoreOrders: true})
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(1, fleet.Decode), Fence: 1})
	engine.SetFaults(standin.Faults{})
	d := <-done
	c.Assert(d.Applied, qt.IsTrue)
}

// TestObserveRaisesFencingToken observes an order that did not take effect and checks
// that a server that checks tokens rejects it afterwards.
func TestObserveRaisesFencingToken(t *testing.T) {
	c := qt.New(t)
	engine, server, sender, done := startSender(t, true)
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(2, fleet.Decode), Observe: true, Fence: 3})
	c.Assert((<-done).Applied, qt.IsFalse)
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(2, fleet.Decode), Fence: 2})
	c.Assert((<-done).Applied, qt.IsFalse)
	c.Assert(len(engine.Orders()), qt.Equals, 0)
}

// TestRejectionAfterLostResponseIsVerified applies an order but drops the response,
// then rejects the retry. The order must count as applied.
func TestRejectionAfterLostResponseIsVerified(t *testing.T) {
	c := qt.New(t)
	_, server, sender, done := startSender(t, false)
	posts := 0
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(`{"fence":4,"role":"decode","done":[{"fence":4}]}`))
		case posts == 0:
			posts++
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusConflict)
		}
	}))
	t.Cleanup(engine.Close)
	server.Address = engine.URL
	sender.Submit(machine.IssueOrder{Server: server, Order: roleChange(4, fleet.Decode), Fence: 4})
	c.Assert((<-done).Applied, qt.IsTrue)
}
