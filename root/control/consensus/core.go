package consensus

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// part is the component named in errors.
const part = "control/consensus"

// Limits on memory use.
const (
	// maxInflightBatches bounds the unacknowledged bytes sent to one follower, in
	// multiples of Config.MaxBatchBytes.
	maxInflightBatches = 8
	// maxUncommittedBatches bounds leaderState.uncommittedBytes when a command is
	// proposed, in multiples of Config.MaxBatchBytes.
	maxUncommittedBatches = 64
	// maxPendingReads bounds the reads that wait for a heartbeat round.
	maxPendingReads = 4096
	// defaultRetainedEntries is the number of entries before a snapshot that stay in
	// memory, so that slightly lagging followers do not need the snapshot.
	defaultRetainedEntries = 1024
)

const (
	// maxPromotionLag is the number of entries that a learner may lag behind the
	// commit index when it is promoted to voter.
	maxPromotionLag = 64
	// snapshotRetryTimeouts is the number of election timeouts after which an
	// unacknowledged snapshot is sent again.
	snapshotRetryTimeouts = 4
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Core is a replica of the log. It is not safe for concurrent use. All times
// passed in must come from the same monotonic local clock.
type Core struct {
	cfg   Config
	rules rules
	rng   *rand.Rand

	// startTime is the first time passed in. now and all other durations that
	// denote a time are relative to it.
	startTime time.Time
	now       time.Duration
	started   bool

	term     uint64
	vote     ReplicaID
	role     role
	leaderID ReplicaID
	votes    map[ReplicaID]bool

	log            entryLog
	commit         uint64
	applied        uint64
	memberSets     []memberSet
	snapshot       *Snapshot
	pendingRestore *Snapshot
	// retainedEntries is defaultRetainedEntries, or fewer in tests.
	retainedEntries uint64

	electionDeadline time.Duration
	// request is the latest request for pre-votes or votes, and nextRequest is when the
	// voters that have not granted it are asked again.
	request     Message
	nextRequest time.Duration
	// gaveUpRound is set once this replica has given up a round for that of another
	// candidate, until it follows a leader or leads.
	gaveUpRound bool
	// leaderHeardAt is when a leader was last heard from, or when this replica last led with
	// a quorum; 0 before that.
	leaderHeardAt time.Duration
	// refuseVotesUntil is the time before which the replica grants neither pre-votes nor
	// votes of a later term, because a leader may hold a lease based on an
	// acknowledgement of this replica. Leadership transfers and cold starts are
	// exceptions; see Message.Transfer and coldStart.
	refuseVotesUntil time.Duration
	cold             coldStart
	answers          answers

	leaderState *leaderState
	writes      writeTracker
	messages    []Message
	readResults []ReadResult
	changes     []Change
}

// rules are the safety rules. Tests replace them with broken ones to verify that
// the invariant checks detect the violation.
type rules struct {
	quorum        func(voters int) int
	mayCommit     func(entryTerm, term uint64) bool
	leaseFraction func(drift float64) float64
	// coldStartGranted reports whether the grants of a cold-start pre-vote permit an
	// election.
	coldStartGranted func(voters []ReplicaID, granted map[ReplicaID]bool) bool
}

func safeRules() rules {
	return rules{quorum: majority, mayCommit: isCurrentTerm, leaseFraction: leaseFraction, coldStartGranted: allGranted}
}

func majority(voters int) int { return voters/2 + 1 }

// isCurrentTerm reports whether a leader may commit an entry by counting replicas.
// An entry of an earlier term could still be overwritten, even on a majority.
func isCurrentTerm(entryTerm, term uint64) bool { return entryTerm == term }

// New returns a replica that starts from the durable state r. If r is empty,
// members is the initial member set of a new cluster, or empty for a replica that
// joins a cluster as a learner. The error has kind Settings for an invalid config,
// Invalid for an invalid member set and Corrupt for a log with gaps.
func New(cfg Config, r DurableState, members Members) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, rules: safeRules(), rng: newRand(cfg), retainedEntries: defaultRetainedEntries}
	if r.empty() && len(members.Voters) > 0 {
		if err := members.validate(); err != nil {
			return nil, err
		}
		c.bootstrap(members.sorted())
		return c, nil
	}
	if err := c.load(r); err != nil {
		return nil, err
	}
	return c, nil
}

func newRand(cfg Config) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(cfg.ID))
	return rand.New(rand.NewPCG(cfg.Seed, h.Sum64()))
}

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return fault.New(fault.Settings, part, "replica id is empty")
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval:
		return fault.New(fault.Settings, part, "election timeout %v must be at least twice the heartbeat interval %v", c.ElectionTimeout, c.HeartbeatInterval)
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.5:
		return fault.New(fault.Settings, part, "clock drift bound %v must be in [0, 0.5)", c.MaxClockDrift)
	case c.MaxBatchBytes <= 0:
		return fault.New(fault.Settings, part, "batch size %d must be positive", c.MaxBatchBytes)
	}
	return nil
}

func (r DurableState) empty() bool {
	return r.Snapshot == nil && len(r.Entries) == 0 && r.HardState == HardState{}
}

// bootstrap initializes a new cluster. The member set is made durable as a
// snapshot at index 0.
func (c *Core) bootstrap(members Members) {
	c.snapshot = &Snapshot{Members: members}
	c.memberSets = []memberSet{{members: members}}
	c.writes.snapshotDirty = true
}

// load initializes the replica from durable state.
func (c *Core) load(r DurableState) error {
	c.term, c.vote = r.HardState.Term, r.HardState.Vote
	c.memberSets = []memberSet{{}}
	if s := r.Snapshot; s != nil {
		c.snapshot = s
		c.memberSets[0] = memberSet{index: s.Index, members: s.Members}
		c.log.reset(s.Index, s.Term)
		c.commit, c.applied = s.Index, s.Index
		if s.Index > 0 {
			c.pendingRestore = s
		}
	}
	for _, e := range r.Entries {
		if e.Index <= c.log.base {
			continue
		}
		if e.Index != c.log.lastIndex()+1 {
			return fault.New(fault.Corrupt, part, "gap in log: entry %d follows entry %d", e.Index, c.log.lastIndex())
		}
		c.appendEntry(e)
	}
	// The log was read from disk: it is durable, and the truncation that reset requests
	// is not needed.
	c.log.submitted, c.log.durable = c.log.lastIndex(), c.log.lastIndex()
	c.log.truncated, c.log.truncateAfter = false, 0
	if entryTerm := c.log.lastTerm(); entryTerm > c.term {
		// A crash left the snapshot durable, but not the hard state written after it.
		c.term, c.vote = entryTerm, ""
		c.writes.hardStateDirty = true
	}
	return nil
}

// advanceClock sets the local time; the first call starts the timers. A replica
// that has just started refuses votes for one election timeout, because it may
// have acknowledged a leader before it stopped, and that leader's lease may still
// be valid.
func (c *Core) advanceClock(now time.Time) {
	if !c.started {
		c.started = true
		c.startTime = now
		c.refuseVotesUntil = c.cfg.ElectionTimeout
		c.cold.awaitingFirstLeader = true
		c.cold.round = c.rng.Uint64() >> 1
		c.resetElectionTimer()
		return
	}
	c.now = max(c.now, now.Sub(c.startTime))
}

// Tick runs the timers that have expired at now.
func (c *Core) Tick(now time.Time) {
	c.advanceClock(now)
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionDeadline {
		c.repeatRequest()
		return
	}
	c.resetElectionTimer()
	switch {
	case !c.promotable() || !c.hardStateDurable():
	case c.mayStartCold():
		c.startColdRound()
	default:
		c.preCampaign()
	}
}

// NextWake returns the time of the next expiring timer, when Tick must be called.
// It returns the zero time, which means immediately, until a time has been passed in.
func (c *Core) NextWake() time.Time {
	if !c.started {
		return time.Time{}
	}
	if c.role == leader {
		return c.startTime.Add(c.nextLeaderWake())
	}
	if c.awaitsVotes() {
		return c.startTime.Add(min(c.electionDeadline, c.nextRequest))
	}
	return c.startTime.Add(c.electionDeadline)
}

// Propose appends a command to the log and returns its index. Output returns the
// entry once it is committed. data must not be modified afterwards. Error kinds:
// NotLeader, NotReady during a leadership transfer, TooLarge, and Overloaded if too
// many bytes are uncommitted.
func (c *Core) Propose(now time.Time, data []byte) (uint64, error) {
	c.advanceClock(now)
	switch {
	case c.role != leader:
		return 0, fault.New(fault.NotLeader, part, "replica %s is not the leader", c.cfg.ID)
	case c.leaderState.transfer.to != "":
		return 0, fault.New(fault.NotReady, part, "leadership transfer to %s is in progress", c.leaderState.transfer.to)
	case len(data) > c.cfg.MaxBatchBytes:
		return 0, fault.New(fault.TooLarge, part, "command of %d bytes exceeds the limit of %d bytes", len(data), c.cfg.MaxBatchBytes)
	case c.leaderState.uncommittedBytes+len(data) > maxUncommittedBatches*c.cfg.MaxBatchBytes:
		return 0, fault.New(fault.Overloaded, part, "too many uncommitted bytes: %d", c.leaderState.uncommittedBytes)
	}
	c.leaderState.uncommittedBytes += len(data)
	return c.propose(Entry{Kind: EntryCommand, Data: data}), nil
}

// propose appends an entry in the leader's term and returns its index.
func (c *Core) propose(e Entry) uint64 {
	e.Term, e.Index = c.term, c.log.lastIndex()+1
	c.appendEntry(e)
	return e.Index
}

// appendEntry appends an entry. A member set takes effect as soon as it is in the
// log, before it is committed.
func (c *Core) appendEntry(e Entry) {
	c.log.append(e)
	if e.Kind == EntryMembers {
		c.memberSets = append(c.memberSets, memberSet{index: e.Index, members: e.Members})
	}
}

// Compact replaces the log up to index by a snapshot. data is the replicated state
// after index, which Output must have returned as committed. The snapshot is made
// durable and sent to followers that need entries no longer in memory. The error
// has kind Invalid if index is not applied or already compacted.
func (c *Core) Compact(index uint64, data []byte) error {
	if index > c.applied || (c.snapshot != nil && index <= c.snapshot.Index) {
		return fault.New(fault.Invalid, part, "cannot compact at index %d: not applied or already compacted (applied index %d)", index, c.applied)
	}
	entryTerm, ok := c.log.term(index)
	if !ok {
		return fault.New(fault.Invalid, part, "cannot compact at index %d: not in the log", index)
	}
	c.snapshot = &Snapshot{Index: index, Term: entryTerm, Members: c.membersAt(index), Data: data}
	c.writes.snapshotDirty = true
	c.dropMemberSetsBelow(index)
	if index > c.retainedEntries {
		c.log.compact(min(index-c.retainedEntries, c.log.submitted))
	}
	return nil
}

// Output returns the pending work and clears it. Proposals and reads made since
// the last call are batched: they share a write, the messages to each follower and
// a heartbeat round.
func (c *Core) Output() Output {
	if c.role == leader {
		c.startReadRound()
		c.replicate()
	}
	out := Output{Persist: c.nextWriteBatch(), Messages: c.messages, Restore: c.pendingRestore, Reads: c.readResults, Changes: c.changes}
	c.messages, c.pendingRestore, c.readResults, c.changes = nil, nil, nil, nil
	if c.applied < c.commit {
		out.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
	return out
}

// Status returns the state of the replica. The result shares no memory with it.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Term: c.term, Leader: c.leaderID, IsLeader: c.role == leader,
		LastIndex: c.log.lastIndex(), Commit: c.commit, Members: c.members().sorted(),
	}
	if c.role != leader {
		return s
	}
	s.CommittedInTerm = c.committedInTerm()
	if until := c.leaseUntil(); until > 0 {
		s.LeaseUntil = c.startTime.Add(until)
	}
	s.Match = map[ReplicaID]uint64{c.cfg.ID: c.log.durable}
	s.Acked = map[ReplicaID]time.Time{c.cfg.ID: c.startTime.Add(c.now)}
	for id, p := range c.leaderState.peers {
		s.Match[id] = p.match
		s.Acked[id] = c.startTime.Add(max(c.leaderState.electedAt, p.ackedAt))
	}
	return s
}
