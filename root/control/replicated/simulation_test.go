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

// fixedSeed makes CI runs reproducible. -rapid.seed overrides it.
const fixedSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(fixedSeed)
	}
	os.Exit(m.Run())
}

// Parameters of a script.
const (
	minSteps = 20
	maxSteps = 140
	// argRange is the number of values that an operation or an argument can have.
	argRange = 256
)

// step is one step of a script: an operation and its arguments, which are taken
// modulo the number of available choices.
type step struct{ op, a, b, c int }

// op executes one kind of step.
type op func(sim *simulation, s step)

// The operations of each area. A script draws from one area or from all of them.
// An operation that is listed twice is drawn twice as often.
var (
	logOps   = []op{(*simulation).deliverDelayed, (*simulation).deliverDelayed, (*simulation).redeliver, (*simulation).restore, (*simulation).advanceClock}
	tableOps = []op{(*simulation).changeTable, (*simulation).changeTable, (*simulation).resendChange}
	workOps  = []op{
		(*simulation).begin, (*simulation).begin, (*simulation).send, (*simulation).send, (*simulation).finish, (*simulation).finish,
		(*simulation).cancel, (*simulation).crash, (*simulation).abandon,
	}
	orderOps = []op{
		(*simulation).acquire, (*simulation).acquire, (*simulation).record, (*simulation).record, (*simulation).deliverOrder, (*simulation).deliverOrder,
		(*simulation).settle, (*simulation).settle, (*simulation).release, (*simulation).crash, (*simulation).confirmDead,
		(*simulation).setFencing, (*simulation).crashEngine,
	}
	areas = [][]op{
		slices.Concat(logOps, tableOps),
		slices.Concat(logOps, workOps),
		slices.Concat(logOps, orderOps),
		slices.Concat(logOps, tableOps, workOps, orderOps),
	}
)

// script is a sequence of steps in one area.
type script struct {
	area  int
	steps []step
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	arg := rapid.IntRange(0, argRange-1)
	return step{op: arg.Draw(t, "op"), a: arg.Draw(t, "a"), b: arg.Draw(t, "b"), c: arg.Draw(t, "c")}
}), minSteps, maxSteps)

var scripts = rapid.Custom(func(t *rapid.T) script {
	return script{area: rapid.IntRange(0, len(areas)-1).Draw(t, "area"), steps: steps.Draw(t, "steps")}
})

// limits are small enough for a script to reach the retention of responses and
// keys, MaxKeys and MaxTotalResponseBytes. Closed attempts are kept for the whole
// script, because forgetting one would break an invariant.
var limits = ledger.Limits{
	ResponseRetention:     200 * time.Millisecond,
	KeyRetention:          400 * time.Millisecond,
	ClosedRetention:       10_000 * time.Hour,
	MaxKeys:               6,
	MaxClosed:             1000,
	MaxResponseBytes:      64,
	MaxTotalResponseBytes: 96,
}

// mutant disables one mechanism. All fields are optional.
type mutant struct {
	// command replaces a command before it is applied; nil drops it.
	command func(sim *simulation, c replicated.Command) replicated.Command
	// result replaces the result of a command.
	result func(sim *simulation, c replicated.Command, r replicated.Result) replicated.Result
	// snapshot replaces the snapshot that a replica restores.
	snapshot func(sim *simulation, s replicated.Snapshot) replicated.Snapshot
	// limits replaces the limits of the ledger.
	limits *ledger.Limits
	// engineSkipsCheck makes the engine accept stale fencing tokens.
	engineSkipsCheck bool
	// settlesWhileSending lets a holder settle its own order while it may still send it.
	settlesWhileSending bool
}

// proposal is a command on its way to the log and its sender's callback for the
// result. It may be delayed, delivered more than once, or both.
type proposal struct {
	command  replicated.Command
	onResult func(replicated.Result)
}

// simulation runs the state together with models of its users.
type simulation struct {
	state *replicated.State
	// reference applies the same commands but is not restored from snapshots, except
	// by onSnapshot.
	reference *replicated.State
	mutant    mutant
	index     uint64
	clock     int64
	// delayed proposals have not been applied yet; delivered ones have.
	delayed   []proposal
	delivered []proposal
	// violation describes the first broken invariant; empty for none.
	violation string
	table     tableModel
	work      workModel
	orders    orderModel
}

func newSimulation(m mutant) *simulation {
	sim := &simulation{mutant: m, clock: 1_000_000}
	ledgerLimits := limits
	if m.limits != nil {
		ledgerLimits = *m.limits
	}
	sim.state, _ = replicated.NewWithLimits(ledgerLimits)
	sim.reference, _ = replicated.NewWithLimits(ledgerLimits)
	sim.work.init()
	sim.orders.init()
	sim.apply(proposal{command: replicated.SetFencing{Server: checking, Checks: true}})
	return sim
}

// run returns the first violation of a script, or an empty string.
func run(sc script, m mutant) string {
	sim := newSimulation(m)
	ops := areas[sc.area]
	for _, s := range sc.steps {
		ops[s.op%len(ops)](sim, s)
		if sim.violation != "" {
			return sim.violation
		}
	}
	sim.compareWithReference()
	return sim.violation
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// propose applies a command at once or delays it.
func (sim *simulation) propose(s step, c replicated.Command, onResult func(replicated.Result)) {
	p := proposal{command: replicated.WithTimestamp(c, sim.clock), onResult: onResult}
	if s.c%4 == 0 {
		sim.delayed = append(sim.delayed, p)
		return
	}
	sim.apply(p)
}

func (sim *simulation) apply(p proposal) {
	sim.delivered = append(sim.delivered, p)
	c := p.command
	if sim.mutant.command != nil {
		if c = sim.mutant.command(sim, c); c == nil {
			return
		}
	}
	before := sim.state.Now()
	sim.index++
	result := sim.state.Apply(sim.index, c)
	expected := sim.reference.Apply(sim.index, c)
	got, _ := codec.EncodeResult(result)
	want, _ := codec.EncodeResult(expected)
	if !bytes.Equal(got, want) {
		sim.fail("a restored replica returned a different result for %T", c)
	}
	if sim.state.Now() < before {
		sim.fail("the time of the state ran backwards")
	}
	if sim.mutant.result != nil {
		result = sim.mutant.result(sim, c, result)
	}
	sim.checkTable(p.command, result)
	if p.onResult != nil {
		p.onResult(result)
	}
}

// inject applies a command that no user sent. Mutants use it.
func (sim *simulation) inject(c replicated.Command) {
	sim.index++
	c = replicated.WithTimestamp(c, sim.clock)
	sim.state.Apply(sim.index, c)
	sim.reference.Apply(sim.index, c)
}

func (sim *simulation) deliverDelayed(s step) {
	if len(sim.delayed) == 0 {
		return
	}
	i := s.a % len(sim.delayed)
	p := sim.delayed[i]
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
	sim.apply(p)
}

func (sim *simulation) redeliver(s step) {
	if len(sim.delivered) > 0 {
		sim.apply(sim.delivered[s.a%len(sim.delivered)])
	}
}

// advanceClock changes the clock by a few milliseconds: sometimes back, as when a
// leader with a slower clock takes over, and sometimes past the retention of responses
// and keys.
func (sim *simulation) advanceClock(s step) {
	sim.clock += int64(s.a%64) - 8
	if s.b%8 == 0 {
		sim.clock += (limits.KeyRetention + ledger.MaxClockSkew).Milliseconds()
	}
	sim.apply(proposal{command: replicated.Tick{At: sim.clock}})
}

// restore replaces the state by one restored from its encoded snapshot.
func (sim *simulation) restore(step) {
	data, err := codec.EncodeSnapshot(sim.state.Snapshot())
	if err != nil {
		sim.fail("encode: %v", err)
		return
	}
	snap, err := codec.DecodeSnapshot(data)
	if err != nil {
		sim.fail("decode: %v", err)
		return
	}
	if sim.mutant.snapshot != nil {
		snap = sim.mutant.snapshot(sim, snap)
	}
	if sim.state, err = replicated.Restore(snap); err != nil {
		sim.fail("restore: %v", err)
		return
	}
	sim.compareWithReference()
}

// compareWithReference checks that the state equals the reference.
func (sim *simulation) compareWithReference() {
	got, _ := codec.EncodeSnapshot(sim.state.Snapshot())
	want, _ := codec.EncodeSnapshot(sim.reference.Snapshot())
	if !bytes.Equal(got, want) {
		sim.fail("a restored replica differs from the reference")
	}
}

// scriptCount is the number of scripts with fixed seeds. Together with firstSeed it
// replays a single one.
var (
	scriptCount = flag.Int("scripts", 200, "scripts to run with fixed seeds")
	firstSeed   = flag.Int("first-seed", 1, "seed of the first script")
)

func TestInvariantsHoldForFixedSeeds(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*scriptCount; seed++ {
		if v := run(scriptOf(seed), mutant{}); v != "" {
			t.Fatalf("%s (replay with -run TestInvariantsHoldForFixedSeeds -scripts 1 -first-seed %d)", v, seed)
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
