package root

import (
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// logViewChanges logs what changed between two consecutive views: the leader's term,
// the routing document, prompt segments on which engines crash, backend servers, and VMs
// that are new or changed state. It does not log changes of the table or the removal of
// VMs.
func (p *Process) logViewChanges(old, next *view.View) {
	if old == nil {
		old = &view.View{}
	}
	log := p.log.WithValues("term", next.Term, "seq", next.Seq)
	if old.Term != next.Term {
		log.Info("leader term changed", "before", old.Term)
	}
	if next.Routes != nil && (old.Routes == nil || old.Routes.Version != next.Routes.Version) {
		log.Info("routing document changed", "version", next.Routes.Version, "routes", len(next.Routes.Routes), "tenants", len(next.Routes.Tenants))
	}
	logSegmentChanges(log, old.Segments, next.Segments)
	logServerChanges(log, old.Servers, next.Servers)
	logVMChanges(log, old.VMs, next.VMs)
}

func logSegmentChanges(log logr.Logger, old, next quarantine.List) {
	for _, e := range next.Quarantined {
		if _, known := old.Find([]quarantine.Segment{e.Segment}); !known {
			log.Info("prompt segment quarantined", "segment", e.Segment.String(), "until", time.UnixMilli(e.Until).UTC())
		}
	}
	for _, s := range heldSegments(old) {
		_, quarantined := next.Find([]quarantine.Segment{s})
		_, was := old.Find([]quarantine.Segment{s})
		suspect, found := next.Suspect(s)
		switch onProbation := found && suspect.Probation; {
		case onProbation && was:
			log.Info("prompt segment on probation", "segment", s.String())
		case !onProbation && !quarantined:
			log.Info("prompt segment released", "segment", s.String())
		}
	}
	if suspects := suspectNames(next); !slices.Equal(suspects, suspectNames(old)) {
		log.Info("suspected prompt segments changed", "segments", suspects)
	}
}

// heldSegments returns the segments in quarantine and on probation.
func heldSegments(l quarantine.List) []quarantine.Segment {
	var out []quarantine.Segment
	for _, e := range l.Quarantined {
		out = append(out, e.Segment)
	}
	for _, s := range l.Suspects {
		if s.Probation {
			out = append(out, s.Segment)
		}
	}
	return out
}

func suspectNames(l quarantine.List) []string {
	out := []string{}
	for _, s := range l.Suspects {
		out = append(out, s.Segment.String())
	}
	return out
}

func logServerChanges(log logr.Logger, old, next []fleet.Server) {
	before := make(map[string]fleet.Server, len(old))
	for _, s := range old {
		before[s.ID] = s
	}
	for _, s := range next {
		b, known := before[s.ID]
		delete(before, s.ID)
		if known && b.State == s.State && b.Role == s.Role && b.Incarnation == s.Incarnation {
			continue
		}
		log.Info("backend server changed", "server", s.ID, "address", s.Address, "state", s.State.String(),
			"role", s.Role.String(), "incarnation", s.Incarnation, "announcement", s.Sequence)
	}
	for id := range before {
		log.Info("backend server removed", "server", id)
	}
}

func logVMChanges(log logr.Logger, old, next []fleet.VM) {
	before := make(map[string]fleet.State, len(old))
	for _, vm := range old {
		before[vm.ID] = vm.State
	}
	for _, vm := range next {
		if b, known := before[vm.ID]; !known || b != vm.State {
			log.Info("VM changed", "vm", vm.ID, "state", vm.State.String())
		}
	}
}
