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
	old   = authority.Holder{VM: "vm-1", Incarnation: 1}
	young = authority.Holder{VM: "vm-1", Incarnation: 2}
	other = authority.Holder{VM: "vm-2", Incarnation: 1}
	load  = authority.Action{Kind: authority.LoadModel, Model: "m"}
	none  *fault.Error
)

func acquire(h authority.Holder, running ...authority.Holder) authority.Acquire {
	return authority.Acquire{Server: "e", Holder: h, Running: running}
}

// TestSuccession tries each way to follow a holder of an engine that ignores
// fencing numbers.
func TestSuccession(t *testing.T) {
	release := func(a *authority.Authority) *fault.Error {
		_, err := a.Release(authority.Release{Server: "e", Holder: old})
		return err
	}
	confirm := func(server string, incarnation uint64) func(*authority.Authority) *fault.Error {
		return func(a *authority.Authority) *fault.Error {
			c := authority.ConfirmDead{Server: server, VM: "vm-1", Incarnation: incarnation, Operator: "o", Statement: "VM deleted"}
			_, err := a.ConfirmDead(c)
			return err
		}
	}
	for _, test := range []struct {
		name   string
		before func(*authority.Authority) *fault.Error
		next   authority.Acquire
		checks bool
		want   fault.Kind
		ok     bool
	}{
		{name: "holder may be alive", next: acquire(other), want: fault.Conflict},
		{name: "same incarnation still running", next: acquire(other, old), want: fault.Conflict},
		{name: "engine checks", next: acquire(other), checks: true, ok: true},
		{name: "VM returned", next: acquire(other, young), ok: true},
		{name: "own VM returned", next: acquire(young), ok: true},
		{name: "released", before: release, next: acquire(other), ok: true},
		{name: "confirmed for all", before: confirm("", 1), next: acquire(other), ok: true},
		{name: "confirmed for this one", before: confirm("e", 1), next: acquire(other), ok: true},
		{name: "confirmed for another", before: confirm("f", 1), next: acquire(other), want: fault.Conflict},
		{name: "confirmed dead itself", before: confirm("", 2), next: acquire(young), want: fault.Fenced},
		{name: "older than what runs", next: acquire(other, authority.Holder{VM: "vm-2", Incarnation: 2}), want: fault.Fenced},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := authority.New()
			_, err := a.Acquire(acquire(old), false)
			c.Assert(err, qt.Equals, none)
			if test.before != nil {
				c.Assert(test.before(a), qt.Equals, none)
			}
			out, err := a.Acquire(test.next, test.checks)
			if !test.ok {
				c.Assert(err.Kind, qt.Equals, test.want)
				return
			}
			c.Assert(err, qt.Equals, none)
			c.Assert(out.Fence, qt.Equals, uint64(2))
		})
	}
}

// TestFormerHolderHoldsBackOrders replaces a holder under the fencing check, and
// then finds that the engine ignores the numbers.
func TestFormerHolderHoldsBackOrders(t *testing.T) {
	c := qt.New(t)
	a := authority.New()
	_, err := a.Acquire(acquire(old), true)
	c.Assert(err, qt.Equals, none)
	out, err := a.Acquire(acquire(other), true)
	c.Assert(err, qt.Equals, none)
	order := authority.RecordOrder{Server: "e", Holder: other, After: out.Fence, Action: load}
	_, err = a.RecordOrder(order, false)
	c.Assert(err.Kind, qt.Equals, fault.Conflict)
	out, err = a.Acquire(acquire(other, young), false)
	c.Assert(err, qt.Equals, none)
	c.Assert(out.Repeated, qt.IsTrue)
	_, err = a.RecordOrder(order, false)
	c.Assert(err, qt.Equals, none)
	_, err = a.Release(authority.Release{Server: "e", Holder: other})
	c.Assert(err.Kind, qt.Equals, fault.Conflict, qt.Commentf("an unsettled order is not released"))
}

func TestActionsAreChecked(t *testing.T) {
	c := qt.New(t)
	a := authority.New()
	out, err := a.Acquire(acquire(old), false)
	c.Assert(err, qt.Equals, none)
	for _, action := range []authority.Action{
		{}, {Kind: 9, Model: "m"}, {Kind: authority.LoadModel}, {Kind: authority.LoadAdapter, Model: "m"},
		{Kind: authority.LoadVersion, Model: "m", Adapter: "x", Version: "1"},
		{Kind: authority.ChangeRole, Role: 7}, {Kind: authority.ChangeRole, Model: "m"},
		{Kind: authority.LoadModel, Model: "m", Role: fleet.Decode},
	} {
		_, err := a.RecordOrder(authority.RecordOrder{Server: "e", Holder: old, After: out.Fence, Action: action}, false)
		c.Check(err.Kind, qt.Equals, fault.Invalid, qt.Commentf("%+v", action))
	}
}

func ExampleAuthority_RecordOrder() {
	a := authority.New()
	granted, _ := a.Acquire(acquire(old), false)
	order := authority.RecordOrder{Server: "e", Holder: old, After: granted.Fence, Action: load}
	first, _ := a.RecordOrder(order, false)
	fmt.Println("order", first.Fence)
	next := authority.RecordOrder{Server: "e", Holder: old, After: first.Fence, Action: load}
	_, err := a.RecordOrder(next, false)
	fmt.Println(err.Kind)
	settle := authority.SettleOrder{Server: "e", Holder: old, Fence: first.Fence, Outcome: authority.Succeeded}
	_, _ = a.SettleOrder(settle)
	second, _ := a.RecordOrder(next, false)
	fmt.Println("order", second.Fence)
	// Output:
	// order 2
	// conflict
	// order 3
}
