package burn_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
)

const deadline = 200 * time.Millisecond

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// clock is moved by the test.
type clock struct{ now time.Time }

func (k *clock) Now() time.Time { return k.now }

func views(servers ...fleet.Server) *view.Store {
	s := &view.Store{}
	s.Publish(&view.View{
		Table:   table.Table{Version: 1, Classes: []table.Class{{Name: "kiosk", Deadline: deadline}}},
		Servers: servers,
		VMs:     []fleet.VM{{ID: "vm-0", Address: "http://x"}, {ID: "vm-1", Address: "http://y"}, {ID: "replica-only"}},
	})
	return s
}

// outcome is one request in the model.
type outcome struct {
	at      time.Time
	took    time.Duration
	refused string
}

// window returns the class in one window of the report as the model sees it.
func model(all []outcome, now time.Time, length time.Duration) (within, late, refused, spent uint64) {
	width := length / burn.SlotsPerWindow
	oldest := now.Truncate(width).Add(width - length)
	for _, o := range all {
		switch {
		case o.at.Truncate(width).Before(oldest):
		case o.refused != "":
			refused++
			if burn.Spends(o.refused) {
				spent++
			}
		case o.took > deadline:
			late++
			spent++
		default:
			within++
		}
	}
	return within, late, refused, spent
}

// run feeds random outcomes to several recorders and compares the merged report
// with the model. It returns the first difference.
func run(t *rapid.T, alter func([]burn.Snapshot)) error {
	k := &clock{epoch}
	store := views()
	recorders := make([]*burn.Recorder, 2)
	for i := range recorders {
		recorders[i] = burn.New(burn.Options{VM: fmt.Sprintf("vm-%d", i), Views: store, Now: k.Now})
	}
	var all []outcome
	for range rapid.IntRange(1, 60).Draw(t, "outcomes") {
		k.now = k.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
		r := rapid.SampledFrom(recorders).Draw(t, "recorder")
		o := outcome{at: k.now, took: time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond}
		if rapid.Bool().Draw(t, "refused") {
			kind := rapid.SampledFrom(fault.Kinds()).Draw(t, "kind")
			o.refused = kind.String()
			r.Refused("kiosk", kind)
		} else {
			r.Answered("kiosk", burn.Timing{Whole: o.took})
		}
		all = append(all, o)
	}
	snaps := overTheWire(t, recorders)
	alter(snaps)
	report := burn.Merge(k.now, 0.9, snaps, nil)
	for _, w := range report.Windows {
		within, late, refused, spent := model(all, k.now, w.Length())
		got := w.Classes[0]
		var kinds uint64
		for _, n := range got.Refused {
			kinds += n
		}
		if got.Within != within || got.Late != late || kinds != refused || got.Spent != spent {
			return fmt.Errorf("window %v: got %+v, want within %d late %d refused %d spent %d", w.Length(), got, within, late, refused, spent)
		}
		if uint64(got.Whole.Count) != within+late || len(got.Points) > burn.SlotsPerWindow {
			return fmt.Errorf("window %v: %d times in %d slots", w.Length(), got.Whole.Count, len(got.Points))
		}
	}
	return nil
}

func overTheWire(t *rapid.T, recorders []*burn.Recorder) []burn.Snapshot {
	var out []burn.Snapshot
	for _, r := range recorders {
		data, err := json.Marshal(r.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		var s burn.Snapshot
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatal(err)
		}
		out = append(out, s)
	}
	return out
}

func TestMergedReportCountsWhatHappened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(t, func([]burn.Snapshot) {}); err != nil {
			t.Fatal(err)
		}
	})
}

// A mutant that loses the oldest slot of a window must be caught.
func TestModelCatchesALostSlot(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		err := run(t, func(snaps []burn.Snapshot) {
			for _, c := range snaps[0].Classes {
				last := &c.Windows[len(c.Windows)-1]
				last.Slots = last.Slots[min(1, len(last.Slots)):]
			}
		})
		caught = caught || err != nil
	})
	qt.Assert(t, caught, qt.IsTrue)
}

func TestReportSaysHowMuchBudgetIsLeftAndWhereTheTimeWent(t *testing.T) {
	c := qt.New(t)
	k := &clock{epoch}
	r := burn.New(burn.Options{VM: "vm-0", Views: views(), Now: k.Now})
	for range 97 {
		r.Answered("kiosk", burn.Timing{Queue: 10 * time.Millisecond, FirstToken: 40 * time.Millisecond, Whole: 100 * time.Millisecond})
	}
	r.Answered("kiosk", burn.Timing{Whole: deadline + time.Millisecond})
	r.Refused("kiosk", fault.Overloaded)
	r.Refused("kiosk", fault.NoBackend)
	r.Refused("kiosk", fault.RateLimited)
	r.Refused("made-up", fault.NotFound)
	report := burn.Merge(k.now, 0.95, []burn.Snapshot{r.Snapshot()}, []burn.Silent{{Operator: "http://vm-1", Reason: "gone"}})
	c.Check(report.Coverage.Missing, qt.DeepEquals, []string{"vm-1"})
	c.Check(report.Coverage.Whole(), qt.IsFalse)
	classes := report.Windows[0].Classes
	c.Assert(len(classes), qt.Equals, 2)
	c.Check(classes[0].Class, qt.Equals, burn.NoClass)
	got := classes[1]
	c.Check([]uint64{got.Spent, got.Counted}, qt.DeepEquals, []uint64{3, 100})
	c.Check(fmt.Sprintf("%.2f %.2f", got.BurnRate, got.BudgetLeft), qt.Equals, "0.60 0.40")
	for _, l := range []struct {
		got  burn.Latency
		want float64
	}{{got.Whole, 100}, {got.Queue, 10}, {got.FirstToken, 40}, {got.Rest, 60}} {
		c.Check(l.got.P50MS/l.want > 15./16 && l.got.P50MS/l.want < 17./16, qt.IsTrue, qt.Commentf("%+v", l))
	}
}

func TestEveryKindIsTheCallersOwnOrSpendsBudget(t *testing.T) {
	c := qt.New(t)
	var own []string
	for _, kind := range fault.Kinds() {
		if !burn.Spends(kind.String()) {
			own = append(own, kind.String())
		}
	}
	slices.Sort(own)
	c.Check(own, qt.DeepEquals, []string{
		"cancelled", "conflict", "in_progress", "invalid", "key_expired", "key_reused",
		"method_not_allowed", "not_found", "rate_limited", "too_large", "unauthorized",
	})
	c.Check(burn.Spends("a kind of a newer daemon"), qt.IsTrue)
}

func TestRoleChangesOfOneFleetAreNotAddedUp(t *testing.T) {
	c := qt.New(t)
	k := &clock{epoch}
	var snaps []burn.Snapshot
	for _, vm := range []string{"vm-0", "vm-1"} {
		store := views(fleet.Server{ID: "e1", Role: fleet.Mixed}, fleet.Server{ID: "e2", Role: fleet.Mixed})
		r := burn.New(burn.Options{VM: vm, Views: store, Now: k.Now})
		r.Observe(store.Load())
		for i, role := range []fleet.Role{fleet.Prefill, fleet.Prefill, fleet.Decode} {
			r.Observe(&view.View{Term: 1, Seq: uint64(i), Servers: []fleet.Server{{ID: "e1", Role: role}, {ID: "e3", Role: role}}})
		}
		r.Observe(&view.View{Term: 1, Seq: 1, Servers: []fleet.Server{{ID: "e1", Role: fleet.Prefill}}})
		store.Publish(&view.View{Term: 1, Seq: 4, Servers: []fleet.Server{{ID: "e1", Role: fleet.Decode}}})
		r.Refused("kiosk", fault.Overloaded)
		snaps = append(snaps, r.Snapshot())
	}
	report := burn.Merge(k.now, 0.99, snaps, nil)
	// e1 changed twice, e3 once; e2 left.
	c.Check(report.Windows[2].RoleChanges, qt.Equals, uint64(3))
}

func TestRecordingFromManyGoroutinesLosesNothing(t *testing.T) {
	const workers, each = 8, 500
	r := burn.New(burn.Options{VM: "vm-0", Views: views()})
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range each {
				r.Answered("kiosk", burn.Timing{Whole: time.Millisecond})
				r.Refused("kiosk", fault.Overloaded)
			}
			r.Snapshot()
		})
	}
	group.Wait()
	got := r.Totals()["kiosk"]
	qt.Check(t, got, qt.DeepEquals, burn.Totals{Within: workers * each, Refused: map[string]uint64{"overloaded": workers * each}})
	report := burn.Merge(time.Now(), 0.99, []burn.Snapshot{r.Snapshot()}, nil)
	qt.Check(t, report.Windows[2].Classes[0].Within, qt.Equals, uint64(workers*each))
}

func BenchmarkAnswered(b *testing.B) {
	r := burn.New(burn.Options{VM: "vm-0", Views: views()})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Answered("kiosk", burn.Timing{Queue: time.Millisecond, FirstToken: 2 * time.Millisecond, Whole: 3 * time.Millisecond})
		}
	})
}

// BenchmarkMemory reports the heap per class after six hours of steady traffic
// with every time measured.
func BenchmarkMemory(b *testing.B) {
	const classes, perSpan = 20, 40
	v := &view.View{}
	for i := range classes {
		v.Table.Classes = append(v.Table.Classes, table.Class{Name: fmt.Sprint(i), Deadline: time.Second})
	}
	store := &view.Store{}
	store.Publish(v)
	random := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		k := &clock{epoch}
		before := heap()
		r := burn.New(burn.Options{VM: "vm-0", Views: store, Now: k.Now})
		for ; k.now.Before(epoch.Add(6 * time.Hour)); k.now = k.now.Add(25 * time.Second) {
			for i := range classes * perSpan {
				whole := time.Duration(random.ExpFloat64() * float64(2*time.Second))
				r.Answered(fmt.Sprint(i%classes), burn.Timing{Queue: whole / 10, FirstToken: whole / 3, Whole: whole})
			}
		}
		b.ReportMetric(float64(heap()-before)/classes, "B/class")
		runtime.KeepAlive(r)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
