package replicated_test

import (
	"fmt"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// attempt is one try of an entry, as the entry knows it.
type attempt struct {
	id          string
	key         ledger.Key
	entry       string
	incarnation uint64
	// started is set once the entry has been told that it may send.
	started bool
	sent    bool
	// gaveUp is set once the entry will never send; claimed once the ledger
	// confirmed that the work is not run.
	gaveUp, claimed bool
	// refused is set once the entry was told that another attempt is open.
	refused bool
	body    string
}

// workModel follows entries that begin, send, finish, cancel and die.
type workModel struct {
	attempts []*attempt
	keys     []ledger.Key
	vms      map[string]uint64
	// answers holds the body recorded per key.
	answers map[ledger.Key]string
}

const entryCount = 3

func (m *workModel) init() {
	m.vms = make(map[string]uint64)
	m.answers = make(map[ledger.Key]string)
	for i := range entryCount {
		m.vms[vmName(i)] = 1
	}
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i%entryCount) }

// key returns a recent key or makes a UUIDv7 of the present time.
func (w *world) key(s step) ledger.Key {
	if n := len(w.work.keys); n > 0 && s.a%8 != 0 {
		return w.work.keys[n-1-s.b%min(n, 3)]
	}
	id := fmt.Sprintf("%08x-%04x-7000-8000-%012x", w.clock>>16, w.clock&0xffff, len(w.work.keys))
	k := ledger.Key{Caller: "caller", ID: id}
	w.work.keys = append(w.work.keys, k)
	return k
}

func (w *world) begin(s step) {
	vm := vmName(s.c / 4)
	a := &attempt{
		id:          fmt.Sprintf("attempt-%d", len(w.work.attempts)),
		key:         w.key(s),
		entry:       vm,
		incarnation: w.work.vms[vm],
	}
	w.work.attempts = append(w.work.attempts, a)
	b := ledger.Begin{Key: a.key, Attempt: a.id, Entry: vm, Incarnation: a.incarnation}
	b.Digest = ledger.DigestOf([]byte(a.key.ID))
	if s.a%16 == 2 {
		a.key.ID = "private " + a.id
		b.Key, b.Private = a.key, true
	}
	if s.a%16 == 1 {
		b.Digest = ledger.DigestOf([]byte("another request"))
	}
	w.propose(s, replicated.BeginWork{Begin: b}, func(r replicated.Result) { w.began(a, r) })
}

func kindOf(r replicated.Result) ledger.OutcomeKind {
	if r.Work == nil {
		return ledger.Refused
	}
	return r.Work.Kind
}

func (w *world) began(a *attempt, r replicated.Result) {
	switch kindOf(r) {
	case ledger.Started:
		w.mayStart(a)
	case ledger.InProgress:
		a.refused = true
	case ledger.Recorded:
		if want, ok := w.work.answers[a.key]; !ok || want != string(r.Work.Answer.Body) {
			w.fail("key %s was answered %q, not %q", a.key.ID, r.Work.Answer.Body, want)
		}
	case ledger.Unreplayable:
		if w.senders(a.key, nil) == 0 {
			w.fail("key %s is said to have run", a.key.ID)
		}
	case ledger.NotRun:
		if !a.gaveUp {
			w.fail("%s is said to be cancelled", a.id)
		}
	}
	if r.Err != nil && r.Err.Ran == fault.RanNo && a.sent {
		w.fail("%s has sent and is said not to have run: %v", a.id, r.Err)
	}
}

func (w *world) mayStart(a *attempt) {
	if a.claimed {
		w.fail("%s may send after it was said not to run", a.id)
	}
	if a.refused {
		w.fail("%s is open after its entry was refused", a.id)
	}
	if w.senders(a.key, a) > 0 {
		w.fail("%s may send, and so may another attempt of its key", a.id)
	}
	a.started = true
}

// senders counts the other attempts of a key that have sent or still may.
func (w *world) senders(k ledger.Key, except *attempt) int {
	n := 0
	for _, a := range w.work.attempts {
		if a != except && a.key == k && a.started && !a.claimed {
			n++
		}
	}
	return n
}

// pick returns an attempt of a living process, or nil.
func (w *world) pick(s step) *attempt {
	if len(w.work.attempts) == 0 {
		return nil
	}
	a := w.work.attempts[len(w.work.attempts)-1-s.a%min(len(w.work.attempts), 5)]
	if w.work.vms[a.entry] != a.incarnation {
		return nil
	}
	return a
}

func (w *world) send(s step) {
	if a := w.pick(s); a != nil && a.started && !a.gaveUp {
		a.sent = true
		a.body = "answer of " + a.id
	}
}

func (w *world) finish(s step) {
	a := w.pick(s)
	if a == nil || !a.sent {
		return
	}
	f := ledger.Finish{Key: a.key, Attempt: a.id, Unknown: s.b%8 == 0}
	f.Answer = ledger.Answer{Status: 200, Body: []byte(a.body)}
	w.propose(s, replicated.FinishWork{Finish: f}, func(r replicated.Result) {
		if kindOf(r) == ledger.Recorded {
			if string(r.Work.Answer.Body) != a.body {
				w.fail("%s recorded %q", a.id, r.Work.Answer.Body)
			}
			w.work.answers[a.key] = a.body
		}
	})
}

// cancel gives an attempt up. An entry that was told the work is not run
// repeats it to its caller.
func (w *world) cancel(s step) {
	a := w.pick(s)
	if a == nil || a.sent {
		return
	}
	a.gaveUp = true
	c := ledger.Cancel{Key: a.key, Attempt: a.id}
	w.propose(s, replicated.CancelWork{Cancel: c}, func(r replicated.Result) {
		if kindOf(r) == ledger.NotRun {
			a.claimed = true
		}
	})
}

// crash ends a process; its VM starts a new one at once.
func (w *world) crash(s step) {
	w.work.vms[vmName(s.a)]++
}

func (w *world) abandon(s step) {
	vm := vmName(s.a)
	if newest := w.work.vms[vm]; newest > 1 {
		w.propose(s, replicated.AbandonWork{Abandon: ledger.Abandon{Entry: vm, Incarnation: newest - 1}}, nil)
	}
}
