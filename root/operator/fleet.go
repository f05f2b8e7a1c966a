package operator

import (
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Fleet is the fleet as this process sees it.
type Fleet struct {
	VM           string `json:"vm"`
	Term         uint64 `json:"term"`
	Seq          uint64 `json:"seq"`
	TableVersion uint64 `json:"table_version"`
	// Ready says whether this process may take new work now.
	Ready   bool         `json:"ready"`
	VMs     []FleetVM    `json:"vms"`
	Servers []FleetEntry `json:"backend_servers"`
}

// FleetVM is one VM.
type FleetVM struct {
	ID string `json:"id"`
	// Incarnation names this process lifetime; confirm-dead wants it.
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	InFlight      int    `json:"in_flight"`
}

// FleetEntry is one backend server.
type FleetEntry struct {
	ID            string   `json:"id"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	State         string   `json:"state"`
	Role          string   `json:"role"`
	Targets       []string `json:"targets"`
	Running       int      `json:"running"`
	Slots         int      `json:"slots"`
	ChecksFencing bool     `json:"checks_fencing"`
}

func (s *Server) fleet(w http.ResponseWriter, _ *http.Request) {
	v := s.Views.Load()
	if v == nil {
		s.refuse(w, fault.New(fault.NotReady, part, "this process has no view yet"))
		return
	}
	out := Fleet{
		VM: s.VM, Term: v.Term, Seq: v.Seq, TableVersion: v.Table.Version, Ready: v.Ready(time.Now()),
		VMs: []FleetVM{}, Servers: []FleetEntry{},
	}
	for _, vm := range v.VMs {
		out.VMs = append(out.VMs, FleetVM{
			ID:            vm.ID,
			Incarnation:   vm.Incarnation,
			Address:       vm.Address,
			FailureDomain: vm.FailureDomain,
			State:         vm.State.String(),
			InFlight:      vm.InFlight,
		})
	}
	for _, b := range v.Servers {
		out.Servers = append(out.Servers, fleetEntry(b))
	}
	writeJSON(w, out)
}

func fleetEntry(b fleet.Server) FleetEntry {
	return FleetEntry{
		ID:            b.ID,
		Address:       b.Address,
		FailureDomain: b.FailureDomain,
		State:         b.State.String(),
		Role:          b.Role.String(),
		Targets:       b.Targets,
		Running:       b.Load.Running,
		Slots:         b.Slots,
		ChecksFencing: b.ChecksFencing,
	}
}

// DrainRequest begins or ends the drain of a VM or backend server.
type DrainRequest struct {
	ID       string `json:"id"`
	Draining bool   `json:"draining"`
	By       string `json:"by"`
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var req DrainRequest
	if err := readJSON(w, r, &req); err != nil {
		s.refuse(w, err)
		return
	}
	if _, ok := s.submit(w, r, replicated.SetDrain{ID: req.ID, Draining: req.Draining, Operator: req.By}); ok {
		s.Log.Info("a drain was set", "id", req.ID, "draining", req.Draining, "by", req.By)
		writeJSON(w, req)
	}
}
