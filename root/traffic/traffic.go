// Package traffic builds the supervisor of what callers' requests pass through.
package traffic

import (
	"context"
	"net"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/usage"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// passive are the parts that run on the goroutines of requests.
var passive = []string{"forward", "relay", "placement", "dispatch", "admission", "scheduling", "addresses"}

// Options describe the traffic part of one process.
type Options struct {
	Ancestor   *supervise.Node
	Listener   net.Listener
	Views      *view.Store
	Loop       *loop.Loop
	Dispatcher *dispatch.Dispatcher
	// Applied returns the newest view that the dispatcher goes by.
	Applied func() *view.View
	VM      string
	// Incarnation is unique to this process lifetime.
	Incarnation     uint64
	Limits          frontdoor.Limits
	Server          frontdoor.ServerOptions
	AddressLifetime time.Duration
	NewID           func() string
	Served          func(class string, t frontdoor.Timing)
	Refused         func(class string, kind fault.Kind)
}

// Traffic is the running traffic part.
type Traffic struct {
	Server  *frontdoor.Server
	Handler *frontdoor.Handler
	Engine  *engine.HTTP
}

// New adds the traffic subtree below o.Ancestor.
func New(o Options) *Traffic {
	node := o.Ancestor.Supervisor("traffic")
	client := engine.NewHTTP()
	forwarder := forward.New(forward.Options{
		Dispatcher:  o.Dispatcher,
		Client:      client,
		Submitter:   o.Loop,
		VM:          o.VM,
		Incarnation: o.Incarnation,
		NewID:       o.NewID,
	})
	handler := frontdoor.New(frontdoor.Options{
		Views:     o.Views,
		Forwarder: forwarder,
		Announce: func(ctx context.Context, s fleet.Server) {
			// An announcement that finds no room is repeated within a second.
			_ = o.Loop.Post(ctx, machine.Announced{Server: s})
		},
		Limits:          o.Limits,
		AddressLifetime: o.AddressLifetime,
		NewID:           o.NewID,
		Log:             node.Log().WithName("frontdoor"),
		Served:          o.Served,
		Refused:         o.Refused,
	})
	t := &Traffic{
		Server:  frontdoor.NewServer(o.Listener, handler, o.Server),
		Handler: handler,
		Engine:  client,
	}
	node.Passive("engine")
	for _, name := range passive {
		node.Passive(name)
	}
	node.Service("usage", usage.New(o.Loop, usage.DispatchSource{Dispatcher: o.Dispatcher}, handler.InFlight, o.Applied))
	node.Service("frontdoor", t.Server)
	return t
}
