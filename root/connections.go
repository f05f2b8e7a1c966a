package root

import (
	"math"
	"syscall"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// listenerKind says how many connections a listener may have.
type listenerKind int

const (
	// mainListener is one for callers or for heartbeats of backend servers.
	mainListener listenerKind = iota
	// directoryListener is one at which callers ask for entries.
	directoryListener
	// smallListener is one for a few programs of the operator or the platform.
	smallListener
	// peersListener counts the sessions that are being set up.
	peersListener
)

const (
	// mainFilesShare is the part of the descriptors for the connections of all main
	// listeners. Nearly as many remain for connections to backend servers.
	mainFilesShare = 0.5
	// otherFilesShare is the part for each of the other listeners, up to the maximum.
	otherFilesShare = 1.0 / 32
	maxDirectory    = 256
	maxSmall        = 64
	// peersFilesShare and maxPeersBeingSetUp bound the sessions that are being set up.
	// Hundreds of VMs follow a new leader at once.
	peersFilesShare    = 1.0 / 8
	maxPeersBeingSetUp = 512
	minConnections     = 8
	// defaultFiles is assumed if the limit on descriptors can't be read.
	defaultFiles = 1024
	// headReadAheadBytes is what net/http permits beyond its MaxHeaderBytes.
	headReadAheadBytes = 4 << 10
)

// connectionBounds returns the bound of each kind of listener for a number of descriptors.
// The main listeners together have at most byMemory connections.
func connectionBounds(s *settings.Settings, files, byMemory int64) map[listenerKind]int64 {
	of := func(share float64, most int64) int64 {
		return max(minConnections, min(int64(share*float64(files)), most))
	}
	mains := int64(1)
	if p := s.Platform; p != nil && p.Frontend != "" && p.ControlPlane != "" {
		mains = 2
	}
	main := of(mainFilesShare, byMemory) / mains
	if s.Limits.Connections > 0 {
		main = int64(s.Limits.Connections)
	}
	return map[listenerKind]int64{
		mainListener:      main,
		directoryListener: of(otherFilesShare, maxDirectory),
		smallListener:     of(otherFilesShare, maxSmall),
		peersListener:     of(peersFilesShare, maxPeersBeingSetUp),
	}
}

// openFiles returns the limit on descriptors of this process.
func openFiles() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFiles
	}
	return int64(min(limit.Cur, math.MaxInt32))
}

// serverOptions returns the limits of one listener.
func (p *Process) serverOptions(kind listenerKind) frontdoor.ServerOptions {
	limits := p.settings.Limits
	return frontdoor.ServerOptions{
		MaxHeaderBytes: limits.MaxHeaderBytes,
		HeaderTimeout:  settings.Millis(limits.HeaderTimeoutMillis),
		IdleTimeout:    settings.Millis(limits.IdleTimeoutMillis),
		Guard: &frontdoor.Guard{
			Connections:  budget.New(budget.Options{Large: p.untrusted.connections[kind]}),
			Heads:        p.untrusted.heads,
			MaxHeadLines: limits.MaxHeaderLines,
			MaxHeadBytes: limits.MaxHeaderBytes + headReadAheadBytes,
			OnClosed:     func(reason frontdoor.CloseReason) { p.untrusted.refusals.count(string(reason)) },
		},
	}
}
