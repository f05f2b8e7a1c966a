package frontdoor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// ServerOptions bound connections.
type ServerOptions struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server is the service that listens for callers.
type Server struct {
	ln   net.Listener
	http *http.Server
}

// NewServer returns the service for ln.
func NewServer(ln net.Listener, h http.Handler, o ServerOptions) *Server {
	return &Server{
		ln: ln,
		http: &http.Server{
			Handler:           h,
			MaxHeaderBytes:    o.MaxHeaderBytes,
			ReadHeaderTimeout: o.HeaderTimeout,
			IdleTimeout:       o.IdleTimeout,
		},
	}
}

// Serve runs until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Drain closes the listener and waits for the requests in flight, at most
// until ctx ends. It returns an error when requests were left.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }
