// Package gateway supervises the HTTP servers for a platform's own requests:
// readiness checks, the directory of entries, the control plane and metrics. Its
// Registrar handles control plane requests, independent of their encoding.
package gateway

import (
	"net"
	"net/http"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// Endpoint is a listener with the handler that serves it.
type Endpoint struct {
	// Name is the name of the server in the supervisor tree, below the gateway.
	Name     string
	Listener net.Listener
	Handler  http.Handler
	Server   frontdoor.ServerOptions
}

// New adds the gateway and a server for each endpoint to the supervisor tree, below
// parent.
func New(parent *supervise.Node, endpoints []Endpoint) {
	node := parent.Supervisor("gateway")
	for _, e := range endpoints {
		node.Service(e.Name, frontdoor.NewServer(e.Listener, e.Handler, e.Server))
	}
}
