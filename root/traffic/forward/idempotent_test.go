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

// attempt is what one send of a script meets.
type attempt func(ctx context.Context, c engine.Call) (engine.Answer, error)

// script is a Client that plays one attempt after the other.
type script struct {
	attempts []attempt
	offsets  []int
	servers  []string
}

func (s *script) Do(ctx context.Context, server fleet.Server, c engine.Call) (engine.Answer, error) {
	s.offsets = append(s.offsets, c.ResumeAfter)
	s.servers = append(s.servers, server.ID)
	next := s.attempts[0]
	s.attempts = s.attempts[1:]
	return next(ctx, c)
}

func notSent(context.Context, engine.Call) (engine.Answer, error) {
	return nil, &engine.SendError{NotSent: true, Err: errors.New("refused")}
}

func lost(context.Context, engine.Call) (engine.Answer, error) {
	return nil, &engine.SendError{Err: errors.New("reset")}
}

func hang(ctx context.Context, _ engine.Call) (engine.Answer, error) {
	<-ctx.Done()
	return nil, &engine.SendError{Err: ctx.Err()}
}

func status(head engine.Head) attempt {
	return func(context.Context, engine.Call) (engine.Answer, error) { return &answer{head: head}, nil }
}

func whole(context.Context, engine.Call) (engine.Answer, error) {
	return &answer{head: engine.Head{Status: 200}, body: "whole"}, nil
}

// events streams so many events and then breaks, or ends whole.
func events(n int, ends, resumable bool) attempt {
	return func(context.Context, engine.Call) (engine.Answer, error) {
		return &streamed{left: n, ends: ends, resumable: resumable}, nil
	}
}

type streamed struct {
	answer
	left            int
	ends, resumable bool
}

func (s *streamed) Head() engine.Head { return engine.Head{Status: 200, Stream: true} }
func (s *streamed) Resumable() bool   { return s.resumable }
func (s *streamed) Next() (engine.Event, error) {
	if s.left == 0 {
		return engine.Event{}, fault.New(fault.StreamCut, "test", "cut")
	}
	s.left--
	return engine.Event{Done: s.ends && s.left == 0}, nil
}

// counter counts what a caller receives.
type counter struct {
	heads, events, bodies int
}

func (c *counter) Head(engine.Head) error   { c.heads++; return nil }
func (c *counter) Body([]byte) error        { c.bodies++; return nil }
func (c *counter) Event(engine.Event) error { c.events++; return nil }

func TestIdempotentWorkIsMendedOrHonestlyRefused(t *testing.T) {
	unavailable := status(engine.Head{Status: 503})
	notRun := status(engine.Head{Status: 503, NotRun: true})
	tests := []struct {
		name     string
		attempts []attempt
		kind     fault.Kind
		ran      fault.Ran
		offsets  []int
		events   int
	}{
		{"whole", []attempt{whole}, 0, 0, []int{0}, 0},
		{"second server", []attempt{lost, whole}, 0, 0, []int{0, 0}, 0},
		{"refused by one", []attempt{notRun, whole}, 0, 0, []int{0, 0}, 0},
		{"never sent", []attempt{notSent, notRun, notSent, notSent}, fault.BackendFailed, fault.RanNo, []int{0, 0, 0, 0}, 0},
		{"first may have run", []attempt{lost, notSent, notSent, notSent}, fault.BackendFailed, fault.RanUnknown, []int{0, 0, 0, 0}, 0},
		{"first failed inside", []attempt{unavailable, notRun, notRun, notRun}, fault.BackendFailed, fault.RanUnknown, []int{0, 0, 0, 0}, 0},
		{"resumed", []attempt{events(3, false, true), events(2, true, true)}, 0, 0, []int{0, 3}, 5},
		{"resumed after a lost send", []attempt{events(3, false, true), lost, events(2, true, true)}, 0, 0, []int{0, 3, 3}, 5},
		{"not resumable", []attempt{events(3, false, false)}, fault.StreamCut, fault.RanYes, []int{0}, 3},
		{"whole in place of the rest", []attempt{events(3, false, true), whole}, fault.StreamCut, fault.RanYes, []int{0, 3}, 3},
		{"deadline", []attempt{hang}, fault.DeadlineExceeded, fault.RanUnknown, []int{0}, 0},
		{"deadline within a stream", []attempt{events(1, false, true), hang}, fault.DeadlineExceeded, fault.RanYes, []int{0, 1}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &script{attempts: test.attempts}
				f := forward.New(forward.Options{
					Dispatcher: dispatch.New(dispatch.Options{Views: stock(), Entries: 1}),
					Client:     s,
				})
				out := &counter{}
				err := f.Serve(t.Context(), forward.Request{
					Work: dispatch.Request{
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

// TestSentOrderOutlivesItsCallerAndDeadline holds that an order that was sent
// is awaited after its caller has gone and its deadline has passed.
func TestSentOrderOutlivesItsCallerAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld()
		ctx, cancel := context.WithCancel(t.Context())
		late := &script{attempts: []attempt{func(sent context.Context, call engine.Call) (engine.Answer, error) {
			cancel()
			time.Sleep(20 * time.Second)
			c.Check(sent.Err(), qt.IsNil)
			return w.Do(sent, fleet.Server{}, call)
		}}}
		order := func(client engine.Client) error {
			f := forward.New(forward.Options{
				Dispatcher: dispatch.New(dispatch.Options{Views: stock(), Entries: 1}),
				Client:     client, Submitter: w, VM: "vm-1", Incarnation: 1,
				NewID: func() string { return "attempt" },
			})
			return f.Serve(ctx, forward.Request{
				Work: dispatch.Request{Class: "order", Caller: "c", Target: "stock", Deadline: time.Now().Add(10 * time.Second)},
				Call: engine.Call{Body: []byte("w")}, Key: "k",
			}, &sink{})
		}
		c.Check(order(late), qt.IsNil)
		c.Check(w.runs["w"], qt.Equals, 1)
		ctx = t.Context()
		c.Check(order(w), qt.IsNil)
		c.Check(w.runs["w"], qt.Equals, 1)
	})
}
