package scheduling

import (
	"math"
	"time"
)

// scratchBuffers are reused between picks to avoid allocation.
type scratchBuffers struct {
	list                   []Candidate
	interToken, firstToken []float64
}

// domainLoad sums the load and slots of one failure domain.
type domainLoad struct{ running, slots float64 }

// eligibleTotals is the input from which describe computes a candidate: sums and
// medians over all eligible servers, and serverLongSlots for the one described.
type eligibleTotals struct {
	// slots counts all slots, reserved those that long requests leave free.
	slots, reserved int
	// serverLongSlots is the number of slots that long requests may use on the server
	// that describe is called for.
	serverLongSlots int
	// peerRunning is the number of requests of other entries in the load reports,
	// reportedServers the number of servers that have one.
	peerRunning     float64
	reportedServers int
	// runningAndQueued is the number of requests that the servers with a fresh report
	// run and queue, begunSinceReport the number that this entry has begun there since.
	runningAndQueued float64
	begunSinceReport int
	// borrow says that this entry may exceed its share of the slots, borrowLong the
	// same for long requests.
	borrow, borrowLong bool
	// longOverLimit says that long requests are estimated to use slots reserved for
	// short ones already. The estimate leaves out requests on servers without a fresh
	// report.
	longOverLimit                      bool
	interTokenMedian, firstTokenMedian float64
}

// candidates describes every server that is eligible for the request.
func (s *Scheduler) candidates(now time.Time, req *Request) []Candidate {
	servers := s.eligibleServers(req)
	totals := s.totals(now, servers)
	list := s.scratch.list[:0]
	for i, srv := range servers {
		totals.serverLongSlots = srv.longSlots(totals.reserved, i, len(servers))
		list = append(list, s.describe(now, req, srv, i, &totals))
	}
	s.scratch.list = list
	s.setDomainLoads(list)
	return list
}

// eligibleServers returns the active servers that offer the target and whose role
// covers the stage.
func (s *Scheduler) eligibleServers(req *Request) []*server {
	out := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if s.isEligible(req, &c) {
			out = append(out, srv)
		}
	}
	return out
}

// totals computes the totals over the eligible servers.
func (s *Scheduler) totals(now time.Time, servers []*server) eligibleTotals {
	var t eligibleTotals
	interToken, firstToken := s.scratch.interToken[:0], s.scratch.firstToken[:0]
	for _, srv := range servers {
		t.slots += srv.Slots
		if srv.reported() {
			t.peerRunning += srv.reportedPeers()
			t.reportedServers++
		}
		if srv.speed.measured(now) {
			interToken = append(interToken, srv.speed.interToken.value)
		}
		if srv.speed.firstToken.samples() >= minSpeedSamples {
			firstToken = append(firstToken, srv.speed.firstToken.value())
		}
	}
	t.reserved = s.reserve.slots(now, t.slots, s.entries)
	s.setBorrowing(now, servers, &t)
	t.interTokenMedian, t.firstTokenMedian = lowerMedian(interToken), lowerMedian(firstToken)
	s.scratch.interToken, s.scratch.firstToken = interToken, firstToken
	return t
}

// setBorrowing decides whether this entry may borrow slots beyond its share, and
// estimates whether long requests exceed their slots.
func (s *Scheduler) setBorrowing(now time.Time, servers []*server, t *eligibleTotals) {
	slots := 0
	for _, srv := range servers {
		if !srv.reported() || srv.reportAge(now) > maxReportAge {
			continue
		}
		slots += srv.Slots
		t.runningAndQueued += float64(srv.Load.Running + srv.Load.Waiting)
		t.begunSinceReport += srv.begun - srv.begunAtReport
	}
	free := float64(slots)*(1-borrowMargin) - t.runningAndQueued
	t.borrow = s.mayBorrow(t.begunSinceReport, free, slots)
	t.borrowLong = s.mayBorrow(t.begunSinceReport, free-float64(t.reserved), slots)
	short := s.reserve.average * float64(s.entries)
	t.longOverLimit = t.runningAndQueued > float64(t.slots-t.reserved)+short
}

// mayBorrow reports whether one more request fits this entry's share of the
// reported free slots. With fewer than fewSlotsPerEntry slots per entry, where that
// share can be less than one, each entry may use one free slot per report.
func (s *Scheduler) mayBorrow(begunSinceReport int, free float64, slots int) bool {
	share := free * borrowFactor / float64(s.entries)
	if slots < fewSlotsPerEntry*s.entries && free >= 1 {
		share = math.Max(share, 1)
	}
	return float64(begunSinceReport+1) <= share
}

// describe returns what is known of the i-th eligible server. It also resets the
// probe schedule of a server that is not slow.
func (s *Scheduler) describe(now time.Time, req *Request, srv *server, i int, t *eligibleTotals) Candidate {
	c := Candidate{
		Server:         &srv.Server,
		OwnRunning:     srv.ownRunning,
		OwnLongRunning: srv.ownLongRunning,
		Reported:       srv.reported(),
		ReportAge:      srv.reportAge(now),
		PrefixOverlap:  srv.prefixCache.overlap(req.Prefix),
		LongSlots:      t.serverLongSlots,
	}
	c.PeerRunning = s.peerRunning(srv, &c, t)
	c.Queued = float64(srv.Load.Waiting) * reportWeight(c.ReportAge)
	c.OwnShare = s.slotShare(srv.Slots, i)
	c.LongShare = s.slotShare(c.LongSlots, i)
	if !hasFreshReport(&c) {
		c.OwnShare, c.LongShare = max(1, c.OwnShare), max(1, c.LongShare)
	}
	if t.longOverLimit {
		c.LongShare = 0
	}
	c.ReserveFree = s.reserve.running < reserveFactor*ceilDiv(t.reserved, s.entries)
	c.Borrow, c.BorrowLong = t.borrow, t.borrowLong
	c.Slowness = srv.speed.slowness(now, t.interTokenMedian, t.firstTokenMedian)
	c.ProbeDue = srv.speed.probeDue(now)
	if c.Slowness < slowThreshold {
		srv.speed.resetProbe(now)
	}
	return c
}

// slotShare returns this entry's share of the slots of the i-th server. The shares
// of all entries add up to the slots; the remainder of the division rotates over the
// entries from server to server.
func (s *Scheduler) slotShare(slots, i int) int {
	n := s.entries
	quotient, remainder := slots/n, slots%n
	if (s.rank+i*remainder)%n < remainder {
		return quotient + 1
	}
	return quotient
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// peerRunning estimates the requests of other entries that run on the server. As
// the server's last report ages, the estimate moves from it to the average over all
// servers. Without any report, other entries are assumed to have as many requests
// on the server as this one.
func (s *Scheduler) peerRunning(srv *server, c *Candidate, t *eligibleTotals) float64 {
	if t.reportedServers == 0 {
		return float64(srv.ownRunning * (s.entries - 1))
	}
	mean := t.peerRunning / float64(t.reportedServers)
	if !c.Reported {
		return mean
	}
	weight := reportWeight(c.ReportAge)
	return weight*srv.reportedPeers() + (1-weight)*mean
}

// setDomainLoads sets the load of each candidate's failure domain.
func (s *Scheduler) setDomainLoads(list []Candidate) {
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
