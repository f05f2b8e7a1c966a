package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// quarantineRetryInterval is the time after which segments that are not yet in
// quarantine are proposed again. It is longer than a commit takes.
const quarantineRetryInterval = 2 * time.Second

// segments is the leader's evidence about prompt segments. It is not replicated: the
// VMs repeat their latest reports to a new leader. The quarantine itself is in the log.
type segments struct {
	l       *leader
	tracker *quarantine.Tracker
	// nextProposal is the earliest time of the next proposal.
	nextProposal time.Time
}

func newSegments(l *leader) *segments { return &segments{l: l, tracker: quarantine.NewTracker()} }

// observe records the reports of one process and returns whether the suspects changed.
func (s *segments) observe(msg Renew) bool {
	changed := false
	for _, loss := range msg.SegmentLosses {
		changed = s.tracker.ObserveLoss(loss, s.l.m.now) || changed
	}
	for _, completion := range msg.CompletedSegments {
		changed = s.tracker.Clear(completion.Segment) || changed
	}
	return changed
}

// list returns the segments that all VMs need to know. A segment in quarantine is no
// suspect any more.
func (s *segments) list() quarantine.List {
	quarantined := s.l.r.state.Quarantine()
	suspects := slices.DeleteFunc(s.tracker.Suspects(), func(x quarantine.Suspect) bool { return quarantined.Has(x.Segment) })
	return quarantine.List{Quarantined: quarantined.Entries(), Suspects: suspects}
}

// advance proposes the quarantine of the segments against which there is enough
// evidence.
func (s *segments) advance() {
	s.tracker.Expire(s.l.m.now)
	if s.l.m.now.Before(s.nextProposal) {
		return
	}
	quarantined := s.l.r.state.Quarantine()
	confirmed := slices.DeleteFunc(s.tracker.Confirmed(s.l.m.now), quarantined.Has)
	if len(confirmed) == 0 {
		return
	}
	s.nextProposal = s.l.m.now.Add(quarantineRetryInterval)
	s.l.propose(replicated.QuarantineSegments{Segments: confirmed}, proposer{})
}
