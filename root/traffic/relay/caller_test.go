package relay_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// resetSink is a caller that has reset its connection.
type resetSink struct{ err error }

func (s resetSink) WriteResponse(engine.Head, []byte) error { return s.write() }
func (s resetSink) WriteHead(engine.Head) error             { return s.write() }
func (s resetSink) WriteEvent(engine.VerbatimEvent) error   { return s.write() }

func (s resetSink) write() error { return &net.OpError{Op: "write", Net: "tcp", Err: s.err} }

// TestResetByTheCallerIsNoLoss guards against callers that have healthy segments suspected,
// or quarantined after a probe, by resetting their connections as responses begin.
func TestResetByTheCallerIsNoLoss(t *testing.T) {
	for _, reason := range []error{syscall.EPIPE, syscall.ECONNRESET} {
		for _, script := range []scriptedResponse{{status: 200, events: 2}, {status: 200, body: "x"}} {
			for _, probe := range []bool{false, true} {
				t.Run(fmt.Sprint(reason, " events ", script.events, " probe ", probe), func(t *testing.T) {
					withHarness(t, func(c *qt.C, h *harness) {
						h.control.grants = true
						if probe {
							h.suspect("b")
						}
						h.script = []scriptedResponse{script}
						err := fault.From(h.relay.Serve(context.Background(), promptRequest("/stream/"), resetSink{reason}))
						c.Assert(fault.Is(err, fault.Cancelled), qt.IsTrue, qt.Commentf("%v", err))
						sleep(time.Second)
						c.Assert(h.lost, qt.HasLen, 0)
						c.Assert(h.control.failures(), qt.HasLen, 0)
						c.Assert(h.control.listed(), qt.HasLen, 0)
					})
				})
			}
		}
	}
}
