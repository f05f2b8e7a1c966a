package standin

import (
	"net"
	"sync/atomic"
)

// RawServer is a stand-in for a backend server that sends what no HTTP server would: it
// leaves each connection to a function.
type RawServer struct {
	listener    net.Listener
	connections atomic.Int32
}

// NewRawServer starts a server on a free port of 127.0.0.1. serve is called for each
// connection with its number, from 1; the connection is closed when it returns.
func NewRawServer(serve func(n int, conn net.Conn)) (*RawServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(s.connections.Add(1))
			go func() {
				defer conn.Close()
				serve(n, conn)
			}()
		}
	}()
	return s, nil
}

// Address returns the host:port of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections accepted so far.
func (s *RawServer) Connections() int { return int(s.connections.Load()) }

// Close stops accepting connections.
func (s *RawServer) Close() error { return s.listener.Close() }
