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

// commitFault says what happens to one commit.
type commitFault int

const (
	commitWell commitFault = iota
	commitRefused
	commitAnswerLost
	crashBeforeCommit
	crashAfterCommit
	commitFaults
)

// sendFault says what happens to one send.
type sendFault int

const (
	sendWell sendFault = iota
	sendUnreachable
	sendSaysNotRun
	sendLostBeforeRun
	sendLostAfterRun
	sendCutBody
	crashBeforeSend
	crashAfterRun
	sendFaults
)

// step is one call of a caller and all that happens to it.
type step struct {
	key, body int
	commits   []commitFault
	send      sendFault
}

var plans = rapid.Custom(func(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			key:     rapid.IntRange(0, 2).Draw(t, "key"),
			body:    rapid.IntRange(0, 1).Draw(t, "body"),
			commits: rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(commitFaults)-1), toCommitFault), 0, 3).Draw(t, "commits"),
			send:    sendFault(rapid.IntRange(0, int(sendFaults)-1).Draw(t, "send")),
		}
	}), 1, 8).Draw(t, "steps")
})

func toCommitFault(n int) commitFault { return commitFault(n) }

// crashed stops the goroutine of a call as the end of its process would.
type crashed struct{}

// world is a ledger, a backend server and the entry of the moment.
type world struct {
	ledger *ledger.Ledger
	now    int64
	step   step
	runs   map[string]int
	nextID int
}

func newWorld() *world {
	l, err := ledger.New(ledger.DefaultLimits())
	if err != nil {
		panic(err)
	}
	return &world{ledger: l, now: 1_000_000, runs: map[string]int{}}
}

// Submit commits one command with the next fault of the step.
func (w *world) Submit(_ context.Context, cmd replicated.Command) (replicated.Result, error) {
	var f commitFault
	if len(w.step.commits) > 0 {
		f, w.step.commits = w.step.commits[0], w.step.commits[1:]
	}
	lost := fault.New(fault.NoQuorum, "test", "no answer in time").WithRan(fault.RanUnknown)
	switch f {
	case commitRefused:
		return replicated.Result{}, lost
	case crashBeforeCommit:
		panic(crashed{})
	}
	res := w.apply(cmd)
	switch f {
	case commitAnswerLost:
		return replicated.Result{}, lost
	case crashAfterCommit:
		panic(crashed{})
	}
	return res, nil
}

func (w *world) apply(cmd replicated.Command) replicated.Result {
	w.now++
	var out ledger.Outcome
	var err *fault.Error
	switch cmd := cmd.(type) {
	case replicated.BeginWork:
		out, err = w.ledger.Begin(cmd.Begin, w.now)
	case replicated.FinishWork:
		out, err = w.ledger.Finish(cmd.Finish, w.now)
	case replicated.CancelWork:
		out, err = w.ledger.Cancel(cmd.Cancel, w.now)
	}
	if err != nil {
		return replicated.Result{Err: err}
	}
	return replicated.Result{Work: &out}
}

// Do sends to the backend server with the fault of the step.
func (w *world) Do(_ context.Context, _ fleet.Server, c engine.Call) (engine.Answer, error) {
	work := string(c.Body)
	switch w.step.send {
	case sendUnreachable:
		return nil, &engine.SendError{NotSent: true, Err: errors.New("refused")}
	case sendSaysNotRun:
		return &answer{head: engine.Head{Status: 503, NotRun: true}}, nil
	case sendLostBeforeRun:
		return nil, &engine.SendError{Err: errors.New("reset")}
	case crashBeforeSend:
		panic(crashed{})
	}
	w.runs[work]++
	text := fmt.Sprintf("answer to %s", work)
	switch w.step.send {
	case sendLostAfterRun:
		return nil, &engine.SendError{Err: errors.New("reset")}
	case crashAfterRun:
		panic(crashed{})
	case sendCutBody:
		return &answer{head: engine.Head{Status: 200}, cut: true}, nil
	}
	return &answer{head: engine.Head{Status: 200}, body: text}, nil
}

// answer is a whole body, or one that is cut.
type answer struct {
	head engine.Head
	body string
	cut  bool
}

func (a *answer) Head() engine.Head { return a.head }
func (a *answer) Body() ([]byte, error) {
	if a.cut {
		return nil, fault.New(fault.BackendFailed, "test", "cut")
	}
	return []byte(a.body), nil
}
func (a *answer) Next() (engine.Event, error) { return engine.Event{}, errors.New("no events") }
func (a *answer) Resumable() bool             { return false }
func (a *answer) Close()                      {}

// sink keeps a whole body.
type sink struct{ body string }

func (s *sink) Head(engine.Head) error { return nil }
func (s *sink) Body(b []byte) error {
	s.body = string(b)
	return nil
}
func (s *sink) Event(engine.Event) error { return nil }

// mutant breaks one part of the path.
type mutant struct {
	submitter func(*world) forward.Submitter
	client    func(*world) engine.Client
	report    func(error) error
}

func sound() mutant {
	return mutant{
		submitter: func(w *world) forward.Submitter { return w },
		client:    func(w *world) engine.Client { return w },
		report:    func(err error) error { return err },
	}
}

// run carries out a plan and returns the first broken invariant.
func run(plan []step, m mutant) error {
	w := newWorld()
	for i, s := range plan {
		w.step = s
		if err := w.call(s, m); err != nil {
			return fmt.Errorf("step %d %+v: %w", i, s, err)
		}
	}
	return nil
}

func (w *world) call(s step, m mutant) error {
	work := fmt.Sprintf("work %d/%d", s.key, s.body)
	out := &sink{}
	err, died := w.serve(s, work, m, out)
	for name, n := range w.runs {
		if n > 1 {
			return fmt.Errorf("%s ran %d times", name, n)
		}
	}
	if w.runs[fmt.Sprintf("work %d/0", s.key)]+w.runs[fmt.Sprintf("work %d/1", s.key)] > 1 {
		return errors.New("one key ran for two requests")
	}
	switch {
	case died:
		return nil
	case err == nil && (w.runs[work] != 1 || out.body != "answer to "+work):
		return fmt.Errorf("answered with %q after %d runs", out.body, w.runs[work])
	case err != nil && fault.From(err).Ran == fault.RanNo && w.runs[work] > 0:
		return fmt.Errorf("said that work which ran did not run: %w", err)
	}
	return nil
}

// serve is one call at a new process of the entry.
func (w *world) serve(s step, work string, m mutant, out *sink) (err error, died bool) {
	defer func() {
		if r := recover(); r != nil {
			if _, died = r.(crashed); !died {
				panic(r)
			}
		}
	}()
	w.nextID++
	f := forward.New(forward.Options{
		Dispatcher:  dispatch.New(dispatch.Options{Views: stock(), Entries: 1}),
		Client:      m.client(w),
		Submitter:   m.submitter(w),
		VM:          "vm-1",
		Incarnation: uint64(w.nextID),
		NewID:       func() string { w.nextID++; return fmt.Sprintf("id-%d", w.nextID) },
	})
	err = f.Serve(context.Background(), forward.Request{
		Work: dispatch.Request{ID: "r", Class: "order", Caller: "c", Target: "stock", Deadline: time.Now().Add(time.Minute)},
		Call: engine.Call{Method: "POST", Path: "/", Body: []byte(work)},
		Key:  fmt.Sprintf("key-%d", s.key),
	}, out)
	return m.report(err), false
}

func stock() *view.Store {
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

func TestWorkRunsAtMostOnceAtEveryCrashPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(plans.Draw(t, "plan"), sound()); err != nil {
			t.Fatal(err)
		}
	})
}

// mutantSeeds bounds the search for a plan that shows a mutant's fault.
const mutantSeeds = 500

func TestMutantsBreakAtMostOnce(t *testing.T) {
	early := sound()
	early.submitter = func(w *world) forward.Submitter { return sendsBeforeBegin{w} }
	denies := sound()
	denies.report = func(err error) error {
		if err == nil {
			return nil
		}
		return fault.From(err).WithRan(fault.RanNo)
	}
	retries := sound()
	retries.client = func(w *world) engine.Client { return retriesAfterSend{w} }
	cancels := sound()
	cancels.client = func(w *world) engine.Client { return claimsNotSent{w} }
	tests := map[string]mutant{
		"sends before Begin is committed": early,
		"says not run after a send":       denies,
		"retries after a send":            retries,
		"takes a lost send for unsent":    cancels,
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var found error
			for seed := 0; seed < mutantSeeds && found == nil; seed++ {
				found = run(plans.Example(seed), m)
			}
			c.Assert(found, qt.IsNotNil)
			t.Log(found)
		})
	}
}

// sendsBeforeBegin answers Begin before it is committed.
type sendsBeforeBegin struct{ *world }

func (s sendsBeforeBegin) Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	if _, ok := cmd.(replicated.BeginWork); !ok {
		return s.world.Submit(ctx, cmd)
	}
	return replicated.Result{Work: &ledger.Outcome{Kind: ledger.Started}}, nil
}

// retriesAfterSend sends again when the first send was lost.
type retriesAfterSend struct{ *world }

func (r retriesAfterSend) Do(ctx context.Context, s fleet.Server, c engine.Call) (engine.Answer, error) {
	if a, err := r.world.Do(ctx, s, c); err == nil {
		return a, nil
	}
	return r.world.Do(ctx, s, c)
}

// claimsNotSent calls every failed send unsent.
type claimsNotSent struct{ *world }

func (n claimsNotSent) Do(ctx context.Context, s fleet.Server, c engine.Call) (engine.Answer, error) {
	a, err := n.world.Do(ctx, s, c)
	if err != nil {
		return nil, &engine.SendError{NotSent: true, Err: err}
	}
	return a, nil
}
