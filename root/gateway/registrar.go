package gateway

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

const part = "gateway"

// commitTimeout bounds one commit. A caller of the control plane turns to
// another replica after a second.
const commitTimeout = 900 * time.Millisecond

// Loop is the control thread as the registrar uses it.
type Loop interface {
	Post(ctx context.Context, ev machine.Event) error
	Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error)
}

// Registrar takes what backend servers and operators tell the control plane,
// whatever the encoding it came in.
type Registrar struct {
	views *view.Store
	loop  Loop
}

// NewRegistrar returns a registrar before the control thread.
func NewRegistrar(views *view.Store, loop Loop) *Registrar {
	return &Registrar{views: views, loop: loop}
}

// Announce takes a backend server's announcement. The error is of kind
// fault.Invalid for a bad id or a service that the routes don't know, and
// fault.Unavailable when the announcement was not taken.
func (r *Registrar) Announce(ctx context.Context, s fleet.Server) error {
	if !replicated.HasValidID(s) {
		return fault.New(fault.Invalid, part, "the id of a backend server has 1 to %d bytes", authority.MaxIDBytes)
	}
	for _, service := range s.Targets {
		if !r.knowsService(service) {
			return fault.New(fault.Invalid, part, "no service %q", service)
		}
	}
	return r.post(ctx, machine.Announced{Server: s})
}

// knowsService reports whether the service is known. Before the first document none
// can be told apart.
func (r *Registrar) knowsService(service string) bool {
	v := r.views.Load()
	if v == nil || v.Routes == nil {
		return true
	}
	_, known := v.Routes.Service(service)
	return known
}

// Leave takes a backend server's word that it stops. Incarnation 0 means the one
// that is known. The error is of kind fault.Unavailable.
func (r *Registrar) Leave(ctx context.Context, server string, incarnation uint64) error {
	return r.post(ctx, machine.Deregistered{Server: server, Incarnation: incarnation})
}

func (r *Registrar) post(ctx context.Context, ev machine.Event) error {
	if err := r.loop.Post(ctx, ev); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "the announcement was not taken")
	}
	return nil
}

// ReplaceRoutes commits a document and returns the version in force. Without a
// quorum in time the error is of kind fault.NoQuorum.
func (r *Registrar) ReplaceRoutes(ctx context.Context, d *routes.Document) (uint64, error) {
	res, err := r.submit(ctx, replicated.ReplaceRoutes{Document: d})
	return res.Version, err
}

// Routes returns the document in force at a quorum. Before the first one the
// error is of kind fault.NotReady.
func (r *Registrar) Routes(ctx context.Context) (*routes.Document, error) {
	res, err := r.submit(ctx, replicated.ReadRoutes{})
	if err != nil {
		return nil, err
	}
	if res.Routes == nil {
		return nil, fault.New(fault.NotReady, part, "there is no document of routes yet")
	}
	return res.Routes, nil
}

func (r *Registrar) submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
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
