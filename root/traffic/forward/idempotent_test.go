package forward_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
)

// attempt produces the result of one transmission.
type attempt func(ctx context.Context, c engine.Call) (engine.Response, error)

// scriptedClient is a Client with one scripted attempt per transmission.
type scriptedClient struct {
	attempts []attempt
	offsets  []int
	servers  []string
}

// neverSuspended is the clock of a VM that runs all the time, also by simulated time.
func neverSuspended() time.Duration { return 0 }

func (s *scriptedClient) Do(ctx context.Context, server fleet.Server, c engine.Call) (engine.Response, error) {
	s.offsets = append(s.offsets, c.ResumeAfter)
	s.servers = append(s.servers, server.ID)
	next := s.attempts[0]
	s.attempts = s.attempts[1:]
	return next(ctx, c)
}

func notSent(context.Context, engine.Call) (engine.Response, error) {
	return nil, &engine.SendError{NotSent: true, Err: errors.New("refused")}
}

func connectionLost(context.Context, engine.Call) (engine.Response, error) {
	return nil, &engine.SendError{Err: errors.New("reset")}
}

func hang(ctx context.Context, _ engine.Call) (engine.Response, error) {
	<-ctx.Done()
	return nil, &engine.SendError{Err: ctx.Err()}
}

func respondWith(head engine.Head) attempt {
	return func(context.Context, engine.Call) (engine.Response, error) { return &fakeResponse{head: head}, nil }
}

func wholeResponse(context.Context, engine.Call) (engine.Response, error) {
	return &fakeResponse{head: engine.Head{Status: 200}, body: "whole"}, nil
}

// streamOf responds with a stream of n events, which ends after them or, if ends is
// not set, breaks off.
func streamOf(n int, ends, resumable bool) attempt {
	return func(context.Context, engine.Call) (engine.Response, error) {
		return &streamedResponse{left: n, ends: ends, resumable: resumable}, nil
	}
}

type streamedResponse struct {
	fakeResponse
	left            int
	ends, resumable bool
}

func (s *streamedResponse) Head() engine.Head { return engine.Head{Status: 200, Stream: true} }
func (s *streamedResponse) Resumable() bool   { return s.resumable }
func (s *streamedResponse) Next() (engine.Event, error) {
	if s.left == 0 {
		return engine.Event{}, fault.New(fault.StreamCut, "test", "cut")
	}
	s.left--
	return engine.Event{Done: s.ends && s.left == 0}, nil
}

// countingSink counts what the caller receives.
type countingSink struct {
	heads, events, bodies int
}

func (c *countingSink) WriteHead(engine.Head) error   { c.heads++; return nil }
func (c *countingSink) WriteBody([]byte) error        { c.bodies++; return nil }
func (c *countingSink) WriteEvent(engine.Event) error { c.events++; return nil }

func TestIdempotentRequestCompletesOrReportsRan(t *testing.T) {
	unavailable := respondWith(engine.Head{Status: 503})
	notRun := respondWith(engine.Head{Status: 503, NotRun: true})
	tests := []struct {
		name     string
		attempts []attempt
		kind     fault.Kind
		ran      fault.Ran
		offsets  []int
		events   int
	}{
		{"whole", []attempt{wholeResponse}, 0, 0, []int{0}, 0},
		{"second server", []attempt{connectionLost, wholeResponse}, 0, 0, []int{0, 0}, 0},
		{"refused by the first server", []attempt{notRun, wholeResponse}, 0, 0, []int{0, 0}, 0},
		{"never sent", []attempt{notSent, notRun, notSent, notSent}, fault.BackendFailed, fault.RanNo, []int{0, 0, 0, 0}, 0},
		{"first may have run", []attempt{connectionLost, notSent, notSent, notSent}, fault.BackendFailed, fault.RanUnknown, []int{0, 0, 0, 0}, 0},
		{"first responded with an error", []attempt{unavailable, notRun, notRun, notRun}, fault.BackendFailed, fault.RanUnknown, []int{0, 0, 0, 0}, 0},
		{"resumed", []attempt{streamOf(3, false, true), streamOf(2, true, true)}, 0, 0, []int{0, 3}, 5},
		{"resumed after a lost send", []attempt{streamOf(3, false, true), connectionLost, streamOf(2, true, true)}, 0, 0, []int{0, 3, 3}, 5},
		{"not resumable", []attempt{streamOf(3, false, false)}, fault.StreamCut, fault.RanYes, []int{0}, 3},
		{"whole response instead of a resumed stream", []attempt{streamOf(3, false, true), wholeResponse}, fault.StreamCut, fault.RanYes, []int{0, 3}, 3},
		{"deadline", []attempt{hang}, fault.DeadlineExceeded, fault.RanUnknown, []int{0}, 0},
		{"deadline within a stream", []attempt{streamOf(1, false, true), hang}, fault.DeadlineExceeded, fault.RanYes, []int{0, 1}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &scriptedClient{attempts: test.attempts}
				f := forward.New(forward.Options{
					Dispatcher: dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: stockView(), Entries: 1}),
					Client:     s,
				})
				out := &countingSink{}
				err := f.Serve(t.Context(), forward.Request{
					Dispatch: dispatch.Request{
						ID: "r", Class: "lookup", Target: "stock", Deadline: time.Now().Add(30 * time.Second),
					},
					Idempotent: true,
				}, out)
				c.Check(s.offsets, qt.DeepEquals, test.offsets)
				c.Check(out.events, qt.Equals, test.events)
				if test.kind == 0 {
					c.Assert(err, qt.IsNil)
					c.Check(out.heads, qt.Equals, 1)
					return
				}
				c.Assert(err, qt.IsNotNil)
				c.Check(fault.KindOf(err), qt.Equals, test.kind)
				c.Check(fault.From(err).Ran, qt.Equals, test.ran)
				c.Check(out.bodies, qt.Equals, 0)
			})
		})
	}
}

// TestAtMostOnceRequestOutlivesCallerAndDeadline checks that the outcome of a request
// that was sent is awaited and recorded after the caller has disconnected and the
// deadline has passed.
func TestAtMostOnceRequestOutlivesCallerAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness()
		ctx, cancel := context.WithCancel(t.Context())
		late := &scriptedClient{attempts: []attempt{func(sendCtx context.Context, call engine.Call) (engine.Response, error) {
			cancel()
			time.Sleep(20 * time.Second)
			c.Check(sendCtx.Err(), qt.IsNil)
			return h.Do(sendCtx, fleet.Server{}, call)
		}}}
		order := func(client engine.Client) error {
			f := forward.New(forward.Options{
				Dispatcher: dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: stockView(), Entries: 1}),
				Client:     client, Submitter: h, VM: "vm-1", Incarnation: 1,
				NewID: func() string { return "attempt" },
			})
			return f.Serve(ctx, forward.Request{
				Dispatch: dispatch.Request{Class: "order", Caller: "c", Target: "stock", Deadline: time.Now().Add(10 * time.Second)},
				Call:     engine.Call{Body: []byte("w")}, Key: "k",
			}, &bodySink{})
		}
		c.Check(order(late), qt.IsNil)
		c.Check(h.runs["w"], qt.Equals, 1)
		ctx = t.Context()
		c.Check(order(h), qt.IsNil)
		c.Check(h.runs["w"], qt.Equals, 1)
	})
}
