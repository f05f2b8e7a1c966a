package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Timing holds the intervals and timeouts of the control state.
type Timing struct {
	// ViewLease is how long an entry may accept new work after it sent a Renew.
	ViewLease time.Duration
	// RenewInterval is the time between Renews in normal operation.
	RenewInterval time.Duration
	// RenewTimeout is how long to wait for a Grant before asking another replica.
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
	// SweepInterval is the time between the leader's checks for expired members.
	SweepInterval time.Duration
	// PushInterval is the minimum time between two pushes of fleet changes, and
	// PushIntervalPerHolder is added to it for each lease holder.
	PushInterval, PushIntervalPerHolder time.Duration
	// LedgerTickInterval is the time between the leader's expiry commands.
	LedgerTickInterval time.Duration
	// MaxClockDrift bounds the relative clock rate of two VMs, such as 0.01 for 1%.
	MaxClockDrift float64
	// FleetDiscoveryTime is how long a leader that started without a view waits for
	// announcements before it treats the fleet as fully known.
	FleetDiscoveryTime time.Duration
	// ReplicaRemoveAfter is the silence after which a replica is removed from an
	// open membership. At least three voters stay.
	ReplicaRemoveAfter time.Duration
	Fleet              fleet.Timing
}

// DefaultTiming returns timing for VMs with a few milliseconds of network latency.
func DefaultTiming() Timing {
	return Timing{
		ViewLease:     3 * time.Second,
		RenewInterval: 500 * time.Millisecond,
		// A shorter timeout would make all processes abandon a busy leader at once,
		// and their new sessions to other replicas would cost it more. A new leader
		// announces itself, so failover does not depend on this timeout.
		RenewTimeout:         time.Second,
		LeaderRetryDelay:     100 * time.Millisecond,
		ProposeRetryInterval: 400 * time.Millisecond,
		ProposeTimeout:       8 * time.Second,
		OrderTimeout:         15 * time.Minute,
		SweepInterval:        250 * time.Millisecond,
		PushInterval:         50 * time.Millisecond,
		// Encoding and copying a frame with 1,610 routes took 59 us, which is about
		// a quarter of this interval on a quarter of a core.
		PushIntervalPerHolder: time.Millisecond,
		LedgerTickInterval:    time.Minute,
		MaxClockDrift:         0.01,
		// Backend servers announce themselves once a second.
		FleetDiscoveryTime: 2500 * time.Millisecond,
		ReplicaRemoveAfter: 12 * time.Second,
		Fleet: fleet.Timing{
			// A server whose entry is partitioned announces itself at another entry
			// after the entry's lease has expired and its next announcement is due.
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
	// Self is this VM; its Address is empty if the process is not an entry.
	Self fleet.VM
	// Replicas are the VMs that the settings name as replicas.
	Replicas []string
	// OpenMembership lets VMs that Replicas does not name join as replicas.
	OpenMembership bool
	// LeaseOptional lets this entry keep accepting work on its last view without a
	// valid lease.
	LeaseOptional bool
	Timing        Timing
	// CompactEvery is the number of applied entries between snapshots; 0 disables
	// them.
	CompactEvery uint64
}

// ReplicaConfig holds the settings of a process's consensus replica.
type ReplicaConfig struct {
	Consensus consensus.Config
	// Bootstrap is the initial membership, used only if the log is empty.
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
