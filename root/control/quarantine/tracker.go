package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectEngines is the number of lost engines from which a segment is a suspect. The
	// time between the losses does not matter: engines may fail together under different
	// requests with the segment.
	suspectEngines = 2
	// evidenceLifetime is how long losses and failed probes count after the last one.
	evidenceLifetime = 30 * time.Minute
	// maxTracked bounds the segments with evidence.
	maxTracked = 4096
	// MaxSuspects bounds the listed suspects, without those on probation.
	MaxSuspects = 512
	// maxEngines bounds the engines that are remembered for one segment.
	maxEngines = 64
	// maxLostEngines bounds the engines whose loss is remembered.
	maxLostEngines = 4096
)

// engine is one start of an engine.
type engine struct {
	id          string
	incarnation uint64
}

// loss is when an engine was lost, and the entry that reported it.
type loss struct {
	at    time.Time
	entry string
}

// evidence holds the losses of one segment.
type evidence struct {
	// engines are the engines lost with the segment, also before the last completed
	// response: VMs may report a loss again.
	engines map[engine]loss
	// adoptedAt is the Since of a suspicion that began at an earlier leader; zero if there
	// is none.
	adoptedAt time.Time
	// clearedAt is when the last known response with the segment completed.
	clearedAt time.Time
	// last is the time of the latest evidence.
	last time.Time
}

// counted returns the losses since the last completed response.
func (e *evidence) counted() map[engine]loss {
	out := make(map[engine]loss, len(e.engines))
	for id, l := range e.engines {
		if l.at.After(e.clearedAt) {
			out[id] = l
		}
	}
	return out
}

func (e *evidence) isAdopted() bool { return e.adoptedAt.After(e.clearedAt) }

func (e *evidence) isSuspect() bool {
	if e.isAdopted() {
		return true
	}
	n := 0
	for _, l := range e.engines {
		if l.at.After(e.clearedAt) {
			n++
		}
	}
	return n >= suspectEngines
}

// since returns the time of the first loss that counts.
func (e *evidence) since() time.Time {
	var first time.Time
	if e.isAdopted() {
		first = e.adoptedAt
	}
	for _, l := range e.counted() {
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
	}
	return first
}

// addLoss records a loss, of which several VMs may report different times. The first counts.
func (e *evidence) addLoss(lost engine, l loss) {
	if known, found := e.engines[lost]; found {
		if l.at.Before(known.at) {
			e.engines[lost] = l
		}
		return
	}
	if len(e.engines) >= maxEngines {
		oldest := oldestLoss(e.engines)
		if !l.at.After(e.engines[oldest].at) {
			return
		}
		delete(e.engines, oldest)
	}
	e.engines[lost] = l
}

func oldestLoss(engines map[engine]loss) engine {
	return slices.MinFunc(slices.Collect(maps.Keys(engines)), func(a, b engine) int {
		return cmp.Or(engines[a].at.Compare(engines[b].at), cmp.Compare(a.id, b.id), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// Tracker collects what the VMs report about segments. Times in the reports are by the
// leader's clock, as good as messages carry them. It is not safe for concurrent use.
type Tracker struct {
	segments map[Segment]*evidence
	// lost are the engines that were lost, whatever they ran.
	lost map[engine]time.Time
	// failures are the failed probes, oldest first.
	failures []*failure
	// confirmed are the segments that are to be put into quarantine, with the time of the
	// last proposal.
	confirmed map[Segment]time.Time
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{segments: map[Segment]*evidence{}, lost: map[engine]time.Time{}, confirmed: map[Segment]time.Time{}}
}

// Adopt takes over the suspects of an earlier leader. Losses older than the time for which
// VMs repeat them would be lost otherwise.
func (t *Tracker) Adopt(suspects []Suspect) {
	for _, s := range suspects {
		if !s.Probation {
			t.adopt(s.Segment, s.Since)
		}
	}
}

func (t *Tracker) adopt(s Segment, since time.Time) {
	e := t.evidence(s)
	e.adoptedAt = since
	e.last = later(e.last, since)
}

// evidence returns the evidence about a segment, which it creates if there is none.
func (t *Tracker) evidence(s Segment) *evidence {
	e := t.segments[s]
	if e == nil {
		if len(t.segments) >= maxTracked {
			t.evict()
		}
		e = &evidence{engines: map[engine]loss{}}
		t.segments[s] = e
	}
	return e
}

// evict forgets the oldest quarter of the segments, suspects last. One crash of many engines
// may fill the tracker.
func (t *Tracker) evict() {
	suspect := make(map[Segment]bool, len(t.segments))
	for s, e := range t.segments {
		suspect[s] = e.isSuspect()
	}
	order := slices.SortedFunc(maps.Keys(t.segments), func(a, b Segment) int {
		if suspect[a] != suspect[b] {
			return cmp.Compare(rank(suspect[a]), rank(suspect[b]))
		}
		return cmp.Or(t.segments[a].last.Compare(t.segments[b].last), compare(a, b))
	})
	for _, s := range order[:maxTracked/4] {
		delete(t.segments, s)
	}
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// ObserveLoss counts a loss that an entry reported, once for each engine, and reports
// whether the segment has become a suspect.
func (t *Tracker) ObserveLoss(l Loss, entry string) bool {
	lost := engine{l.Server, l.Incarnation}
	t.noteLost(lost, l.At)
	e := t.evidence(l.Segment)
	was := e.isSuspect()
	e.addLoss(lost, loss{l.At, entry})
	e.last = later(e.last, l.At)
	return !was && e.isSuspect()
}

// noteLost records the first loss of an engine. At the bound new ones are not recorded: a
// failed probe needs to know only some of many engines that are lost at once.
func (t *Tracker) noteLost(lost engine, at time.Time) {
	known, found := t.lost[lost]
	if found && at.Before(known) || !found && len(t.lost) < maxLostEngines {
		t.lost[lost] = at
	}
}

// ObserveCompletion records that a response with a segment has completed. It reports whether
// the segment was a suspect and no longer is.
func (t *Tracker) ObserveCompletion(c Completion) bool {
	e := t.evidence(c.Segment)
	was := e.isSuspect()
	e.clearedAt = later(e.clearedAt, c.At)
	e.last = later(e.last, c.At)
	return was && !e.isSuspect()
}

// Expire forgets what is too old to count.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.segments, func(_ Segment, e *evidence) bool { return now.Sub(e.last) > evidenceLifetime })
	maps.DeleteFunc(t.lost, func(_ engine, at time.Time) bool { return now.Sub(at) > lostMemory })
	t.failures = slices.DeleteFunc(t.failures, func(f *failure) bool { return now.Sub(f.at) > evidenceLifetime })
}

// Suspects returns the suspects that are neither in quarantine nor on probation, sorted by
// segment: at most MaxSuspects, those with the newest evidence. It returns nil if there are
// none.
func (t *Tracker) Suspects(held *State) []Suspect {
	var segments []Segment
	for s, e := range t.segments {
		if e.isSuspect() && !held.Has(s) && !held.OnProbation(s) {
			segments = append(segments, s)
		}
	}
	if len(segments) > MaxSuspects {
		slices.SortFunc(segments, func(a, b Segment) int {
			return cmp.Or(t.segments[b].last.Compare(t.segments[a].last), compare(a, b))
		})
		segments = segments[:MaxSuspects]
	}
	slices.Sort(segments)
	var out []Suspect
	for _, s := range segments {
		out = append(out, Suspect{Segment: s, Since: t.segments[s].since()})
	}
	return out
}

// Losses returns the engines whose losses make a segment a suspect, and the entries that
// reported them, both sorted.
func (t *Tracker) Losses(s Segment) (engines, entries []string) {
	e := t.segments[s]
	if e == nil {
		return nil, nil
	}
	for lost, l := range e.counted() {
		engines = append(engines, lost.id)
		entries = append(entries, l.entry)
	}
	slices.Sort(engines)
	slices.Sort(entries)
	return slices.Compact(engines), slices.Compact(entries)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
