package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

// shares divides each class's fleet-wide limits over the entries by demand.
// The division is made anew once a renew interval.
type shares struct {
	l       *leader
	version uint64
	nextAt  time.Time
	byVM    map[string][]fleet.Share
}

// of returns one entry's shares. An entry that the division does not know yet
// makes it due.
func (s *shares) of(vm string) []fleet.Share {
	_, known := s.byVM[vm]
	if !known || s.l.tableInView().Version != s.version || !s.l.m.now.Before(s.nextAt) {
		s.divide()
	}
	return s.byVM[vm]
}

func (s *shares) divide() {
	s.version = s.l.tableInView().Version
	s.nextAt = s.l.m.now.Add(s.l.m.cfg.Timing.RenewInterval)
	s.byVM = make(map[string][]fleet.Share, len(s.l.holders))
	demands := s.demands()
	for _, c := range s.l.tableInView().Classes {
		for vm, part := range admission.Split(c.Concurrency, demands[c.Name]) {
			s.byVM[vm] = append(s.byVM[vm], fleet.Share{Class: c.Name, Fraction: part})
		}
	}
}

// demands returns what every entry with a lease reports, by class.
func (s *shares) demands() map[string][]admission.EntryDemand {
	out := make(map[string][]admission.EntryDemand, len(s.l.tableInView().Classes))
	for vm, h := range s.l.holders {
		if h.vm.Address == "" || !s.l.m.now.Before(h.until) {
			continue
		}
		reported := make(map[string]fleet.Demand, len(h.demands))
		for _, d := range h.demands {
			reported[d.Class] = d
		}
		for _, c := range s.l.tableInView().Classes {
			d := reported[c.Name]
			out[c.Name] = append(out[c.Name], admission.EntryDemand{
				Entry: vm, Running: d.Running, Waiting: d.Waiting, Rate: d.RatePerSecond,
			})
		}
	}
	return out
}
