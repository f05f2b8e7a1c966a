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

func even(share float64) func(string) (float64, bool) {
	return func(string) (float64, bool) { return share, true }
}

// machine drives a core and tracks how each item ended.
type machine struct {
	core    *admission.Core
	classes []table.Class
	now     time.Time
	next    uint64
	items   map[uint64]admission.Item
	// state is "waiting" or "running"; an ended item is deleted.
	state map[uint64]string
}

// newMachine applies the classes with the given share; the invariants are
// checked against the whole limits.
func newMachine(share float64) *machine {
	m := &machine{core: admission.NewCore(), now: epoch, items: map[uint64]admission.Item{}, state: map[uint64]string{}}
	m.classes = []table.Class{
		{Name: "a", Priority: 1, Weight: 2, Concurrency: 3, Queue: 6, Tokens: 500},
		{Name: "b", Priority: 1, Weight: 1, Concurrency: 2, Queue: 4, RatePerSecond: 5},
		{Name: "c", Priority: 2, Weight: 1, Queue: 5},
	}
	m.core.SetClasses(m.classes, even(share))
	return m
}

// step makes one random move and returns the first broken invariant.
func (m *machine) step(r *rand.Rand) error {
	m.now = m.now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
	switch r.IntN(6) {
	case 0, 1:
		return m.arrive(r)
	case 2:
		m.each("waiting", func(id uint64) bool {
			delete(m.state, id)
			return m.core.Cancel(id, m.items[id].Class)
		})
	case 3:
		m.each("running", func(id uint64) bool {
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

// each applies end to the lowest id in the given state.
func (m *machine) each(state string, end func(id uint64) bool) {
	for id := uint64(0); id <= m.next; id++ {
		if m.state[id] == state {
			end(id)
			return
		}
	}
}

func (m *machine) arrive(r *rand.Rand) error {
	m.next++
	it := admission.Item{ID: m.next, Class: m.classes[r.IntN(3)].Name, Tokens: 1 + r.IntN(300), Arrived: m.now}
	it.Cost = float64(it.Tokens)
	if r.IntN(2) == 0 {
		it.Deadline = m.now.Add(time.Duration(r.IntN(5000)) * time.Millisecond)
		it.Service = time.Duration(r.IntN(1000)) * time.Millisecond
	}
	if _, ok := m.core.Arrive(m.now, it); !ok {
		return nil
	}
	m.items[it.ID], m.state[it.ID] = it, "waiting"
	if err := m.grantAll(r); err != nil {
		return err
	}
	if _, over := m.core.Overfull(m.now, it.ID, it.Class); over {
		delete(m.state, it.ID)
	}
	return nil
}

func (m *machine) grantAll(r *rand.Rand) error {
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

// check compares what runs and waits with the limits and with the core.
func (m *machine) check() error {
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
			return fmt.Errorf("class %s: core has %+v, items say %d and %d", load.Class, load, running[load.Class], waiting[load.Class])
		}
	}
	for _, c := range m.classes {
		if c.Concurrency > 0 && running[c.Name] > c.Concurrency {
			return fmt.Errorf("class %s runs %d", c.Name, running[c.Name])
		}
		if c.Tokens > 0 && tokens[c.Name] > c.Tokens && running[c.Name] > 1 {
			return fmt.Errorf("class %s runs %d tokens", c.Name, tokens[c.Name])
		}
		if waiting[c.Name] > c.Queue+1 {
			return fmt.Errorf("class %s has %d waiting", c.Name, waiting[c.Name])
		}
	}
	return nil
}

func run(m *machine, seed uint64, steps int) error {
	r := rand.New(rand.NewPCG(seed, 0))
	for range steps {
		if err := m.step(r); err != nil {
			return err
		}
	}
	return nil
}

func TestLimitsHoldAndEachItemEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(newMachine(1), rapid.Uint64().Draw(t, "seed"), 300); err != nil {
			t.Fatal(err)
		}
	})
}

// A core that is given twice its share must be caught by the same check.
func TestTwiceTheShareIsCaught(t *testing.T) {
	for seed := range uint64(20) {
		if run(newMachine(2), seed, 300) != nil {
			return
		}
	}
	t.Fatal("the check does not find a core that runs more than its limits")
}

func TestSharesFollowWeightsUnderSaturation(t *testing.T) {
	c := qt.New(t)
	core := admission.NewCore()
	classes := []table.Class{
		{Name: "a", Priority: 1, Weight: 5, Queue: 1000},
		{Name: "b", Priority: 1, Weight: 3, Queue: 1000},
		{Name: "c", Priority: 1, Weight: 2, Queue: 1000},
		{Name: "later", Priority: 2, Weight: 9, Queue: 1000},
	}
	core.SetClasses(classes, even(1))
	r := rand.New(rand.NewPCG(3, 3))
	means := map[string]float64{"a": 500, "b": 50, "c": 150, "later": 10}
	served, id := map[string]float64{}, uint64(0)
	for range 20 {
		for _, class := range classes[:3] {
			id++
			core.Arrive(epoch, admission.Item{ID: id, Class: class.Name, Cost: means[class.Name]})
		}
	}
	var running []admission.Item
	for step := range 20000 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, class := range classes {
			id++
			core.Arrive(now, admission.Item{ID: id, Class: class.Name, Cost: means[class.Name]})
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

func TestSplitAddsUpAndLeavesRoomToBegin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 200).Draw(t, "limit")
		entries := make([]admission.EntryDemand, rapid.IntRange(1, 10).Draw(t, "entries"))
		for i := range entries {
			entries[i] = admission.EntryDemand{Entry: fmt.Sprint(i), Waiting: rapid.IntRange(0, 50).Draw(t, "waiting")}
		}
		shares, sum := admission.Split(limit, entries), 0.0
		for _, share := range shares {
			sum += share
			if whole := share * float64(limit); math.Abs(whole-math.Round(whole)) > 1e-6 {
				t.Fatalf("share %v of %d is not whole", share, limit)
			}
			if limit >= len(entries) && share <= 0 {
				t.Fatalf("an entry got nothing of %d", limit)
			}
		}
		if sum > 1+1e-9 || limit >= 1 && sum < 1-1e-9 {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

func ExampleCore() {
	core := admission.NewCore()
	classes := []table.Class{{Name: "question", Weight: 1, Concurrency: 1, Queue: 10}}
	core.SetClasses(classes, func(string) (float64, bool) { return 1, true })
	for id := range uint64(2) {
		core.Arrive(epoch, admission.Item{ID: id, Class: "question", Cost: 50})
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

func TestAWrongPredictionIsTriedNowAndThen(t *testing.T) {
	c := qt.New(t)
	core := admission.NewCore()
	core.SetClasses([]table.Class{{Name: "a", Weight: 1, Queue: 10}}, even(1))
	item := func(id uint64) admission.Item {
		return admission.Item{ID: id, Class: "a", Cost: 1, Arrived: epoch, Deadline: epoch.Add(time.Second), Service: time.Minute}
	}
	_, ok := core.Arrive(epoch, item(1))
	c.Assert(ok, qt.IsTrue)
	refusal, ok := core.Arrive(epoch, item(2))
	c.Assert(ok, qt.IsFalse)
	c.Check(refusal.Reason, qt.Equals, admission.Expired)
	c.Check(core.Expire(epoch), qt.HasLen, 0)
	c.Check(core.Expire(epoch.Add(2*time.Second)), qt.HasLen, 1)
}
