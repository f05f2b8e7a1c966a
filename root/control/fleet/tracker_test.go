package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

var (
	timing = fleet.Timing{SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second}
	start  = time.Unix(1000, 0)
)

func engine(incarnation uint64, state fleet.State) fleet.Server {
	return fleet.Server{ID: "engine-1", Incarnation: incarnation, State: state, Slots: 4}
}

func stateOf(t *fleet.Tracker) string {
	s, known := t.Server("engine-1")
	if !known {
		return "gone"
	}
	return s.State.String()
}

func TestSilentServerIsSuspectedThenRemoved(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	c.Assert(tr.ObserveServer(engine(1, fleet.Active), start), qt.IsTrue)
	c.Assert(tr.Expire(start.Add(2*time.Second)), qt.IsFalse)
	c.Assert(tr.Expire(start.Add(3*time.Second)), qt.IsTrue)
	c.Assert(stateOf(tr), qt.Equals, "suspected")
	c.Assert(tr.ObserveServer(engine(1, fleet.Active), start.Add(4*time.Second)), qt.IsTrue)
	c.Assert(stateOf(tr), qt.Equals, "active")
	c.Assert(tr.Expire(start.Add(14*time.Second)), qt.IsTrue)
	c.Assert(stateOf(tr), qt.Equals, "gone")
}

func TestUnnumberedLeaveIsFinalForAnIncarnation(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	tr.ObserveServer(engine(1, fleet.Active), start)
	c.Assert(tr.ObserveServer(engine(1, fleet.Leaving), start.Add(-time.Second)), qt.IsTrue)
	// A delayed announcement that another VM passes on doesn't make it active again.
	c.Assert(tr.ObserveServer(engine(1, fleet.Active), start.Add(time.Second)), qt.IsFalse)
	c.Assert(stateOf(tr), qt.Equals, "leaving")
	c.Assert(tr.ObserveServer(engine(2, fleet.Active), start.Add(2*time.Second)), qt.IsTrue)
	c.Assert(stateOf(tr), qt.Equals, "active")
	c.Assert(tr.ObserveServer(engine(1, fleet.Leaving), start.Add(3*time.Second)), qt.IsFalse)
	c.Assert(stateOf(tr), qt.Equals, "active")
}

func TestServerLoadSumsVMLoads(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	tr.ObserveServer(engine(1, fleet.Active), start)
	tr.ObserveVM(fleet.VM{ID: "vm-1", Incarnation: 1}, start)
	tr.ObserveLoads("vm-1", []fleet.OwnLoad{{Server: "engine-1", Running: 2}})
	tr.ObserveLoads("vm-2", []fleet.OwnLoad{{Server: "engine-1", Running: 1}, {Server: "unknown", Running: 9}})
	c.Assert(tr.Servers()[0].Load.Running, qt.Equals, 3)
	tr.ObserveLoads("vm-2", nil)
	c.Assert(tr.Servers()[0].Load.Running, qt.Equals, 2)
	tr.RemoveVM("vm-1")
	c.Assert(tr.Servers()[0].Load.Running, qt.Equals, 0)
	c.Assert(tr.VMs(), qt.HasLen, 0)
}

func TestOlderVMIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	tr := fleet.NewTracker(timing)
	c.Assert(tr.ObserveVM(fleet.VM{ID: "vm-1", Incarnation: 5}, start), qt.IsTrue)
	c.Assert(tr.ObserveVM(fleet.VM{ID: "vm-1", Incarnation: 4, Address: "http://old"}, start), qt.IsFalse)
	vm, _ := tr.VM("vm-1")
	c.Assert(vm.Incarnation, qt.Equals, uint64(5))
}
