package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// TestLapsedGrantIsGivenAgain guards against requests that never get a grant after it did not
// reach their entry in time: as long as requests with the same suspects arrive, the entry
// keeps the probe in its list.
func TestLapsedGrantIsGivenAgain(t *testing.T) {
	for name, live := range map[string]bool{"lifetime over": true, "lease expired": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := quarantine.NewProbes()
			list(p, "a", 0, want(1, deadly))
			c.Assert(search(p, 0), qt.DeepEquals, []string{"a/1"})
			p.Retry()
			p.Search(at(1), func(string) bool { return live }, anySet)
			list(p, "a", 4, want(1, deadly))
			c.Assert(search(p, 4), qt.DeepEquals, []string{"a/1"})
			c.Assert(p.Granted("a", at(4)), qt.DeepEquals, []uint64{1})

			// A probe that runs for longer is not granted again, as it would block others.
			running := want(1, deadly)
			running.GrantedAt = at(4)
			list(p, "a", 8, running)
			c.Assert(search(p, 8), qt.HasLen, 0)
			list(p, "b", 9, want(1, deadly))
			c.Assert(search(p, 9), qt.DeepEquals, []string{"b/1"})
		})
	}
}
