package gateway

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const part = "gateway"

// submitTimeout bounds the wait for the result of a command. It is below one second,
// the time after which a client of the control plane tries another replica.
const submitTimeout = 900 * time.Millisecond

// Registrar handles the control plane requests of backend servers and operators.
// Decoding them is up to the caller.
type Registrar struct {
	views *view.Store
	loop  loop.Control
}

// NewRegistrar returns a registrar that passes requests on to the control thread.
func NewRegistrar(views *view.Store, control loop.Control) *Registrar {
	return &Registrar{views: views, loop: control}
}

// Announce handles the announcement of a backend server. The error is of kind
// fault.Invalid for texts that fleet.Server.Validate rejects or a service that the routing
// document does not define. Other errors are those of loop.Announce.
func (r *Registrar) Announce(ctx context.Context, s fleet.Server) error {
	if err := s.Validate(); err != nil {
		return err
	}
	for _, service := range s.Targets {
		if !r.knowsService(service) {
			return fault.New(fault.Invalid, part, "unknown service %q", service)
		}
	}
	return loop.Announce(ctx, r.loop, s)
}

// knowsService reports whether the routing document defines a service. Before the
// first document, and by a view that is not fresh, every service counts as known.
func (r *Registrar) knowsService(service string) bool {
	v := r.views.Load()
	if v == nil || v.Routes == nil || !v.Fresh(clock.Now()) {
		return true
	}
	_, known := v.Routes.Service(service)
	return known
}

// Deregister handles the deregistration of a stopping backend server. Incarnation 0
// means the known one. The error is of kind fault.Invalid for an invalid id. Other errors
// are those of loop.Deregister.
func (r *Registrar) Deregister(ctx context.Context, server string, incarnation uint64) error {
	if err := fleet.ValidateID(server); err != nil {
		return err
	}
	return loop.Deregister(ctx, r.loop, server, incarnation)
}

// ReplaceRoutes commits a routing document and returns the version of the current
// one. The error is of kind fault.NoQuorum if the result does not arrive in time, in
// which case the document may still be committed later, and fault.Unavailable if the
// control thread did not accept the command in time.
func (r *Registrar) ReplaceRoutes(ctx context.Context, d *routes.Document) (uint64, error) {
	res, err := r.submit(ctx, replicated.ReplaceRoutes{Document: d})
	return res.Version, err
}

// Routes returns the current routing document, confirmed by a quorum. Before the
// first one the error is of kind fault.NotReady. Other errors are as for ReplaceRoutes.
func (r *Registrar) Routes(ctx context.Context) (*routes.Document, error) {
	res, err := r.submit(ctx, replicated.ReadRoutes{})
	if err != nil {
		return nil, err
	}
	if res.Routes == nil {
		return nil, fault.New(fault.NotReady, part, "no routing document exists yet")
	}
	return res.Routes, nil
}

func (r *Registrar) submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	res, err := r.loop.Submit(ctx, cmd)
	if err != nil {
		return res, err
	}
	if res.Err != nil {
		return res, res.Err
	}
	return res, nil
}
