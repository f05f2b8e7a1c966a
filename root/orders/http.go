package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// HTTP is the Protocol of the product's own backend servers.
type HTTP struct{ client *http.Client }

// NewHTTP returns the protocol.
func NewHTTP() *HTTP { return &HTTP{client: &http.Client{Timeout: answerTimeout}} }

// LateLimit implements Protocol.
func (h *HTTP) LateLimit() time.Duration { return lateLimit }

// Fences implements Protocol: a read of the state carries the fencing number.
func (h *HTTP) Fences() bool { return true }

// Send implements Protocol.
func (h *HTTP) Send(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error) {
	body, err := json.Marshal(encode(o.Order))
	if err != nil {
		return machine.OrderDone{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.Server.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return machine.OrderDone{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	status, reply, err := h.exchange(req)
	if err != nil {
		return machine.OrderDone{}, err
	}
	out := machine.OrderDone{Server: o.Server.ID, Fence: o.Order.Fence, Observed: reply.describe()}
	switch {
	case status == http.StatusOK:
		out.Applied = true
		return out, nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		out.Observed = fmt.Sprintf("refused with status %d", status)
		return out, nil
	default:
		return out, fmt.Errorf("status %d", status)
	}
}

// Observe implements Protocol: it raises the server's fencing number, so that the order can't take
// effect later, and reads whether it did.
func (h *HTTP) Observe(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Server.Address+"/v1/state", nil)
	if err != nil {
		return machine.OrderDone{}, err
	}
	req.Header.Set(FenceHeader, strconv.FormatUint(o.Number, 10))
	status, reply, err := h.exchange(req)
	if err != nil {
		return machine.OrderDone{}, err
	}
	if status != http.StatusOK {
		return machine.OrderDone{}, fmt.Errorf("status %d", status)
	}
	return machine.OrderDone{
		Server: o.Server.ID, Fence: o.Order.Fence, Applied: reply.shows(o.Order), Observed: reply.describe(),
	}, nil
}

func (h *HTTP) exchange(req *http.Request) (int, State, error) {
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, State{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, State{}, err
	}
	var state State
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, &state); err != nil {
			return 0, State{}, err
		}
	}
	return resp.StatusCode, state, nil
}

// Order is the JSON form of an order to a backend server.
type Order struct {
	// Fence is the fencing number; a server that checks refuses an old one.
	Fence uint64 `json:"fence"`
	// Action is load_model, load_adapter, load_version or change_role.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is the JSON form of a backend server's own state.
type State struct {
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
	Role  string `json:"role"`
	// Done are the latest orders that took effect since the server's start.
	Done []Order `json:"done"`
}

// Names of the actions.
const (
	ActionLoadModel   = "load_model"
	ActionLoadAdapter = "load_adapter"
	ActionLoadVersion = "load_version"
	ActionChangeRole  = "change_role"
)

func encode(o authority.Order) Order {
	out := Order{Fence: o.Fence, Model: o.Action.Model, Adapter: o.Action.Adapter, Version: o.Action.Version}
	switch o.Action.Kind {
	case authority.LoadModel:
		out.Action = ActionLoadModel
	case authority.LoadAdapter:
		out.Action = ActionLoadAdapter
	case authority.LoadVersion:
		out.Action = ActionLoadVersion
	case authority.ChangeRole:
		out.Action = ActionChangeRole
		out.Role = o.Action.Role.String()
	}
	return out
}

// shows reports whether the order took effect. A server that has restarted
// since is judged by its role.
func (s State) shows(o authority.Order) bool {
	for _, d := range s.Done {
		if d.Fence == o.Fence {
			return true
		}
	}
	return o.Action.Kind == authority.ChangeRole && s.Role == o.Action.Role.String()
}

func (s State) describe() string {
	return fmt.Sprintf("incarnation %d, fence %d, role %s", s.Incarnation, s.Fence, s.Role)
}
