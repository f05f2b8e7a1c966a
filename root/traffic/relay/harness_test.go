package relay_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

// scriptedResponse says how the fake backend responds to one transmission.
type scriptedResponse struct {
	notSent, noResponse bool
	// silentHost ends the connection as the system does when the host acknowledges nothing.
	silentHost      bool
	status          int
	notRun, leaving bool
	// unframed marks a response that ends with its connection.
	unframed   bool
	retryAfter time.Duration
	body       string
	// events is the number of events, which are numbered from 1. cut breaks the response
	// off before its end.
	events int
	cut    bool
	// cutByPeer is like cut, and the server closes the connection.
	cutByPeer bool
	hang      time.Duration
	// pause is the delay before the last event.
	pause time.Duration
	// gap is the delay before each other event but the first.
	gap time.Duration
	// raw is the bytes of the event stream, in place of events.
	raw string
}

// transmission holds the parameters of one transmission as the server received them.
type transmission struct {
	server      string
	prefill     bool
	lastEventID uint64
	timeLeft    time.Duration
	cache       string
	copyFrom    string
	tenant      string
	priority    int
}

// fakeBackend responds to transmissions with scripted responses, in order.
type fakeBackend struct {
	mu            sync.Mutex
	script        []scriptedResponse
	prefillScript []scriptedResponse
	sent          []transmission
	released      []string
	// outcomes lists how the attempts ended.
	outcomes []string
	// lost holds the servers that ended under requests, by segment, and completed the
	// segments of complete responses.
	lost      map[quarantine.Segment][]string
	completed []quarantine.Segment
	// check returns the result of a check of a server; nil for servers that accept
	// connections. checked lists the servers that were dialled, checks the results for
	// requests.
	check func(server string) error
	// checkHangs makes each dial last until its context ends.
	checkHangs bool
	checked    []string
	checks     []string
	// probes are the results of the probes, refusals counts the requests refused for a
	// suspect.
	probes   []string
	refusals int
}

func (b *fakeBackend) next(list *[]scriptedResponse) scriptedResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(*list) == 0 {
		return scriptedResponse{status: 200, body: "default"}
	}
	scripted := (*list)[0]
	*list = (*list)[1:]
	return scripted
}

func (b *fakeBackend) record(t transmission) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, t)
}

func (b *fakeBackend) Send(ctx context.Context, s fleet.Server, t relay.Transmission) (relay.Response, error) {
	scripted := b.next(&b.script)
	if scripted.notSent {
		time.Sleep(scripted.hang)
		return nil, &engine.SendError{NotSent: true, Err: syscall.EPIPE}
	}
	sent := transmission{
		server: s.ID, lastEventID: t.LastEventID, timeLeft: time.Until(t.Deadline), copyFrom: t.CopyFrom,
		tenant: t.Tenant, priority: t.Priority,
	}
	if t.Cache != nil {
		sent.cache = t.Cache.Handle
	}
	b.record(sent)
	if scripted.hang > 0 {
		select {
		case <-time.After(scripted.hang):
		case <-ctx.Done():
			return nil, &engine.SendError{Err: ctx.Err()}
		}
	}
	if scripted.noResponse {
		return nil, &engine.SendError{Err: io.ErrUnexpectedEOF}
	}
	if scripted.silentHost && scripted.status == 0 {
		return nil, &engine.SendError{Err: syscall.ETIMEDOUT}
	}
	return &fakeResponse{
		scriptedResponse: scripted, lastID: t.LastEventID, ctx: ctx,
		rawEvents: engine.NewVerbatimReader(strings.NewReader(scripted.raw)),
	}, nil
}

func (b *fakeBackend) Prefill(_ context.Context, s fleet.Server, t relay.Transmission) (engine.Head, relay.CacheHandle, error) {
	scripted := b.next(&b.prefillScript)
	b.record(transmission{server: s.ID, prefill: true, tenant: t.Tenant, priority: t.Priority})
	time.Sleep(scripted.hang)
	if scripted.noResponse {
		return engine.Head{}, relay.CacheHandle{}, &engine.SendError{Err: io.ErrUnexpectedEOF}
	}
	head := engine.Head{Status: scripted.status, Leaving: scripted.leaving, RetryAfter: scripted.retryAfter}
	if scripted.status != 200 {
		return head, relay.CacheHandle{}, fault.New(fault.BackendFailed, "test", "status %d", scripted.status)
	}
	return head, relay.CacheHandle{Server: s, Handle: "handle"}, nil
}

func (b *fakeBackend) ObserveAttempt(_, outcome string, _ time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes = append(b.outcomes, outcome)
}

func (b *fakeBackend) ObserveCheck(result string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checks = append(b.checks, result)
}

func (b *fakeBackend) Check(ctx context.Context, s fleet.Server) error {
	b.mu.Lock()
	b.checked = append(b.checked, s.ID)
	check := b.check
	b.mu.Unlock()
	if b.checkHangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if check == nil {
		return nil
	}
	return check(s.ID)
}

func (b *fakeBackend) ObserveProbe(result string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probes = append(b.probes, result)
}

func (b *fakeBackend) ObserveSuspectRefusal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusals++
}

// observedSegments records losses and completions and passes them on.
type observedSegments struct {
	*segments.Observer
	backend *fakeBackend
}

func (o observedSegments) Lost(held []quarantine.Segment, s fleet.Server, at time.Time) {
	o.Observer.Lost(held, s, at)
	b := o.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost == nil {
		b.lost = map[quarantine.Segment][]string{}
	}
	for _, segment := range held {
		b.lost[segment] = append(b.lost[segment], s.ID)
	}
}

func (o observedSegments) Completed(held []quarantine.Segment, at time.Time) {
	o.Observer.Completed(held, at)
	b := o.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completed = append(b.completed, held...)
}

func (b *fakeBackend) Release(_ context.Context, h relay.CacheHandle) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = append(b.released, h.Handle)
	return nil
}

type fakeResponse struct {
	scriptedResponse
	lastID    uint64
	ctx       context.Context
	rawEvents *engine.VerbatimReader
}

func (r *fakeResponse) Head() engine.Head {
	return engine.Head{Status: r.status, Stream: r.events > 0 || r.raw != "", Unframed: r.unframed, NotRun: r.notRun, Leaving: r.leaving, RetryAfter: r.retryAfter}
}

func (r *fakeResponse) Body() ([]byte, error) {
	if r.silentHost {
		return nil, fault.Wrap(syscall.ETIMEDOUT, fault.BackendFailed, "test", "cut")
	}
	if r.cut {
		return nil, fault.New(fault.BackendFailed, "test", "cut")
	}
	return []byte(r.body), nil
}

func (r *fakeResponse) Next() (engine.VerbatimEvent, error) {
	if r.raw != "" {
		return r.rawEvents.Next()
	}
	if r.pause > 0 && r.lastID+1 == uint64(r.events) {
		select {
		case <-time.After(r.pause):
		case <-r.ctx.Done():
			return engine.VerbatimEvent{}, fault.New(fault.StreamCut, "test", "cancelled")
		}
	}
	if r.lastID < uint64(r.events) {
		if r.lastID > 0 {
			time.Sleep(r.gap)
		}
		r.lastID++
		return engine.VerbatimEvent{ID: r.lastID, Bytes: []byte("e")}, nil
	}
	if r.cut {
		return engine.VerbatimEvent{}, fault.New(fault.StreamCut, "test", "cut")
	}
	if r.silentHost {
		return engine.VerbatimEvent{}, fault.Wrap(syscall.ETIMEDOUT, fault.StreamCut, "test", "cut")
	}
	if r.cutByPeer {
		return engine.VerbatimEvent{}, fault.Wrap(io.ErrUnexpectedEOF, fault.StreamCut, "test", "cut")
	}
	return engine.VerbatimEvent{}, io.EOF
}

func (r *fakeResponse) Close() {}

// fakeSink records a response.
type fakeSink struct {
	status int
	body   string
	ids    []uint64
}

func (c *fakeSink) WriteResponse(h engine.Head, body []byte) error {
	c.status, c.body = h.Status, string(body)
	return nil
}

func (c *fakeSink) WriteHead(h engine.Head) error {
	c.status = h.Status
	return nil
}

func (c *fakeSink) WriteEvent(ev engine.VerbatimEvent) error {
	c.ids = append(c.ids, ev.ID)
	return nil
}

// harness runs a relay with a fake backend of two plain servers, two decode engines
// and a prefill engine.
type harness struct {
	*fakeBackend
	views *view.Store
	relay *relay.Relay
	// suspended is how long the VM was suspended, which its monotonic clock does not count.
	suspended time.Duration
	// stop ends the services.
	stop     func()
	segments *segments.Observer
	control  *fakeControl
}

func (h *harness) leaseNow() time.Time { return time.Now().Add(h.suspended) }

func newHarness() *harness {
	h := &harness{fakeBackend: &fakeBackend{}, views: &view.Store{}, control: &fakeControl{}}
	h.segments = segments.NewObserver(h.control, h.views, h.leaseNow)
	h.control.observer = h.segments
	v := &view.View{Term: 1, LeaseOptional: true, Routes: testRoutes(), Servers: []fleet.Server{
		{ID: "plain-1", Kind: fleet.PlainServer, Targets: []string{"plain"}, Slots: 4},
		{ID: "plain-2", Kind: fleet.PlainServer, Targets: []string{"plain"}, Slots: 4},
		{ID: "decode-1", Kind: fleet.Engine, Role: fleet.Decode, Targets: []string{"llm"}, Slots: 4},
		{ID: "decode-2", Kind: fleet.Engine, Role: fleet.Decode, Targets: []string{"llm"}, Slots: 4},
		{ID: "prefill-1", Kind: fleet.Engine, Role: fleet.Prefill, Targets: []string{"llm"}, Slots: 4},
	}}
	h.views.Publish(v)
	placer := placement.NewPlacer(placement.NewState("vm", "a", 1))
	placer.SetView(v)
	h.relay = relay.New(relay.Options{
		LeaseNow: h.leaseNow,
		Views:    h.views, Placer: placer, Observer: h.fakeBackend, Segments: observedSegments{h.segments, h.fakeBackend}, Backend: h.fakeBackend, Random: func() float64 { return 0 }, Log: logr.Discard(),
		RetryBudget: &relay.RetryBudget{Ratio: 0, Extra: 3, Window: 10 * time.Second, Entries: func() int { return 1 }},
	})
	return h
}

func testRoutes() *routes.Document {
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

func (h *harness) call(path string) (*fakeSink, *fault.Error) {
	return h.serve(&relay.Request{ID: "r", Host: "h", Path: path, Method: "POST", Arrived: time.Now()})
}

func (h *harness) serve(req *relay.Request) (*fakeSink, *fault.Error) {
	out := &fakeSink{}
	err := h.relay.Serve(context.Background(), req, out)
	return out, fault.From(err)
}

// withHarness runs a test in a synctest bubble, which has a fake clock.
func withHarness(t *testing.T, test func(c *qt.C, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		h.stop = stop
		go h.relay.Checks().Serve(ctx)
		go h.segments.Serve(ctx)
		test(qt.New(t), h)
	})
}

// sleep waits for d of the bubble's time, and until everything in the bubble waits.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
