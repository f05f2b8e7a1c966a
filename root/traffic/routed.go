package traffic

import (
	"net"
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/usage"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// RoutedOptions configure the traffic part of a process that places requests by the
// platform's routes.
type RoutedOptions struct {
	// Parent is the node that the traffic subtree is added to.
	Parent   *supervise.Node
	Listener net.Listener
	Views    *view.Store
	Loop     *loop.Loop
	Placer   *placement.Placer
	// Applied returns the newest view that the placer has applied.
	Applied func() *view.View
	Server  frontdoor.ServerOptions
	// Backend returns a client for backend servers that uses the transport.
	Backend func(*engine.Transport) relay.Backend
	// NewHandler returns the HTTP handler that decodes callers' requests and passes them to
	// the relay.
	NewHandler func(*relay.Relay, *supervise.Node) http.Handler
	// MaxBodyBytes bounds request bodies until the routes set a bound.
	MaxBodyBytes int64
	// RetryBudget is this entry's share of the fleet's retry budget.
	RetryBudget *relay.RetryBudget
	// Observer counts attempts.
	Observer relay.Observer
	// Random returns a random number in [0,1), by which the traffic of a route is split
	// over its services.
	Random func() float64
	// Started is the time at which this process began to serve.
	Started time.Time
}

// Routed is the traffic part of a process that places requests by the platform's
// routes.
type Routed struct {
	Server    *frontdoor.Server
	Transport *engine.Transport
	// EndAt prepares for the end of the process; see relay.Relay.EndAt.
	EndAt func(time.Time)
	// InFlight returns the number of callers' requests being served.
	InFlight func() int
	// LogLinesDropped returns the number of successful attempts that were not logged.
	LogLinesDropped func() uint64
	// RefusedKeys returns the number of requests refused for their keys.
	RefusedKeys func() uint64
}

// NewRouted adds the traffic subtree to o.Parent.
func NewRouted(o RoutedOptions) *Routed {
	node := o.Parent.Supervisor("traffic")
	transport := engine.NewTransport()
	observer := segments.NewObserver(o.Loop, o.Views, clock.Now)
	o.Loop.SetProbeGrants(observer)
	requestRelay := relay.New(relay.Options{
		Views:        o.Views,
		Placer:       o.Placer,
		Backend:      o.Backend(transport),
		RetryBudget:  o.RetryBudget,
		Observer:     o.Observer,
		Segments:     observer,
		Random:       o.Random,
		Started:      o.Started,
		MaxBodyBytes: o.MaxBodyBytes,
		Log:          node.Log().WithName("relay"),
	})
	t := &Routed{
		Server:    frontdoor.NewServer(o.Listener, o.NewHandler(requestRelay, node), o.Server),
		Transport: transport,
		EndAt:     requestRelay.EndAt,
		InFlight:  requestRelay.InFlight,

		LogLinesDropped: requestRelay.LogLinesDropped,
		RefusedKeys:     requestRelay.RefusedKeys,
	}
	for _, name := range []string{"engine", "tenancy", "placement", "admission", "addresses", "budget", "intake"} {
		node.Passive(name)
	}
	node.Service("usage", usage.New(o.Loop, usage.PlacementSource{Placer: o.Placer}, requestRelay.InFlight, o.Applied))
	node.Service("segments", observer)
	node.Service("relay", requestRelay.Checks())
	node.Service("frontdoor", t.Server)
	return t
}
