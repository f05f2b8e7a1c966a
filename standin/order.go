package standin

import (
	"encoding/json"
	"net/http"
)

// Order is the JSON form of an order to a backend server.
type Order struct {
	// Fence is the fencing number; a server that checks refuses an old one.
	Fence uint64 `json:"fence"`
	// Action is load_model, load_adapter, load_version or change_role.
	Action string `json:"action"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
}

// State is the JSON form of a backend server's own state.
type State struct {
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest fencing number seen.
	Fence uint64  `json:"fence"`
	Role  string  `json:"role"`
	Done  []Order `json:"done"`
}

// orderState is what orders have changed.
type orderState struct {
	fence uint64
	role  string
	done  []Order
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.currentFaults().IgnoreOrders {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksFencing && o.Fence < s.orders.fence {
		http.Error(w, `{"error":{"message":"old fencing number"}}`, http.StatusConflict)
		return
	}
	s.orders.fence = max(s.orders.fence, o.Fence)
	if o.Action == "change_role" {
		s.orders.role = o.Value
	}
	s.orders.done = append(s.orders.done, o)
	writeJSON(w, s.stateLocked())
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.stateLocked())
}

func (s *Server) stateLocked() State {
	done := append([]Order{}, s.orders.done...)
	return State{Incarnation: s.incarnation, Fence: s.orders.fence, Role: s.roleLocked(), Done: done}
}

func (s *Server) roleLocked() string {
	if s.orders.role == "" {
		return "mixed"
	}
	return s.orders.role
}

// Orders returns the orders that had an effect.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders.done...)
}
