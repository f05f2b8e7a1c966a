package scheduling

import (
	"math"
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
	slots, room int
	// longHere is the slots for long work of the server being described.
	longHere int
	peers    float64
	reported int
	// running is what the servers reported, since what this entry began after.
	running              float64
	since                int
	borrow, borrowLong   bool
	longOverfull         bool
	gapMedian, firstTime float64
}

// candidates describes every server that may take the work by target and role.
func (s *Scheduler) candidates(now time.Time, w *Work) []Candidate {
	offering := s.offering(w)
	total := s.totals(now, offering)
	list := s.scratch.list[:0]
	for i, srv := range offering {
		total.longHere = srv.longSlots(total.room, i, len(offering))
		list = append(list, s.describe(now, w, srv, i, &total))
	}
	s.scratch.list = list
	s.fillDomains(list)
	return list
}

// offering returns the active servers of the right role that offer the target.
func (s *Scheduler) offering(w *Work) []*server {
	out := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if s.offers(w, &c) {
			out = append(out, srv)
		}
	}
	return out
}

// totals sums what parts and medians are computed from.
func (s *Scheduler) totals(now time.Time, offering []*server) fleetTotals {
	var t fleetTotals
	gaps, first := s.scratch.gaps[:0], s.scratch.first[:0]
	for _, srv := range offering {
		t.slots += srv.Slots
		if srv.reported() {
			t.peers += srv.reportedPeers()
			t.reported++
		}
		if srv.speed.known(now) {
			gaps = append(gaps, srv.speed.gap.value)
		}
		if srv.speed.first.seen() >= minSpeedSeen {
			first = append(first, srv.speed.first.value())
		}
	}
	t.room = s.room.slots(now, t.slots, s.entries)
	s.allowances(now, offering, &t)
	t.gapMedian, t.firstTime = lowMedian(gaps), lowMedian(first)
	s.scratch.gaps, s.scratch.first = gaps, first
	return t
}

// allowances decides whether the entry may borrow slots beyond its part, and
// whether long work fills more than its slots already.
func (s *Scheduler) allowances(now time.Time, offering []*server, t *fleetTotals) {
	slots := 0
	for _, srv := range offering {
		if !srv.reported() || srv.reportAge(now) > staleReport {
			continue
		}
		slots += srv.Slots
		t.running += float64(srv.Load.Running + srv.Load.Waiting)
		t.since += srv.begun - srv.begunAtReport
	}
	free := float64(slots)*(1-borrowMargin) - t.running
	t.borrow = s.mayBorrow(t.since, free, slots)
	t.borrowLong = s.mayBorrow(t.since, free-float64(t.room), slots)
	short := s.room.average * float64(s.entries)
	t.longOverfull = t.running > float64(t.slots-t.room)+short
}

// mayBorrow reports whether one more request fits this entry's part of the
// reported free slots. In a small pool, where parts come to less than one, each
// entry may use one free slot per report.
func (s *Scheduler) mayBorrow(since int, free float64, slots int) bool {
	part := free * borrowExcess / float64(s.entries)
	if slots < smallPool*s.entries && free >= 1 {
		part = math.Max(part, 1)
	}
	return float64(since+1) <= part
}

// describe returns what is known of the i-th server.
func (s *Scheduler) describe(now time.Time, w *Work, srv *server, i int, t *fleetTotals) Candidate {
	c := Candidate{
		Server:    &srv.Server,
		Own:       srv.own,
		OwnLong:   srv.ownLong,
		Reported:  srv.reported(),
		ReportAge: srv.reportAge(now),
		Overlap:   srv.prefixes.overlap(w.Prefix),
		LongSlots: t.longHere,
	}
	c.Peers = s.peers(srv, &c, t)
	c.Queued = float64(srv.Load.Waiting) * reportWeight(c.ReportAge)
	c.OwnPart = s.part(srv.Slots, i)
	c.LongPart = s.part(c.LongSlots, i)
	if !fresh(&c) {
		c.OwnPart, c.LongPart = max(1, c.OwnPart), max(1, c.LongPart)
	}
	if t.longOverfull {
		c.LongPart = 0
	}
	c.RoomFree = s.room.running < roomExcess*divideUp(t.room, s.entries)
	c.Borrow, c.BorrowLong = t.borrow, t.borrowLong
	c.Slowness = srv.speed.slowness(now, t.gapMedian, t.firstTime)
	c.Probe = srv.speed.probeDue(now)
	if c.Slowness < slowThreshold {
		srv.speed.healthy(now)
	}
	return c
}

// part returns this entry's part of the slots of the i-th server. The parts of
// all entries add up to the slots; what does not divide evenly rotates.
func (s *Scheduler) part(slots, i int) int {
	n := s.entries
	whole, rest := slots/n, slots%n
	if (s.index+i*rest)%n < rest {
		return whole + 1
	}
	return whole
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
