package gateway_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/gateway"
)

// fakeLoop is a fake control thread.
type fakeLoop struct {
	events  []machine.Event
	postErr error
	// hang makes Submit block until its context ends.
	hang bool
	// submitErr is the error in the result of a command other than a routing document.
	submitErr *fault.Error
	state     routes.State
}

func (l *fakeLoop) Post(_ context.Context, ev machine.Event) error {
	l.events = append(l.events, ev)
	return l.postErr
}

func (l *fakeLoop) Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	if l.hang {
		<-ctx.Done()
		return replicated.Result{}, fault.Wrap(ctx.Err(), fault.NoQuorum, "test", "no answer")
	}
	if replace, ok := cmd.(replicated.ReplaceRoutes); ok {
		r := l.state.Replace(replace.Document)
		return replicated.Result{Err: r.Err, Version: r.Version}, nil
	}
	return replicated.Result{Err: l.submitErr, Version: l.state.Version(), Routes: l.state.Document()}, nil
}

// TestAnnounceRejects checks that Announce rejects a service that the routing document
// does not define, an id that is too long, and an event that the control thread does
// not accept. Before the first document every service is accepted.
func TestAnnounceRejects(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	l := &fakeLoop{}
	views := &view.Store{}
	r := gateway.NewRegistrar(views, l)
	unknown := fleet.Server{ID: "i-1", Targets: []string{"other"}}
	c.Assert(r.Announce(ctx, unknown), qt.IsNil)
	leased := view.View{Term: 1, LeaseUntil: time.Now().Add(time.Hour), Routes: &routes.Document{Version: 1, Services: []routes.Service{{Name: "llm"}}}}
	views.Publish(&leased)
	c.Assert(fault.Is(r.Announce(ctx, unknown), fault.Invalid), qt.IsTrue)
	c.Assert(r.Announce(ctx, fleet.Server{ID: "i-1", Targets: []string{"llm"}}), qt.IsNil)
	c.Assert(l.events, qt.HasLen, 2)
	long := fleet.Server{ID: strings.Repeat("x", 129), Targets: []string{"llm"}}
	c.Assert(fault.Is(r.Announce(ctx, long), fault.Invalid), qt.IsTrue)
	l.postErr = errors.New("full")
	c.Assert(fault.Is(r.Announce(ctx, fleet.Server{ID: "i-1", Targets: []string{"llm"}}), fault.Unavailable), qt.IsTrue)
}

// TestTextThatCannotBeEncodedIsRejected guards against a server id or another text that
// keeps all views and Renews that contain it from being encoded.
func TestTextThatCannotBeEncodedIsRejected(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	l := &fakeLoop{}
	r := gateway.NewRegistrar(&view.Store{}, l)
	for _, text := range []string{"i-\xff\xfe", "i-1\n", strings.Repeat("x", 257)} {
		for name, s := range map[string]fleet.Server{
			"id":             {ID: text},
			"failure domain": {ID: "i-1", FailureDomain: text},
			"address":        {ID: "i-1", Address: text},
			"target":         {ID: "i-1", Targets: []string{text}},
		} {
			c.Check(fault.Is(r.Announce(ctx, s), fault.Invalid), qt.IsTrue, qt.Commentf("%s %q", name, text))
		}
		c.Check(fault.Is(r.Deregister(ctx, text, 1), fault.Invalid), qt.IsTrue, qt.Commentf("deregistered id %q", text))
	}
	c.Assert(l.events, qt.HasLen, 0)
}

// TestAnnounceWithoutALeaseRejectsNoService guards against a replica with old routes that
// turns away the servers of a new service.
func TestAnnounceWithoutALeaseRejectsNoService(t *testing.T) {
	c := qt.New(t)
	l := &fakeLoop{}
	views := &view.Store{}
	views.Publish(&view.View{Term: 1, LeaseUntil: time.Now().Add(-time.Second), Routes: &routes.Document{Version: 1}})
	r := gateway.NewRegistrar(views, l)
	c.Assert(r.Announce(context.Background(), fleet.Server{ID: "i-1", Targets: []string{"new"}}), qt.IsNil)
	c.Assert(l.events, qt.HasLen, 1)
}

// TestDeregisterOfUnknownServer checks that a deregistration is passed on even if this
// replica does not know the server: others may know it and send it requests.
func TestDeregisterOfUnknownServer(t *testing.T) {
	c := qt.New(t)
	l := &fakeLoop{}
	r := gateway.NewRegistrar(&view.Store{}, l)
	c.Assert(r.Deregister(context.Background(), "i-1", 7), qt.IsNil)
	c.Assert(l.events, qt.DeepEquals, []machine.Event{machine.Deregistered{Server: "i-1", Incarnation: 7}})
	l.postErr = errors.New("full")
	c.Assert(fault.Is(r.Deregister(context.Background(), "i-1", 7), fault.Unavailable), qt.IsTrue)
}

// TestDepartureIsAcknowledgedOnceCommitted guards against an acknowledgement of a departure
// that only this process knows of: when the core was killed, the server got requests again.
func TestDepartureIsAcknowledgedOnceCommitted(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	l := &fakeLoop{hang: true}
	r := gateway.NewRegistrar(&view.Store{}, l)
	start := time.Now()
	c.Check(fault.Is(r.Deregister(ctx, "i-1", 7), fault.NoQuorum), qt.IsTrue)
	c.Check(fault.Is(r.Announce(ctx, fleet.Server{ID: "i-1", State: fleet.Draining}), fault.NoQuorum), qt.IsTrue)
	c.Check(time.Since(start) < 2*time.Second, qt.IsTrue)
	c.Check(r.Announce(ctx, fleet.Server{ID: "i-1"}), qt.IsNil)
	l.hang, l.submitErr = false, fault.New(fault.Overloaded, "test", "full")
	c.Check(fault.Is(r.Deregister(ctx, "i-1", 7), fault.Overloaded), qt.IsTrue)
}

func TestRoutesReturnsReplacedDocument(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	r := gateway.NewRegistrar(&view.Store{}, &fakeLoop{})
	_, err := r.Routes(ctx)
	c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue)
	d := &routes.Document{Version: 4}
	version, err := r.ReplaceRoutes(ctx, d)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(4))
	got, err := r.Routes(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, d)
	_, err = r.ReplaceRoutes(ctx, &routes.Document{Version: 5, Routes: []routes.Route{{}}})
	c.Assert(fault.Is(err, fault.Invalid), qt.IsTrue)
}

func TestSubmitTimesOutWithinASecond(t *testing.T) {
	c := qt.New(t)
	r := gateway.NewRegistrar(&view.Store{}, &fakeLoop{hang: true})
	start := time.Now()
	_, err := r.ReplaceRoutes(context.Background(), &routes.Document{Version: 4})
	c.Assert(fault.Is(err, fault.NoQuorum), qt.IsTrue)
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
}
