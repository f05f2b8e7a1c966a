package frontdoor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// acceptQueuedTime is how long Drain accepts the connections that are queued.
	acceptQueuedTime = 50 * time.Millisecond
	// firstRequestTime is how long Drain waits for the first request on a new connection,
	// and for a request that crosses the response before it.
	firstRequestTime = 100 * time.Millisecond
	// drainInterval is the time between two looks at the open connections in Drain.
	drainInterval = 10 * time.Millisecond
)

// ServerOptions are limits on connections.
type ServerOptions struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// Guard bounds the connections and heads of the server; nil for no bounds.
	Guard *Guard
}

// Server is an HTTP server that runs as a supervised service.
type Server struct {
	listener *drainingListener
	// accepted is listener, with the bounds of a Guard if there is one.
	accepted    net.Listener
	server      *http.Server
	connections *connections
	// closing is set once responses tell clients to open another connection.
	closing atomic.Bool
}

// NewServer returns a Server that accepts connections from listener.
func NewServer(listener net.Listener, h http.Handler, o ServerOptions) *Server {
	s := &Server{listener: &drainingListener{Listener: listener}, connections: newConnections()}
	s.accepted = s.listener
	if o.Guard != nil {
		s.accepted = &guardedListener{Listener: s.listener, guard: o.Guard}
	}
	s.server = &http.Server{
		Handler:           abortEvicted(s.announceClose(resetAborted(h))),
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		ConnState:         s.connections.observe,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	return s
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// abortEvicted does not run a request whose connection was evicted as its head ended.
func abortEvicted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*guardedConn); ok && conn.wasEvicted() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// announceClose adds Connection: close to the responses of a server that closes its
// connections.
func (s *Server) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// resetAborted resets the connection of a response that the handler aborts, if it may be
// one that ends with its connection: a connection that is closed in order would complete it.
func resetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if reason != http.ErrAbortHandler || r.ProtoAtLeast(1, 1) {
				panic(reason)
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(reason)
			}
			if tcp, ok := rawConn(conn).(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			conn.Close()
		}()
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections until ctx ends or the listener fails. After Drain it
// waits for ctx.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	err := s.server.Serve(s.accepted)
	if errors.Is(err, http.ErrServerClosed) || s.listener.draining.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// CloseAfterResponses makes each further response close its connection, so that callers
// open the next one elsewhere.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// Drain accepts the queued connections, closes the listener, and waits until the requests
// that have arrived on open connections are answered or ctx ends. It closes a connection
// once it carries no request. It returns an error if connections are left when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.CloseAfterResponses()
	s.listener.acceptQueued(acceptQueuedTime)
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	// By then the listener is closed, and every accepted connection is known.
	accepted := time.NewTimer(2 * acceptQueuedTime)
	defer accepted.Stop()
	select {
	case <-accepted.C:
	case <-ctx.Done():
	}
	for s.connections.closeQuiet(firstRequestTime) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
