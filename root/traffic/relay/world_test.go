package relay_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
)

// answer is what a scripted server does with one transmission.
type answer struct {
	notSent, noAnswer bool
	status            int
	notRun            bool
	body              string
	// events are numbered from 1; cut ends the stream without its end.
	events int
	cut    bool
	hang   time.Duration
	// pause comes before the last event.
	pause time.Duration
}

// sent is one transmission as a server saw it.
type sent struct {
	server  string
	prefill bool
	after   uint64
	left    time.Duration
	cache   string
}

// backend answers transmissions by a script, in order.
type backend struct {
	mu       sync.Mutex
	script   []answer
	prefills []answer
	sent     []sent
	released []string
}

func (b *backend) take(list *[]answer) answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(*list) == 0 {
		return answer{status: 200, body: "default"}
	}
	a := (*list)[0]
	*list = (*list)[1:]
	return a
}

func (b *backend) note(s sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, s)
}

func (b *backend) Send(ctx context.Context, s fleet.Server, a relay.Attempt) (relay.Reply, error) {
	out := b.take(&b.script)
	if out.notSent {
		return nil, &engine.SendError{NotSent: true, Err: errors.New("refused")}
	}
	call := sent{server: s.ID, after: a.After, left: time.Until(a.Deadline)}
	if a.Cache != nil {
		call.cache = a.Cache.Handle
	}
	b.note(call)
	if out.hang > 0 {
		select {
		case <-time.After(out.hang):
		case <-ctx.Done():
			return nil, &engine.SendError{Err: ctx.Err()}
		}
	}
	if out.noAnswer {
		return nil, &engine.SendError{Err: errors.New("reset")}
	}
	return &reply{answer: out, next: a.After, ctx: ctx}, nil
}

func (b *backend) Prefill(_ context.Context, s fleet.Server, _ relay.Attempt) (relay.CacheHandle, error) {
	out := b.take(&b.prefills)
	b.note(sent{server: s.ID, prefill: true})
	if out.status != 200 {
		return relay.CacheHandle{}, fault.New(fault.BackendFailed, "test", "status %d", out.status)
	}
	return relay.CacheHandle{Server: s, Handle: "handle"}, nil
}

func (b *backend) Attempt(string, string, time.Duration) {}

func (b *backend) Release(_ context.Context, h relay.CacheHandle) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = append(b.released, h.Handle)
	return nil
}

type reply struct {
	answer
	next uint64
	ctx  context.Context
}

func (r *reply) Head() engine.Head {
	return engine.Head{Status: r.status, Stream: r.events > 0, NotRun: r.notRun}
}

func (r *reply) Body() ([]byte, error) {
	if r.cut {
		return nil, fault.New(fault.BackendFailed, "test", "cut")
	}
	return []byte(r.body), nil
}

func (r *reply) Next() (engine.VerbatimEvent, error) {
	if r.pause > 0 && r.next+1 == uint64(r.events) {
		select {
		case <-time.After(r.pause):
		case <-r.ctx.Done():
			return engine.VerbatimEvent{}, fault.New(fault.StreamCut, "test", "cancelled")
		}
	}
	if r.next < uint64(r.events) {
		r.next++
		return engine.VerbatimEvent{ID: r.next, Bytes: []byte("e")}, nil
	}
	if r.cut {
		return engine.VerbatimEvent{}, fault.New(fault.StreamCut, "test", "cut")
	}
	return engine.VerbatimEvent{}, io.EOF
}

func (r *reply) Close() {}

// caller takes an answer.
type caller struct {
	status int
	body   string
	ids    []uint64
}

func (c *caller) Whole(h engine.Head, body []byte) error {
	c.status, c.body = h.Status, string(body)
	return nil
}

func (c *caller) Head(h engine.Head) error {
	c.status = h.Status
	return nil
}

func (c *caller) Event(ev engine.VerbatimEvent) error {
	c.ids = append(c.ids, ev.ID)
	return nil
}

// world is a relay before two plain servers, two decode engines and a prefill engine.
type world struct {
	*backend
	views *view.Store
	relay *relay.Relay
}

func newWorld() *world {
	w := &world{backend: &backend{}, views: &view.Store{}}
	v := &view.View{Term: 1, LeaseOptional: true, Routes: document(), Servers: []fleet.Server{
		{ID: "plain-1", Kind: fleet.Service, Targets: []string{"plain"}, Slots: 4},
		{ID: "plain-2", Kind: fleet.Service, Targets: []string{"plain"}, Slots: 4},
		{ID: "decode-1", Kind: fleet.Engine, Role: fleet.Decode, Targets: []string{"llm"}, Slots: 4},
		{ID: "decode-2", Kind: fleet.Engine, Role: fleet.Decode, Targets: []string{"llm"}, Slots: 4},
		{ID: "prefill-1", Kind: fleet.Engine, Role: fleet.Prefill, Targets: []string{"llm"}, Slots: 4},
	}}
	w.views.Publish(v)
	placer := placement.NewPlacer(placement.NewState("vm", "a", 1))
	placer.SetView(v)
	w.relay = relay.New(relay.Options{
		Views: w.views, Placer: placer, Observe: w.backend, Backend: w.backend, Draw: func() float64 { return 0 }, Log: logr.Discard(),
		Retries: &relay.Retries{Ratio: 0, Extra: 3, Window: 10 * time.Second, Entries: func() int { return 1 }},
	})
	return w
}

func document() *routes.Document {
	d := &routes.Document{Version: 1, Services: []routes.Service{
		{Name: "plain"}, {Name: "llm", Engine: &routes.Engine{CacheTokens: 100_000}},
	}}
	add := func(prefix, service string, kind routes.Kind, attempts int, resumable bool) {
		d.Routes = append(d.Routes, routes.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second, LatencyObjective: 500 * time.Millisecond,
			MaxAttempts: attempts, Resumable: resumable, Split: []routes.WeightedService{{Service: service, Weight: 1}},
		})
	}
	add("/safe/", "plain", routes.Safe, 2, false)
	add("/unsafe/", "plain", routes.Unsafe, 2, false)
	add("/stream/", "llm", routes.Stream, 1, false)
	add("/resumable/", "llm", routes.Stream, 3, true)
	return d
}

func (w *world) call(path string) (*caller, *fault.Error) {
	return w.serve(&relay.Request{ID: "r", Host: "h", Path: path, Method: "POST", Arrived: time.Now()})
}

func (w *world) serve(req *relay.Request) (*caller, *fault.Error) {
	out := &caller{}
	err := w.relay.Serve(context.Background(), req, out)
	return out, fault.From(err)
}

// inBubble runs a test under a clock of its own.
func inBubble(t *testing.T, test func(c *qt.C, w *world)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), newWorld()) })
}
