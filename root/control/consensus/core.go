package consensus

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// part is the place in the supervisor tree named in errors.
const part = "control/consensus"

// Bounds on memory held for others, in units of Config.MaxBatchBytes or entries.
const (
	// maxInflightBatches bounds the bytes sent to one follower and not yet acknowledged.
	maxInflightBatches = 8
	// maxUncommittedBatches bounds the bytes proposed and not yet committed.
	maxUncommittedBatches = 64
	// maxPendingReads bounds the reads that wait for a round.
	maxPendingReads = 4096
	// retainedEntries are kept in memory below a snapshot for followers slightly behind.
	retainedEntries = 1024
	// maxPromotionLag is how many entries a learner may be behind the commit index to become a voter.
	maxPromotionLag = 64
	// snapshotRetryTimeouts is the number of election timeouts after which an unanswered snapshot is sent again.
	snapshotRetryTimeouts = 4
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Core is one replica of the log. It is not safe for concurrent use. All times
// passed in are readings of one monotonic local clock.
type Core struct {
	cfg   Config
	rules rules
	rng   *rand.Rand

	// epoch is the first time passed in; now is measured from it.
	epoch   time.Time
	now     time.Duration
	started bool

	term   uint64
	vote   NodeID
	role   role
	leader NodeID
	votes  map[NodeID]bool

	log      entryLog
	commit   uint64
	applied  uint64
	configs  []config
	snapshot *Snapshot
	restore  *Snapshot
	// retain is the number of entries kept in memory below a snapshot.
	retain uint64

	electionAt time.Duration
	// refuseVotesUntil is the promise on which leases rest.
	refuseVotesUntil time.Duration
	cold             coldStart

	lead     *leadership
	disk     writes
	messages []Message
	results  []ReadResult
}

// rules are the safety rules that tests replace to show that a broken one is found.
type rules struct {
	quorum     func(voters int) int
	mayCommit  func(entryTerm, term uint64) bool
	leaseRatio func(drift float64) float64
	coldQuorum func(voters []NodeID, agreed map[NodeID]bool) bool
}

func safeRules() rules {
	return rules{quorum: majority, mayCommit: ownTerm, leaseRatio: leaseRatio, coldQuorum: allAgreed}
}

func majority(voters int) int { return voters/2 + 1 }

// ownTerm lets a leader count replicas only for entries of its own term.
func ownTerm(entryTerm, term uint64) bool { return entryTerm == term }

// New returns a replica with the durable state r. members is the bootstrap set
// and is used only when r is empty; a learner starts with empty members. The
// error has kind Settings for a bad config and Corrupt for a log with gaps.
func New(cfg Config, r Restored, members Members) (*Core, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, rules: safeRules(), rng: newRand(cfg), retain: retainedEntries}
	if r.empty() && len(members.Voters) > 0 {
		if err := members.check(); err != nil {
			return nil, err
		}
		c.bootstrap(members.normal())
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

func (c Config) check() error {
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

func (r Restored) empty() bool {
	return r.Snapshot == nil && len(r.Entries) == 0 && r.HardState == HardState{}
}

// bootstrap starts a new cluster. The members are made durable as a snapshot at index 0.
func (c *Core) bootstrap(members Members) {
	c.snapshot = &Snapshot{Members: members}
	c.configs = []config{{members: members}}
	c.disk.snapshot = true
}

// load takes over durable state.
func (c *Core) load(r Restored) error {
	c.term, c.vote = r.HardState.Term, r.HardState.Vote
	c.configs = []config{{}}
	if s := r.Snapshot; s != nil {
		c.snapshot = s
		c.configs[0] = config{index: s.Index, members: s.Members}
		c.log.reset(s.Index, s.Term)
		c.commit, c.applied = s.Index, s.Index
		if s.Index > 0 {
			c.restore = s
		}
	}
	for _, e := range r.Entries {
		if e.Index <= c.log.base {
			continue
		}
		if e.Index != c.log.last()+1 {
			return fault.New(fault.Corrupt, part, "log has entry %d after %d", e.Index, c.log.last())
		}
		c.append(e)
	}
	c.log.written, c.log.durable = c.log.last(), c.log.last()
	c.log.cut, c.log.cutAfter = false, 0
	if at := c.log.lastTerm(); at > c.term {
		// The snapshot became durable before the hard state did.
		c.term, c.vote = at, ""
		c.disk.hardState = true
	}
	return nil
}

// advance moves the local clock; the first call starts the timers. A replica
// that has just started refuses votes for one election timeout, because it may
// have acknowledged a leader before it stopped.
func (c *Core) advance(now time.Time) {
	if !c.started {
		c.started = true
		c.epoch = now
		c.refuseVotesUntil = c.cfg.ElectionTimeout
		c.cold.fresh = true
		c.cold.round = c.rng.Uint64() >> 1
		c.resetElection()
		return
	}
	c.now = max(c.now, now.Sub(c.epoch))
}

// Tick does what is due at now.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionAt {
		return
	}
	c.resetElection()
	switch {
	case !c.mayLead():
	case c.isCold():
		c.askCold()
	default:
		c.preCampaign()
	}
}

// NextWake returns the time at which Tick must be called next. Before the first
// call with a time it returns the zero time: Tick at once.
func (c *Core) NextWake() time.Time {
	if !c.started {
		return time.Time{}
	}
	if c.role == leader {
		return c.epoch.Add(c.nextLeaderWake())
	}
	return c.epoch.Add(c.electionAt)
}

// Propose appends a command and returns its index. The caller learns of its
// commit from Output. Kinds: NotLeader, NotReady during a transfer, TooLarge,
// Overloaded. data must not be changed afterwards.
func (c *Core) Propose(now time.Time, data []byte) (uint64, error) {
	c.advance(now)
	switch {
	case c.role != leader:
		return 0, fault.New(fault.NotLeader, part, "replica %s is not the leader", c.cfg.ID)
	case c.lead.transfer.to != "":
		return 0, fault.New(fault.NotReady, part, "leadership moves to %s", c.lead.transfer.to)
	case len(data) > c.cfg.MaxBatchBytes:
		return 0, fault.New(fault.TooLarge, part, "command has %d bytes, at most %d fit", len(data), c.cfg.MaxBatchBytes)
	case c.lead.uncommitted+len(data) > maxUncommittedBatches*c.cfg.MaxBatchBytes:
		return 0, fault.New(fault.Overloaded, part, "%d bytes wait for commit", c.lead.uncommitted)
	}
	c.lead.uncommitted += len(data)
	return c.propose(Entry{Kind: EntryCommand, Data: data}), nil
}

// propose appends an entry of the leader's term.
func (c *Core) propose(e Entry) uint64 {
	e.Term, e.Index = c.term, c.log.last()+1
	c.append(e)
	return e.Index
}

// append adds an entry and puts a member change into effect.
func (c *Core) append(e Entry) {
	c.log.append(e)
	if e.Kind == EntryMembers {
		c.configs = append(c.configs, config{index: e.Index, members: e.Members})
	}
}

// Compact hands in the replicated state at index, which must have been given
// out as committed. It is made durable and sent to followers too far behind.
// The error has kind Invalid for an index not applied or already compacted.
func (c *Core) Compact(index uint64, data []byte) error {
	if index > c.applied || (c.snapshot != nil && index <= c.snapshot.Index) {
		return fault.New(fault.Invalid, part, "cannot compact at %d: applied %d", index, c.applied)
	}
	at, ok := c.log.term(index)
	if !ok {
		return fault.New(fault.Invalid, part, "cannot compact at %d: not in the log", index)
	}
	c.snapshot = &Snapshot{Index: index, Term: at, Members: c.configAt(index), Data: data}
	c.disk.snapshot = true
	c.dropConfigsBelow(index)
	if index > c.retain {
		c.log.compact(min(index-c.retain, c.log.written))
	}
	return nil
}

// Output drains what the caller must do. Proposals and reads made since the
// last call share one write, one message a follower and one round.
func (c *Core) Output() Output {
	if c.role == leader {
		c.startReadRound()
		c.replicate()
	}
	out := Output{Persist: c.nextPersist(), Messages: c.messages, Restore: c.restore, Reads: c.results}
	c.messages, c.restore, c.results = nil, nil, nil
	if c.applied < c.commit {
		out.Committed = c.log.between(c.applied+1, c.commit)
		c.applied = c.commit
	}
	return out
}

// Status returns the state of the replica. Match and Members are copies.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Term: c.term, Leader: c.leader, IsLeader: c.role == leader,
		LastIndex: c.log.last(), Commit: c.commit, Members: c.members().normal(),
	}
	if c.role != leader {
		return s
	}
	s.Settled = c.settled()
	if until := c.leaseUntil(); until > 0 {
		s.LeaseUntil = c.epoch.Add(until)
	}
	s.Match = map[NodeID]uint64{c.cfg.ID: c.log.durable}
	for id, p := range c.lead.peers {
		s.Match[id] = p.match
	}
	return s
}
