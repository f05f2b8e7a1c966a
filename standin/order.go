package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/wagtaildyke/wagtaildyke/root/orders"
)

// orderState is what orders have changed.
type orderState struct {
	fence uint64
	role  string
	done  []orders.Order
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orders.Order
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
	if o.Action == orders.ActionChangeRole {
		s.orders.role = o.Role
	}
	s.orders.done = append(s.orders.done, o)
	writeJSON(w, s.stateLocked())
}

// serveState answers with the state. A fencing number in the request is raised
// first, so that an older order can't take effect later.
func (s *Server) serveState(w http.ResponseWriter, r *http.Request) {
	// A header that is absent or no number raises nothing.
	fence, _ := strconv.ParseUint(r.Header.Get(orders.FenceHeader), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders.fence = max(s.orders.fence, fence)
	writeJSON(w, s.stateLocked())
}

func (s *Server) stateLocked() orders.State {
	done := append([]orders.Order{}, s.orders.done...)
	return orders.State{Incarnation: s.incarnation, Fence: s.orders.fence, Role: s.roleLocked(), Done: done}
}

func (s *Server) roleLocked() string {
	if s.orders.role == "" {
		return "mixed"
	}
	return s.orders.role
}

// Orders returns the orders that had an effect.
func (s *Server) Orders() []orders.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]orders.Order(nil), s.orders.done...)
}

// ordersDone returns the number of orders that took effect.
func (s *Server) ordersDone() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orders.done)
}
