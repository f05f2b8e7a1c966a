package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSuccessLogIsRateLimited(t *testing.T) {
	c := qt.New(t)
	var sampler logSampler
	now := time.Unix(1000, 0)
	written := 0
	const seconds = 60
	for range seconds {
		for range 40 {
			now = now.Add(25 * time.Millisecond)
			if sampler.allow(now) {
				written++
			}
		}
	}
	c.Assert(written >= seconds*successLogRate, qt.IsTrue, qt.Commentf("%d lines", written))
	c.Assert(written <= seconds*successLogRate+successLogBurst, qt.IsTrue, qt.Commentf("%d lines", written))
	c.Assert(sampler.droppedCount(), qt.Equals, uint64(seconds*40-written))
}
