// Package traffic assembles the supervisor subtree that serves callers' requests.
package traffic

import (
	"context"
	"net"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/usage"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// passivePackages are the packages besides engine that New lists in the supervisor
// tree as parts without a goroutine of their own, because they run on the goroutines
// of requests. relay, segments and placement are listed too, but run only in a process that
// NewRouted assembles.
var passivePackages = []string{
	"forward", "relay", "tenancy", "segments", "placement", "dispatch", "admission", "scheduling", "addresses", "budget", "intake",
}

// Options configure the traffic part of a process that dispatches requests by class.
type Options struct {
	// Parent is the node that the traffic subtree is added to.
	Parent     *supervise.Node
	Listener   net.Listener
	Views      *view.Store
	Loop       *loop.Loop
	Dispatcher *dispatch.Dispatcher
	// Applied returns the newest view that the dispatcher has applied.
	Applied func() *view.View
	// VM is this VM's id.
	VM string
	// Incarnation is unique to the lifetime of this process.
	Incarnation uint64
	Limits      frontdoor.Limits
	// Bodies reads the bodies of requests.
	Bodies *intake.Reader
	Server frontdoor.ServerOptions
	// AddressLifetime is how long callers may use a list of addresses.
	AddressLifetime time.Duration
	// NewID returns a new request id.
	NewID func() string
	// OnServed is called for each response that was sent completely.
	OnServed func(class string, t frontdoor.Timing)
	// OnError is called for each request that ends with an error, also after part of
	// the response was sent.
	OnError func(class string, kind fault.Kind)
}

// Traffic is the traffic part of a process that dispatches requests by class.
type Traffic struct {
	Server  *frontdoor.Server
	Handler *frontdoor.Handler
	Client  *engine.HTTPClient
}

// New adds the traffic subtree to o.Parent.
func New(o Options) *Traffic {
	node := o.Parent.Supervisor("traffic")
	client := engine.NewHTTPClient()
	forwarder := forward.New(forward.Options{
		Dispatcher:  o.Dispatcher,
		Client:      client,
		Submitter:   o.Loop,
		VM:          o.VM,
		Incarnation: o.Incarnation,
		NewID:       o.NewID,
	})
	handler := frontdoor.New(frontdoor.Options{
		Views:           o.Views,
		Forwarder:       forwarder,
		Announce:        func(ctx context.Context, s fleet.Server) error { return loop.Announce(ctx, o.Loop, s) },
		Limits:          o.Limits,
		Bodies:          o.Bodies,
		AddressLifetime: o.AddressLifetime,
		NewID:           o.NewID,
		Log:             node.Log().WithName("frontdoor"),
		OnServed:        o.OnServed,
		OnError:         o.OnError,
	})
	t := &Traffic{
		Server:  frontdoor.NewServer(o.Listener, handler, o.Server),
		Handler: handler,
		Client:  client,
	}
	node.Passive("engine")
	for _, name := range passivePackages {
		node.Passive(name)
	}
	node.Service("usage", usage.New(o.Loop, usage.DispatchSource{Dispatcher: o.Dispatcher}, handler.InFlight, o.Applied))
	node.Service("frontdoor", t.Server)
	return t
}
