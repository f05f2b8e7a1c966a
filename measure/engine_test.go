package measure

import (
	"container/list"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// The stand-in engine's step time: a base, a part per stream and a part per
// prompt token read in the step.
const (
	stepBase      = 16 * time.Millisecond
	stepStream    = 400 * time.Microsecond
	stepPrompt    = 40 * time.Microsecond
	chunkTokens   = 512
	engineSlots   = 16
	cacheTokens   = 262144
	blockTokens   = 2048
	mixedPenalty  = 1.4
	fullBatchStep = stepBase + engineSlots*stepStream
)

// engineTime is a job's share of a full engine's time.
func engineTime(j *job) time.Duration {
	return time.Duration(j.prompt)*stepPrompt + time.Duration(j.output)*fullBatchStep/engineSlots
}

// attempt is a job on one engine.
type attempt struct {
	job    *job
	front  front
	ticket uint64
	engine *engine
	// unread is the prompt left to read, below zero when its KV cache is
	// imported; produced counts the tokens generated.
	unread, produced int
	// resumed is the number of tokens that an earlier attempt had produced.
	resumed int
	// goal is the number of tokens to produce.
	goal  int
	sent  time.Time
	ended bool
}

// engine is a continuously batching stand-in with a bounded prefix cache.
type engine struct {
	sim    *sim
	server fleet.Server
	slow   float64
	// roles says that the run compares roles, so that mixed work has its cost.
	roles   bool
	running []*attempt
	queue   []*attempt
	busy    bool
	cached  map[uint64]*list.Element
	recent  *list.List
}

func (e *engine) submit(a *attempt) {
	if a.ended {
		return
	}
	e.queue = append(e.queue, a)
	slices.SortStableFunc(e.queue, func(x, y *attempt) int { return x.job.class.Priority - y.job.class.Priority })
	e.kick()
}

func (e *engine) kick() {
	if !e.busy {
		e.step()
	}
}

// step starts one batch step and schedules its end.
func (e *engine) step() {
	for len(e.queue) > 0 && len(e.running) < engineSlots {
		e.admit(e.queue[0])
		e.queue = e.queue[1:]
	}
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	read := e.readPrompts()
	decoding := slices.Clone(e.running)
	decoding = slices.DeleteFunc(decoding, func(a *attempt) bool { return a.unread > 0 })
	took := stepBase + time.Duration(len(e.running))*stepStream + time.Duration(read)*stepPrompt
	e.sim.after(time.Duration(float64(took)*e.slow*e.penalty()), func() { e.finish(decoding) })
}

func (e *engine) admit(a *attempt) {
	e.running = append(e.running, a)
	if a.unread < 0 {
		a.unread = 0
		return
	}
	a.unread = max(1, a.job.prompt+a.resumed-blockTokens*e.hits(a.job.prefix))
	e.remember(a.job.prefix)
}

// chunk is the prompt budget of a step; an engine that only reads prompts reads
// more at once.
func (e *engine) chunk() int {
	if e.server.Role == fleet.Prefill {
		return 8 * chunkTokens
	}
	return chunkTokens
}

// penalty is the cost of doing both kinds of work, where roles are in use.
func (e *engine) penalty() float64 {
	if e.roles && e.server.Role == fleet.Mixed {
		return mixedPenalty
	}
	return 1
}

// readPrompts spends the step's prompt budget, the shortest prompts first.
func (e *engine) readPrompts() int {
	reading := slices.DeleteFunc(slices.Clone(e.running), func(a *attempt) bool { return a.unread == 0 })
	slices.SortStableFunc(reading, func(x, y *attempt) int { return x.unread - y.unread })
	budget := e.chunk()
	left := budget
	for _, a := range reading {
		n := min(left, a.unread)
		a.unread -= n
		left -= n
	}
	return budget - left
}

// finish gives each decoding stream its token and starts the next step.
func (e *engine) finish(decoding []*attempt) {
	for _, a := range decoding {
		if a.ended {
			continue
		}
		a.produced++
		a.front.token(a)
		if !a.ended && a.produced >= a.goal {
			e.remove(a)
			a.front.whole(a)
		}
	}
	e.step()
}

// remove ends an attempt; a cancelled one leaves its slot at the next step.
func (e *engine) remove(a *attempt) {
	a.ended = true
	same := func(x *attempt) bool { return x == a }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
}

func (e *engine) hits(prefix []uint64) int {
	n := 0
	for n < len(prefix) && e.cached[prefix[n]] != nil {
		n++
	}
	return n
}

func (e *engine) remember(prefix []uint64) {
	for _, h := range prefix {
		if el := e.cached[h]; el != nil {
			e.recent.MoveToFront(el)
			continue
		}
		e.cached[h] = e.recent.PushFront(h)
	}
	for e.recent.Len() > cacheTokens/blockTokens {
		old := e.recent.Back()
		delete(e.cached, old.Value.(uint64))
		e.recent.Remove(old)
	}
}
