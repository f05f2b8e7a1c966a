package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspensionCounts guards against a clock that stands still while the VM is suspended,
// by which a lease would outlast the grant of its leader.
func TestSuspensionCounts(t *testing.T) {
	c := qt.New(t)
	reading := 100 * time.Second
	began := time.Now()
	lease := newLeaseClock(func() time.Duration { return reading })
	before := lease.now()
	reading += 5 * time.Second
	c.Assert(lease.now().Sub(before), qt.Equals, 5*time.Second)
	suspended := lease.suspended()
	c.Assert(suspended <= 5*time.Second, qt.IsTrue)
	c.Assert(suspended+time.Since(began) >= 5*time.Second, qt.IsTrue)
}

// TestRunningIsNoSuspension checks the readings of a VM that runs.
func TestRunningIsNoSuspension(t *testing.T) {
	c := qt.New(t)
	began, before := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now().Sub(before)
	c.Assert(passed >= 20*time.Millisecond, qt.IsTrue)
	c.Assert(passed <= time.Since(began), qt.IsTrue)
}
