package loop

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

const (
	// delayThreshold is the delay from which a step counts as late: half of a heartbeat
	// interval.
	delayThreshold = 100 * time.Millisecond
	// delayLogInterval bounds the lines about late steps.
	delayLogInterval = time.Second
)

// delayLog logs steps of the control thread that begin late, or whose event has waited,
// with what the thread did before. A leader whose thread is late sends its heartbeats late,
// and loses its leadership in the end.
type delayLog struct {
	log logr.Logger
	// wake is when the machine asked for a step.
	wake time.Time
	// longest and longestEvent are the longest of the steps, counted from the last one
	// that began on time.
	longest      time.Duration
	longestEvent machine.Event
	event        machine.Event
	steps        int
	nextLine     time.Time
}

// begin records that a step begins whose event has waited for some time.
func (d *delayLog) begin(now time.Time, waited time.Duration, ev machine.Event) {
	late := now.Sub(d.wake)
	d.event = ev
	if d.wake.IsZero() || late < delayThreshold && waited < delayThreshold {
		d.longest, d.longestEvent, d.steps = 0, nil, 0
		return
	}
	if !now.Before(d.nextLine) {
		d.nextLine = now.Add(delayLogInterval)
		d.log.Info("control thread is late", "late_ms", late.Milliseconds(), "event", eventName(ev), "waited_ms", waited.Milliseconds(), "steps", d.steps,
			"longest_step_ms", d.longest.Milliseconds(), "longest_event", eventName(d.longestEvent))
	}
}

// end records how long a step took and when the next one is due.
func (d *delayLog) end(took time.Duration, wake time.Time) {
	if took >= d.longest {
		d.longest, d.longestEvent = took, d.event
	}
	d.steps++
	d.wake = wake
}

// eventName names the type of an event, or of the message that it carries.
func eventName(ev machine.Event) string {
	if received, ok := ev.(machine.Received); ok {
		return fmt.Sprintf("%T", received.Message)
	}
	return fmt.Sprintf("%T", ev)
}
