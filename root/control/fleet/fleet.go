// Package fleet tracks the VMs and backend servers of the system by their
// announcements, heartbeats and load reports. It does no I/O, reads no clock and
// starts no goroutines.
package fleet

import (
	"math"
	"time"
)

// ServerKind distinguishes language-model engines from plain servers.
type ServerKind uint8

// The kinds of backend server.
const (
	// Engine is a server that runs a language model.
	Engine ServerKind = iota
	// PlainServer is any other backend server. A service of package routes may
	// consist of servers of either kind.
	PlainServer
)

// Role is the stage of inference that an engine serves: prefill, decode or both.
type Role uint8

// The roles of an engine.
const (
	Mixed Role = iota
	Prefill
	Decode
)

// State says whether a member, which is a VM or backend server, may receive new
// requests.
type State uint8

// The states of a member.
const (
	// Active members receive new requests.
	Active State = iota
	// Suspected members have missed heartbeats and receive no new requests.
	Suspected
	// Draining members finish their requests and receive no new ones.
	Draining
	// Leaving members announced that they are shutting down.
	Leaving
)

// Load is the load of a backend server.
type Load struct {
	// Running counts requests being served, Waiting those queued on the server.
	Running, Waiting int
	// CacheUsed is the used fraction of the KV cache, 0 to 1.
	CacheUsed float64
	// Tokens is the sum of OwnLoad.Tokens over all VMs, which Tracker.Servers
	// calculates; 0 in an announcement.
	Tokens int
	// AnnouncedAt is when the announcement with this load arrived, by the local
	// clock.
	AnnouncedAt time.Time
}

// Server is a backend server, as announced or as the leader knows it.
type Server struct {
	// ID is the stable name of the server.
	ID string
	// Incarnation increases with each start of the server.
	Incarnation uint64
	// Address is the base URL.
	Address       string
	FailureDomain string
	Kind          ServerKind
	Role          Role
	// Targets are the names of the models or services that the server offers.
	Targets []string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// CacheTokens is the size of the KV cache in tokens.
	CacheTokens int
	// ChecksFencing is set if operators declared that the server rejects orders with
	// an outdated fencing token. It isn't announced; the leader sets it in the views
	// (see package view) that it sends to the VMs.
	ChecksFencing bool
	State         State
	Load          Load
	// Sequence numbers the announcements of one incarnation; 0 if they are
	// unnumbered and ordered by their time of arrival.
	Sequence uint64
}

// LastSequence is the sequence number of a leave, which comes after every other
// announcement of its incarnation.
const LastSequence = math.MaxUint64

// Leave returns the announcement by which a server of this incarnation leaves.
func Leave(id string, incarnation uint64) Server {
	return Server{ID: id, Incarnation: incarnation, State: Leaving, Sequence: LastSequence}
}

// Departing reports whether the server has said that it is draining or leaving.
func (s Server) Departing() bool { return s.State == Draining || s.State == Leaving }

// Record returns what the log keeps of the server: no load and, once it has left, only what
// tells its late announcements from those of a later start.
func (s Server) Record() Server {
	s.Load = Load{}
	if s.State != Leaving {
		return s
	}
	return Server{ID: s.ID, Incarnation: s.Incarnation, State: Leaving, Sequence: s.Sequence}
}

// Supersedes reports whether the announcement s may replace an earlier one of
// the same server.
func (s Server) Supersedes(old Server) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence >= old.Sequence
}

// VM is a VM that runs a process of the system.
type VM struct {
	// ID is the stable name from the settings.
	ID string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// Address is the base URL for callers; empty if the VM doesn't accept callers'
	// requests.
	Address       string
	FailureDomain string
	State         State
	// InFlight counts the callers' requests being served.
	InFlight int
	// Replica is set if the VM runs a replica of the log.
	Replica bool
}
