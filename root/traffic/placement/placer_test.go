package placement_test

import (
	"context"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// TestPlacedServerIsNotReadWhileAViewChangesIt guards against a server of mixed
// announcements. The race detector sees the unsynchronized read.
func TestPlacedServerIsNotReadWhileAViewChangesIt(t *testing.T) {
	c := qt.New(t)
	old, moved := plain("one", "a"), plain("one", "a")
	old.Address, moved.Address = "http://old", "http://new"
	run := mustPlace(c, stateOf("vm-0", 1, viewOf(1, old)), start, placement.Request{Service: "plain"})
	s := stateOf("vm-0", 1, viewOf(1, old))
	placed := mustPlace(c, s, start, placement.Request{Service: "plain"})
	s.SetView(viewOf(1, moved))
	c.Assert(placed.Server(), qt.DeepEquals, run.Server())

	placer := placement.NewPlacer(stateOf("vm-0", 1, viewOf(1, old)))
	var views sync.WaitGroup
	views.Go(func() {
		for range 200 {
			placer.SetView(viewOf(1, moved))
			placer.SetView(viewOf(1, old))
		}
	})
	for range 200 {
		lease, err := placer.Place(context.Background(), placement.Request{Service: "plain"})
		c.Assert(err, qt.IsNil)
		lease.End(placement.Answered)
	}
	views.Wait()
}
