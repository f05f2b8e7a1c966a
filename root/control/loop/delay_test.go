package loop

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// TestLateStepNamesWhatDelayedIt checks that a late step is logged with the step that
// occupied the thread, and that a step on time is not.
func TestLateStepNamesWhatDelayedIt(t *testing.T) {
	c := qt.New(t)
	var lines []string
	d := &delayLog{log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	at := time.Unix(100, 0)
	step := func(ev machine.Event, start, took, nextWake, waited time.Duration) {
		d.begin(at.Add(start), waited, ev)
		d.end(took, at.Add(nextWake))
	}
	step(machine.Wake{}, 0, time.Millisecond, 200*time.Millisecond, 0)
	step(machine.Received{Message: machine.Renew{}}, 150*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 0)
	c.Assert(lines, qt.HasLen, 0)
	step(machine.Wake{}, 450*time.Millisecond, time.Millisecond, 650*time.Millisecond, 0)
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0], qt.Contains, `"late_ms"=250 "event"="machine.Wake" "waited_ms"=0 "steps"=1 "longest_step_ms"=300 "longest_event"="machine.Renew"`)
	step(machine.Wake{}, 650*time.Millisecond, time.Millisecond, 850*time.Millisecond, 0)
	c.Assert(lines, qt.HasLen, 1)
	step(machine.Wake{}, 1700*time.Millisecond, time.Millisecond, 1900*time.Millisecond, 400*time.Millisecond)
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[1], qt.Contains, `"waited_ms"=400`)
}
