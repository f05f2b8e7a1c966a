package scheduling

import (
	"math"
	"slices"
	"time"
)

// candidates is reused between picks to avoid allocation.
type candidates struct {
	list        []Candidate
	gaps, first []float64
}

// domainLoad sums one failure domain's load and slots.
type domainLoad struct{ running, slots float64 }

// fleetTotals sums what an entry's parts are computed from.
type fleetTotals struct {
	slots, longSlots     int
	own, ownLong         int
	peers                float64
	reported             int
	gapMedian, firstTime float64
}

// candidates describes every server that offers the work's target.
func (s *Scheduler) candidates(now time.Time, w *Work) []Candidate {
	keepRoom := now.Sub(s.lastShort) < shortMemory && !s.lastShort.IsZero()
	offering := s.offering(w)
	total := s.totals(now, offering, keepRoom)
	list := s.scratch.list[:0]
	for _, srv := range offering {
		list = append(list, s.describe(now, w, srv, &total, keepRoom))
	}
	s.scratch.list = list
	s.fillDomains(list)
	return list
}

func (s *Scheduler) offering(w *Work) []*server {
	out := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		if slices.Contains(srv.Targets, w.Target) {
			out = append(out, srv)
		}
	}
	return out
}

func (s *Scheduler) totals(now time.Time, offering []*server, keepRoom bool) fleetTotals {
	var t fleetTotals
	gaps, first := s.scratch.gaps[:0], s.scratch.first[:0]
	for _, srv := range offering {
		t.slots += srv.Slots
		t.longSlots += srv.longSlots(keepRoom)
		t.own += srv.own
		t.ownLong += srv.ownLong
		if srv.reported() {
			t.peers += srv.reportedPeers()
			t.reported++
		}
		if srv.speed.known(now) {
			gaps = append(gaps, srv.speed.gap.value)
		}
		if srv.speed.first.seen >= minSpeedSeen {
			first = append(first, srv.speed.first.value)
		}
	}
	t.gapMedian, t.firstTime = lowMedian(gaps), lowMedian(first)
	s.scratch.gaps, s.scratch.first = gaps, first
	return t
}

func (s *Scheduler) describe(now time.Time, w *Work, srv *server, t *fleetTotals, keepRoom bool) Candidate {
	c := Candidate{
		Server:    &srv.Server,
		Own:       srv.own,
		OwnLong:   srv.ownLong,
		Reported:  srv.reported(),
		ReportAge: srv.reportAge(now),
		Overlap:   srv.prefixes.overlap(w.Prefix),
		LongSlots: srv.longSlots(keepRoom),
	}
	c.Peers = s.peers(srv, &c, t)
	c.Queued = float64(srv.Load.Waiting) * reportWeight(c.ReportAge)
	c.OwnPart = s.part(srv.Slots, t.own, t.slots)
	c.LongPart = s.part(c.LongSlots, t.ownLong, t.longSlots)
	c.Since = srv.begun - srv.begunAtReport
	c.BorrowPart = borrowExcess / float64(s.entries)
	c.Slowness = srv.speed.slowness(now, t.gapMedian, t.firstTime)
	c.Probe = srv.speed.probeDue(now)
	if c.Slowness < slowThreshold {
		srv.speed.healthy(now)
	}
	return c
}

// part returns the entry's part of one server's slots, rounded up; 0 once the
// entry has used its part of all servers together.
func (s *Scheduler) part(slots, ownTotal, slotsTotal int) int {
	if ownTotal >= divideUp(slotsTotal, s.entries) {
		return 0
	}
	return divideUp(slots, s.entries)
}

func divideUp(a, b int) int { return (a + b - 1) / b }

// peers estimates the other entries' running requests on the server: the last
// report, which loses weight with age to the average over servers. Without any
// report the peers are taken to do as this entry does.
func (s *Scheduler) peers(srv *server, c *Candidate, t *fleetTotals) float64 {
	if t.reported == 0 {
		return float64(srv.own * (s.entries - 1))
	}
	mean := t.peers / float64(t.reported)
	if !c.Reported {
		return mean
	}
	weight := reportWeight(c.ReportAge)
	return weight*srv.reportedPeers() + (1-weight)*mean
}

// fillDomains sets each candidate's failure-domain load.
func (s *Scheduler) fillDomains(list []Candidate) {
	domains := map[string]*domainLoad{}
	for i := range list {
		c := &list[i]
		d := domains[c.Server.FailureDomain]
		if d == nil {
			d = &domainLoad{}
			domains[c.Server.FailureDomain] = d
		}
		d.running += c.Running()
		d.slots += math.Max(1, float64(c.Server.Slots))
	}
	for i := range list {
		d := domains[list[i].Server.FailureDomain]
		list[i].DomainLoad = d.running / d.slots
	}
}
