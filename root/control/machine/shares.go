package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

// shares divides the fleet-wide limits of each class among the entries by demand.
type shares struct {
	l          *leader
	version    uint64
	nextUpdate time.Time
	byVM       map[string][]fleet.Share
}

// forVM returns the shares of one VM; none if it is not an entry. The limits are
// divided anew once per renew interval, for a new table, and at every call for a VM
// without shares: a new entry, a process that is not an entry, and any VM while the
// table has no classes.
func (s *shares) forVM(vm string) []fleet.Share {
	_, known := s.byVM[vm]
	if !known || s.l.currentTable().Version != s.version || !s.l.m.now.Before(s.nextUpdate) {
		s.recompute()
	}
	return s.byVM[vm]
}

func (s *shares) recompute() {
	s.version = s.l.currentTable().Version
	s.nextUpdate = s.l.m.now.Add(s.l.m.cfg.Timing.RenewInterval)
	s.byVM = make(map[string][]fleet.Share, len(s.l.holders))
	demands := s.demands()
	for _, c := range s.l.currentTable().Classes {
		for vm, fraction := range admission.DivideLimit(c.Concurrency, demands[c.Name]) {
			s.byVM[vm] = append(s.byVM[vm], fleet.Share{Class: c.Name, Fraction: fraction})
		}
	}
}

// demands returns the reported demand of every entry with a live lease, by class.
func (s *shares) demands() map[string][]admission.EntryDemand {
	out := make(map[string][]admission.EntryDemand, len(s.l.currentTable().Classes))
	for vm, h := range s.l.holders {
		if h.vm.Address == "" || !s.l.m.now.Before(h.expiresAt) {
			continue
		}
		reported := make(map[string]fleet.Demand, len(h.demands))
		for _, d := range h.demands {
			reported[d.Class] = d
		}
		for _, c := range s.l.currentTable().Classes {
			d := reported[c.Name]
			out[c.Name] = append(out[c.Name], admission.EntryDemand{
				Entry: vm, Running: d.Running, Waiting: d.Waiting, Rate: d.RatePerSecond,
			})
		}
	}
	return out
}
