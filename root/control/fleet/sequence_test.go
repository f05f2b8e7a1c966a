package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

func announced(id string, incarnation, sequence uint64, state fleet.State) fleet.Server {
	return fleet.Server{ID: id, Address: "http://10.0.0.1:80", Incarnation: incarnation, Sequence: sequence, State: state}
}

func TestStaleAnnouncementIsIgnored(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	now := time.Unix(1000, 0)
	tr.ObserveServer(announced("a", 5, 7, fleet.Draining), now)
	tr.ObserveServer(announced("a", 5, 6, fleet.Active), now.Add(time.Second))
	s, _ := tr.Server("a")
	c.Assert(s.State, qt.Equals, fleet.Draining)
	tr.ObserveServer(announced("a", 5, 8, fleet.Active), now)
	s, _ = tr.Server("a")
	c.Assert(s.State, qt.Equals, fleet.Active)
	tr.ObserveServer(announced("a", 4, 99, fleet.Leaving), now.Add(time.Second))
	s, _ = tr.Server("a")
	c.Assert(s.State, qt.Equals, fleet.Active)
}

func TestNumberedLeaveIsFinalForAnIncarnation(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	now := time.Unix(1000, 0)
	tr.ObserveServer(announced("a", 5, 1<<60, fleet.Leaving), now)
	tr.ObserveServer(announced("a", 5, 9, fleet.Active), now.Add(time.Second))
	s, _ := tr.Server("a")
	c.Assert(s.State, qt.Equals, fleet.Leaving)
	tr.ObserveServer(announced("a", 6, 1, fleet.Active), now.Add(time.Second))
	s, _ = tr.Server("a")
	c.Assert(s.State, qt.Equals, fleet.Active)
}

// TestServerStartedLaterReplacesTheOneAtItsAddress covers an announcement of a crashed server
// that arrives after another server has started at its address.
func TestServerStartedLaterReplacesTheOneAtItsAddress(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	now := time.Unix(1000, 0)
	tr.ObserveServer(announced("old", 5, 1, fleet.Active), now)
	tr.ObserveServer(announced("new", 6, 1, fleet.Active), now)
	c.Assert(tr.ObserveServer(announced("old", 5, 2, fleet.Active), now.Add(time.Second)), qt.IsFalse)
	servers := tr.Servers()
	c.Assert(servers, qt.HasLen, 1)
	c.Assert(servers[0].ID, qt.Equals, "new")
}

// TestNumberedAndUnnumberedServersAreNotCompared announces servers at one address whose
// incarnations mean different things: a start time and a count of starts.
func TestNumberedAndUnnumberedServersAreNotCompared(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for _, incarnation := range []uint64{1, 9} {
		tr := fleet.NewTracker(timing)
		c.Assert(tr.ObserveServer(announced("unnumbered", incarnation, 0, fleet.Active), now), qt.IsTrue)
		c.Assert(tr.ObserveServer(announced("numbered", 5, 1, fleet.Active), now), qt.IsTrue)
		c.Assert(tr.Servers(), qt.HasLen, 2)
	}
}

// TestChangedKindOrCacheIsReported announces a server of the same incarnation again with
// another kind or KV cache. The change must reach the views and the log.
func TestChangedKindOrCacheIsReported(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	now := time.Unix(1000, 0)
	s := announced("a", 5, 1, fleet.Active)
	tr.ObserveServer(s, now)
	s.Sequence, s.CacheTokens = 2, 4096
	c.Check(tr.ObserveServer(s, now), qt.IsTrue)
	s.Sequence, s.Kind = 3, fleet.PlainServer
	c.Check(tr.ObserveServer(s, now), qt.IsTrue)
	s.Sequence = 4
	c.Check(tr.ObserveServer(s, now), qt.IsFalse)
}

func TestVMSuspectTimeout(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(fleet.Timing{SuspectAfter: 5 * time.Second, VMSuspectAfter: time.Second, RemoveAfter: time.Minute})
	now := time.Unix(1000, 0)
	tr.ObserveVM(fleet.VM{ID: "vm"}, now)
	tr.ObserveServer(announced("a", 5, 1, fleet.Active), now)
	c.Assert(tr.Expire(now.Add(2*time.Second)), qt.IsTrue)
	vm, _ := tr.VM("vm")
	s, _ := tr.Server("a")
	c.Assert(vm.State, qt.Equals, fleet.Suspected)
	c.Assert(s.State, qt.Equals, fleet.Active)
}
