package root

import (
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// logViewChanges logs what changed between two consecutive views: the leader's term,
// the routing document, backend servers, and VMs that are new or changed state. It
// does not log changes of the table or the removal of VMs.
func (p *Process) logViewChanges(old, next *view.View) {
	if old == nil {
		old = &view.View{}
	}
	log := p.log.WithValues("term", next.Term, "seq", next.Seq)
	if old.Term != next.Term {
		log.Info("leader term changed", "before", old.Term)
	}
	if next.Routes != nil && (old.Routes == nil || old.Routes.Version != next.Routes.Version) {
		log.Info("routing document changed", "version", next.Routes.Version, "routes", len(next.Routes.Routes))
	}
	logServerChanges(log, old.Servers, next.Servers)
	logVMChanges(log, old.VMs, next.VMs)
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
