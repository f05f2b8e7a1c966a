package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

const (
	// reportLifetime is how long a report about segments is repeated to new leaders. It
	// is longer than a change of leader takes.
	reportLifetime = 10 * time.Second
	// maxSegmentReports bounds the losses, the completions and the failed probes that are
	// each kept for the leader. The oldest are dropped first.
	maxSegmentReports = 512
)

// segmentReports holds what this process's requests have shown about prompt segments
// until the leader has confirmed it; like announcements, a new leader gets it again. The
// probes are sent with each Renew.
type segmentReports struct {
	client    *leaseClient
	losses    []reported[quarantine.Loss]
	completed []reported[quarantine.Completion]
	failed    []reported[quarantine.FailedProbe]
	// probes are all that this process wants or is running. GrantedAt tells a new leader
	// which of them are running.
	probes []quarantine.ProbeRequest
}

// reported is an observation with the time at which it was reported.
type reported[T any] struct {
	value T
	at    time.Time
}

// observe records a report from traffic. The leader is told at once.
func (r *segmentReports) observe(report SegmentReport) {
	now := r.client.m.now
	r.losses = appendReports(r.losses, report.Losses, now)
	r.completed = appendReports(r.completed, report.Completed, now)
	r.failed = appendReports(r.failed, report.FailedProbes, now)
	if report.ProbesChanged {
		r.replaceProbes(report.Probes)
	}
	r.client.nextRenew = now
}

func appendReports[T any](reports []reported[T], values []T, now time.Time) []reported[T] {
	for _, v := range values {
		reports = append(reports, reported[T]{v, now})
	}
	return reports[max(0, len(reports)-maxSegmentReports):]
}

// replaceProbes takes over the list of probes. Those that were granted stay so.
func (r *segmentReports) replaceProbes(probes []quarantine.ProbeRequest) {
	next := slices.Clone(probes[:min(len(probes), quarantine.MaxProbes)])
	for i := range next {
		next[i].GrantedAt = time.Time{}
		if old := r.probe(next[i].ID); old != nil {
			next[i].GrantedAt = old.GrantedAt
		}
	}
	r.probes = next
}

func (r *segmentReports) probe(id uint64) *quarantine.ProbeRequest {
	for i := range r.probes {
		if r.probes[i].ID == id {
			return &r.probes[i]
		}
	}
	return nil
}

// onGranted passes the granted probes that are still wanted or running to traffic.
func (r *segmentReports) onGranted(ids []uint64) {
	var out []uint64
	for _, id := range ids {
		p := r.probe(id)
		if p == nil {
			continue
		}
		if p.GrantedAt.IsZero() {
			p.GrantedAt = r.client.m.now
		}
		out = append(out, id)
	}
	if len(out) > 0 {
		r.client.m.emit(GrantProbes{IDs: out})
	}
}

// addTo adds the reports that the leader has not confirmed, and the probes, to a Renew. It
// drops the reports that are too old to be repeated.
func (r *segmentReports) addTo(msg Renew) Renew {
	r.losses = recent(r.losses, r.client.m.now)
	r.completed = recent(r.completed, r.client.m.now)
	r.failed = recent(r.failed, r.client.m.now)
	msg.SegmentLosses = pending(r.client, r.losses)
	msg.CompletedSegments = pending(r.client, r.completed)
	msg.FailedProbes = pending(r.client, r.failed)
	msg.ProbeRequests = slices.Clone(r.probes)
	return msg
}

func recent[T any](reports []reported[T], now time.Time) []reported[T] {
	return slices.DeleteFunc(reports, func(r reported[T]) bool { return now.Sub(r.at) > reportLifetime })
}

func pending[T any](c *leaseClient, reports []reported[T]) []T {
	var out []T
	for _, r := range reports {
		if !c.confirmed(r.at) {
			out = append(out, r.value)
		}
	}
	return out
}
