package operator

import (
	"net/http"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/orders"
)

// OrderRequest requests a planned change of one backend server. The change waits
// until the server's streams have ended.
type OrderRequest struct {
	Server string `json:"server"`
	// Action is load_model, load_adapter, load_version or change_role.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderResult is the response to an order that took effect.
type OrderResult struct {
	Server   string `json:"server"`
	Fence    uint64 `json:"fence"`
	Observed string `json:"observed"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var req OrderRequest
	if err := s.readJSON(w, r, &req); err != nil {
		s.writeError(w, err)
		return
	}
	action, err := req.toAction()
	if err != nil {
		s.writeError(w, err)
		return
	}
	cmd := replicated.RecordOrder{RecordOrder: authority.RecordOrder{Server: req.Server, Action: action}}
	if res, ok := s.submit(w, r, cmd); ok {
		s.Log.Info("completed an order", "server", req.Server, "action", req.Action, "fence", res.Authority.Fence)
		writeJSON(w, OrderResult{req.Server, res.Authority.Fence, res.Authority.Order.Observed})
	}
}

func (req OrderRequest) toAction() (authority.Action, error) {
	out := authority.Action{Model: req.Model, Adapter: req.Adapter, Version: req.Version}
	switch req.Action {
	case orders.ActionLoadModel:
		out.Kind = authority.LoadModel
	case orders.ActionLoadAdapter:
		out.Kind = authority.LoadAdapter
	case orders.ActionLoadVersion:
		out.Kind = authority.LoadVersion
	case orders.ActionChangeRole:
		out.Kind = authority.ChangeRole
		role, ok := fleet.ParseRole(req.Role)
		if !ok {
			return out, fault.New(fault.Invalid, part, "role %q is not mixed, prefill or decode", req.Role)
		}
		out.Role = role
	default:
		return out, fault.New(fault.Invalid, part, "unknown action %q", req.Action)
	}
	return out, nil
}
