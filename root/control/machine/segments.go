package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

const (
	// releaseRetryInterval is the time after which a release, or the end of a quarantine,
	// that is not yet in the log is proposed again. It is longer than a commit takes.
	releaseRetryInterval = 2 * time.Second
	// probeHandoverDelay is how long a new leader grants no probes. VMs that hear of it
	// renew at once and list those that are running.
	probeHandoverDelay = 300 * time.Millisecond
)

// segments is the leader's evidence about prompt segments, and the probes that it has
// granted. It is not replicated: the VMs repeat their latest reports and the list of their
// probes to a new leader. The quarantine itself is in the log.
type segments struct {
	l       *leader
	tracker *quarantine.Tracker
	probes  *quarantine.Probes
	// undecided is set while there are reports from which no conclusions have been drawn.
	undecided bool
	// probationSince is when this leader first knew that a segment is on probation, or what
	// the view of the last leader said.
	probationSince map[quarantine.Segment]time.Time
	// releases holds the segments whose probes completed on probation, with the time of the
	// last proposal.
	releases map[quarantine.Segment]time.Time
	// nextTick is the earliest time of the next proposal to end quarantines.
	nextTick time.Time
}

// newSegments returns the state of a new leader. Its suspects are those of the last view of
// its process, in addition to what the VMs repeat.
func newSegments(l *leader, previous quarantine.List) *segments {
	s := &segments{
		l: l, tracker: quarantine.NewTracker(), probes: quarantine.NewProbes(),
		probationSince: map[quarantine.Segment]time.Time{}, releases: map[quarantine.Segment]time.Time{},
	}
	s.tracker.Adopt(previous.Suspects)
	for _, suspect := range previous.Suspects {
		if suspect.Probation {
			s.probationSince[suspect.Segment] = suspect.Since
		}
	}
	return s
}

func (s *segments) held() *quarantine.State { return s.l.r.state.Quarantine() }

func (s *segments) isHeld(segment quarantine.Segment) bool {
	return s.held().Has(segment) || s.held().OnProbation(segment)
}

// observe records the reports of one process and returns whether the suspects changed.
// Losses and completions come before failed probes, which are judged by them, and before the
// list of probes, whose end lets others be granted.
func (s *segments) observe(from string, msg Renew) bool {
	changed := false
	for _, loss := range msg.SegmentLosses {
		if s.tracker.ObserveLoss(loss, from) && !s.isHeld(loss.Segment) {
			s.logSuspect(loss.Segment)
			changed = true
		}
	}
	for _, completion := range msg.CompletedSegments {
		changed = s.observeCompletion(from, completion) || changed
	}
	for _, p := range msg.FailedProbes {
		grantedAt := s.probes.GrantedAt(from, p.Segments)
		for _, segment := range s.tracker.ObserveFailedProbe(p, grantedAt, s.l.m.now, s.held()) {
			s.logSuspect(segment)
			changed = true
		}
	}
	s.undecided = s.undecided || len(msg.SegmentLosses)+len(msg.CompletedSegments)+len(msg.FailedProbes) > 0
	for _, ended := range s.probes.List(from, msg.VM.Incarnation, msg.SentAt, msg.ProbeRequests, s.l.m.now) {
		s.logProbe(probeResult(ended, msg), ended)
	}
	s.conclude(from)
	return changed
}

func (s *segments) observeCompletion(from string, c quarantine.Completion) bool {
	cleared := s.tracker.ObserveCompletion(c)
	switch {
	case s.held().OnProbation(c.Segment):
		if _, pending := s.releases[c.Segment]; !pending && c.At.After(s.onProbationSince(c.Segment)) {
			s.releases[c.Segment] = time.Time{}
			s.log(SegmentEvent{Kind: SegmentReleased, Segments: []quarantine.Segment{c.Segment}, Entries: []string{from}})
		}
		return false
	case cleared && !s.held().Has(c.Segment):
		s.log(SegmentEvent{Kind: SegmentCleared, Segments: []quarantine.Segment{c.Segment}, Entries: []string{from}})
		return true
	default:
		return false
	}
}

// onProbationSince returns the time from which a completion ends the probation of a segment.
func (s *segments) onProbationSince(segment quarantine.Segment) time.Time {
	since, known := s.probationSince[segment]
	if !known {
		since = s.l.m.now
		s.probationSince[segment] = since
	}
	return since
}

// probeResult returns how a probe has ended by the report that no longer lists it.
func probeResult(ended quarantine.Grant, msg Renew) SegmentEventKind {
	for _, p := range msg.FailedProbes {
		if slices.Equal(slices.Sorted(slices.Values(p.Segments)), ended.Segments) {
			return ProbeFailed
		}
	}
	for _, segment := range ended.Segments {
		if !slices.ContainsFunc(msg.CompletedSegments, func(c quarantine.Completion) bool { return c.Segment == segment }) {
			return ProbeWithoutResult
		}
	}
	return ProbeCompleted
}

// conclude proposes the quarantines and releases for which there is enough evidence and
// grants the probes that may run. The VM whose Renew is being answered gets its grants with
// the answer; the others are sent theirs.
func (s *segments) conclude(answered string) {
	now, held := s.l.m.now, s.held()
	if s.undecided {
		s.undecided = false
		s.decide()
	}
	if now.Before(s.l.establishedAt.Add(probeHandoverDelay)) {
		return
	}
	live := func(vm string) bool { return vm == answered || s.l.isLive(vm) }
	allowed := func(segments []quarantine.Segment) bool { return s.tracker.MayProbe(segments, now, held) }
	var others []string
	for _, g := range s.probes.Search(now, live, allowed) {
		s.logProbe(ProbeGranted, g)
		if g.VM != answered && !slices.Contains(others, g.VM) {
			others = append(others, g.VM)
		}
	}
	for _, vm := range others {
		s.l.m.send(vm, Grant{Term: s.l.term, Seq: s.l.seq(), GrantedProbes: s.grantedTo(vm)})
	}
}

func (s *segments) decide() {
	now, held := s.l.m.now, s.held()
	if confirmed := s.tracker.Judge(now, held); len(confirmed) > 0 {
		for _, segment := range confirmed {
			delete(s.releases, segment)
		}
		s.log(SegmentEvent{Kind: SegmentConfirmed, Segments: confirmed})
	}
	// The end of a wait for reports, or a conclusion, may allow probes.
	s.probes.Retry()
	if segments := s.tracker.Proposals(now, held); len(segments) > 0 {
		s.l.propose(replicated.QuarantineSegments{Segments: segments}, proposer{})
	}
	s.proposeReleases()
}

func (s *segments) proposeReleases() {
	var out []quarantine.Segment
	for _, segment := range slices.Sorted(maps.Keys(s.releases)) {
		switch {
		case !s.held().OnProbation(segment):
			delete(s.releases, segment)
		case s.l.m.now.Sub(s.releases[segment]) >= releaseRetryInterval:
			s.releases[segment] = s.l.m.now
			out = append(out, segment)
		}
	}
	if len(out) > 0 {
		s.l.propose(replicated.ReleaseSegments{Segments: out}, proposer{})
	}
}

// grantedTo returns the ids of the probes that a VM may run.
func (s *segments) grantedTo(vm string) []uint64 { return s.probes.Granted(vm, s.l.m.now) }

// forget drops the probes of a VM that has stopped or has had no lease for long.
func (s *segments) forget(vm string) { s.probes.Forget(vm) }

// list returns the segments that all VMs need to know. Those on probation are listed without
// a bound, because there are at most quarantine.MaxEntries of them.
func (s *segments) list() quarantine.List {
	suspects := s.tracker.Suspects(s.held())
	since := make(map[quarantine.Segment]time.Time, len(s.probationSince))
	for _, e := range s.held().Probation() {
		since[e.Segment] = s.onProbationSince(e.Segment)
		suspects = append(suspects, quarantine.Suspect{Segment: e.Segment, Since: since[e.Segment], Probation: true})
	}
	s.probationSince = since
	slices.SortFunc(suspects, quarantine.CompareSuspects)
	return quarantine.List{Quarantined: s.held().Entries(), Suspects: suspects}
}

// tick continues what waits for a time.
func (s *segments) tick() {
	if due := s.tracker.NextJudgement(); !due.IsZero() && !s.l.m.now.Before(due) {
		s.undecided = true
	}
	s.conclude("")
}

func (s *segments) nextWake() time.Time {
	search := s.probes.NextSearch()
	if handover := s.l.establishedAt.Add(probeHandoverDelay); !search.IsZero() && search.Before(handover) {
		search = handover
	}
	return earlier(search, s.tracker.NextJudgement())
}

// sweep forgets old evidence, repeats proposals that may have been lost, and ends
// quarantines: the time of the replicated state only advances with its commands.
func (s *segments) sweep() {
	s.tracker.Expire(s.l.m.now)
	s.undecided = true
	s.conclude("")
	if now := s.l.m.now; !now.Before(s.nextTick) && s.held().HasEnded(now.UnixMilli()) {
		s.nextTick = now.Add(releaseRetryInterval)
		s.l.propose(replicated.Tick{}, proposer{})
	}
	if !s.list().SameAs(s.l.views.Current().Segments) {
		s.l.onFleetChange()
	}
}

func (s *segments) logSuspect(segment quarantine.Segment) {
	engines, entries := s.tracker.Losses(segment)
	s.log(SegmentEvent{Kind: SegmentSuspected, Segments: []quarantine.Segment{segment}, Engines: engines, Entries: entries})
}

func (s *segments) logProbe(kind SegmentEventKind, g quarantine.Grant) {
	s.log(SegmentEvent{Kind: kind, Segments: g.Segments, Entries: []string{g.VM}, Probe: g.ID})
}

func (s *segments) log(e SegmentEvent) {
	e.Term = s.l.term
	s.l.m.emit(e)
}
