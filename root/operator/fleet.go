package operator

import (
	"net/http"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Fleet describes the fleet according to the current view of this process.
type Fleet struct {
	VM           string `json:"vm"`
	Term         uint64 `json:"term"`
	Seq          uint64 `json:"seq"`
	TableVersion uint64 `json:"table_version"`
	// Ready says whether this process may accept new requests.
	Ready   bool          `json:"ready"`
	VMs     []FleetVM     `json:"vms"`
	Servers []FleetServer `json:"backend_servers"`
}

// FleetVM describes one VM of the fleet.
type FleetVM struct {
	ID string `json:"id"`
	// Incarnation identifies the VM's current process. It is an argument of the
	// confirm-dead command.
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	InFlight      int    `json:"in_flight"`
}

// FleetServer describes one backend server of the fleet.
type FleetServer struct {
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

func (s *Server) getFleet(w http.ResponseWriter, _ *http.Request) {
	v := s.Views.Load()
	if v == nil {
		s.writeError(w, fault.New(fault.NotReady, part, "this process has no view yet"))
		return
	}
	out := Fleet{
		VM: s.VM, Term: v.Term, Seq: v.Seq, TableVersion: v.Table.Version, Ready: v.Ready(clock.Now()),
		VMs: []FleetVM{}, Servers: []FleetServer{},
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
		out.Servers = append(out.Servers, fleetServer(b))
	}
	writeJSON(w, out)
}

func fleetServer(b fleet.Server) FleetServer {
	return FleetServer{
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

// DrainRequest starts or ends the drain of a VM or backend server.
type DrainRequest struct {
	ID       string `json:"id"`
	Draining bool   `json:"draining"`
	By       string `json:"by"`
}

func (s *Server) setDrain(w http.ResponseWriter, r *http.Request) {
	var req DrainRequest
	if err := s.readJSON(w, r, &req); err != nil {
		s.writeError(w, err)
		return
	}
	if _, ok := s.submit(w, r, replicated.SetDrain{ID: req.ID, Draining: req.Draining, Operator: req.By}); ok {
		s.Log.Info("changed a drain setting", "id", req.ID, "draining", req.Draining, "by", req.By)
		writeJSON(w, req)
	}
}
