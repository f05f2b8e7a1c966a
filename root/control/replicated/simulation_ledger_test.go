package replicated_test

import (
	"fmt"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// attempt is one attempt as the process that made it knows it.
type attempt struct {
	id  string
	key ledger.Key
	// vm and incarnation identify the process that makes the attempt.
	vm          string
	incarnation uint64
	// started is set once the process has permission to send.
	started bool
	sent    bool
	// cancelled is set once the process will never send, notRun once the ledger has
	// confirmed that the work has not run.
	cancelled, notRun bool
	// rejected is set once the process was told that another attempt is open.
	rejected bool
	body     string
}

// workModel models processes that begin, send, finish and cancel work, and crash.
type workModel struct {
	attempts []*attempt
	keys     []ledger.Key
	// vms holds the incarnation of the newest process of each VM.
	vms map[string]uint64
	// responses holds the recorded response body of each key.
	responses map[ledger.Key]string
}

const vmCount = 3

func (m *workModel) init() {
	m.vms = make(map[string]uint64)
	m.responses = make(map[ledger.Key]string)
	for i := range vmCount {
		m.vms[vmName(i)] = 1
	}
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i%vmCount) }

// key returns a recent key or a new UUIDv7 with the current time.
func (sim *simulation) key(s step) ledger.Key {
	if n := len(sim.work.keys); n > 0 && s.a%8 != 0 {
		return sim.work.keys[n-1-s.b%min(n, 3)]
	}
	id := fmt.Sprintf("%08x-%04x-7000-8000-%012x", sim.clock>>16, sim.clock&0xffff, len(sim.work.keys))
	k := ledger.Key{Caller: "caller", ID: id}
	sim.work.keys = append(sim.work.keys, k)
	return k
}

func (sim *simulation) begin(s step) {
	vm := vmName(s.c / 4)
	a := &attempt{
		id:          fmt.Sprintf("attempt-%d", len(sim.work.attempts)),
		key:         sim.key(s),
		vm:          vm,
		incarnation: sim.work.vms[vm],
	}
	sim.work.attempts = append(sim.work.attempts, a)
	b := ledger.Begin{Key: a.key, Attempt: a.id, Entry: vm, Incarnation: a.incarnation}
	b.RequestDigest = ledger.DigestOf([]byte(a.key.ID))
	// Some attempts have a generated key, and some reuse a key for another request.
	if s.a%16 == 2 {
		a.key.ID = "generated " + a.id
		b.Key, b.GeneratedKey = a.key, true
	}
	if s.a%16 == 1 {
		b.RequestDigest = ledger.DigestOf([]byte("another request"))
	}
	sim.propose(s, replicated.BeginWork{Begin: b}, func(r replicated.Result) { sim.handleBegin(a, r) })
}

func kindOf(r replicated.Result) ledger.OutcomeKind {
	if r.Work == nil {
		return ledger.Refused
	}
	return r.Work.Kind
}

func (sim *simulation) handleBegin(a *attempt, r replicated.Result) {
	switch kindOf(r) {
	case ledger.Started:
		sim.checkStart(a)
	case ledger.InProgress:
		a.rejected = true
	case ledger.Recorded:
		if want, ok := sim.work.responses[a.key]; !ok || want != string(r.Work.Response.Body) {
			sim.fail("key %s was answered %q, not %q", a.key.ID, r.Work.Response.Body, want)
		}
	case ledger.Unreplayable:
		if sim.senders(a.key, nil) == 0 {
			sim.fail("key %s is reported to have run, but no attempt could send", a.key.ID)
		}
	case ledger.NotRun:
		if !a.cancelled {
			sim.fail("%s is reported as cancelled, but its process has not cancelled it", a.id)
		}
	}
	if r.Err != nil && r.Err.Ran == fault.RanNo && a.sent {
		sim.fail("%s was sent but is reported not to have run: %v", a.id, r.Err)
	}
}

func (sim *simulation) checkStart(a *attempt) {
	if a.notRun {
		sim.fail("%s may send after it was reported not to run", a.id)
	}
	if a.rejected {
		sim.fail("%s was started after it was rejected", a.id)
	}
	if sim.senders(a.key, a) > 0 {
		sim.fail("%s may send, and so may another attempt of its key", a.id)
	}
	a.started = true
}

// senders counts the attempts of a key, apart from one, that have sent or still may.
func (sim *simulation) senders(k ledger.Key, except *attempt) int {
	n := 0
	for _, a := range sim.work.attempts {
		if a != except && a.key == k && a.started && !a.notRun {
			n++
		}
	}
	return n
}

// pickAttempt returns a recent attempt whose process is alive, or nil.
func (sim *simulation) pickAttempt(s step) *attempt {
	if len(sim.work.attempts) == 0 {
		return nil
	}
	a := sim.work.attempts[len(sim.work.attempts)-1-s.a%min(len(sim.work.attempts), 5)]
	if sim.work.vms[a.vm] != a.incarnation {
		return nil
	}
	return a
}

func (sim *simulation) send(s step) {
	if a := sim.pickAttempt(s); a != nil && a.started && !a.cancelled {
		a.sent = true
		a.body = "answer of " + a.id
	}
}

func (sim *simulation) finish(s step) {
	a := sim.pickAttempt(s)
	if a == nil || !a.sent {
		return
	}
	f := ledger.Finish{Key: a.key, Attempt: a.id, Unknown: s.b%8 == 0}
	f.Response = ledger.Response{Status: 200, Body: []byte(a.body)}
	sim.propose(s, replicated.FinishWork{Finish: f}, func(r replicated.Result) {
		if kindOf(r) == ledger.Recorded {
			if string(r.Work.Response.Body) != a.body {
				sim.fail("%s was recorded with the response %q", a.id, r.Work.Response.Body)
			}
			sim.work.responses[a.key] = a.body
		}
	})
}

// cancel cancels an attempt. Once the ledger confirms it, the process tells its
// caller that the work has not run.
func (sim *simulation) cancel(s step) {
	a := sim.pickAttempt(s)
	if a == nil || a.sent {
		return
	}
	a.cancelled = true
	c := ledger.Cancel{Key: a.key, Attempt: a.id}
	sim.propose(s, replicated.CancelWork{Cancel: c}, func(r replicated.Result) {
		if kindOf(r) == ledger.NotRun {
			a.notRun = true
		}
	})
}

// crash kills the process of a VM, which starts a new one at once.
func (sim *simulation) crash(s step) {
	sim.work.vms[vmName(s.a)]++
}

func (sim *simulation) abandon(s step) {
	vm := vmName(s.a)
	if newest := sim.work.vms[vm]; newest > 1 {
		sim.propose(s, replicated.AbandonWork{Abandon: ledger.Abandon{Entry: vm, Incarnation: newest - 1}}, nil)
	}
}
