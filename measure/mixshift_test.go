package measure

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/roles"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

const (
	phaseLength  = 60 * time.Second
	phases       = 4
	mixLoad      = 0.8
	changeTime   = 3 * time.Second
	transferTime = 20 * time.Millisecond
	planEvery    = time.Second
	// demandWindow is the time over which the offered mix is averaged.
	demandWindow = 5 * time.Second
)

// mixes are the prompt and output lengths between which the demand shifts.
var mixes = [2]shape{{prompt: 6000, output: 150}, {prompt: 1000, output: 400}}

// engineCapacity is what one stand-in engine does in each role.
func engineCapacity() roles.Capacity {
	read := 8 * chunkTokens * stepPrompt
	return roles.Capacity{
		Prefill:       8 * chunkTokens / (stepBase + 4*stepStream + read).Seconds(),
		Decode:        engineSlots / fullBatchStep.Seconds(),
		MixedFraction: 1 / mixedPenalty,
	}
}

// bestSplit returns the number of prefill engines that serves the most of a mix
// and the requests a second that it serves.
func bestSplit(n int, m shape) (prefill int, rate float64) {
	c := engineCapacity()
	for k := 1; k < n; k++ {
		served := math.Min(float64(k)*c.Prefill/m.prompt, float64(n-k)*c.Decode/m.output)
		if served > rate {
			prefill, rate = k, served
		}
	}
	return prefill, rate
}

// staged is an entry of the system's own code that sends the two stages of a
// request to engines by role.
type staged struct {
	ours
	stage map[uint64]scheduling.Stage
}

func newStaged(s *sim, index int) front {
	f := &staged{stage: map[uint64]scheduling.Stage{}}
	f.ours = ours{
		sim: s, state: dispatch.NewState("", entries, uint64(entries*10+index)),
		table: table.Table{Version: 1, Classes: s.classes}, line: map[uint64]*job{},
	}
	return f
}

func (f *staged) servers(reported []fleet.Server) {
	f.ours.publish(reported)
	f.serve()
}

func (f *staged) arrive(j *job) {
	stage := scheduling.Whole
	for _, e := range f.sim.engines {
		if e.server.Role == fleet.Prefill {
			stage = scheduling.Prefill
		}
	}
	f.enter(j, stage)
}

func (f *staged) enter(j *job, stage scheduling.Stage) {
	id, err := f.state.Enqueue(f.sim.now, dispatch.Request{
		Class: j.class.Name, Caller: j.caller, Target: modelName, Stage: stage,
		PromptTokens: j.prompt, Arrived: j.arrived, Deadline: j.deadline,
	})
	if err != nil {
		j.refused = f.sim.now
		return
	}
	f.line[id], f.stage[id] = j, stage
	f.serve()
}

func (f *staged) serve() {
	grants, refused := f.state.Dispatch(f.sim.now)
	for _, g := range grants {
		j := f.line[g.ID]
		delete(f.line, g.ID)
		a := &attempt{job: j, front: f, ticket: g.ID, goal: j.output, sent: f.sim.now}
		a.engine = f.sim.engine(g.Server.ID)
		switch f.stage[g.ID] {
		case scheduling.Prefill:
			a.goal = 1
		case scheduling.Decode:
			a.produced, a.resumed, a.unread = 1, 1, -1
		}
		j.attempts = append(j.attempts, a)
		f.sim.after(oneWay, func() { a.engine.submit(a) })
	}
	for _, r := range refused {
		f.line[r.ID].refused = f.sim.now
		delete(f.line, r.ID)
	}
}

func (f *staged) token(a *attempt) {
	if a.job.first.IsZero() {
		a.job.first = f.sim.now
	}
	f.state.ObserveTokens(f.sim.now, a.ticket, 1)
}

func (f *staged) whole(a *attempt) {
	f.state.Done(f.sim.now, a.ticket, dispatch.Succeeded)
	if f.stage[a.ticket] == scheduling.Prefill {
		f.sim.after(transferTime, func() { f.enter(a.job, scheduling.Decode) })
	} else {
		a.job.done = f.sim.now.Add(oneWay)
	}
	f.serve()
}

func (f *staged) giveUp(j *job) {
	f.dropOthers(&attempt{job: j})
	f.serve()
}

// rolePlanner decides the roles in a run; it is asked once a second.
type rolePlanner interface {
	plan(r *roleRun)
}

// roleRun is a run whose engines change roles.
type roleRun struct {
	*sim
	changes  int
	changing map[*engine]bool
	since    map[*engine]time.Time
}

// change drains an engine, takes it away for the change and returns it.
func (r *roleRun) change(e *engine, to fleet.Role) {
	r.changes++
	r.changing[e] = true
	e.server.State = fleet.Draining
	var wait func()
	wait = func() {
		if len(e.running)+len(e.queue) > 0 {
			r.after(50*time.Millisecond, wait)
			return
		}
		r.after(changeTime, func() {
			e.server.Role, e.server.State = to, fleet.Active
			e.server.Incarnation++
			r.changing[e], r.since[e] = false, r.now
		})
	}
	r.after(reportLag+reportEvery, wait)
}

// fixed keeps a split: the first k engines prefill, the rest decode; k of 0
// keeps every engine mixed.
type fixed int

func (k fixed) plan(*roleRun) {}

func split(s *sim, k int) {
	for i, e := range s.engines {
		switch {
		case k == 0:
			e.server.Role = fleet.Mixed
		case i < k:
			e.server.Role = fleet.Prefill
		default:
			e.server.Role = fleet.Decode
		}
	}
}

// oracle knows each mix in advance and changes roles at once and for nothing.
type oracle struct{}

func (oracle) plan(r *roleRun) {
	phase := int(r.now.Sub(r.start)/phaseLength) % 2
	k, _ := bestSplit(len(r.engines), mixes[phase])
	split(r.sim, k)
}

// planned is the system's role planner, given the demand of the last seconds.
type planned struct{}

func (planned) plan(r *roleRun) {
	demand := roles.Demand{}
	for _, j := range r.jobs {
		if age := r.now.Sub(j.arrived); age >= 0 && age < demandWindow {
			demand.Prefill += float64(j.prompt) / demandWindow.Seconds()
			demand.Decode += float64(j.output) / demandWindow.Seconds()
		}
	}
	var engines []roles.Engine
	for _, e := range r.engines {
		engines = append(engines, roles.Engine{
			ID: e.server.ID, Role: e.server.Role, Changing: r.changing[e],
			TimeInRole: r.now.Sub(r.since[e]), Requests: len(e.running), Capacity: engineCapacity(),
		})
	}
	config := roles.Config{
		Horizon: phaseLength, ChangeTime: changeTime, DrainTimePerRequest: 100 * time.Millisecond,
		MinTimeInRole: 20 * time.Second, MinGainRatio: 1.1, Utilization: 0.95, MaxConcurrentChanges: len(engines) / 4,
	}
	for _, c := range roles.Plan(demand, engines, config) {
		r.change(r.engine(c.Engine), c.To)
	}
}

func runMix(d deployment, start int, p rolePlanner) (result, int) {
	d.classes = []table.Class{class("summary", 1, 1, 20*time.Second)}
	r := &roleRun{sim: newSim(d, newStaged), changing: map[*engine]bool{}, since: map[*engine]time.Time{}}
	for _, e := range r.engines {
		e.roles = true
	}
	split(r.sim, start)
	r.report()
	for phase := range phases {
		d.offerPhase(r.sim, phase)
	}
	for at := r.start; at.Before(r.start.Add(phases * phaseLength)); at = at.Add(planEvery) {
		r.at(at, func() { p.plan(r) })
	}
	r.runUntil(r.start.Add(phases*phaseLength + drainAtTheEnd))
	return sum(r.sim, window{10 * time.Second, phases * phaseLength}), r.changes
}

func (d *deployment) offerPhase(s *sim, phase int) {
	mix := mixes[phase%2]
	_, most := bestSplit(d.engines, mix)
	d.shapes = []shape{mix}
	r := randomFor(defaultSeed, uint64(phase)+500)
	start := s.start.Add(time.Duration(phase) * phaseLength)
	for at := time.Duration(0); at < phaseLength; {
		at += time.Duration(r.ExpFloat64() / (mixLoad * most) * float64(time.Second))
		j := d.draw(r, 0, start.Add(at))
		j.prefix = nil
		s.offer(j, r.IntN(entries))
	}
}

func BenchmarkMeasureMixShift(b *testing.B) {
	for _, d := range deployments() {
		best, _ := bestSplit(d.engines, mixes[0])
		other, _ := bestSplit(d.engines, mixes[1])
		ideal, _ := runMix(d, best, oracle{})
		net := (phases - 1) * int(math.Abs(float64(best-other)))
		report := func(name string, start int, p rolePlanner) {
			b.Run(fmt.Sprintf("%s/%s", d.name, name), func(b *testing.B) {
				var r result
				var changes int
				for range b.N {
					r, changes = runMix(d, start, p)
				}
				b.ReportMetric(r.tokens/ideal.tokens, "good-tok/oracle")
				b.ReportMetric(r.requests/ideal.requests, "good-req/oracle")
				b.ReportMetric(float64(changes)/float64(net), "changes/net-move")
				b.ReportMetric(0, "ns/op")
			})
		}
		report("ours", best, planned{})
		report("all_mixed", 0, fixed(0))
		for _, k := range []int{other, (best + other) / 2, best} {
			report(fmt.Sprintf("fixed_prefill=%d", k), k, fixed(k))
		}
	}
}
