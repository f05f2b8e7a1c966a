// Package fleet tracks VMs and backend servers: announcements, leaves,
// silence, drains and load reports. It is pure: no I/O, no clock, no goroutine.
package fleet

import (
	"math"
	"time"
)

// ServerKind says what a backend server runs.
type ServerKind uint8

// The kinds of backend server.
const (
	Engine ServerKind = iota
	Service
)

// Role is the part of the work that an engine takes.
type Role uint8

// The roles of an engine.
const (
	Mixed Role = iota
	Prefill
	Decode
)

// State says whether a VM or backend server may receive new work.
type State uint8

// The states in the order in which a member usually passes them.
const (
	// Active members receive new work.
	Active State = iota
	// Suspected members have missed heartbeats and receive no new work.
	Suspected
	// Draining members finish their work and receive none.
	Draining
	// Leaving members announced that they stop.
	Leaving
)

// Load is one load report of a backend server.
type Load struct {
	// Running counts requests being served, Waiting those queued on the server.
	Running, Waiting int
	// CacheUsed is the used share of cache memory, 0 to 1.
	CacheUsed float64
	// Tokens counts the prompt tokens that wait to be read, as far as entries know.
	Tokens int
	// ReportedAt is the receiver's clock when the report arrived.
	ReportedAt time.Time
}

// Server is one backend server as announced, with its state.
type Server struct {
	// ID is the stable name of the server.
	ID string
	// Incarnation grows with each start of the server.
	Incarnation uint64
	// Address is the base URL.
	Address       string
	FailureDomain string
	Kind          ServerKind
	Role          Role
	// Targets are the models or services that the server offers.
	Targets []string
	// Slots bounds the requests that the server runs at once.
	Slots int
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ChecksFencing says whether the server refuses orders with an old fencing number.
	ChecksFencing bool
	State         State
	Load          Load
	// Sequence orders the announcements of one incarnation; 0 when they are not
	// numbered and the time of arrival decides.
	Sequence uint64
}

// LastSequence orders a leave after every announcement of its incarnation.
const LastSequence = math.MaxUint64

// Follows reports whether the announcement s may replace an earlier one of the
// same server.
func (s Server) Follows(old Server) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence >= old.Sequence
}

// VM is one VM of the system.
type VM struct {
	// ID is the stable name from the settings.
	ID string
	// Incarnation is unique to one process lifetime.
	Incarnation uint64
	// Address is the base URL for callers; empty when the VM has no entry part.
	Address       string
	FailureDomain string
	State         State
	// InFlight counts callers' requests being served.
	InFlight int
	// Replica says that the VM runs a replica of the log.
	Replica bool
}
