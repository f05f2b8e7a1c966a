package fault_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

func TestKindAttributes(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, k := range fault.Kinds() {
		a := k.Attributes()
		c.Assert(a.Name, qt.Not(qt.Equals), "")
		c.Assert(seen[a.Name], qt.IsFalse, qt.Commentf("%s twice", a.Name))
		seen[a.Name] = true
		c.Assert(a.HTTPStatus >= 400 && a.HTTPStatus < 600, qt.IsTrue)
		c.Assert(a.ExitCode > 0 && a.ExitCode < 256, qt.IsTrue)
		back, ok := fault.ParseKind(a.Name)
		c.Assert(ok, qt.IsTrue)
		c.Assert(back, qt.Equals, k)
	}
}

func TestFromReturnsWrappedError(t *testing.T) {
	c := qt.New(t)
	inner := fault.New(fault.Conflict, "control/table", "version %d is not current", 4)
	got := fault.From(fmt.Errorf("put: %w", inner))
	c.Assert(got.Kind, qt.Equals, fault.Conflict)
	c.Assert(got.Ran, qt.Equals, fault.RanNo)
	c.Assert(got.Error(), qt.Contains, "version 4 is not current")
}

func TestFromMapsOtherErrors(t *testing.T) {
	c := qt.New(t)
	c.Assert(fault.From(context.Canceled).Ran, qt.Equals, fault.RanUnknown)
	c.Assert(fault.From(context.DeadlineExceeded).Ran, qt.Equals, fault.RanUnknown)
	c.Assert(fault.From(fmt.Errorf("x")).Kind, qt.Equals, fault.Internal)
}
