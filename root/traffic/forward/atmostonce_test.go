package forward_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
)

// commitFault says how one commit fails, if at all.
type commitFault int

const (
	commitSucceeds commitFault = iota
	commitLost
	commitResultLost
	crashBeforeCommit
	crashAfterCommit
	commitFaultCount
)

// sendFault says how one transmission fails, if at all.
type sendFault int

const (
	sendSucceeds sendFault = iota
	sendUnreachable
	sendSaysNotRun
	sendLostBeforeRun
	sendLostAfterRun
	sendCutBody
	crashBeforeSend
	crashAfterRun
	sendFaultCount
)

// step is one request of a caller with the faults that it encounters.
type step struct {
	key, body int
	commits   []commitFault
	send      sendFault
}

var planGenerator = rapid.Custom(func(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			key:     rapid.IntRange(0, 2).Draw(t, "key"),
			body:    rapid.IntRange(0, 1).Draw(t, "body"),
			commits: rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(commitFaultCount)-1), toCommitFault), 0, 3).Draw(t, "commits"),
			send:    sendFault(rapid.IntRange(0, int(sendFaultCount)-1).Draw(t, "send")),
		}
	}), 1, 8).Draw(t, "steps")
})

func toCommitFault(n int) commitFault { return commitFault(n) }

// processCrash is the panic value that ends a request as a crash of its process would.
type processCrash struct{}

// harness holds the ledger and the backend server, which outlive the processes of the
// VM that accepts the requests.
type harness struct {
	ledger *ledger.Ledger
	now    int64
	step   step
	runs   map[string]int
	nextID int
}

func newHarness() *harness {
	l, err := ledger.New(ledger.DefaultLimits())
	if err != nil {
		panic(err)
	}
	return &harness{ledger: l, now: 1_000_000, runs: map[string]int{}}
}

// Submit commits one command and injects the step's next commit fault.
func (h *harness) Submit(_ context.Context, cmd replicated.Command) (replicated.Result, error) {
	var f commitFault
	if len(h.step.commits) > 0 {
		f, h.step.commits = h.step.commits[0], h.step.commits[1:]
	}
	lost := fault.New(fault.NoQuorum, "test", "no result in time").WithRan(fault.RanUnknown)
	switch f {
	case commitLost:
		return replicated.Result{}, lost
	case crashBeforeCommit:
		panic(processCrash{})
	}
	res := h.apply(cmd)
	switch f {
	case commitResultLost:
		return replicated.Result{}, lost
	case crashAfterCommit:
		panic(processCrash{})
	}
	return res, nil
}

func (h *harness) apply(cmd replicated.Command) replicated.Result {
	h.now++
	var out ledger.Outcome
	var err *fault.Error
	switch cmd := cmd.(type) {
	case replicated.BeginWork:
		out, err = h.ledger.Begin(cmd.Begin, h.now)
	case replicated.FinishWork:
		out, err = h.ledger.Finish(cmd.Finish, h.now)
	case replicated.CancelWork:
		out, err = h.ledger.Cancel(cmd.Cancel, h.now)
	}
	if err != nil {
		return replicated.Result{Err: err}
	}
	return replicated.Result{Work: &out}
}

// Do sends to the backend server and injects the step's send fault.
func (h *harness) Do(_ context.Context, _ fleet.Server, c engine.Call) (engine.Response, error) {
	body := string(c.Body)
	switch h.step.send {
	case sendUnreachable:
		return nil, &engine.SendError{NotSent: true, Err: errors.New("refused")}
	case sendSaysNotRun:
		return &fakeResponse{head: engine.Head{Status: 503, NotRun: true}}, nil
	case sendLostBeforeRun:
		return nil, &engine.SendError{Err: errors.New("reset")}
	case crashBeforeSend:
		panic(processCrash{})
	}
	h.runs[body]++
	text := fmt.Sprintf("response to %s", body)
	switch h.step.send {
	case sendLostAfterRun:
		return nil, &engine.SendError{Err: errors.New("reset")}
	case crashAfterRun:
		panic(processCrash{})
	case sendCutBody:
		return &fakeResponse{head: engine.Head{Status: 200}, cut: true}, nil
	}
	return &fakeResponse{head: engine.Head{Status: 200}, body: text}, nil
}

// fakeResponse is a response with a body that is complete or cut.
type fakeResponse struct {
	head engine.Head
	body string
	cut  bool
}

func (r *fakeResponse) Head() engine.Head { return r.head }
func (r *fakeResponse) Body() ([]byte, error) {
	if r.cut {
		return nil, fault.New(fault.BackendFailed, "test", "cut")
	}
	return []byte(r.body), nil
}
func (r *fakeResponse) Next() (engine.Event, error) { return engine.Event{}, errors.New("no events") }
func (r *fakeResponse) Resumable() bool             { return false }
func (r *fakeResponse) Close()                      {}

// bodySink records the body of a response.
type bodySink struct{ body string }

func (s *bodySink) WriteHead(engine.Head) error { return nil }
func (s *bodySink) WriteBody(b []byte) error {
	s.body = string(b)
	return nil
}
func (s *bodySink) WriteEvent(engine.Event) error { return nil }

// mutant replaces parts of the request path with faulty ones.
type mutant struct {
	submitter func(*harness) forward.Submitter
	client    func(*harness) engine.Client
	mapError  func(error) error
}

func unmutated() mutant {
	return mutant{
		submitter: func(h *harness) forward.Submitter { return h },
		client:    func(h *harness) engine.Client { return h },
		mapError:  func(err error) error { return err },
	}
}

// run executes a plan and returns the first violation of an invariant.
func run(plan []step, m mutant) error {
	h := newHarness()
	for i, s := range plan {
		h.step = s
		if err := h.call(s, m); err != nil {
			return fmt.Errorf("step %d %+v: %w", i, s, err)
		}
	}
	return nil
}

func (h *harness) call(s step, m mutant) error {
	body := fmt.Sprintf("request %d/%d", s.key, s.body)
	out := &bodySink{}
	err, crashed := h.serve(s, body, m, out)
	for name, n := range h.runs {
		if n > 1 {
			return fmt.Errorf("%s ran %d times", name, n)
		}
	}
	if h.runs[fmt.Sprintf("request %d/0", s.key)]+h.runs[fmt.Sprintf("request %d/1", s.key)] > 1 {
		return errors.New("two requests ran with one key")
	}
	switch {
	case crashed:
		return nil
	case err == nil && (h.runs[body] != 1 || out.body != "response to "+body):
		return fmt.Errorf("responded with %q after %d runs", out.body, h.runs[body])
	case err != nil && fault.From(err).Ran == fault.RanNo && h.runs[body] > 0:
		return fmt.Errorf("error says that the request did not run, but it ran: %w", err)
	}
	return nil
}

// serve runs one request in a new process of the VM.
func (h *harness) serve(s step, body string, m mutant, out *bodySink) (err error, crashed bool) {
	defer func() {
		if r := recover(); r != nil {
			if _, crashed = r.(processCrash); !crashed {
				panic(r)
			}
		}
	}()
	h.nextID++
	f := forward.New(forward.Options{
		Dispatcher:  dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: stockView(), Entries: 1}),
		Client:      m.client(h),
		Submitter:   m.submitter(h),
		VM:          "vm-1",
		Incarnation: uint64(h.nextID),
		NewID:       func() string { h.nextID++; return fmt.Sprintf("id-%d", h.nextID) },
	})
	err = f.Serve(context.Background(), forward.Request{
		Dispatch: dispatch.Request{ID: "r", Class: "order", Caller: "c", Target: "stock", Deadline: time.Now().Add(time.Minute)},
		Call:     engine.Call{Method: "POST", RequestTarget: "/", Body: []byte(body)},
		Key:      fmt.Sprintf("key-%d", s.key),
	}, out)
	return m.mapError(err), false
}

func stockView() *view.Store {
	store := &view.Store{}
	store.Publish(&view.View{
		Term: 1, Seq: 1, LeaseUntil: time.Now().Add(time.Hour),
		Table: table.Table{Classes: []table.Class{
			{Name: "order", Weight: 1, Queue: 8, Deadline: time.Minute, Targets: []string{"stock"}},
			{Name: "lookup", Weight: 1, Queue: 8, Deadline: time.Minute, Targets: []string{"stock"}, Idempotent: true},
		}},
		Servers: []fleet.Server{
			{ID: "stock-1", Targets: []string{"stock"}, Slots: 8},
			{ID: "stock-2", Targets: []string{"stock"}, Slots: 8},
		},
	})
	return store
}

func TestRequestRunsAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(planGenerator.Draw(t, "plan"), unmutated()); err != nil {
			t.Fatal(err)
		}
	})
}

// mutantSeeds limits the plans tried per mutant.
const mutantSeeds = 500

func TestMutantsBreakAtMostOnce(t *testing.T) {
	withoutBegin := unmutated()
	withoutBegin.submitter = func(h *harness) forward.Submitter { return sendsWithoutBegin{h} }
	saysNotRun := unmutated()
	saysNotRun.mapError = func(err error) error {
		if err == nil {
			return nil
		}
		return fault.From(err).WithRan(fault.RanNo)
	}
	retries := unmutated()
	retries.client = func(h *harness) engine.Client { return retriesAfterSend{h} }
	lostAsNotSent := unmutated()
	lostAsNotSent.client = func(h *harness) engine.Client { return reportsLostAsNotSent{h} }
	tests := map[string]mutant{
		"sends without committing Begin":  withoutBegin,
		"says not run after a send":       saysNotRun,
		"retries after a send":            retries,
		"reports a lost send as not sent": lostAsNotSent,
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var found error
			for seed := 0; seed < mutantSeeds && found == nil; seed++ {
				found = run(planGenerator.Example(seed), m)
			}
			c.Assert(found, qt.IsNotNil)
			t.Log(found)
		})
	}
}

// sendsWithoutBegin acknowledges a Begin without committing it.
type sendsWithoutBegin struct{ *harness }

func (s sendsWithoutBegin) Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	if _, ok := cmd.(replicated.BeginWork); !ok {
		return s.harness.Submit(ctx, cmd)
	}
	return replicated.Result{Work: &ledger.Outcome{Kind: ledger.Started}}, nil
}

// retriesAfterSend sends a request again after a failed transmission.
type retriesAfterSend struct{ *harness }

func (r retriesAfterSend) Do(ctx context.Context, s fleet.Server, c engine.Call) (engine.Response, error) {
	if resp, err := r.harness.Do(ctx, s, c); err == nil {
		return resp, nil
	}
	return r.harness.Do(ctx, s, c)
}

// reportsLostAsNotSent reports every failed transmission as not sent.
type reportsLostAsNotSent struct{ *harness }

func (n reportsLostAsNotSent) Do(ctx context.Context, s fleet.Server, c engine.Call) (engine.Response, error) {
	resp, err := n.harness.Do(ctx, s, c)
	if err != nil {
		return nil, &engine.SendError{NotSent: true, Err: err}
	}
	return resp, nil
}
