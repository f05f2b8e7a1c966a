package operator

import (
	"net/http"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// DeathConfirmation is an operator's assertion that a process has ended and that
// none of its messages is still in transit.
type DeathConfirmation struct {
	VM string `json:"vm"`
	// Incarnation is the newest dead incarnation. Earlier ones are dead as well.
	Incarnation uint64 `json:"incarnation"`
	// Server limits the confirmation to the orders to one backend server. If it is
	// empty, the confirmation covers all backend servers.
	Server string `json:"server,omitempty"`
	// Statement describes what the operator checked.
	Statement string `json:"statement"`
	// By is the name of the operator.
	By string `json:"by"`
}

func (s *Server) confirmDead(w http.ResponseWriter, r *http.Request) {
	var req DeathConfirmation
	if err := s.readJSON(w, r, &req); err != nil {
		s.writeError(w, err)
		return
	}
	if err := s.rejectIfAlive(req); err != nil {
		s.writeError(w, err)
		return
	}
	cmd := replicated.ConfirmDead{ConfirmDead: authority.ConfirmDead{
		Server: req.Server, VM: req.VM, Incarnation: req.Incarnation, Operator: req.By, Statement: req.Statement,
	}}
	if _, ok := s.submit(w, r, cmd); ok {
		s.Log.Info("confirmed the death of a process", "vm", req.VM, "incarnation", req.Incarnation, "by", req.By)
		writeJSON(w, req)
	}
}

// rejectIfAlive returns an error if, in the current view, the confirmation covers the
// VM's running process and that process is not suspected to have failed. It accepts
// the confirmation when there is no view.
func (s *Server) rejectIfAlive(req DeathConfirmation) error {
	v := s.Views.Load()
	if v == nil {
		return nil
	}
	for _, vm := range v.VMs {
		if vm.ID == req.VM && vm.Incarnation <= req.Incarnation && vm.State != fleet.Suspected {
			return fault.New(fault.Conflict, part, "incarnation %d of VM %q is alive: it renewed its lease recently", vm.Incarnation, vm.ID)
		}
	}
	return nil
}

// FencingRequest says whether a backend server rejects orders with an outdated
// fencing token.
type FencingRequest struct {
	Server string `json:"server"`
	Checks bool   `json:"checks"`
	By     string `json:"by"`
}

func (s *Server) setFencing(w http.ResponseWriter, r *http.Request) {
	var req FencingRequest
	if err := s.readJSON(w, r, &req); err != nil {
		s.writeError(w, err)
		return
	}
	cmd := replicated.SetFencing{Server: req.Server, Checks: req.Checks, Operator: req.By}
	if _, ok := s.submit(w, r, cmd); ok {
		s.Log.Info("changed a fencing setting", "server", req.Server, "checks", req.Checks, "by", req.By)
		writeJSON(w, req)
	}
}
