package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRoutineLinesAreBounded(t *testing.T) {
	c := qt.New(t)
	var s sampler
	now := time.Unix(1000, 0)
	written := 0
	const seconds = 60
	for range seconds {
		for range 40 {
			now = now.Add(25 * time.Millisecond)
			if s.take(now) {
				written++
			}
		}
	}
	c.Assert(written >= seconds*routineLines, qt.IsTrue, qt.Commentf("%d lines", written))
	c.Assert(written <= seconds*routineLines+routineBurst, qt.IsTrue, qt.Commentf("%d lines", written))
	c.Assert(s.count(), qt.Equals, uint64(seconds*40-written))
}
