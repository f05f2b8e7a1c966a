package measure

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
)

const (
	// askEvery is the number of tokens between questions whether to move.
	askEvery = 4
	// maxAttempts bounds the places that one request takes.
	maxAttempts = 3
)

// ours is an entry that decides by the system's own code.
type ours struct {
	sim    *sim
	state  *dispatch.State
	table  table.Table
	seq    uint64
	line   map[uint64]*job
	wakeAt time.Time
	hedges int
}

func newOurs(seed uint64) func(s *sim, index int) front {
	return func(s *sim, index int) front {
		return &ours{
			sim: s, state: dispatch.NewState("", entries, seed*entries*10+uint64(index)),
			table: table.Table{Version: 1, Classes: s.classes}, line: map[uint64]*job{},
		}
	}
}

func (o *ours) servers(reported []fleet.Server) {
	o.publish(reported)
	o.serve()
}

func (o *ours) publish(reported []fleet.Server) {
	o.seq++
	o.state.SetView(&view.View{
		Term: 1, Seq: o.seq, Table: o.table, Servers: reported,
		LeaseUntil: o.sim.now.Add(time.Hour),
	})
}

func (o *ours) arrive(j *job) {
	if id, ok := o.enter(j, nil); ok {
		o.serve()
		if _, ok := o.state.ApplyQueueLimit(o.sim.now, id); !ok {
			delete(o.line, id)
			j.refused = o.sim.now
		}
	}
}

func (o *ours) enter(j *job, exclude []string) (uint64, bool) {
	id, err := o.state.Enqueue(o.sim.now, dispatch.Request{
		Class: j.class.Name, Caller: j.caller, Target: modelName,
		PromptTokens: j.prompt, Prefix: j.prefix,
		Arrived: j.arrived, Deadline: j.deadline, Exclude: exclude,
	})
	if err != nil {
		if exclude == nil {
			j.refused = o.sim.now
		}
		return 0, false
	}
	o.line[id] = j
	return id, true
}

// serve sends what was granted and arms the next wake-up.
func (o *ours) serve() {
	grants, refused := o.state.Dispatch(o.sim.now)
	for _, g := range grants {
		o.send(g)
	}
	for _, r := range refused {
		if j := o.line[r.ID]; !j.admitted() {
			j.refused = o.sim.now
		}
		delete(o.line, r.ID)
	}
	if at, ok := o.state.NextWake(); ok && !at.Equal(o.wakeAt) {
		o.wakeAt = at
		o.sim.at(at.Add(time.Millisecond), o.serve)
	}
}

func (o *ours) send(g dispatch.Grant) {
	j := o.line[g.ID]
	delete(o.line, g.ID)
	a := &attempt{job: j, goal: j.output, front: o, ticket: g.ID, sent: o.sim.now}
	a.engine = o.sim.engine(g.Server.ID)
	for _, earlier := range j.attempts {
		a.resumed = max(a.resumed, earlier.produced)
	}
	a.produced = a.resumed
	j.attempts = append(j.attempts, a)
	o.sim.after(oneWay, func() { a.engine.submit(a) })
	if wait := g.HedgeAfter(); wait > 0 {
		o.sim.after(wait, func() { o.hedge(a) })
	}
}

// hedge makes a second attempt for a job still without its first token.
func (o *ours) hedge(a *attempt) {
	j := a.job
	if a.ended || a.produced > 0 || len(j.attempts) > 1 || !o.state.TakeRetry() {
		return
	}
	o.again(a)
}

// again asks for a second place, from which the answer goes on.
func (o *ours) again(a *attempt) {
	j := a.job
	o.hedges++
	if _, ok := o.enter(j, []string{a.engine.server.ID}); ok {
		o.serve()
	}
}

func (o *ours) token(a *attempt) {
	if a.job.first.IsZero() {
		a.job.first = o.sim.now.Add(oneWay)
	}
	if a.produced == a.resumed+1 {
		o.dropOthers(a)
	}
	o.state.ObserveTokens(o.sim.now, a.ticket, 1)
	if a.produced%askEvery == 0 && len(a.job.attempts) < maxAttempts && o.state.Slow(o.sim.now, a.ticket) && o.state.TakeRetry() {
		o.again(a)
	}
}

// dropOthers cancels the attempts that lost, and a hedge still in line.
func (o *ours) dropOthers(winner *attempt) {
	for id, j := range o.line {
		if j == winner.job {
			o.state.Cancel(id)
			delete(o.line, id)
		}
	}
	for _, a := range winner.job.attempts {
		if a != winner && !a.ended {
			o.cancel(a)
		}
	}
}

func (o *ours) cancel(a *attempt) {
	a.engine.remove(a)
	o.state.Done(o.sim.now, a.ticket, dispatch.Cancelled)
}

func (o *ours) whole(a *attempt) {
	a.job.done = o.sim.now.Add(oneWay)
	o.state.Done(o.sim.now, a.ticket, dispatch.Succeeded)
	o.serve()
}

func (o *ours) giveUp(j *job) {
	o.dropOthers(&attempt{job: j})
	o.serve()
}

func (s *sim) engine(id string) *engine {
	for _, e := range s.engines {
		if e.server.ID == id {
			return e
		}
	}
	return nil
}
