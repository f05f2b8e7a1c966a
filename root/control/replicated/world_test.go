package replicated_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// fixedSeed makes CI runs repeat; -rapid.seed overrides it.
const fixedSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(fixedSeed)
	}
	os.Exit(m.Run())
}

// Bounds on a script.
const (
	minSteps = 20
	maxSteps = 140
	argCount = 256
)

// step is one move of a script. Its arguments are taken modulo what there is.
type step struct{ op, a, b, c int }

// op carries out one kind of step.
type op func(w *world, s step)

// The moves of each area. A script has the moves of one area, or all of them.
var (
	logOps   = []op{(*world).deliverLate, (*world).deliverLate, (*world).deliverAgain, (*world).restore, (*world).passTime}
	tableOps = []op{(*world).changeTable, (*world).changeTable, (*world).resendChange}
	workOps  = []op{
		(*world).begin, (*world).begin, (*world).send, (*world).send, (*world).finish, (*world).finish,
		(*world).cancel, (*world).crash, (*world).abandon,
	}
	orderOps = []op{
		(*world).acquire, (*world).acquire, (*world).record, (*world).record, (*world).land, (*world).land,
		(*world).settle, (*world).settle, (*world).release, (*world).crash, (*world).confirmDead,
		(*world).doubt, (*world).breakEngine,
	}
	areas = [][]op{
		slices.Concat(logOps, tableOps),
		slices.Concat(logOps, workOps),
		slices.Concat(logOps, orderOps),
		slices.Concat(logOps, tableOps, workOps, orderOps),
	}
)

// script is a sequence of moves of one area.
type script struct {
	area  int
	steps []step
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	arg := rapid.IntRange(0, argCount-1)
	return step{op: arg.Draw(t, "op"), a: arg.Draw(t, "a"), b: arg.Draw(t, "b"), c: arg.Draw(t, "c")}
}), minSteps, maxSteps)

var scripts = rapid.Custom(func(t *rapid.T) script {
	return script{area: rapid.IntRange(0, len(areas)-1).Draw(t, "area"), steps: steps.Draw(t, "steps")}
})

// limits are small, so that every bound is met within a script.
var limits = ledger.Limits{
	AnswerRetention:     200 * time.Millisecond,
	KeyRetention:        400 * time.Millisecond,
	ClosedRetention:     10_000 * time.Hour,
	MaxKeys:             6,
	MaxClosed:           1000,
	MaxAnswerBytes:      64,
	MaxTotalAnswerBytes: 96,
}

// mutant takes one mechanism out. Its fields are optional.
type mutant struct {
	// command replaces a command before it is applied; nil drops it.
	command func(w *world, c replicated.Command) replicated.Command
	// result replaces an answer.
	result func(w *world, c replicated.Command, r replicated.Result) replicated.Result
	// snapshot replaces what a replica restores.
	snapshot func(w *world, s replicated.Snapshot) replicated.Snapshot
	// limits replaces the limits of the ledger.
	limits *ledger.Limits
	// engineForgets takes the check of fencing numbers out of the engine.
	engineForgets bool
	// keepsSending lets a holder settle its own order before its sending has ended.
	keepsSending bool
}

// proposal is a command under way to the log, with what its sender does with
// the answer. It may be delivered late, again, or both.
type proposal struct {
	command replicated.Command
	answer  func(replicated.Result)
}

// world drives the state together with models of its users.
type world struct {
	state *replicated.State
	// witness gets the same commands but is never restored.
	witness *replicated.State
	mutant  mutant
	index   uint64
	clock   int64
	late    []proposal
	past    []proposal
	// violation is the first broken invariant.
	violation string
	table     tableModel
	work      workModel
	orders    orderModel
}

func newWorld(m mutant) *world {
	w := &world{mutant: m, clock: 1_000_000}
	bounds := limits
	if m.limits != nil {
		bounds = *m.limits
	}
	w.state, _ = replicated.NewWithLimits(bounds)
	w.witness, _ = replicated.NewWithLimits(bounds)
	w.work.init()
	w.orders.init()
	w.apply(proposal{command: replicated.SetFencing{Server: checking, Checks: true}})
	return w
}

// run returns the first violation of a script, or an empty string.
func run(sc script, m mutant) string {
	w := newWorld(m)
	ops := areas[sc.area]
	for _, s := range sc.steps {
		ops[s.op%len(ops)](w, s)
		if w.violation != "" {
			return w.violation
		}
	}
	w.compare()
	return w.violation
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// propose delivers a command at once, or leaves it under way.
func (w *world) propose(s step, c replicated.Command, answer func(replicated.Result)) {
	p := proposal{command: replicated.Stamp(c, w.clock), answer: answer}
	if s.c%4 == 0 {
		w.late = append(w.late, p)
		return
	}
	w.apply(p)
}

func (w *world) apply(p proposal) {
	w.past = append(w.past, p)
	c := p.command
	if w.mutant.command != nil {
		if c = w.mutant.command(w, c); c == nil {
			return
		}
	}
	before := w.state.Now()
	w.index++
	result := w.state.Apply(w.index, c)
	expected := w.witness.Apply(w.index, c)
	got, _ := codec.EncodeResult(result)
	want, _ := codec.EncodeResult(expected)
	if !bytes.Equal(got, want) {
		w.fail("a restored replica answered otherwise: %T", c)
	}
	if w.state.Now() < before {
		w.fail("the time ran backwards")
	}
	if w.mutant.result != nil {
		result = w.mutant.result(w, c, result)
	}
	w.checkTable(p.command, result)
	if p.answer != nil {
		p.answer(result)
	}
}

// inject applies a command that no user sent, for mutants.
func (w *world) inject(c replicated.Command) {
	w.index++
	c = replicated.Stamp(c, w.clock)
	w.state.Apply(w.index, c)
	w.witness.Apply(w.index, c)
}

func (w *world) deliverLate(s step) {
	if len(w.late) == 0 {
		return
	}
	i := s.a % len(w.late)
	p := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	w.apply(p)
}

func (w *world) deliverAgain(s step) {
	if len(w.past) > 0 {
		w.apply(w.past[s.a%len(w.past)])
	}
}

// passTime moves the clock, sometimes back, as that of another leader may be,
// and sometimes past every retention.
func (w *world) passTime(s step) {
	w.clock += int64(s.a%64) - 8
	if s.b%8 == 0 {
		w.clock += (limits.KeyRetention + ledger.MaxClockSkew).Milliseconds()
	}
	w.apply(proposal{command: replicated.Tick{At: w.clock}})
}

// restore replaces the state by one from its encoded snapshot.
func (w *world) restore(step) {
	data, err := codec.EncodeSnapshot(w.state.Snapshot())
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	snap, err := codec.DecodeSnapshot(data)
	if err != nil {
		w.fail("decode: %v", err)
		return
	}
	if w.mutant.snapshot != nil {
		snap = w.mutant.snapshot(w, snap)
	}
	if w.state, err = replicated.Restore(snap); err != nil {
		w.fail("restore: %v", err)
		return
	}
	w.compare()
}

// compare holds that the state equals the one that was never restored.
func (w *world) compare() {
	got, _ := codec.EncodeSnapshot(w.state.Snapshot())
	want, _ := codec.EncodeSnapshot(w.witness.Snapshot())
	if !bytes.Equal(got, want) {
		w.fail("a restored replica differs")
	}
}

// scriptCount is the number of scripts with fixed seeds; firstSeed replays one.
var (
	scriptCount = flag.Int("scripts", 200, "scripts to run with fixed seeds")
	firstSeed   = flag.Int("first-seed", 1, "seed of the first script")
)

func TestFixedSeedsHold(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*scriptCount; seed++ {
		if v := run(scriptOf(seed), mutant{}); v != "" {
			t.Fatalf("%s (replay with -run TestFixedSeedsHold -scripts 1 -first-seed %d)", v, seed)
		}
	}
}

func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if v := run(scripts.Draw(t, "script"), mutant{}); v != "" {
			t.Fatal(v)
		}
	})
}
