package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

var epoch = time.Unix(1_700_000_000, 0)

func fixedShare(share float64) func(string) (float64, bool) {
	return func(string) (float64, bool) { return share, true }
}

// simulation applies random operations to a core and tracks the state of each item.
type simulation struct {
	core    *admission.Core
	classes []table.Class
	now     time.Time
	next    uint64
	items   map[uint64]admission.Item
	// state is "waiting" or "running", by item id; ended items are deleted.
	state map[uint64]string
}

// newSimulation returns a simulation with the given share of the limits. The
// invariants are checked against the whole limits.
func newSimulation(share float64) *simulation {
	m := &simulation{core: admission.NewCore(), now: epoch, items: map[uint64]admission.Item{}, state: map[uint64]string{}}
	m.classes = []table.Class{
		{Name: "a", Priority: 1, Weight: 2, Concurrency: 3, Queue: 6, Tokens: 500},
		{Name: "b", Priority: 1, Weight: 1, Concurrency: 2, Queue: 4, RatePerSecond: 5},
		{Name: "c", Priority: 2, Weight: 1, Queue: 5},
	}
	m.core.SetClasses(m.classes, fixedShare(share))
	return m
}

// step applies one random operation and returns the first violation of an invariant.
func (m *simulation) step(r *rand.Rand) error {
	m.now = m.now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
	switch r.IntN(6) {
	case 0, 1:
		return m.arrive(r)
	case 2:
		m.endFirst("waiting", func(id uint64) bool {
			delete(m.state, id)
			return m.core.Cancel(id, m.items[id].Class)
		})
	case 3:
		m.endFirst("running", func(id uint64) bool {
			delete(m.state, id)
			m.core.Release(m.now, id, float64(r.IntN(200)))
			return true
		})
	case 4:
		for _, refused := range m.core.Expire(m.now) {
			if m.state[refused.Item.ID] != "waiting" {
				return fmt.Errorf("item %d refused while %q", refused.Item.ID, m.state[refused.Item.ID])
			}
			delete(m.state, refused.Item.ID)
		}
	}
	return m.grantAll(r)
}

// endFirst calls end with the lowest id in the given state. It ignores the result:
// check detects an item that should have left the core and is still in it.
func (m *simulation) endFirst(state string, end func(id uint64) bool) {
	for id := uint64(0); id <= m.next; id++ {
		if m.state[id] == state {
			end(id)
			return
		}
	}
}

func (m *simulation) arrive(r *rand.Rand) error {
	m.next++
	it := admission.Item{ID: m.next, Class: m.classes[r.IntN(3)].Name, Tokens: 1 + r.IntN(300), Arrived: m.now}
	it.Cost = float64(it.Tokens)
	if r.IntN(2) == 0 {
		it.Deadline = m.now.Add(time.Duration(r.IntN(5000)) * time.Millisecond)
		it.ReservedTime = time.Duration(r.IntN(1000)) * time.Millisecond
	}
	if _, ok := m.core.Enqueue(m.now, it); !ok {
		return nil
	}
	m.items[it.ID], m.state[it.ID] = it, "waiting"
	if err := m.grantAll(r); err != nil {
		return err
	}
	if _, over := m.core.RefuseOverflow(m.now, it.ID, it.Class); over {
		delete(m.state, it.ID)
	}
	return nil
}

func (m *simulation) grantAll(r *rand.Rand) error {
	for {
		it, ok := m.core.Grant(m.now, func(admission.Item) bool { return r.IntN(3) > 0 })
		if !ok {
			return m.check()
		}
		if m.state[it.ID] != "waiting" {
			return fmt.Errorf("item %d granted while %q", it.ID, m.state[it.ID])
		}
		m.state[it.ID] = "running"
	}
}

// check compares the tracked items with the core's loads and with the limits.
func (m *simulation) check() error {
	running, waiting, tokens := map[string]int{}, map[string]int{}, map[string]int{}
	for id, state := range m.state {
		class := m.items[id].Class
		if state == "waiting" {
			waiting[class]++
			continue
		}
		running[class]++
		tokens[class] += m.items[id].Tokens
	}
	for _, load := range m.core.Loads(m.now) {
		if load.Running != running[load.Class] || load.Waiting != waiting[load.Class] {
			return fmt.Errorf("class %s: core reports %+v, want %d running and %d waiting", load.Class, load, running[load.Class], waiting[load.Class])
		}
	}
	for _, c := range m.classes {
		if c.Concurrency > 0 && running[c.Name] > c.Concurrency {
			return fmt.Errorf("class %s runs %d items, more than its limit", c.Name, running[c.Name])
		}
		// The token limit applies from the second running item on: any item may run alone,
		// and Enqueue refuses one that exceeds the whole limit by itself.
		if c.Tokens > 0 && tokens[c.Name] > c.Tokens && running[c.Name] > 1 {
			return fmt.Errorf("class %s runs %d tokens, more than its limit", c.Name, tokens[c.Name])
		}
		// Enqueue admits one item above the limit until RefuseOverflow is called.
		if waiting[c.Name] > c.Queue+1 {
			return fmt.Errorf("class %s has %d items waiting, more than one above its limit", c.Name, waiting[c.Name])
		}
	}
	return nil
}

func runSimulation(m *simulation, seed uint64, steps int) error {
	r := rand.New(rand.NewPCG(seed, 0))
	for range steps {
		if err := m.step(r); err != nil {
			return err
		}
	}
	return nil
}

func TestRandomOperationsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSimulation(newSimulation(1), rapid.Uint64().Draw(t, "seed"), 300); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSimulationDetectsExceededLimits gives a core twice the limits and expects the
// simulation to detect it.
func TestSimulationDetectsExceededLimits(t *testing.T) {
	for seed := range uint64(20) {
		if runSimulation(newSimulation(2), seed, 300) != nil {
			return
		}
	}
	t.Fatal("no seed detects a core that exceeds its limits")
}

func TestServedCostFollowsWeights(t *testing.T) {
	c := qt.New(t)
	core := admission.NewCore()
	classes := []table.Class{
		{Name: "a", Priority: 1, Weight: 5, Queue: 1000},
		{Name: "b", Priority: 1, Weight: 3, Queue: 1000},
		{Name: "c", Priority: 1, Weight: 2, Queue: 1000},
		{Name: "later", Priority: 2, Weight: 9, Queue: 1000},
	}
	core.SetClasses(classes, fixedShare(1))
	r := rand.New(rand.NewPCG(3, 3))
	means := map[string]float64{"a": 500, "b": 50, "c": 150, "later": 10}
	served, id := map[string]float64{}, uint64(0)
	for range 20 {
		for _, class := range classes[:3] {
			id++
			core.Enqueue(epoch, admission.Item{ID: id, Class: class.Name, Cost: means[class.Name]})
		}
	}
	var running []admission.Item
	for step := range 20000 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, class := range classes {
			id++
			core.Enqueue(now, admission.Item{ID: id, Class: class.Name, Cost: means[class.Name]})
		}
		for len(running) < 16 {
			it, ok := core.Grant(now, func(admission.Item) bool { return true })
			c.Assert(ok, qt.IsTrue)
			running = append(running, it)
		}
		i := r.IntN(len(running))
		it := running[i]
		actual := it.Cost * (0.2 + 1.6*r.Float64())
		served[it.Class] += actual
		core.Release(now, it.ID, actual)
		running = append(running[:i], running[i+1:]...)
	}
	total := served["a"] + served["b"] + served["c"]
	for name, share := range map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2} {
		got := served[name] / total
		c.Check(math.Abs(got-share)/share < 0.05, qt.IsTrue, qt.Commentf("%s got %.3f of %.1f", name, got, share))
	}
	c.Check(served["later"], qt.Equals, 0.0)
}

func TestDivideLimitInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 200).Draw(t, "limit")
		entries := make([]admission.EntryDemand, rapid.IntRange(1, 10).Draw(t, "entries"))
		for i := range entries {
			entries[i] = admission.EntryDemand{Entry: fmt.Sprint(i), Waiting: rapid.IntRange(0, 50).Draw(t, "waiting")}
		}
		shares, sum := admission.DivideLimit(limit, entries), 0.0
		for _, share := range shares {
			sum += share
			if whole := share * float64(limit); math.Abs(whole-math.Round(whole)) > 1e-6 {
				t.Fatalf("share %v of %d is not a whole number of units", share, limit)
			}
			if limit >= len(entries) && share <= 0 {
				t.Fatalf("an entry got no unit of %d", limit)
			}
		}
		checkDemandIsServed(t, limit, entries, shares)
		if sum > 1+1e-9 || limit >= 1 && sum < 1-1e-9 {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

// checkDemandIsServed checks that no entry has several units of the limit while another
// one with demand has none.
func checkDemandIsServed(t *rapid.T, limit int, entries []admission.EntryDemand, shares map[string]float64) {
	for _, e := range entries {
		if limit == 0 || e.Waiting == 0 || shares[e.Entry] > 0 {
			continue
		}
		for other, share := range shares {
			if share*float64(limit) > 1.5 {
				t.Fatalf("entry %s has %v of %d, entry %s with demand has none", other, share, limit, e.Entry)
			}
		}
	}
}

func TestFewerUnitsThanEntriesWithDemand(t *testing.T) {
	c := qt.New(t)
	shares := admission.DivideLimit(3, []admission.EntryDemand{
		{Entry: "a", Waiting: 100}, {Entry: "b", Waiting: 3}, {Entry: "c", Waiting: 2}, {Entry: "d", Waiting: 1},
	})
	for entry, want := range map[string]float64{"a": 1, "b": 1, "c": 1, "d": 0} {
		c.Check(math.Round(shares[entry]*3), qt.Equals, want, qt.Commentf("%s", entry))
	}
}

// TestRateHoldsAfterTheConcurrencyLimitIsRemoved removes the concurrency limit of a class
// of which this entry has a share of zero. The rate limit holds until the next shares.
func TestRateHoldsAfterTheConcurrencyLimitIsRemoved(t *testing.T) {
	c := qt.New(t)
	core := admission.NewCore()
	class := table.Class{Name: "a", Weight: 1, Queue: 100, Concurrency: 3, RatePerSecond: 3}
	core.SetClasses([]table.Class{class}, fixedShare(0))
	class.Concurrency = 0
	core.SetClasses([]table.Class{class}, fixedShare(0))
	for id := range uint64(20) {
		refusal, ok := core.Enqueue(epoch, admission.Item{ID: id, Class: "a", Cost: 1})
		c.Assert(ok, qt.IsFalse)
		c.Check(refusal.Reason, qt.Equals, admission.RateExceeded)
		c.Check(refusal.RetryAfter > 0, qt.IsTrue)
	}
	core.SetClasses([]table.Class{class}, fixedShare(1))
	_, ok := core.Enqueue(epoch, admission.Item{ID: 21, Class: "a", Cost: 1})
	c.Check(ok, qt.IsTrue)
}

func ExampleCore() {
	core := admission.NewCore()
	classes := []table.Class{{Name: "question", Weight: 1, Concurrency: 1, Queue: 10}}
	core.SetClasses(classes, func(string) (float64, bool) { return 1, true })
	for id := range uint64(2) {
		core.Enqueue(epoch, admission.Item{ID: id, Class: "question", Cost: 50})
	}
	anywhere := func(admission.Item) bool { return true }
	first, ok := core.Grant(epoch, anywhere)
	fmt.Println(first.ID, ok)
	_, ok = core.Grant(epoch, anywhere)
	fmt.Println(ok)
	core.Release(epoch, first.ID, 50)
	second, ok := core.Grant(epoch, anywhere)
	fmt.Println(second.ID, ok)
	// Output:
	// 0 true
	// false
	// 1 true
}

// TestIdleClassAdmitsDespiteReservedTime guards against a class that refuses every
// item for good after a prediction that was too high made its reserved time longer
// than the time to the deadline.
func TestIdleClassAdmitsDespiteReservedTime(t *testing.T) {
	c := qt.New(t)
	core := admission.NewCore()
	core.SetClasses([]table.Class{{Name: "a", Weight: 1, Queue: 10}}, fixedShare(1))
	item := func(id uint64) admission.Item {
		return admission.Item{ID: id, Class: "a", Cost: 1, Arrived: epoch, Deadline: epoch.Add(time.Second), ReservedTime: time.Minute}
	}
	_, ok := core.Enqueue(epoch, item(1))
	c.Assert(ok, qt.IsTrue)
	refusal, ok := core.Enqueue(epoch, item(2))
	c.Assert(ok, qt.IsFalse)
	c.Check(refusal.Reason, qt.Equals, admission.Expired)
	c.Check(core.Expire(epoch), qt.HasLen, 0)
	c.Check(core.Expire(epoch.Add(2*time.Second)), qt.HasLen, 1)
}
