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
	// maxSegmentReports bounds the losses, and the completions, that are kept for the
	// leader. The oldest are dropped first.
	maxSegmentReports = 512
)

// segmentReports holds what this process's requests have shown about prompt segments
// until the leader has confirmed it; like announcements, a new leader gets it again.
type segmentReports struct {
	client    *leaseClient
	losses    []reported[quarantine.Loss]
	completed []reported[quarantine.Completion]
}

// reported is an observation with the time at which it was reported.
type reported[T any] struct {
	value T
	at    time.Time
}

// observe records a report from traffic. The leader is told at once.
func (r *segmentReports) observe(report SegmentReport) {
	now := r.client.m.now
	for _, l := range report.Losses {
		r.losses = append(r.losses, reported[quarantine.Loss]{l, now})
	}
	for _, s := range report.Completed {
		r.completed = append(r.completed, reported[quarantine.Completion]{s, now})
	}
	r.losses = newest(r.losses)
	r.completed = newest(r.completed)
	r.client.nextRenew = now
}

func newest[T any](reports []reported[T]) []reported[T] {
	return reports[max(0, len(reports)-maxSegmentReports):]
}

// unconfirmed returns the reports that the leader has not confirmed, and drops those
// that are too old to be repeated.
func (r *segmentReports) unconfirmed() ([]quarantine.Loss, []quarantine.Completion) {
	r.losses = slices.DeleteFunc(r.losses, tooOld[quarantine.Loss](r.client.m.now))
	r.completed = slices.DeleteFunc(r.completed, tooOld[quarantine.Completion](r.client.m.now))
	return pending(r.client, r.losses), pending(r.client, r.completed)
}

func tooOld[T any](now time.Time) func(reported[T]) bool {
	return func(r reported[T]) bool { return now.Sub(r.at) > reportLifetime }
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
