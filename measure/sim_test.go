package measure

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const (
	entries       = 8
	reportEvery   = 500 * time.Millisecond
	reportLag     = 300 * time.Millisecond
	oneWay        = time.Millisecond
	defaultSeed   = 1
	modelName     = "assistant"
	drainAtTheEnd = 60 * time.Second
)

// job is one request of the workload.
type job struct {
	class          *table.Class
	caller         string
	prompt, output int
	prefix         []uint64
	arrived        time.Time
	deadline       time.Time
	first, done    time.Time
	refused        time.Time
	attempts       []*attempt
}

func (j *job) good() bool { return !j.done.IsZero() && !j.done.After(j.deadline) }

// admitted reports whether the job was neither refused nor left in line.
func (j *job) admitted() bool { return len(j.attempts) > 0 }

// front is one entry: it takes jobs and hears of its attempts.
type front interface {
	arrive(j *job)
	token(a *attempt)
	whole(a *attempt)
	giveUp(j *job)
	servers(reported []fleet.Server)
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(a, b int) bool {
	if !h[a].at.Equal(h[b].at) {
		return h[a].at.Before(h[b].at)
	}
	return h[a].seq < h[b].seq
}
func (h events) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// sim runs one fleet, its entries and one workload on virtual time.
type sim struct {
	now     time.Time
	start   time.Time
	seq     int
	events  events
	engines []*engine
	fronts  []front
	classes []table.Class
	jobs    []*job
}

func newSim(d deployment, newFront func(s *sim, index int) front) *sim {
	s := &sim{now: time.Unix(1_700_000_000, 0), classes: d.classes}
	s.start = s.now
	for i := range d.engines {
		e := &engine{sim: s, slow: 1, cached: map[uint64]*list.Element{}, recent: list.New()}
		e.server = fleet.Server{
			ID: fmt.Sprintf("engine-%02d", i), Targets: []string{modelName}, Slots: engineSlots,
			FailureDomain: fmt.Sprintf("fd-%d", i%d.domains), CacheTokens: cacheTokens, Incarnation: 1,
		}
		s.engines = append(s.engines, e)
	}
	for i := range entries {
		s.fronts = append(s.fronts, newFront(s, i))
	}
	s.report()
	return s
}

func (s *sim) at(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// report reads every engine's load now and delivers it to the entries later.
func (s *sim) report() {
	servers := make([]fleet.Server, len(s.engines))
	for i, e := range s.engines {
		servers[i] = e.server
		servers[i].Load = fleet.Load{
			Running: len(e.running), Waiting: len(e.queue),
			CacheUsed:   float64(e.recent.Len()) * blockTokens / cacheTokens,
			AnnouncedAt: s.now.Add(reportLag),
		}
	}
	deliver := func() {
		for _, f := range s.fronts {
			f.servers(servers)
		}
	}
	if s.seq == 0 {
		deliver()
	}
	s.after(reportLag, deliver)
	s.after(reportEvery, s.report)
}

// offer schedules a job's arrival at an entry and the caller's patience.
func (s *sim) offer(j *job, entry int) {
	s.jobs = append(s.jobs, j)
	f := s.fronts[entry]
	s.at(j.arrived, func() { f.arrive(j) })
	s.at(j.deadline, func() {
		if j.done.IsZero() && j.refused.IsZero() {
			f.giveUp(j)
		}
	})
}

func (s *sim) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func randomFor(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
