package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

func fromSegments(segments []quarantine.Segment) []uint64 {
	var out []uint64
	for _, s := range segments {
		out = append(out, uint64(s))
	}
	return out
}

func toSegments(segments []uint64) []quarantine.Segment {
	var out []quarantine.Segment
	for _, s := range segments {
		out = append(out, quarantine.Segment(s))
	}
	return out
}

func fromLosses(losses []quarantine.Loss) []*api.SegmentLoss {
	var out []*api.SegmentLoss
	for _, l := range losses {
		out = append(out, &api.SegmentLoss{
			Segment: uint64(l.Segment), Server: l.Server, Incarnation: l.Incarnation, AgeNanos: int64(clock.Now().Sub(l.At)),
		})
	}
	return out
}

func toLosses(losses []*api.SegmentLoss) []quarantine.Loss {
	var out []quarantine.Loss
	now := clock.Now()
	for _, l := range losses {
		out = append(out, quarantine.Loss{
			Segment: quarantine.Segment(l.Segment), Server: l.Server, Incarnation: l.Incarnation,
			At: now.Add(-time.Duration(l.AgeNanos)),
		})
	}
	return out
}

func completionAges(completions []quarantine.Completion) []int64 {
	var out []int64
	for _, c := range completions {
		out = append(out, int64(clock.Now().Sub(c.At)))
	}
	return out
}

func completedSegments(completions []quarantine.Completion) []uint64 {
	var out []uint64
	for _, c := range completions {
		out = append(out, uint64(c.Segment))
	}
	return out
}

// toCompletions returns the completions of parallel lists. An older release sends no ages.
func toCompletions(segments []uint64, ages []int64) []quarantine.Completion {
	var out []quarantine.Completion
	now := clock.Now()
	for i, s := range segments {
		at := now
		if i < len(ages) {
			at = now.Add(-time.Duration(ages[i]))
		}
		out = append(out, quarantine.Completion{Segment: quarantine.Segment(s), At: at})
	}
	return out
}

func fromFailedProbes(probes []quarantine.FailedProbe) []*api.FailedProbe {
	var out []*api.FailedProbe
	for _, p := range probes {
		out = append(out, &api.FailedProbe{
			Segments: fromSegments(p.Segments), Server: p.Server, Incarnation: p.Incarnation, AgeNanos: int64(clock.Now().Sub(p.At)),
		})
	}
	return out
}

func toFailedProbes(probes []*api.FailedProbe) []quarantine.FailedProbe {
	var out []quarantine.FailedProbe
	now := clock.Now()
	for _, p := range probes {
		out = append(out, quarantine.FailedProbe{
			Segments: toSegments(p.Segments), Server: p.Server, Incarnation: p.Incarnation,
			At: now.Add(-time.Duration(p.AgeNanos)),
		})
	}
	return out
}

func fromProbeRequests(requests []quarantine.ProbeRequest) []*api.ProbeRequest {
	var out []*api.ProbeRequest
	for _, r := range requests {
		p := &api.ProbeRequest{Id: r.ID, Segments: fromSegments(r.Segments), Granted: !r.GrantedAt.IsZero()}
		if p.Granted {
			p.GrantedAgeNanos = int64(clock.Now().Sub(r.GrantedAt))
		}
		out = append(out, p)
	}
	return out
}

func toProbeRequests(requests []*api.ProbeRequest) []quarantine.ProbeRequest {
	var out []quarantine.ProbeRequest
	now := clock.Now()
	for _, p := range requests {
		r := quarantine.ProbeRequest{ID: p.Id, Segments: toSegments(p.Segments)}
		if p.Granted {
			r.GrantedAt = now.Add(-time.Duration(p.GrantedAgeNanos))
		}
		out = append(out, r)
	}
	return out
}

func fromSegmentList(l *quarantine.List) *api.SegmentList {
	if l == nil {
		return nil
	}
	out := &api.SegmentList{}
	for _, e := range l.Quarantined {
		out.Quarantined = append(out.Quarantined, &api.QuarantinedSegment{Segment: uint64(e.Segment), UntilMs: e.Until})
	}
	for _, s := range l.Suspects {
		out.Suspects = append(out.Suspects, &api.SuspectSegment{Segment: uint64(s.Segment), AgeMs: clock.Now().Sub(s.Since).Milliseconds(), Probation: s.Probation})
	}
	return out
}

func toSegmentList(p *api.SegmentList) *quarantine.List {
	if p == nil {
		return nil
	}
	out := &quarantine.List{}
	for _, e := range p.Quarantined {
		out.Quarantined = append(out.Quarantined, quarantine.Entry{Segment: quarantine.Segment(e.Segment), Until: e.UntilMs})
	}
	now := clock.Now()
	for _, s := range p.Suspects {
		since := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
		out.Suspects = append(out.Suspects, quarantine.Suspect{Segment: quarantine.Segment(s.Segment), Since: since, Probation: s.Probation})
	}
	return out
}

func fromQuarantine(entries []quarantine.Entry) []*api.LogQuarantined {
	var out []*api.LogQuarantined
	for _, e := range entries {
		out = append(out, &api.LogQuarantined{Segment: uint64(e.Segment), UntilMs: e.Until})
	}
	return out
}

func toQuarantine(entries []*api.LogQuarantined) []quarantine.Entry {
	var out []quarantine.Entry
	for _, e := range entries {
		out = append(out, quarantine.Entry{Segment: quarantine.Segment(e.Segment), Until: e.UntilMs})
	}
	return out
}
