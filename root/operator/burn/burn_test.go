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

// clock is a fake clock that the test advances.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newViewStore(servers ...fleet.Server) *view.Store {
	s := &view.Store{}
	s.Publish(&view.View{
		Table:   table.Table{Version: 1, Classes: []table.Class{{Name: "kiosk", Deadline: deadline}}},
		Servers: servers,
		VMs:     []fleet.VM{{ID: "vm-0", Address: "http://x"}, {ID: "vm-1", Address: "http://y"}, {ID: "replica-only"}},
	})
	return s
}

// outcome is one recorded request. errorKind is empty for a complete response.
type outcome struct {
	at        time.Time
	duration  time.Duration
	errorKind string
}

// expectedCounts computes the counts that the report must have for the window of
// the given length.
func expectedCounts(outcomes []outcome, now time.Time, length time.Duration) (within, late, refused, spent uint64) {
	width := length / burn.SlotsPerWindow
	oldest := now.Truncate(width).Add(width - length)
	for _, o := range outcomes {
		switch {
		case o.at.Truncate(width).Before(oldest):
		case o.errorKind != "":
			refused++
			if burn.SpendsBudget(o.errorKind) {
				spent++
			}
		case o.duration > deadline:
			late++
			spent++
		default:
			within++
		}
	}
	return within, late, refused, spent
}

// compareWithModel records random outcomes in several recorders, changes their
// snapshots with mutate and compares the merged report with expectedCounts. It
// returns the first difference.
func compareWithModel(t *rapid.T, mutate func([]burn.Snapshot)) error {
	fakeClock := &clock{epoch}
	store := newViewStore()
	recorders := make([]*burn.Recorder, 2)
	for i := range recorders {
		recorders[i] = burn.New(burn.Options{VM: fmt.Sprintf("vm-%d", i), Views: store, Now: fakeClock.Now})
	}
	var outcomes []outcome
	for range rapid.IntRange(1, 60).Draw(t, "outcomes") {
		fakeClock.now = fakeClock.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
		r := rapid.SampledFrom(recorders).Draw(t, "recorder")
		o := outcome{at: fakeClock.now, duration: time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond}
		if rapid.Bool().Draw(t, "refused") {
			kind := rapid.SampledFrom(fault.Kinds()).Draw(t, "kind")
			o.errorKind = kind.String()
			r.RecordError("kiosk", kind)
		} else {
			r.RecordResponse("kiosk", burn.Timing{Total: o.duration})
		}
		outcomes = append(outcomes, o)
	}
	snaps := jsonRoundTrip(t, recorders)
	mutate(snaps)
	report := burn.Merge(fakeClock.now, 0.9, snaps, nil)
	for _, w := range report.Windows {
		within, late, refused, spent := expectedCounts(outcomes, fakeClock.now, w.Length())
		got := w.Classes[0]
		var kinds uint64
		for _, n := range got.Refused {
			kinds += n
		}
		if got.Within != within || got.Late != late || kinds != refused || got.Spent != spent {
			return fmt.Errorf("window %v: got %+v, want within %d late %d refused %d spent %d", w.Length(), got, within, late, refused, spent)
		}
		if uint64(got.Total.Count) != within+late || len(got.Points) > burn.SlotsPerWindow {
			return fmt.Errorf("window %v: %d durations in %d slots", w.Length(), got.Total.Count, len(got.Points))
		}
	}
	return nil
}

// jsonRoundTrip returns the snapshots as another process decodes them from JSON.
func jsonRoundTrip(t *rapid.T, recorders []*burn.Recorder) []burn.Snapshot {
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

func TestMergedReportMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := compareWithModel(t, func([]burn.Snapshot) {}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestModelDetectsLostSlot checks that the model rejects a report that lacks the
// oldest slot of a window, so that TestMergedReportMatchesModel can fail.
func TestModelDetectsLostSlot(t *testing.T) {
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		err := compareWithModel(t, func(snaps []burn.Snapshot) {
			for _, c := range snaps[0].Classes {
				last := &c.Windows[len(c.Windows)-1]
				last.Slots = last.Slots[min(1, len(last.Slots)):]
			}
		})
		detected = detected || err != nil
	})
	qt.Assert(t, detected, qt.IsTrue)
}

func TestReportBudgetAndLatency(t *testing.T) {
	c := qt.New(t)
	fakeClock := &clock{epoch}
	r := burn.New(burn.Options{VM: "vm-0", Views: newViewStore(), Now: fakeClock.Now})
	for range 97 {
		r.RecordResponse("kiosk", burn.Timing{Queue: 10 * time.Millisecond, FirstToken: 40 * time.Millisecond, Total: 100 * time.Millisecond})
	}
	r.RecordResponse("kiosk", burn.Timing{Total: deadline + time.Millisecond})
	r.RecordError("kiosk", fault.Overloaded)
	r.RecordError("kiosk", fault.NoBackend)
	r.RecordError("kiosk", fault.RateLimited)
	r.RecordError("not-in-table", fault.NotFound)
	report := burn.Merge(fakeClock.now, 0.95, []burn.Snapshot{r.Snapshot()}, []burn.FetchError{{Operator: "http://vm-1", Reason: "connection refused"}})
	c.Check(report.Coverage.Missing, qt.DeepEquals, []string{"vm-1"})
	c.Check(report.Coverage.Complete(), qt.IsFalse)
	classes := report.Windows[0].Classes
	c.Assert(len(classes), qt.Equals, 2)
	c.Check(classes[0].Class, qt.Equals, burn.NoClass)
	got := classes[1]
	c.Check([]uint64{got.Spent, got.Counted}, qt.DeepEquals, []uint64{3, 100})
	c.Check(fmt.Sprintf("%.2f %.2f", got.BurnRate, got.BudgetLeft), qt.Equals, "0.60 0.40")
	for _, l := range []struct {
		got  burn.Latency
		want float64
	}{{got.Total, 100}, {got.Queue, 10}, {got.FirstToken, 40}, {got.AfterFirstToken, 60}} {
		c.Check(l.got.P50MS/l.want > 15./16 && l.got.P50MS/l.want < 17./16, qt.IsTrue, qt.Commentf("%+v", l))
	}
}

func TestErrorKindsThatSpendNoBudget(t *testing.T) {
	c := qt.New(t)
	var notSpending []string
	for _, kind := range fault.Kinds() {
		if !burn.SpendsBudget(kind.String()) {
			notSpending = append(notSpending, kind.String())
		}
	}
	slices.Sort(notSpending)
	c.Check(notSpending, qt.DeepEquals, []string{
		"cancelled", "conflict", "in_progress", "invalid", "key_expired", "key_reused",
		"method_not_allowed", "not_found", "rate_limited", "too_large", "unauthorized",
	})
	c.Check(burn.SpendsBudget("kind of a newer version"), qt.IsTrue)
}

func TestRoleChangesAreNotSummedOverProcesses(t *testing.T) {
	c := qt.New(t)
	fakeClock := &clock{epoch}
	var snaps []burn.Snapshot
	for _, vm := range []string{"vm-0", "vm-1"} {
		store := newViewStore(fleet.Server{ID: "e1", Role: fleet.Mixed}, fleet.Server{ID: "e2", Role: fleet.Mixed})
		r := burn.New(burn.Options{VM: vm, Views: store, Now: fakeClock.Now})
		r.Observe(store.Load())
		for i, role := range []fleet.Role{fleet.Prefill, fleet.Prefill, fleet.Decode} {
			r.Observe(&view.View{Term: 1, Seq: uint64(i), Servers: []fleet.Server{{ID: "e1", Role: role}, {ID: "e3", Role: role}}})
		}
		r.Observe(&view.View{Term: 1, Seq: 1, Servers: []fleet.Server{{ID: "e1", Role: fleet.Prefill}}})
		store.Publish(&view.View{Term: 1, Seq: 4, Servers: []fleet.Server{{ID: "e1", Role: fleet.Decode}}})
		r.RecordError("kiosk", fault.Overloaded)
		snaps = append(snaps, r.Snapshot())
	}
	report := burn.Merge(fakeClock.now, 0.99, snaps, nil)
	// e1 changes its role twice and e3 once. e2 is removed, which is no role change.
	c.Check(report.Windows[2].RoleChanges, qt.Equals, uint64(3))
}

func TestConcurrentRecording(t *testing.T) {
	const workers, each = 8, 500
	r := burn.New(burn.Options{VM: "vm-0", Views: newViewStore()})
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range each {
				r.RecordResponse("kiosk", burn.Timing{Total: time.Millisecond})
				r.RecordError("kiosk", fault.Overloaded)
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

func BenchmarkRecordResponse(b *testing.B) {
	r := burn.New(burn.Options{VM: "vm-0", Views: newViewStore()})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.RecordResponse("kiosk", burn.Timing{Queue: time.Millisecond, FirstToken: 2 * time.Millisecond, Total: 3 * time.Millisecond})
		}
	})
}

// BenchmarkMemory reports the heap bytes per class after six hours of constant
// traffic with every duration measured.
func BenchmarkMemory(b *testing.B) {
	const classes, perInterval = 20, 40
	v := &view.View{}
	for i := range classes {
		v.Table.Classes = append(v.Table.Classes, table.Class{Name: fmt.Sprint(i), Deadline: time.Second})
	}
	store := &view.Store{}
	store.Publish(v)
	random := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		fakeClock := &clock{epoch}
		before := heapAlloc()
		r := burn.New(burn.Options{VM: "vm-0", Views: store, Now: fakeClock.Now})
		for ; fakeClock.now.Before(epoch.Add(6 * time.Hour)); fakeClock.now = fakeClock.now.Add(25 * time.Second) {
			for i := range classes * perInterval {
				total := time.Duration(random.ExpFloat64() * float64(2*time.Second))
				r.RecordResponse(fmt.Sprint(i%classes), burn.Timing{Queue: total / 10, FirstToken: total / 3, Total: total})
			}
		}
		b.ReportMetric(float64(heapAlloc()-before)/classes, "B/class")
		runtime.KeepAlive(r)
	}
}

func heapAlloc() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
