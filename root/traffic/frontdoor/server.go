package frontdoor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// ServerOptions are limits on connections.
type ServerOptions struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server is an HTTP server that runs as a supervised service.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// NewServer returns a Server that accepts connections from listener.
func NewServer(listener net.Listener, h http.Handler, o ServerOptions) *Server {
	return &Server{
		listener: listener,
		server: &http.Server{
			Handler:           h,
			MaxHeaderBytes:    o.MaxHeaderBytes,
			ReadHeaderTimeout: o.HeaderTimeout,
			IdleTimeout:       o.IdleTimeout,
		},
	}
}

// Serve accepts connections until ctx ends or the listener fails. After Drain it
// waits for ctx.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Drain closes the listener and waits for in-flight requests until ctx ends. It
// returns an error if requests are left then.
func (s *Server) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }
