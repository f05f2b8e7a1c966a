package replicated_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

func TestRecordFleet(t *testing.T) {
	c := qt.New(t)
	s := replicated.New()
	first := s.Apply(1, replicated.RecordFleet{Servers: []fleet.Server{
		{ID: "a", Load: fleet.Load{Running: 3}}, {ID: "b"},
	}})
	c.Assert(first.Err == nil, qt.IsTrue)
	before := s.Snapshot()
	s.Apply(2, replicated.RecordFleet{Servers: []fleet.Server{{ID: "a", State: fleet.Draining}}, Removed: []string{"b"}})
	c.Assert(s.Fleet(), qt.DeepEquals, map[string]fleet.Server{"a": {ID: "a", State: fleet.Draining}})
	c.Assert(before.Fleet, qt.DeepEquals, map[string]fleet.Server{"a": {ID: "a"}, "b": {ID: "b"}})
	restored, err := replicated.Restore(s.Snapshot())
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Fleet(), qt.DeepEquals, s.Fleet())
	tooLong := s.Apply(3, replicated.RecordFleet{Servers: []fleet.Server{{ID: strings.Repeat("x", authority.MaxIDBytes+1)}}})
	c.Assert(fault.Is(tooLong.Err, fault.Invalid), qt.IsTrue)
	c.Assert(s.Fleet(), qt.HasLen, 1)
}
