package measure

import (
	"math/rand/v2"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// plain is a baseline entry: first come, first served, without refusals. A
// bounded one keeps to its part of each engine's slots and queues the rest; an
// unbounded one sends at once and lets the engines queue.
type plain struct {
	sim     *sim
	choose  func(p *plain) int
	bounded bool
	own     []int
	next    int
	line    []*job
	random  *rand.Rand
}

func newPlain(bounded bool, choose func(p *plain) int) func(s *sim, index int) front {
	return func(s *sim, index int) front {
		return &plain{
			sim: s, choose: choose, bounded: bounded, next: index,
			own: make([]int, len(s.engines)), random: randomFor(9, uint64(index)),
		}
	}
}

func roundRobin(p *plain) int {
	p.next = (p.next + 1) % len(p.own)
	return p.next
}

func leastConnections(p *plain) int {
	offset := p.random.IntN(len(p.own))
	best := offset
	for i := range p.own {
		k := (i + offset) % len(p.own)
		if p.own[k] < p.own[best] {
			best = k
		}
	}
	return best
}

func fifo(p *plain) int { return leastConnections(p) }

// baselines are the plain ways that each measure is compared with.
func baselines() []policy {
	return []policy{
		{"fifo", newPlain(true, fifo)},
		{"round_robin", newPlain(false, roundRobin)},
		{"least_connections", newPlain(false, leastConnections)},
	}
}

// policy names one kind of entry.
type policy struct {
	name     string
	newFront func(s *sim, index int) front
}

func (p *plain) servers([]fleet.Server) {}

func (p *plain) arrive(j *job) {
	p.line = append(p.line, j)
	p.serve()
}

func (p *plain) serve() {
	for len(p.line) > 0 {
		k := p.choose(p)
		if p.bounded && p.own[k] >= engineSlots/entries {
			return
		}
		j := p.line[0]
		p.line = p.line[1:]
		a := &attempt{job: j, front: p, engine: p.sim.engines[k], sent: p.sim.now}
		j.attempts = append(j.attempts, a)
		p.own[k]++
		p.sim.after(oneWay, func() { a.engine.submit(a) })
	}
}

func (p *plain) token(a *attempt) {
	if a.job.first.IsZero() {
		a.job.first = p.sim.now.Add(oneWay)
	}
}

func (p *plain) whole(a *attempt) {
	a.job.done = p.sim.now.Add(oneWay)
	p.ended(a)
}

func (p *plain) ended(a *attempt) {
	p.own[slices.Index(p.sim.engines, a.engine)]--
	p.serve()
}

func (p *plain) giveUp(j *job) {
	p.line = slices.DeleteFunc(p.line, func(x *job) bool { return x == j })
	for _, a := range j.attempts {
		if !a.ended {
			a.engine.remove(a)
			p.ended(a)
		}
	}
}
