// Package gateway is the supervisor of the listeners that a platform's own
// calls arrive at: readiness, the directory of entries, and the control plane. Its
// Registrar decides on what the control plane is told.
package gateway

import (
	"net"
	"net/http"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// Listener is one listener with its handler.
type Listener struct {
	// Name is the place in the tree below the gateway.
	Name    string
	Net     net.Listener
	Handler http.Handler
}

// New adds the gateway's subtree below the ancestor.
func New(ancestor *supervise.Node, listeners []Listener, o frontdoor.ServerOptions) {
	node := ancestor.Supervisor("gateway")
	for _, l := range listeners {
		node.Service(l.Name, frontdoor.NewServer(l.Net, l.Handler, o))
	}
}
