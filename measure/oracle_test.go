package measure

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// central is one line for the whole fleet that knows every engine's free slots
// and every job's true length at once. It stands for the fleet's capacity.
type central struct {
	sim  *sim
	line []*job
}

func newCentral() func(s *sim, index int) front {
	var shared *central
	return func(s *sim, index int) front {
		if shared == nil || shared.sim != s {
			shared = &central{sim: s}
		}
		return shared
	}
}

func (c *central) servers([]fleet.Server) {}
func (c *central) token(a *attempt) {
	if a.job.first.IsZero() {
		a.job.first = c.sim.now
	}
}

func (c *central) arrive(j *job) {
	c.line = append(c.line, j)
	c.serve()
}

func (c *central) serve() {
	for len(c.line) > 0 {
		e := c.emptiest()
		if len(e.running)+len(e.queue) >= engineSlots {
			return
		}
		j := c.line[0]
		c.line = c.line[1:]
		service := time.Duration(j.output)*fullBatchStep + 2*time.Duration(j.prompt)*stepPrompt
		if c.sim.now.Add(service).After(j.deadline) {
			j.refused = c.sim.now
			continue
		}
		a := &attempt{job: j, front: c, engine: e, sent: c.sim.now}
		j.attempts = append(j.attempts, a)
		e.submit(a)
	}
}

func (c *central) emptiest() *engine {
	best := c.sim.engines[0]
	for _, e := range c.sim.engines {
		if len(e.running)+len(e.queue) < len(best.running)+len(best.queue) {
			best = e
		}
	}
	return best
}

func (c *central) whole(a *attempt) {
	a.job.done = c.sim.now
	c.serve()
}

func (c *central) giveUp(j *job) {
	for _, a := range j.attempts {
		if !a.ended {
			a.engine.remove(a)
		}
	}
	c.serve()
}
