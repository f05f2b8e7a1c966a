package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// Timing sets the periods and bounds of the control state.
type Timing struct {
	// ViewLease is how long an entry may take new work after a Renew.
	ViewLease time.Duration
	// RenewInterval is the time between Renews in health.
	RenewInterval time.Duration
	// RenewTimeout is how long to wait for a Grant before trying another replica.
	RenewTimeout time.Duration
	// LeaderRetry is the wait before another replica is asked when one answered
	// that it knows no leader.
	LeaderRetry time.Duration
	// ProposeRetry is the time between resends of an unanswered Propose.
	ProposeRetry time.Duration
	// ProposeTimeout bounds the wait for a commit.
	ProposeTimeout time.Duration
	// OrderTimeout bounds the wait for an order, which waits for streams to end.
	OrderTimeout time.Duration
	// LeaderSweep is the time between the leader's checks for silence.
	LeaderSweep time.Duration
	// PushInterval is the least time between two pushes of changes of the fleet,
	// and PushPerHolder what each lease holder adds to it.
	PushInterval, PushPerHolder time.Duration
	// LedgerTick is the time between the leader's expiry commands.
	LedgerTick time.Duration
	// MaxClockDrift bounds the relative rate of two clocks, such as 0.01 for 1%.
	MaxClockDrift float64
	// FleetSettle is how long a leader that took over without a view waits for
	// announcements before its picture of the fleet counts as whole.
	FleetSettle time.Duration
	// ReplicaRemoveAfter is the silence after which a voter is taken out of an
	// open membership, as long as three others are left.
	ReplicaRemoveAfter time.Duration
	Fleet              fleet.Timing
}

// DefaultTiming returns the timing for VMs a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		ViewLease:     3 * time.Second,
		RenewInterval: 500 * time.Millisecond,
		// A leader that is busy must not be left by all at once: new sessions to
		// other replicas would cost it more. A new leader tells everybody by itself.
		RenewTimeout:   time.Second,
		LeaderRetry:    100 * time.Millisecond,
		ProposeRetry:   400 * time.Millisecond,
		ProposeTimeout: 8 * time.Second,
		OrderTimeout:   15 * time.Minute,
		LeaderSweep:    250 * time.Millisecond,
		PushInterval:   50 * time.Millisecond,
		// A frame with 1,610 routes took 59 us to encode and copy; at a quarter of a
		// core that is a quarter of this.
		PushPerHolder: time.Millisecond,
		LedgerTick:    time.Minute,
		MaxClockDrift: 0.01,
		// Backend servers announce themselves every second.
		FleetSettle:        2500 * time.Millisecond,
		ReplicaRemoveAfter: 12 * time.Second,
		Fleet: fleet.Timing{
			// A server that announced itself at an entry that was cut off turns to
			// another once the entry's lease has run out and its next turn comes.
			SuspectAfter: 5 * time.Second,
			RemoveAfter:  30 * time.Second,
		},
	}
}

// pushInterval is the least time between two pushes to the number of holders.
func (t Timing) pushInterval(holders int) time.Duration {
	return t.PushInterval + time.Duration(holders)*t.PushPerHolder
}

// timeout bounds the wait for the answer to a command.
func (t Timing) timeout(cmd replicated.Command) time.Duration {
	if _, isOrder := cmd.(replicated.RecordOrder); isOrder {
		return t.OrderTimeout
	}
	return t.ProposeTimeout
}

// Config describes one process.
type Config struct {
	// Self is this VM; Address is empty without an entry part.
	Self fleet.VM
	// Replicas are the VMs that are known from the settings to run a replica.
	Replicas []string
	// OpenMembership lets replicas take part that Replicas does not name.
	OpenMembership bool
	// LeaseOptional lets this entry go on by its last view without a lease.
	LeaseOptional bool
	Timing        Timing
	// CompactEvery is the number of applied entries between snapshots.
	CompactEvery uint64
}

// ReplicaConfig describes the replica part of a process that has one.
type ReplicaConfig struct {
	Consensus consensus.Config
	// Bootstrap is the first set of members; used only while the log is empty.
	Bootstrap consensus.Members
	Restored  consensus.DurableState
	Codec     Codec
}

// Codec turns commands into bytes for the log, and bytes of the log into what
// they stand for.
type Codec interface {
	EncodeCommand(replicated.Command) ([]byte, error)
	DecodeCommand([]byte) (replicated.Command, error)
	DecodeSnapshot([]byte) (replicated.Snapshot, error)
}
