package machine

import (
	"math"
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

// limitUnitTime is the time in which an entry may send one request for each unit of a
// limit that it has. A limit of 1.2 requests per second has two units: two of the entries
// share it, however many there are.
const limitUnitTime = 2 * time.Second

// noticeableDemand is the smallest demand of an entry that gets a share, as a fraction of
// that of the entry with the highest.
const noticeableDemand = 0.05

// serverLimits divides the limits that backend servers name among the entries by demand.
type serverLimits struct {
	l          *leader
	known      map[string]serverLimit
	nextUpdate time.Time
	byVM       map[string][]fleet.ServerShare
}

// serverLimit is the newest limit of a server. It is 0 if the server names none any more.
type serverLimit struct {
	incarnation uint64
	perSecond   float64
	learnedAt   time.Time
}

// observe records the limits that an entry reports.
func (s *serverLimits) observe(demands []fleet.ServerDemand) {
	for _, d := range demands {
		at := s.l.m.now.Add(-d.Age)
		known, ok := s.known[d.Server]
		if ok && (known.incarnation > d.Incarnation || known.incarnation == d.Incarnation && !at.After(known.learnedAt)) {
			continue
		}
		s.known[d.Server] = serverLimit{incarnation: d.Incarnation, perSecond: d.LimitPerSecond, learnedAt: at}
	}
}

// forVM returns the shares of a VM, one for each server that it has reported. The limits are
// divided anew once per renew interval, and for a VM without shares.
func (s *serverLimits) forVM(vm string) []fleet.ServerShare {
	if h := s.l.holders[vm]; len(h.serverDemands) == 0 {
		return nil
	}
	if _, known := s.byVM[vm]; !known || !s.l.m.now.Before(s.nextUpdate) {
		s.recompute()
	}
	return s.byVM[vm]
}

func (s *serverLimits) recompute() {
	s.nextUpdate = s.l.m.now.Add(s.l.m.cfg.Timing.RenewInterval)
	s.byVM = make(map[string][]fleet.ServerShare, len(s.l.holders))
	demands := s.demands()
	for _, id := range sortedKeys(s.known) {
		limit := s.known[id]
		entries := demands[id]
		if len(entries) == 0 {
			delete(s.known, id)
			continue
		}
		units := max(1, int(math.Min(limit.perSecond*limitUnitTime.Seconds(), math.MaxInt32)))
		fractions := admission.DivideLimit(units, withDemand(entries))
		for _, e := range entries {
			s.byVM[e.Entry] = append(s.byVM[e.Entry], fleet.ServerShare{
				Server: id, Incarnation: limit.incarnation, LimitPerSecond: limit.perSecond,
				Age: s.l.m.now.Sub(limit.learnedAt), Fraction: fractions[e.Entry],
			})
		}
	}
}

// withDemand returns the entries with a noticeable part of the demand, or all if there is
// none. The others need no share: they have other servers.
func withDemand(entries []admission.EntryDemand) []admission.EntryDemand {
	most := 0.0
	for _, e := range entries {
		most = max(most, e.Rate)
	}
	return slices.DeleteFunc(slices.Clone(entries), func(e admission.EntryDemand) bool { return e.Rate < noticeableDemand*most })
}

// demands returns what the entries with a live lease have reported, by server.
func (s *serverLimits) demands() map[string][]admission.EntryDemand {
	out := make(map[string][]admission.EntryDemand, len(s.known))
	for vm, h := range s.l.holders {
		if !s.l.m.now.Before(h.expiresAt) {
			continue
		}
		for _, d := range h.serverDemands {
			out[d.Server] = append(out[d.Server], admission.EntryDemand{Entry: vm, Rate: d.RatePerSecond})
		}
	}
	return out
}
