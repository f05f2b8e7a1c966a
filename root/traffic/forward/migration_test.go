package forward_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
)

// pacedStream streams numbered events from the offset of its call, one per interval.
func pacedStream(total int, interval time.Duration) attempt {
	return func(ctx context.Context, c engine.Call) (engine.Response, error) {
		return &pacedResponse{ctx: ctx, next: c.ResumeAfter + 1, total: total, interval: interval}, nil
	}
}

type pacedResponse struct {
	fakeResponse
	ctx         context.Context
	next, total int
	interval    time.Duration
}

func (p *pacedResponse) Head() engine.Head { return engine.Head{Status: 200, Stream: true} }
func (p *pacedResponse) Resumable() bool   { return true }
func (p *pacedResponse) Next() (engine.Event, error) {
	t := time.NewTimer(p.interval)
	defer t.Stop()
	select {
	case <-p.ctx.Done():
		return engine.Event{}, fault.Wrap(p.ctx.Err(), fault.StreamCut, "test", "cut")
	case <-t.C:
	}
	ev := engine.Event{Data: fmt.Appendf(nil, "%d", p.next), Done: p.next == p.total}
	p.next++
	return ev, nil
}

// orderedSink checks that the caller receives each event once and in order.
type orderedSink struct {
	countingSink
	c *qt.C
}

func (o *orderedSink) WriteEvent(ev engine.Event) error {
	o.events++
	o.c.Check(string(ev.Data), qt.Equals, fmt.Sprint(o.events))
	return nil
}

func engineView() *view.Store {
	store := &view.Store{}
	v := &view.View{Term: 1, Seq: 1, LeaseUntil: time.Now().Add(time.Hour), Table: table.Table{Classes: []table.Class{{
		Name: "short", Weight: 1, Queue: 64, Deadline: 10 * time.Minute, Targets: []string{"m"}, Idempotent: true,
	}}}}
	for i := range 4 {
		v.Servers = append(v.Servers, fleet.Server{ID: fmt.Sprint("engine-", i), Targets: []string{"m"}, Slots: 8})
	}
	store.Publish(v)
	return store
}

// TestSlowResponseMigrates checks that a response migrates away from a server that
// sends no first event or slows down within the stream. No event may be lost or
// repeated, and the response must complete long before the slow server would have
// completed it. The first requests give the scheduler the samples for its estimates.
func TestSlowResponseMigrates(t *testing.T) {
	const total = 40
	fast := pacedStream(total, 20*time.Millisecond)
	tests := map[string]attempt{
		"no first event": hang,
		"slow events":    pacedStream(total, 20*time.Second),
	}
	for name, slow := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &scriptedClient{}
				f := forward.New(forward.Options{
					Dispatcher: dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: engineView(), Entries: 1, Seed: 1}),
					Client:     s,
				})
				serve := func() *orderedSink {
					out := &orderedSink{c: c}
					err := f.Serve(t.Context(), forward.Request{
						Dispatch: dispatch.Request{ID: "r", Class: "short", Target: "m", PromptTokens: 100, MaxOutputTokens: total},
						Call:     engine.Call{Stream: true}, Idempotent: true,
					}, out)
					c.Assert(err, qt.IsNil)
					return out
				}
				for range 60 {
					s.attempts = []attempt{fast}
					serve()
				}
				s.attempts = []attempt{slow, fast, fast, fast}
				began := time.Now()
				out := serve()
				c.Assert(out.events, qt.Equals, total)
				c.Assert(len(s.attempts) < 3, qt.IsTrue, qt.Commentf("the response did not migrate"))
				c.Assert(time.Since(began) < total*20*time.Second/2, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			})
		})
	}
}
