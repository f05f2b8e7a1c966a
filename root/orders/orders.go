// Package orders carries orders to backend servers: it sends each one until
// the server gives a definite answer, and finds out what became of an order
// that another process left unsettled.
package orders

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

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

// Protocol speaks to backend servers about orders.
type Protocol interface {
	// Send transmits an order and waits for it to be carried out. Repeating it
	// under the same number changes nothing more. An error says that the outcome
	// is not definite.
	Send(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error)
	// Observe finds out whether an order took effect.
	Observe(ctx context.Context, o machine.IssueOrder) (machine.OrderDone, error)
	// LateLimit is how long a try without an answer may still take effect.
	LateLimit() time.Duration
	// Fences says that Observe keeps the order from taking effect later.
	Fences() bool
}

// Sender is the service that sends orders, each from a goroutine of its own.
type Sender struct {
	queue    chan machine.IssueOrder
	done     func(machine.OrderDone)
	protocol Protocol
	log      logr.Logger
}

// New returns a sender. done is told the definite outcome of each order.
func New(done func(machine.OrderDone), protocol Protocol, log logr.Logger) *Sender {
	return &Sender{
		queue:    make(chan machine.IssueOrder, queueLength),
		done:     done,
		protocol: protocol,
		log:      log,
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
	if o.Observe && !s.protocol.Fences() {
		// Its sender may have tried until just now.
		uncertainAt = time.Now()
	}
	for wait := retryFirst; ctx.Err() == nil; wait = min(2*wait, retryMost) {
		done, err := s.try(ctx, o, uncertainAt)
		if err == nil {
			s.log.Info("an order is settled", "server", o.Server.ID, "fence", o.Order.Fence, "applied", done.Applied)
			s.done(done)
			return
		}
		if !o.Observe {
			uncertainAt = time.Now()
		}
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
	if !o.Observe {
		done, err := s.protocol.Send(ctx, o)
		if err != nil || done.Applied || uncertainAt.IsZero() {
			return done, err
		}
	}
	// A refusal speaks of this try; an earlier one may have taken effect or do
	// so yet. Its connection has been closed for at least that long.
	seen, err := s.protocol.Observe(ctx, o)
	if err != nil || seen.Applied || uncertainAt.IsZero() {
		return seen, err
	}
	if time.Since(uncertainAt) < s.protocol.LateLimit() {
		return seen, errLate
	}
	return seen, nil
}

// errLate says that an earlier try may still take effect.
var errLate = errors.New("an earlier try may still take effect")
