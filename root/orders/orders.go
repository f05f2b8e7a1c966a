// Package orders carries orders to backend servers: it sends each one until
// the server gives a definite answer, and finds out what became of an order
// that another process left unsettled.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// FenceHeader raises a server's fencing number when its state is read.
const FenceHeader = "Wagtaildyke-Fence"

// Bounds on sending. A role change or a load may take a server a while.
const (
	answerTimeout = 30 * time.Second
	retryFirst    = 200 * time.Millisecond
	retryMost     = 3 * time.Second
	maxReplyBytes = 1 << 20
	// lateLimit is how long a try without an answer may still take effect after
	// its connection was closed.
	lateLimit = 2 * answerTimeout
	// queueLength bounds orders waiting to be picked up; the control thread has
	// at most one per backend server.
	queueLength = 4096
)

// Sender is the service that sends orders, each from a goroutine of its own.
type Sender struct {
	queue  chan machine.IssueOrder
	done   func(machine.OrderDone)
	client *http.Client
	log    logr.Logger
}

// New returns a sender. done is told the definite outcome of each order.
func New(done func(machine.OrderDone), log logr.Logger) *Sender {
	return &Sender{
		queue:  make(chan machine.IssueOrder, queueLength),
		done:   done,
		client: &http.Client{Timeout: answerTimeout},
		log:    log,
	}
}

// Submit queues an order and returns at once.
func (s *Sender) Submit(o machine.IssueOrder) {
	select {
	case s.queue <- o:
	default:
		// The order stays unsettled and is taken up again by the leader.
		s.log.Info("an order found no room in the queue", "server", o.Server.ID, "fence", o.Order.Fence)
	}
}

// Serve runs until ctx ends. Orders without a definite outcome by then stay
// unsettled; a successor finds out what became of them.
func (s *Sender) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.queue:
			go s.carry(ctx, o)
		}
	}
}

// carry sends or observes one order until its outcome is definite.
func (s *Sender) carry(ctx context.Context, o machine.IssueOrder) {
	// uncertainAt is when an earlier try ended without an answer.
	var uncertainAt time.Time
	for wait := retryFirst; ctx.Err() == nil; wait = min(2*wait, retryMost) {
		done, err := s.try(ctx, o, uncertainAt)
		if err == nil {
			s.log.Info("an order is settled", "server", o.Server.ID, "fence", o.Order.Fence, "applied", done.Applied)
			s.done(done)
			return
		}
		uncertainAt = time.Now()
		s.log.Info("an order has no definite answer yet", "server", o.Server.ID, "fence", o.Order.Fence, "reason", err.Error())
		pause(ctx, wait)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// try returns the definite outcome or an error when there is none yet.
func (s *Sender) try(ctx context.Context, o machine.IssueOrder, uncertainAt time.Time) (machine.OrderDone, error) {
	if o.Observe {
		return s.observe(ctx, o)
	}
	done, err := s.send(ctx, o)
	if err != nil || done.Applied || uncertainAt.IsZero() {
		return done, err
	}
	// The refusal speaks of this try; an earlier one may have taken effect or do
	// so yet. Its connection has been closed for at least that long.
	seen, err := s.observe(ctx, o)
	if err != nil || seen.Applied {
		return seen, err
	}
	if time.Since(uncertainAt) < lateLimit {
		return seen, errLate
	}
	return seen, nil
}

// errLate says that an earlier try may still take effect.
var errLate = errors.New("an earlier try may still take effect")

// send repeats the same order under the same number, which changes nothing more.
func (s *Sender) send(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error) {
	body, err := json.Marshal(encode(o.Order))
	if err != nil {
		return machine.OrderDone{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.Server.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return machine.OrderDone{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	status, reply, err := s.exchange(req)
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

// observe raises the server's fencing number, so that the order can't take
// effect later, and reads whether it did.
func (s *Sender) observe(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Server.Address+"/v1/state", nil)
	if err != nil {
		return machine.OrderDone{}, err
	}
	req.Header.Set(FenceHeader, strconv.FormatUint(o.Fence, 10))
	status, reply, err := s.exchange(req)
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

func (s *Sender) exchange(req *http.Request) (int, State, error) {
	resp, err := s.client.Do(req)
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
