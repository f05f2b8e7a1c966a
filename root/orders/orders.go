// Package orders sends administrative orders to backend servers. It retries each
// order until the server's response gives a definite outcome, and determines the
// outcome of orders that another process left unsettled.
package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const part = "orders"

// FenceHeader carries a fencing token in a request for a server's state. The server
// raises its own token to it.
const FenceHeader = "Wagtaildyke-Fence"

// Limits on sending. The request timeout is long because a role change or the load of
// a model can take a server a while.
const (
	requestTimeout  = 30 * time.Second
	minRetryBackoff = 200 * time.Millisecond
	maxRetryBackoff = 3 * time.Second
	// lateEffectLimit is how long an attempt without a response may still take effect
	// after its connection was closed.
	lateEffectLimit = 2 * requestTimeout
	// queueSize bounds the queued orders. The control thread issues at most one at a
	// time per backend server.
	queueSize = 4096
)

// Sender is the service that sends orders, each in a goroutine of its own.
type Sender struct {
	queue  chan machine.IssueOrder
	onDone func(machine.OrderDone)
	// transport reads responses as strictly as those that callers get.
	transport *engine.Transport
	log       logr.Logger
}

// New returns a sender. It calls onDone with the definite outcome of each order.
func New(onDone func(machine.OrderDone), log logr.Logger) *Sender {
	return &Sender{
		queue:     make(chan machine.IssueOrder, queueSize),
		onDone:    onDone,
		transport: engine.NewTransport(),
		log:       log,
	}
}

// Submit queues an order. It never blocks.
func (s *Sender) Submit(o machine.IssueOrder) {
	select {
	case s.queue <- o:
	default:
		// The order stays unsettled until the leader issues it again.
		s.log.Info("dropped an order: the queue is full", "server", o.Server.ID, "fence", o.Order.Fence)
	}
}

// Serve runs until ctx ends. Orders without a definite outcome by then stay
// unsettled, and the next leader determines their outcome.
func (s *Sender) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-s.queue:
			go s.process(ctx, o)
		}
	}
}

// process sends or observes one order until its outcome is definite.
func (s *Sender) process(ctx context.Context, o machine.IssueOrder) {
	// uncertainAt is the end of the last attempt without a definite response, which may
	// take effect until lateEffectLimit after that; zero if there is none.
	var uncertainAt time.Time
	for wait := minRetryBackoff; ctx.Err() == nil; wait = min(2*wait, maxRetryBackoff) {
		var done machine.OrderDone
		err := supervise.Catch(part, func() (err error) {
			done, err = s.attempt(ctx, o, &uncertainAt)
			return err
		})
		if err == nil {
			s.log.Info("order settled", "server", o.Server.ID, "fence", o.Order.Fence, "applied", done.Applied)
			s.onDone(done)
			return
		}
		s.log.Info("order outcome not known yet, retrying", "server", o.Server.ID, "fence", o.Order.Fence, "reason", err.Error())
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// attempt returns the definite outcome of an order, or an error if it is not known
// yet. It sets uncertainAt if the order was sent without a definite response.
func (s *Sender) attempt(ctx context.Context, o machine.IssueOrder, uncertainAt *time.Time) (machine.OrderDone, error) {
	if o.Observe {
		return s.observe(ctx, o)
	}
	done, err := s.send(ctx, o)
	if err != nil {
		*uncertainAt = time.Now()
	}
	if err != nil || done.Applied || uncertainAt.IsZero() {
		return done, err
	}
	// The rejection concerns this attempt only. An earlier attempt may have taken
	// effect, or may still do so until lateEffectLimit after its connection was closed.
	observed, err := s.observe(ctx, o)
	if err != nil || observed.Applied {
		return observed, err
	}
	if time.Since(*uncertainAt) < lateEffectLimit {
		return observed, errMayTakeEffect
	}
	return observed, nil
}

// errMayTakeEffect reports that an earlier attempt may still take effect.
var errMayTakeEffect = errors.New("an earlier attempt may still take effect")

// send sends an order. Every attempt carries the same fencing token, so that a
// repeated order has no further effect.
func (s *Sender) send(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error) {
	body, err := json.Marshal(encodeOrder(o.Order))
	if err != nil {
		return machine.OrderDone{}, err
	}
	status, state, err := s.roundTrip(ctx, o.Server, engine.RawRequest{
		Method: http.MethodPost, RequestTarget: "/v1/orders", Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	if err != nil {
		return machine.OrderDone{}, err
	}
	out := machine.OrderDone{Server: o.Server.ID, Fence: o.Order.Fence, Observed: state.summary()}
	switch {
	case status == http.StatusOK:
		out.Applied = true
		return out, nil
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		out.Observed = fmt.Sprintf("refused with status %d", status)
		return out, nil
	default:
		return out, fmt.Errorf("server responded with status %d", status)
	}
}

// observe reads from the server's state whether the order has taken effect. The
// request raises the server's fencing token to o.Fence. If that is higher than the
// order's own token, a server that checks tokens rejects the order from then on. A
// server that does not check tokens may still apply it later.
func (s *Sender) observe(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error) {
	status, state, err := s.roundTrip(ctx, o.Server, engine.RawRequest{
		Method: http.MethodGet, RequestTarget: "/v1/state", Header: http.Header{FenceHeader: {strconv.FormatUint(o.Fence, 10)}},
	})
	if err != nil {
		return machine.OrderDone{}, err
	}
	if status != http.StatusOK {
		return machine.OrderDone{}, fmt.Errorf("server responded with status %d", status)
	}
	return machine.OrderDone{
		Server: o.Server.ID, Fence: o.Order.Fence, Applied: state.hasApplied(o.Order), Observed: state.summary(),
	}, nil
}

// roundTrip sends a request, whose target is relative to the server's base URL, on a
// connection of its own, and reads the response.
func (s *Sender) roundTrip(ctx context.Context, server fleet.Server, req engine.RawRequest) (int, State, error) {
	address, base, err := engine.ParseAddress(server)
	if err != nil {
		return 0, State{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req.RequestTarget, req.Host, req.NewConnection = base.Path+req.RequestTarget, base.Host, true
	resp, err := s.transport.Do(ctx, address, 0, req)
	if err != nil {
		return 0, State{}, err
	}
	defer s.transport.CloseIdle()
	defer resp.Body.Close()
	data, err := s.transport.ReadBody(resp.Body)
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
	// Fence is the fencing token. A server that checks tokens rejects a stale one.
	Fence uint64 `json:"fence"`
	// Action is load_model, load_adapter, load_version or change_role.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is the JSON form of the state that a backend server reports.
type State struct {
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest fencing token that the server has received.
	Fence uint64 `json:"fence"`
	Role  string `json:"role"`
	// Done holds the latest orders that took effect since the server started.
	Done []Order `json:"done"`
}

// Values of Order.Action.
const (
	ActionLoadModel   = "load_model"
	ActionLoadAdapter = "load_adapter"
	ActionLoadVersion = "load_version"
	ActionChangeRole  = "change_role"
)

// encodeOrder returns the JSON form of an order.
func encodeOrder(o authority.Order) Order {
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

// hasApplied reports whether the order took effect. A server that has restarted
// since reports no orders, so a role change also counts as applied if the server has
// the role.
func (s State) hasApplied(o authority.Order) bool {
	for _, d := range s.Done {
		if d.Fence == o.Fence {
			return true
		}
	}
	return o.Action.Kind == authority.ChangeRole && s.Role == o.Action.Role.String()
}

// summary returns a one-line description for operators.
func (s State) summary() string {
	return fmt.Sprintf("incarnation %d, fence %d, role %s", s.Incarnation, s.Fence, s.Role)
}
