package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

type logCodec struct{}

func (logCodec) EncodeCommand(c replicated.Command) ([]byte, error)   { return codec.EncodeCommand(c) }
func (logCodec) DecodeCommand(b []byte) (replicated.Command, error)   { return codec.DecodeCommand(b) }
func (logCodec) DecodeSnapshot(b []byte) (replicated.Snapshot, error) { return codec.DecodeSnapshot(b) }

var config = machine.Config{
	Self:     fleet.VM{ID: "vm-1", Incarnation: 1, Address: "http://vm-1"},
	Replicas: []string{"vm-1"},
	Timing:   machine.DefaultTiming(),
}

// startReplica runs the loop of a single-replica cluster whose writes are durable
// immediately.
func startReplica(t *testing.T, views *view.Store) *loop.Loop {
	m, err := machine.NewReplica(config, machine.ReplicaConfig{
		Consensus: consensus.Config{
			ID: "vm-1/first", ElectionTimeout: 600 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond, MaxClockDrift: 0.01, MaxBatchBytes: 1 << 20, Seed: 1,
		},
		Bootstrap: consensus.Members{Voters: []consensus.ReplicaID{"vm-1/first"}},
		Codec:     logCodec{},
	}, time.Now())
	qt.Assert(t, err, qt.IsNil)
	var l *loop.Loop
	l = loop.New(m, loop.Handlers{
		Send:      func(string, machine.Message) {},
		Persist:   func(p consensus.WriteBatch) { _ = l.Post(t.Context(), machine.Persisted{Seq: p.Seq}) },
		Publish:   views.Publish,
		SetShares: func([]fleet.Share) {},
		Halt:      func(err *fault.Error) { t.Errorf("halted: %v", err) },
	}, 1, time.Now, logr.Discard())
	run(t, l)
	return l
}

func run(t *testing.T, l *loop.Loop) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestSubmitCommitsAndPublishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		views := &view.Store{}
		l := startReplica(t, views)
		change := table.Change{ID: "one", Classes: []table.Class{{
			Name: "short", Weight: 1, Concurrency: 1, RatePerSecond: 1, Queue: 1,
			Deadline: time.Second, Targets: []string{"m"}, Idempotent: true,
		}}}
		res, err := l.Submit(t.Context(), replicated.ChangeTable{Change: change})
		c.Assert(err, qt.IsNil)
		c.Assert(res.Err == nil, qt.IsTrue, qt.Commentf("%v", res.Err))
		c.Assert(views.Load().Table.Version, qt.Equals, uint64(1))
		c.Assert(views.Load().Ready(time.Now()), qt.IsTrue)
		history, err := l.History(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(history, qt.HasLen, 1)
	})
}

// An idle loop must not poll. It wakes for two lease renewals, four sweeps and ten
// heartbeats a second; two more wakeups a second are allowed.
func TestIdleLoopWakesOnlyForTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startReplica(t, &view.Store{})
		time.Sleep(10 * time.Second)
		before := l.Stats().Steps
		time.Sleep(10 * time.Second)
		steps := l.Stats().Steps - before
		const maxSteps = 10 * (2 + 4 + 10 + 2)
		qt.Assert(t, steps <= maxSteps, qt.IsTrue, qt.Commentf("%d steps", steps))
	})
}

func TestSubmitWithoutReplicaFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := config
		cfg.Replicas = []string{"vm-2"}
		l := loop.New(machine.New(cfg, time.Now()), loop.Handlers{
			Send: func(string, machine.Message) {},
		}, 1, time.Now, logr.Discard())
		run(t, l)
		res, err := l.Submit(t.Context(), replicated.SetDrain{ID: "x"})
		c.Assert(err, qt.IsNil)
		c.Assert(fault.Is(res.Err, fault.NoQuorum), qt.IsTrue)
		c.Assert(res.Err.Ran, qt.Equals, fault.RanUnknown)
		_, err = l.History(t.Context())
		c.Assert(fault.Is(err, fault.Unavailable), qt.IsTrue)
	})
}

// TestPanicHaltsTheProcess panics in an effect of a step. The rest of the step is lost,
// so the process must end, and nobody may block on the loop until it has.
func TestPanicHaltsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cfg := config
		cfg.Replicas = []string{"vm-2"}
		halted := make(chan *fault.Error, 1)
		l := loop.New(machine.New(cfg, time.Now()), loop.Handlers{
			Send: func(string, machine.Message) { panic("broken handler") },
			Halt: func(err *fault.Error) { halted <- err },
		}, 1, time.Now, logr.Discard())
		run(t, l)
		err := <-halted
		c.Assert(err.Kind, qt.Equals, fault.Internal)
		c.Assert(err.Error(), qt.Contains, "broken handler")
		c.Assert(err.Error(), qt.Contains, "loop_test.go")
		for range 2 * 4096 {
			c.Assert(l.Post(t.Context(), machine.Persisted{}), qt.IsNil)
		}
	})
}

// The loop is not running, so that nothing leaves the inbox.
func TestFullInboxDropsDroppableEvents(t *testing.T) {
	c := qt.New(t)
	l := loop.New(machine.New(config, time.Now()), loop.Handlers{}, 1, time.Now, logr.Discard())
	for range 2000 {
		c.Assert(l.Post(t.Context(), machine.Announced{}), qt.IsNil)
	}
	c.Assert(l.Stats().Dropped, qt.Equals, uint64(2000-1024))
}

func TestFullInboxBlocksReliableEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := loop.New(machine.New(config, time.Now()), loop.Handlers{}, 1, time.Now, logr.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		posted := 0
		for l.Post(ctx, machine.Persisted{}) == nil {
			posted++
		}
		c.Assert(posted, qt.Equals, 4096)
		c.Assert(ctx.Err(), qt.Equals, context.DeadlineExceeded)
	})
}
