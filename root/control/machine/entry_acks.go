package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

const (
	// maxPromptConfirmations is the number of lease holders up to which entries are asked
	// to confirm at once what an answer waits for. In a larger fleet their next Renew
	// does, since hundreds of them together delay the heartbeats of consensus.
	maxPromptConfirmations = 64
	// minConfirmTime is how long an answer waits for entries after a commit that took long.
	minConfirmTime = 100 * time.Millisecond
	// unknownEntries stands for the entries that a leader without a view does not know yet.
	unknownEntries = "unknown"
	// maxReportedEntries bounds the entries that one log line names.
	maxReportedEntries = 8
)

// entryAck is an answer that waits until the entries have what it acknowledges. Entries
// serve by their last view while no leader reaches them, so what only the log has when the
// leader is lost would not be in force.
type entryAck struct {
	proposer proposer
	result   replicated.Result
	// routes and seq are the version of the routes and the sequence of the view that an
	// entry must have.
	routes, seq uint64
	// entries is the number of entries that were awaited, and lacking are those that have
	// not confirmed yet.
	entries int
	lacking map[string]bool
	// until is when the answer is sent even so: an entry that does not confirm may be
	// unreachable, and is updated when it renews.
	until time.Time
}

// entryAcks holds the answers that wait for entries.
type entryAcks struct {
	l       *leader
	pending []*entryAck
	// expected are the entries of the view that this leader started from that have not
	// renewed with it.
	expected map[string]bool
}

func newEntryAcks(l *leader, previous []fleet.VM) *entryAcks {
	a := &entryAcks{l: l, expected: map[string]bool{}}
	for _, vm := range previous {
		if vm.Address != "" && vm.State != fleet.Suspected {
			a.expected[vm.ID] = true
		}
	}
	return a
}

// addRoutes adds an answer to p that waits until the entries have this version of the routes
// or a later one. The caller then pushes the view.
func (a *entryAcks) addRoutes(p proposer, result replicated.Result, version uint64) {
	a.add(&entryAck{proposer: p, result: result, routes: version})
}

// addDepartures adds an answer to p that waits until the entries have a view in which these
// servers depart or are gone.
func (a *entryAcks) addDepartures(p proposer, result replicated.Result, servers []fleet.Server) {
	ack := &entryAck{proposer: p, result: result}
	for _, s := range servers {
		ack.seq = max(ack.seq, a.departureSeq(s.ID))
	}
	a.add(ack)
	a.request()
}

// addFleetChange adds an answer to p that waits until the entries have a view of the present
// fleet.
func (a *entryAcks) addFleetChange(p proposer, result replicated.Result) {
	seq := a.l.seq()
	if a.l.pushes.pending {
		seq++
	}
	a.add(&entryAck{proposer: p, result: result, seq: seq})
	a.request()
}

// departureSeq returns the sequence of the first view in which a server departs or is gone.
func (a *entryAcks) departureSeq(id string) uint64 {
	servers := a.l.views.Current().Servers
	i := slices.IndexFunc(servers, func(s fleet.Server) bool { return s.ID == id })
	if i >= 0 && !servers[i].Departing() && a.l.pushes.pending {
		return a.l.seq() + 1
	}
	return a.l.views.ServerSeq(id)
}

func (a *entryAcks) add(ack *entryAck) {
	ack.lacking = a.awaited()
	ack.entries = len(ack.lacking)
	ack.until = latest(ack.proposer.receivedAt.Add(a.l.m.cfg.Timing.EntryConfirmTimeout), a.l.m.now.Add(minConfirmTime))
	if ack.lacking[unknownEntries] {
		ack.until = latest(ack.until, a.l.establishedAt.Add(a.contactTime()))
	}
	for id := range ack.lacking {
		if ack.heldBy(a.l.holders[id]) {
			delete(ack.lacking, id)
		}
	}
	a.pending = append(a.pending, ack)
}

// request asks the awaited entries that were not asked with a push to confirm their view.
func (a *entryAcks) request() {
	if len(a.l.holders) <= maxPromptConfirmations {
		a.l.pushes.enqueueHolders()
		a.l.pushes.tick()
	}
	a.answerComplete()
}

// awaited returns the entries that are in contact with this leader, or were with the last
// one. A leader that has just started without a view awaits unknownEntries, which get the
// current view with their first Grant.
func (a *entryAcks) awaited() map[string]bool {
	l, out := a.l, map[string]bool{}
	for id, h := range l.holders {
		if h.vm.Address != "" && l.m.now.Sub(l.renewedAt(h)) < a.contactTime() {
			out[id] = true
		}
	}
	if l.m.now.Sub(l.establishedAt) >= a.contactTime() {
		return out
	}
	for id := range a.expected {
		out[id] = true
	}
	if !l.partialUntil.IsZero() {
		out[unknownEntries] = true
	}
	return out
}

// contactTime is the time after its last Renew, or after a change of leader, for which an
// entry is awaited.
func (a *entryAcks) contactTime() time.Duration { return 2 * a.l.m.cfg.Timing.RenewInterval }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (ack *entryAck) heldBy(h *leaseHolder) bool {
	return h != nil && h.confirmed.Routes >= ack.routes && h.confirmed.Seq >= ack.seq
}

// awaits reports whether an answer waits for this entry.
func (a *entryAcks) awaits(id string) bool {
	return slices.ContainsFunc(a.pending, func(ack *entryAck) bool { return ack.lacking[id] })
}

// onRenew notes what an entry has reported.
func (a *entryAcks) onRenew(id string) {
	delete(a.expected, id)
	for _, ack := range a.pending {
		if ack.lacking[id] && ack.heldBy(a.l.holders[id]) {
			delete(ack.lacking, id)
		}
	}
	a.answerComplete()
}

// onStopped stops waiting for an entry that accepts no more work.
func (a *entryAcks) onStopped(id string) {
	delete(a.expected, id)
	for _, ack := range a.pending {
		delete(ack.lacking, id)
	}
	a.answerComplete()
}

// answerComplete sends the answers for which no entry is awaited any more.
func (a *entryAcks) answerComplete() {
	a.pending = slices.DeleteFunc(a.pending, func(ack *entryAck) bool {
		if len(ack.lacking) > 0 && a.l.m.now.Before(ack.until) {
			return false
		}
		a.report(ack)
		a.l.answer(ack.proposer, ack.result)
		return true
	})
}

// report reports the acknowledgement of a routing document.
func (a *entryAcks) report(ack *entryAck) {
	if ack.routes == 0 {
		return
	}
	lacking := sortedKeys(ack.lacking)
	a.l.m.emit(RoutesAcknowledged{
		Proposer: ack.proposer.vm, Version: ack.routes, Term: a.l.term, Entries: ack.entries,
		Lacking: lacking[:min(len(lacking), maxReportedEntries)], Waited: a.l.m.now.Sub(ack.proposer.receivedAt),
	})
}

func (a *entryAcks) isPending(p proposer) bool {
	return slices.ContainsFunc(a.pending, func(ack *entryAck) bool { return ack.proposer.vm == p.vm && ack.proposer.id == p.id })
}

func (a *entryAcks) nextWake() time.Time {
	var wake time.Time
	for _, ack := range a.pending {
		wake = earlier(wake, ack.until)
	}
	return wake
}
