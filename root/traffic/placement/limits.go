package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// limitBurstTime is the time for which an entry may save up its share of a server's
	// limit, beyond a single request.
	limitBurstTime = 500 * time.Millisecond
	// maxLimitWait bounds the suggested wait for a server whose limit is used up at this
	// entry: another entry may have more of it.
	maxLimitWait = time.Second
	// limitMemory is how long the entry reports that a server names no limit any more, so
	// that the leader tells the others.
	limitMemory = 10 * time.Second
	// limitChange is the part of a limit by which a new one must differ to be reported.
	limitChange = 0.2
	// demandTime is the time over which the demand for a server is averaged.
	demandTime = time.Second
)

// serverLimit is the limit that one incarnation of a server has named for all entries, and
// what this entry has left of its share.
type serverLimit struct {
	incarnation uint64
	// perSecond is the limit; 0 once the server names none any more.
	perSecond float64
	learnedAt time.Time
	// fraction is this entry's share, even until the leader has divided the limit.
	fraction float64
	// tokens are the requests that may be sent, as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// demand is the average rate of requests that the server could have taken, as of
	// demandAt, and wanted counts those since.
	demand   float64
	demandAt time.Time
	wanted   int
}

// refill adds the tokens since the last call.
func (l *serverLimit) refill(now time.Time) {
	rate := l.perSecond * l.fraction
	most := max(1, rate*limitBurstTime.Seconds())
	l.tokens = min(most, l.tokens+rate*max(0, now.Sub(l.tokensAt)).Seconds())
	l.tokensAt = now
}

// wait returns the time until the next request may be sent, at most maxLimitWait.
func (l *serverLimit) wait(now time.Time) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	seconds := (1 - l.tokens) / (l.perSecond * l.fraction)
	return time.Duration(min(seconds, maxLimitWait.Seconds()) * float64(time.Second))
}

// set applies a limit that was learned at the given time.
func (l *serverLimit) set(now time.Time, perSecond float64, learnedAt time.Time) {
	l.refill(now)
	l.perSecond, l.learnedAt = perSecond, learnedAt
}

// updateDemand averages the requests since the last call into demand.
func (l *serverLimit) updateDemand(now time.Time) {
	elapsed := now.Sub(l.demandAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/demandTime.Seconds())
	l.demand += weight * (float64(l.wanted)/elapsed - l.demand)
	l.wanted, l.demandAt = 0, now
}

// limitOf returns the limit of the server's incarnation, or nil.
func (s *State) limitOf(srv *server) *serverLimit {
	if l := s.limits[srv.ID]; l != nil && l.incarnation == srv.Incarnation {
		return l
	}
	return nil
}

// observeLimit applies what a response says of the server's limit; 0 for none. It reports
// whether that differs noticeably from what was known. The response to a request that was
// placed before the limit was learned may be older than the limit, and ends none.
func (s *State) observeLimit(now time.Time, r *Run, perSecond float64) bool {
	srv := r.server
	l := s.limits[srv.ID]
	if l != nil && l.incarnation > srv.Incarnation {
		return false
	}
	if l == nil || l.incarnation < srv.Incarnation {
		if perSecond == 0 {
			return false
		}
		l = s.newLimit(now, srv.ID, srv.Incarnation)
	}
	if perSecond == 0 && !r.placed.After(l.learnedAt) {
		return false
	}
	before := l.perSecond
	l.set(now, perSecond, now)
	return math.Abs(perSecond-before) > limitChange*before
}

func (s *State) newLimit(now time.Time, id string, incarnation uint64) *serverLimit {
	l := &serverLimit{incarnation: incarnation, fraction: 1 / float64(s.entries), tokensAt: now, demandAt: now}
	s.limits[id] = l
	return l
}

// SetServerShares applies this entry's shares of the servers' limits, with the newest limit
// that any entry has learned.
func (s *State) SetServerShares(now time.Time, shares []fleet.ServerShare) {
	for _, share := range shares {
		l := s.limits[share.Server]
		if l == nil || l.incarnation < share.Incarnation {
			l = s.newLimit(now, share.Server, share.Incarnation)
		}
		if l.incarnation > share.Incarnation {
			continue
		}
		if learnedAt := now.Add(-share.Age); learnedAt.After(l.learnedAt) {
			l.set(now, share.LimitPerSecond, learnedAt)
		}
		l.refill(now)
		l.fraction = share.Fraction
	}
}

// countDemand counts the request for each server with a limit that could take it.
func (s *State) countDemand(req *Request) {
	for id, l := range s.limits {
		srv := s.byID[id]
		if srv == nil || srv.Incarnation != l.incarnation {
			continue
		}
		if c := (Candidate{Server: &srv.Server}); s.passesFilters(req, &c) {
			l.wanted++
		}
	}
}

// takeToken counts a request against the server's limit.
func (s *State) takeToken(now time.Time, srv *server) {
	if l := s.limitOf(srv); l != nil && l.perSecond > 0 {
		l.refill(now)
		l.tokens--
	}
}

// ServerDemands returns this entry's demand for each server that has named a limit, and
// for a while for one that names none any more. It forgets the limits of other servers.
func (s *State) ServerDemands(now time.Time) []fleet.ServerDemand {
	var out []fleet.ServerDemand
	for id, l := range s.limits {
		srv := s.byID[id]
		lifted := l.perSecond == 0 && now.Sub(l.learnedAt) > limitMemory
		if srv == nil || srv.Incarnation > l.incarnation || lifted {
			delete(s.limits, id)
			continue
		}
		l.updateDemand(now)
		out = append(out, fleet.ServerDemand{
			Server: id, Incarnation: l.incarnation, LimitPerSecond: l.perSecond,
			Age: now.Sub(l.learnedAt), RatePerSecond: l.demand,
		})
	}
	slices.SortFunc(out, func(a, b fleet.ServerDemand) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
