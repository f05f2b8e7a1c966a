package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Timing holds the intervals and timeouts of the control state.
type Timing struct {
	// ViewLease is how long a process may accept new work after it sent a Renew.
	ViewLease time.Duration
	// RenewInterval is the time between Renews in normal operation.
	RenewInterval time.Duration
	// RenewTimeout is how long to wait for a Grant of a leader that has been heard before
	// asking another replica; see searchTimeout for the others.
	RenewTimeout time.Duration
	// LeaderRetryDelay is the wait before asking another replica when one has
	// answered that it knows no leader.
	LeaderRetryDelay time.Duration
	// ProposeRetryInterval is the time between resends of an unanswered Propose.
	ProposeRetryInterval time.Duration
	// ProposeTimeout bounds the wait for the answer to a command other than an
	// order.
	ProposeTimeout time.Duration
	// OrderTimeout bounds the wait for an order, which includes draining the
	// server.
	OrderTimeout time.Duration
	// SweepInterval is the time between the leader's periodic checks, such as for VMs
	// and backend servers that stopped reporting.
	SweepInterval time.Duration
	// PushInterval is the minimum time between two pushes of fleet changes, and
	// PushIntervalPerHolder is added to it for each lease holder. A push to many holders
	// takes PushIntervalPerHolder for each.
	PushInterval, PushIntervalPerHolder time.Duration
	// LedgerTickInterval is the time between the leader's Tick commands, which make
	// ledger records expire.
	LedgerTickInterval time.Duration
	// MaxClockDrift bounds the difference between the clock rates of any two VMs,
	// such as 0.01 for 1%.
	MaxClockDrift float64
	// FleetDiscoveryTime is how long a leader that started without a view waits for
	// announcements before it treats the fleet as fully known.
	FleetDiscoveryTime time.Duration
	// EntryConfirmTimeout bounds the time from a proposal of routes or of the departure of a
	// server until its answer for which the answer waits for entries. It is below
	// ProposeRetryInterval, after which the proposal would be committed again if its answer
	// is on the way.
	EntryConfirmTimeout time.Duration
	// ReplicaRemoveAfter is the silence after which a replica is removed from an
	// open membership. One that stopped gracefully is removed at the next sweep. At
	// least three voters stay.
	ReplicaRemoveAfter time.Duration
	// ReplicaReplaceAfter is the silence after which a voter of an open membership gives
	// its place to a replica that waits to become a voter.
	ReplicaReplaceAfter time.Duration
	Fleet               fleet.Timing
}

// DefaultTiming returns timing for VMs with a few milliseconds of network latency.
func DefaultTiming() Timing {
	return Timing{
		ViewLease:     3 * time.Second,
		RenewInterval: 500 * time.Millisecond,
		// Long enough that lease holders don't leave a busy leader. With 0.4 s, 90
		// holders left at once, and the load of their new sessions made it lose
		// leadership. A new leader announces itself, so failover does not depend on
		// this timeout.
		RenewTimeout:         time.Second,
		LeaderRetryDelay:     100 * time.Millisecond,
		ProposeRetryInterval: 400 * time.Millisecond,
		ProposeTimeout:       8 * time.Second,
		OrderTimeout:         15 * time.Minute,
		SweepInterval:        250 * time.Millisecond,
		PushInterval:         50 * time.Millisecond,
		// Bounds the share of the leader's time that pushes take. Encoding and copying
		// a frame with 1,610 routes takes 59 us of CPU time per holder. On a quarter of
		// a core that is 236 us, about a quarter of this interval.
		PushIntervalPerHolder: time.Millisecond,
		LedgerTickInterval:    time.Minute,
		MaxClockDrift:         0.01,
		// Backend servers announce themselves once a second.
		FleetDiscoveryTime:  2500 * time.Millisecond,
		EntryConfirmTimeout: 300 * time.Millisecond,
		ReplicaRemoveAfter:  12 * time.Second,
		// A new replica has to vote a few seconds after it started, because the next VM may
		// be lost then.
		ReplicaReplaceAfter: 1500 * time.Millisecond,
		Fleet: fleet.Timing{
			// Longer than ViewLease plus the announcement interval, because a server
			// whose entry is partitioned announces itself at another entry only after
			// the lease of its own entry has expired.
			SuspectAfter: 5 * time.Second,
			RemoveAfter:  30 * time.Second,
		},
	}
}

// pushInterval returns the minimum time between two pushes to the given number of
// lease holders.
func (t Timing) pushInterval(holders int) time.Duration {
	return t.PushInterval + time.Duration(holders)*t.PushIntervalPerHolder
}

func (t Timing) timeout(cmd replicated.Command) time.Duration {
	if _, isOrder := cmd.(replicated.RecordOrder); isOrder {
		return t.OrderTimeout
	}
	return t.ProposeTimeout
}

// Config holds the settings of one process.
type Config struct {
	// Self is this VM. Its Address is empty unless the process is an entry, which
	// takes requests from callers.
	Self fleet.VM
	// Replicas are the VMs that the settings name as replicas.
	Replicas []string
	// OpenMembership lets VMs that Replicas does not name join as replicas.
	OpenMembership bool
	// LeaseOptional lets this entry keep accepting work on its last view without a
	// valid lease.
	LeaseOptional bool
	Timing        Timing
	// CompactEvery is the number of applied log entries between snapshots; 0
	// disables them.
	CompactEvery uint64
}

// ReplicaConfig holds the settings of a process's consensus replica.
type ReplicaConfig struct {
	Consensus consensus.Config
	// Bootstrap is the initial membership, used only if Restored is empty.
	Bootstrap consensus.Members
	Restored  consensus.DurableState
	Codec     Codec
}

// Codec encodes commands for the log and decodes commands and snapshots from it.
type Codec interface {
	EncodeCommand(replicated.Command) ([]byte, error)
	DecodeCommand([]byte) (replicated.Command, error)
	DecodeSnapshot([]byte) (replicated.Snapshot, error)
}
