package authority_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

var (
	old       = authority.Holder{VM: "vm-1", Incarnation: 1}
	restarted = authority.Holder{VM: "vm-1", Incarnation: 2}
	other     = authority.Holder{VM: "vm-2", Incarnation: 1}
	load      = authority.Action{Kind: authority.LoadModel, Model: "m"}
	// noError is the typed nil that operations return on success.
	noError *fault.Error
)

func acquire(h authority.Holder, running ...authority.Holder) authority.Acquire {
	return authority.Acquire{Server: "e", Holder: h, Running: running}
}

// TestAcquireAfterAnotherHolder checks when a process may acquire a lock that
// another process, or an earlier incarnation of its own VM, has acquired before.
func TestAcquireAfterAnotherHolder(t *testing.T) {
	release := func(locks *authority.Locks) *fault.Error {
		_, err := locks.Release(authority.Release{Server: "e", Holder: old})
		return err
	}
	confirm := func(server string, incarnation uint64) func(*authority.Locks) *fault.Error {
		return func(locks *authority.Locks) *fault.Error {
			c := authority.ConfirmDead{Server: server, VM: "vm-1", Incarnation: incarnation, Operator: "o", Statement: "VM deleted"}
			_, err := locks.ConfirmDead(c)
			return err
		}
	}
	for _, test := range []struct {
		name          string
		before        func(*authority.Locks) *fault.Error
		next          authority.Acquire
		checksFencing bool
		want          fault.Kind
		ok            bool
	}{
		{name: "holder may be alive", next: acquire(other), want: fault.Conflict},
		{name: "holder still running", next: acquire(other, old), want: fault.Conflict},
		{name: "server checks fencing tokens", next: acquire(other), checksFencing: true, ok: true},
		{name: "holder's VM restarted", next: acquire(other, restarted), ok: true},
		{name: "requester's VM restarted", next: acquire(restarted), ok: true},
		{name: "released", before: release, next: acquire(other), ok: true},
		{name: "confirmed dead for all servers", before: confirm("", 1), next: acquire(other), ok: true},
		{name: "confirmed dead for this server", before: confirm("e", 1), next: acquire(other), ok: true},
		{name: "confirmed dead for another server", before: confirm("f", 1), next: acquire(other), want: fault.Conflict},
		{name: "requester confirmed dead", before: confirm("", 2), next: acquire(restarted), want: fault.Fenced},
		{name: "newer incarnation of the requester running", next: acquire(other, authority.Holder{VM: "vm-2", Incarnation: 2}), want: fault.Fenced},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			locks := authority.New()
			_, err := locks.Acquire(acquire(old), false)
			c.Assert(err, qt.Equals, noError)
			if test.before != nil {
				c.Assert(test.before(locks), qt.Equals, noError)
			}
			out, err := locks.Acquire(test.next, test.checksFencing)
			if !test.ok {
				c.Assert(err.Kind, qt.Equals, test.want)
				return
			}
			c.Assert(err, qt.Equals, noError)
			c.Assert(out.Fence, qt.Equals, uint64(2))
		})
	}
}

// TestFormerHolderBlocksOrders replaces a holder while the server is declared
// to check fencing tokens. Once it is declared to ignore them, no order may be
// recorded until the former holder has been removed as dead.
func TestFormerHolderBlocksOrders(t *testing.T) {
	c := qt.New(t)
	locks := authority.New()
	_, err := locks.Acquire(acquire(old), true)
	c.Assert(err, qt.Equals, noError)
	out, err := locks.Acquire(acquire(other), true)
	c.Assert(err, qt.Equals, noError)
	order := authority.RecordOrder{Server: "e", Holder: other, After: out.Fence, Action: load}
	_, err = locks.RecordOrder(order, false)
	c.Assert(err.Kind, qt.Equals, fault.Conflict)
	out, err = locks.Acquire(acquire(other, restarted), false)
	c.Assert(err, qt.Equals, noError)
	c.Assert(out.Repeated, qt.IsTrue)
	_, err = locks.RecordOrder(order, false)
	c.Assert(err, qt.Equals, noError)
	_, err = locks.Release(authority.Release{Server: "e", Holder: other})
	c.Assert(err.Kind, qt.Equals, fault.Conflict, qt.Commentf("the order is unsettled"))
}

func TestRecordOrderRejectsInvalidActions(t *testing.T) {
	c := qt.New(t)
	locks := authority.New()
	out, err := locks.Acquire(acquire(old), false)
	c.Assert(err, qt.Equals, noError)
	for _, action := range []authority.Action{
		{}, {Kind: 9, Model: "m"}, {Kind: authority.LoadModel}, {Kind: authority.LoadAdapter, Model: "m"},
		{Kind: authority.LoadVersion, Model: "m", Adapter: "x", Version: "1"},
		{Kind: authority.ChangeRole, Role: 7}, {Kind: authority.ChangeRole, Model: "m"},
		{Kind: authority.LoadModel, Model: "m", Role: fleet.Decode},
	} {
		_, err := locks.RecordOrder(authority.RecordOrder{Server: "e", Holder: old, After: out.Fence, Action: action}, false)
		c.Check(err.Kind, qt.Equals, fault.Invalid, qt.Commentf("%+v", action))
	}
}

func ExampleLocks_RecordOrder() {
	locks := authority.New()
	granted, _ := locks.Acquire(acquire(old), false)
	order := authority.RecordOrder{Server: "e", Holder: old, After: granted.Fence, Action: load}
	first, _ := locks.RecordOrder(order, false)
	fmt.Println("order", first.Fence)
	next := authority.RecordOrder{Server: "e", Holder: old, After: first.Fence, Action: load}
	_, err := locks.RecordOrder(next, false)
	fmt.Println(err.Kind)
	settle := authority.SettleOrder{Server: "e", Holder: old, Fence: first.Fence, Outcome: authority.Succeeded}
	_, _ = locks.SettleOrder(settle)
	second, _ := locks.RecordOrder(next, false)
	fmt.Println("order", second.Fence)
	// Output:
	// order 2
	// conflict
	// order 3
}
