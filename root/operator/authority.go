package operator

import (
	"net/http"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Confirmation is an operator's statement that a process has ended and that
// nothing that it sent is still under way.
type Confirmation struct {
	VM string `json:"vm"`
	// Incarnation is the newest dead one; earlier ones are dead as well.
	Incarnation uint64 `json:"incarnation"`
	// Server limits the statement to the orders of one backend server.
	Server string `json:"server,omitempty"`
	// Statement says what was checked.
	Statement string `json:"statement"`
	By        string `json:"by"`
}

func (s *Server) confirmDead(w http.ResponseWriter, r *http.Request) {
	var req Confirmation
	if err := readJSON(w, r, &req); err != nil {
		s.refuse(w, err)
		return
	}
	if err := s.refuseIfAlive(req); err != nil {
		s.refuse(w, err)
		return
	}
	cmd := replicated.ConfirmDead{ConfirmDead: authority.ConfirmDead{
		Server: req.Server, VM: req.VM, Incarnation: req.Incarnation, Operator: req.By, Statement: req.Statement,
	}}
	if _, ok := s.submit(w, r, cmd); ok {
		s.Log.Info("a process was confirmed dead", "vm", req.VM, "incarnation", req.Incarnation, "by", req.By)
		writeJSON(w, req)
	}
}

// refuseIfAlive refuses a statement about a process that is heard right now.
func (s *Server) refuseIfAlive(req Confirmation) error {
	v := s.Views.Load()
	if v == nil {
		return nil
	}
	for _, vm := range v.VMs {
		if vm.ID == req.VM && vm.Incarnation <= req.Incarnation && vm.State != fleet.Suspected {
			return fault.New(fault.Conflict, part, "incarnation %d of VM %q is alive: it renewed its lease lately", vm.Incarnation, vm.ID)
		}
	}
	return nil
}

// Fencing says whether a backend server refuses orders with an old fencing number.
type Fencing struct {
	Server string `json:"server"`
	Checks bool   `json:"checks"`
	By     string `json:"by"`
}

func (s *Server) setFencing(w http.ResponseWriter, r *http.Request) {
	var req Fencing
	if err := readJSON(w, r, &req); err != nil {
		s.refuse(w, err)
		return
	}
	cmd := replicated.SetFencing{Server: req.Server, Checks: req.Checks, Operator: req.By}
	if _, ok := s.submit(w, r, cmd); ok {
		s.Log.Info("the fencing setting changed", "server", req.Server, "checks", req.Checks, "by", req.By)
		writeJSON(w, req)
	}
}
