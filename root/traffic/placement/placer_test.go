package placement_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// TestPlacedServerIsNotReadWhileAViewChangesIt guards against a server of mixed
// announcements.
func TestPlacedServerIsNotReadWhileAViewChangesIt(t *testing.T) {
	c := qt.New(t)
	old, moved := plain("one", "a"), plain("one", "a")
	old.Address, moved.Address = "http://old", "http://new"
	s := stateOf("vm-0", 1, viewOf(1, old))
	placed := mustPlace(c, s, start, placement.Request{Service: "plain"})
	s.SetView(viewOf(1, moved))
	c.Assert(placed.Server().Address, qt.Equals, old.Address)
}

// TestPlacementDuringAViewChangeIsNoRace places requests while views move their server
// to another address. The race detector finds reads of it without the lock.
func TestPlacementDuringAViewChangeIsNoRace(t *testing.T) {
	c := qt.New(t)
	first, second := plain("one", "a"), plain("one", "a")
	first.Address, second.Address = "http://10.0.0.1:80", "http://server.example:8080"
	p := placement.NewPlacer(stateOf("vm-0", 1, viewOf(1, first)))
	var views sync.WaitGroup
	views.Go(func() {
		for range 1000 {
			p.SetView(viewOf(1, second))
			p.SetView(viewOf(1, first))
		}
	})
	for range 1000 {
		lease, err := p.Place(t.Context(), placement.Request{Service: "plain"})
		c.Assert(err, qt.IsNil)
		address := lease.Server().Address
		c.Check(address == first.Address || address == second.Address, qt.IsTrue, qt.Commentf("%q", address))
		lease.End(placement.Answered)
	}
	views.Wait()
}
