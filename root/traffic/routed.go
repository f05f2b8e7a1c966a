package traffic

import (
	"net"
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/usage"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// RoutedOptions describe the traffic part of a process behind a platform's front.
type RoutedOptions struct {
	Ancestor *supervise.Node
	Listener net.Listener
	Views    *view.Store
	Loop     *loop.Loop
	Placer   *placement.Placer
	// Applied returns the newest view that the dispatcher goes by.
	Applied func() *view.View
	Server  frontdoor.ServerOptions
	// Backend returns the protocol towards backend servers over a transport.
	Backend func(*engine.Transport) relay.Backend
	// Front returns the handler of callers' requests.
	Front func(*relay.Relay, *supervise.Node) http.Handler
	// MaxBodyBytes bounds a request's body until routes give a bound.
	MaxBodyBytes int64
	Retries      *relay.Retries
	// Observe counts attempts.
	Observe relay.Observer
	Draw    func() float64
	// Started is when this process began to serve.
	Started time.Time
}

// Routed is the running traffic part of a process behind a platform's front.
type Routed struct {
	Server    *frontdoor.Server
	Transport *engine.Transport
	// InFlight returns the number of callers' requests being served.
	InFlight func() int
	// LinesDropped returns the number of attempts that went well and have no line
	// in the log.
	LinesDropped func() uint64
}

// NewRouted adds the traffic subtree below o.Ancestor.
func NewRouted(o RoutedOptions) *Routed {
	node := o.Ancestor.Supervisor("traffic")
	transport := engine.NewTransport()
	carrier := relay.New(relay.Options{
		Views:        o.Views,
		Placer:       o.Placer,
		Backend:      o.Backend(transport),
		Retries:      o.Retries,
		Observe:      o.Observe,
		Draw:         o.Draw,
		Started:      o.Started,
		MaxBodyBytes: o.MaxBodyBytes,
		Log:          node.Log().WithName("relay"),
	})
	t := &Routed{
		Server:    frontdoor.NewServer(o.Listener, o.Front(carrier, node), o.Server),
		Transport: transport,
		InFlight:  carrier.InFlight,

		LinesDropped: carrier.LinesDropped,
	}
	for _, name := range []string{"engine", "relay", "placement", "admission", "addresses"} {
		node.Passive(name)
	}
	node.Service("usage", usage.New(o.Loop, usage.PlacementSource{Placer: o.Placer}, carrier.InFlight, o.Applied))
	node.Service("frontdoor", t.Server)
	return t
}
