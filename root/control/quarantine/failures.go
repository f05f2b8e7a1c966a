package quarantine

import (
	"slices"
	"time"
)

const (
	// settleTime is how long a failed probe waits for further reports on its engine before
	// it is judged. A request that was on its way before its segment became a suspect may
	// crash the engine on which the probe of another segment runs. Entries report a loss
	// within 50 ms, and the segments of an unsettled probe are not probed.
	settleTime = 300 * time.Millisecond
	// repeatDelay is the time from a failed probe until the same set may be probed again.
	// Requests with some of its segments, which tell them apart, come first. They may have to
	// wait GrantLifetime for a probe whose entry is frozen: with a delay of 1 s a simulated
	// healthy segment was quarantined in that time.
	repeatDelay = 5 * time.Second
	// massEngines is the number of other engines lost within massWindow of a failed probe
	// from which it shows nothing: a rack or a failure domain has failed. The next probe of
	// the same set counts even so, because several crashing segments may be probed together.
	massEngines = 3
	massWindow  = 500 * time.Millisecond
	// commonFailures is the number of failed probes from which the only segment that they
	// have in common is confirmed. Two may share a healthy one if there are two crashing
	// segments, whose own probes come first if they are requested alone.
	commonFailures = 3
	// deadWindow is how long entries may still send requests to an engine that was lost. A
	// probe that was granted in this time and fails there shows nothing.
	deadWindow = 3 * time.Second
	// lostMemory is how long lost engines are remembered.
	lostMemory = time.Minute
	// maxFailures bounds the failed probes that are kept.
	maxFailures = 256
	// proposalInterval is the time after which a quarantine that is not yet in the log is
	// proposed again. It is longer than a commit takes.
	proposalInterval = 2 * time.Second
)

// failure is an engine that ended during a probe.
type failure struct {
	engine engine
	at     time.Time
	// grantedAt is when the probe was granted, the first one if there were several; zero if
	// that is not known.
	grantedAt time.Time
	// receivedAt is when the last of its reports arrived that named a new segment.
	receivedAt time.Time
	// segments are those that may have crashed the engine, sorted.
	segments []Segment
	// settled is set once other reports on the engine have had time to arrive.
	settled bool
	// inMass is set if massEngines other engines were lost at the same time.
	inMass bool
	// explained is set once it is known why the engine ended, or that nobody can tell.
	explained bool
}

// ObserveFailedProbe records a failed probe. VMs may report it again, and several probes
// may have run on one engine. It returns the segments of the probe that have become suspects:
// an entry probes only suspects, so those unknown here were suspects of an earlier leader.
// grantedAt is when this leader granted the probe; zero if it did not.
func (t *Tracker) ObserveFailedProbe(p FailedProbe, grantedAt, now time.Time, held *State) []Segment {
	lost := engine{p.Server, p.Incarnation}
	t.noteLost(lost, p.At)
	f := t.failureOf(lost)
	if f == nil {
		f = &failure{engine: lost, at: p.At, grantedAt: grantedAt, receivedAt: now}
		t.failures = append(t.failures, f)
		if len(t.failures) > maxFailures {
			t.failures = slices.Delete(t.failures, 0, 1)
		}
	}
	if f.explained {
		return nil
	}
	if p.At.Before(f.at) {
		f.at = p.At
	}
	var adopted []Segment
	for _, s := range p.Segments {
		if f.add(s) {
			f.receivedAt, f.settled = now, false
		}
		if t.isUnknown(s) && !held.Has(s) && !held.OnProbation(s) {
			t.adopt(s, p.At)
			adopted = append(adopted, s)
		}
	}
	return adopted
}

func (t *Tracker) failureOf(lost engine) *failure {
	for _, f := range t.failures {
		if f.engine == lost {
			return f
		}
	}
	return nil
}

func (f *failure) add(s Segment) bool {
	i, found := slices.BinarySearch(f.segments, s)
	if !found {
		f.segments = slices.Insert(f.segments, i, s)
	}
	return !found
}

// isUnknown reports whether the segment is no suspect, and no completed response is known
// that would have cleared it.
func (t *Tracker) isUnknown(s Segment) bool {
	e := t.segments[s]
	return e == nil || !e.isSuspect() && e.clearedAt.IsZero()
}

// Judge draws the conclusions from the failed probes: which segments are to be put into
// quarantine. It returns those that this call has found, sorted.
func (t *Tracker) Judge(now time.Time, held *State) []Segment {
	var found []Segment
	for s := range t.confirmed {
		if held.Has(s) {
			delete(t.confirmed, s)
		}
	}
	for _, f := range t.failures {
		t.settle(f, now)
	}
	for {
		next := t.judgeNext(held)
		if len(next) == 0 {
			slices.Sort(found)
			return found
		}
		for _, s := range next {
			t.confirmed[s] = time.Time{}
		}
		found = append(found, next...)
	}
}

// NextJudgement returns when Judge has to be called for a failed probe that waits for other
// reports on its engine; zero if there is none.
func (t *Tracker) NextJudgement() time.Time {
	var next time.Time
	for _, f := range t.failures {
		if at := f.receivedAt.Add(settleTime); !f.settled && !f.explained && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// settle ends the wait for further reports on the engine of a failed probe. Suspects of
// other requests that were lost with it may have crashed it too.
func (t *Tracker) settle(f *failure, now time.Time) {
	if f.settled || f.explained || now.Sub(f.receivedAt) < settleTime {
		return
	}
	f.settled = true
	f.inMass = t.isInMass(f)
	if t.beganOnLostEngine(f) || f.inMass && !t.repeatsMass(f) {
		f.explained = true
		return
	}
	for s, e := range t.segments {
		if l, lost := e.engines[f.engine]; lost && l.at.After(e.clearedAt) && e.isSuspect() {
			f.add(s)
		}
	}
}

// beganOnLostEngine reports whether the engine had ended before the probe was granted.
func (t *Tracker) beganOnLostEngine(f *failure) bool {
	lostAt, known := t.lost[f.engine]
	if !known || f.grantedAt.IsZero() {
		return false
	}
	gone := f.grantedAt.Sub(lostAt)
	return gone > 0 && gone < deadWindow
}

// isInMass reports whether the engine ended together with many others.
func (t *Tracker) isInMass(f *failure) bool {
	others := 0
	for lost, at := range t.lost {
		if lost != f.engine && f.at.Sub(at).Abs() <= massWindow {
			others++
		}
	}
	return others >= massEngines
}

// repeatsMass reports whether an earlier probe of the same set failed together with many
// engines too, and no response with one of the segments has completed since.
func (t *Tracker) repeatsMass(f *failure) bool {
	return slices.ContainsFunc(t.failures, func(first *failure) bool {
		return first.inMass && f.at.Sub(first.at) > massWindow && slices.Equal(first.segments, f.segments) &&
			!slices.ContainsFunc(f.segments, func(s Segment) bool {
				e := t.segments[s]
				return e != nil && e.clearedAt.After(first.at)
			})
	})
}

// judgeNext returns the segments that the first conclusive failed probe, the first two with
// the same segments, or several with one common segment are explained by; nil if there are
// none.
func (t *Tracker) judgeNext(held *State) []Segment {
	var open []*failure
	for _, f := range t.failures {
		if !f.settled || f.explained {
			continue
		}
		if slices.ContainsFunc(f.segments, func(s Segment) bool { return t.isHeld(s, held) }) {
			f.explained = true
			continue
		}
		f.segments = slices.DeleteFunc(f.segments, func(s Segment) bool { return !t.isCandidate(s, f.at, held) })
		if len(f.segments) > 0 {
			open = append(open, f)
		}
	}
	for i, f := range open {
		// A segment on probation has crashed engines before, so it explains a failure alone.
		probation := slices.DeleteFunc(slices.Clone(f.segments), func(s Segment) bool { return !held.OnProbation(s) })
		if len(probation) > 0 {
			return probation
		}
		if len(f.segments) == 1 || slices.ContainsFunc(open[:i], func(other *failure) bool { return slices.Equal(other.segments, f.segments) }) {
			return slices.Clone(f.segments)
		}
		if s, found := onlyCommon(f, open[:i+1]); found {
			return []Segment{s}
		}
	}
	return nil
}

// onlyCommon returns the segment of f that is the only one common to at least commonFailures
// of the failures, and whether there is one.
func onlyCommon(f *failure, failures []*failure) (Segment, bool) {
	for _, s := range f.segments {
		common, n := f.segments, 0
		for _, other := range failures {
			if slices.Contains(other.segments, s) {
				n++
				common = slices.DeleteFunc(slices.Clone(common), func(x Segment) bool { return !slices.Contains(other.segments, x) })
			}
		}
		if n >= commonFailures && len(common) == 1 {
			return s, true
		}
	}
	return 0, false
}

// isHeld reports whether the segment is in quarantine or about to be.
func (t *Tracker) isHeld(s Segment, held *State) bool {
	_, confirmed := t.confirmed[s]
	return confirmed || held.Has(s)
}

// isCandidate reports whether the segment may have crashed an engine at the given time: it is
// still a suspect or on probation, and no response with it has completed since.
func (t *Tracker) isCandidate(s Segment, at time.Time, held *State) bool {
	e := t.segments[s]
	if e != nil && e.clearedAt.After(at) {
		return false
	}
	return held.OnProbation(s) || e != nil && e.isSuspect()
}

// Proposals returns the segments whose quarantine is to be proposed now, sorted, and assumes
// that it is.
func (t *Tracker) Proposals(now time.Time, held *State) []Segment {
	var out []Segment
	for s, proposed := range t.confirmed {
		if !held.Has(s) && (proposed.IsZero() || now.Sub(proposed) >= proposalInterval) {
			t.confirmed[s] = now
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// MayProbe reports whether a request with these suspects may be sent to an engine as far as
// the failed probes are concerned.
func (t *Tracker) MayProbe(segments []Segment, now time.Time, held *State) bool {
	if slices.ContainsFunc(segments, func(s Segment) bool { return t.isHeld(s, held) }) {
		return false
	}
	for _, f := range t.failures {
		switch {
		case f.explained || len(f.segments) == 0:
		case !f.settled:
			if slices.ContainsFunc(f.segments, func(s Segment) bool { return slices.Contains(segments, s) }) {
				return false
			}
		case now.Sub(f.receivedAt) < repeatDelay:
			if !slices.ContainsFunc(f.segments, func(s Segment) bool { return !slices.Contains(segments, s) }) {
				return false
			}
		}
	}
	return true
}
