package segments

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
)

// Probe is a request that waits for the permission to be sent although its prompt holds
// suspects, or that has it. All methods are safe for concurrent use.
type Probe struct {
	suspects []quarantine.Segment
	granted  chan struct{}
	// grantedAt is set before granted is closed.
	grantedAt time.Time
}

// Granted returns a channel that is closed once the request may be sent.
func (p *Probe) Granted() <-chan struct{} { return p.granted }

// GrantedAt returns when the permission arrived, by the clock of leases, and whether it has.
func (p *Probe) GrantedAt() (time.Time, bool) {
	select {
	case <-p.granted:
		return p.grantedAt, true
	default:
		return time.Time{}, false
	}
}

// Suspects returns the suspects for which the permission was requested, sorted. They must
// not be modified.
func (p *Probe) Suspects() []quarantine.Segment { return p.suspects }

// Covers reports whether the permission was requested for all of the suspects.
func (p *Probe) Covers(suspects []quarantine.Segment) bool {
	return !slices.ContainsFunc(suspects, func(s quarantine.Segment) bool {
		_, found := slices.BinarySearch(p.suspects, s)
		return !found
	})
}

// listing is one probe as the control thread knows it. Requests with the same suspects wait
// for one permission, and the longest waiting one gets it.
type listing struct {
	id uint64
	// waiting is empty once the probe is running.
	waiting []*Probe
	running *Probe
}

func (l *listing) suspects() []quarantine.Segment {
	if l.running != nil {
		return l.running.suspects
	}
	return l.waiting[0].suspects
}

// probes are the probes that this process wants or is running.
type probes struct {
	nextID uint64
	// listings is ordered by id.
	listings []*listing
	// changed is set if the list may have changed since the last report.
	changed bool
}

func (s *probes) add(waiting []*Probe) {
	s.listings = append(s.listings, &listing{id: s.nextID, waiting: waiting})
	s.nextID++
	s.changed = true
}

// request returns a new waiting probe for the suspects.
func (s *probes) request(suspects []quarantine.Segment) *Probe {
	p := &Probe{suspects: slices.Sorted(slices.Values(suspects)), granted: make(chan struct{})}
	for _, l := range s.listings {
		if l.running == nil && slices.Equal(l.suspects(), p.suspects) {
			l.waiting = append(l.waiting, p)
			return p
		}
	}
	s.add([]*Probe{p})
	return p
}

// grant permits the probes with these ids. Requests that waited for the same permission
// want another one from now on. Ids of probes that are not wanted any more are ignored.
func (s *probes) grant(ids []uint64, now time.Time) {
	for _, l := range slices.Clone(s.listings) {
		if l.running != nil || !slices.Contains(ids, l.id) {
			continue
		}
		rest := l.waiting[1:]
		l.running, l.waiting = l.waiting[0], nil
		l.running.grantedAt = now
		close(l.running.granted)
		if len(rest) > 0 {
			s.add(rest)
		}
	}
}

// end removes a probe that has ended, or is not wanted any more, and reports whether there
// was one.
func (s *probes) end(p *Probe) bool {
	for i, l := range s.listings {
		if at := slices.Index(l.waiting, p); at >= 0 {
			l.waiting = slices.Delete(l.waiting, at, at+1)
		} else if l.running != p {
			continue
		}
		if len(l.waiting) == 0 {
			s.listings = slices.Delete(s.listings, i, i+1)
			s.changed = true
		}
		return true
	}
	return false
}

// list returns the probes to report, running ones first, at most quarantine.MaxProbes.
func (s *probes) list() []quarantine.ProbeRequest {
	var out []quarantine.ProbeRequest
	for _, running := range []bool{true, false} {
		for _, l := range s.listings {
			if (l.running != nil) == running && len(out) < quarantine.MaxProbes {
				out = append(out, quarantine.ProbeRequest{ID: l.id, Segments: l.suspects()})
			}
		}
	}
	return out
}
