package replicated

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const part = "control/replicated"

// MaxDrains limits the VMs and backend servers that drain at the same time.
const MaxDrains = 8192

// Drain describes the drain of a VM or backend server, which gets no new work.
type Drain struct {
	// Operator is the operator who requested the drain.
	Operator string
	// Since is the start of the drain in Unix milliseconds.
	Since int64
}

// FencingSetting records whether a backend server rejects orders with a stale
// fencing token.
type FencingSetting struct {
	Checks bool
	// Operator is the operator who made the setting.
	Operator string
	// At is the time of the setting in Unix milliseconds.
	At int64
}

// State is the state machine. It is not safe for concurrent use.
type State struct {
	index     uint64
	now       int64
	table     *table.State
	ledger    *ledger.Ledger
	authority *authority.Locks
	// drains, fencing and fleet are shared with snapshots: every change replaces the
	// map.
	drains  map[string]Drain
	fencing map[string]FencingSetting
	routes  *routes.State
	fleet   map[string]fleet.Server
	// quarantine holds the prompt segments that are kept from engines or on probation.
	quarantine *quarantine.State
}

// New returns the empty state, with the default limits of the ledger.
func New() *State {
	s, err := NewWithLimits(ledger.DefaultLimits())
	if err != nil {
		panic(err)
	}
	return s
}

// NewWithLimits is like New with the given limits for the ledger. Its error has
// kind fault.Invalid.
func NewWithLimits(limits ledger.Limits) (*State, error) {
	l, err := ledger.New(limits)
	if err != nil {
		return nil, err
	}
	return &State{
		table:     new(table.State),
		ledger:    l,
		authority: authority.New(),
		drains:    make(map[string]Drain),
		fencing:   make(map[string]FencingSetting),
		routes:    new(routes.State),
		fleet:     make(map[string]fleet.Server),

		quarantine: quarantine.NewState(),
	}, nil
}

// Index returns the log index of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Now returns the latest time of any applied command in Unix milliseconds.
func (s *State) Now() int64 { return s.now }

// Table returns the current table. Its classes must not be modified.
func (s *State) Table() table.Table { return s.table.Table() }

// History returns the accepted table changes that are still kept, oldest first.
func (s *State) History() []table.Record { return s.table.History() }

// Drains returns the draining VMs and backend servers by id. The map must not be
// modified.
func (s *State) Drains() map[string]Drain { return s.drains }

// Fencing returns whether each backend server checks fencing tokens. Servers
// without a setting are not in the map.
func (s *State) Fencing() map[string]bool {
	out := make(map[string]bool, len(s.fencing))
	for id, setting := range s.fencing {
		out[id] = setting.Checks
	}
	return out
}

// Routes returns the current routing document, or nil if there is none yet.
func (s *State) Routes() *routes.Document { return s.routes.Document() }

// Quarantine returns the prompt segments in quarantine and on probation, which must not be
// modified.
func (s *State) Quarantine() *quarantine.State { return s.quarantine }

// Ledger returns the ledger, which must not be modified.
func (s *State) Ledger() *ledger.Ledger { return s.ledger }

// Authority returns the authority, which must not be modified.
func (s *State) Authority() *authority.Locks { return s.authority }

// Snapshot is the state at one log index. It shares memory with the State and must
// not be modified. Another goroutine may read it while the State changes.
type Snapshot struct {
	// Index is the log index of the last command applied.
	Index uint64
	// Now is the latest time of any applied command in Unix milliseconds.
	Now       int64
	Table     table.Snapshot
	Ledger    ledger.Snapshot
	Authority authority.Snapshot
	Drains    map[string]Drain
	Fencing   map[string]FencingSetting
	// Routes is nil until there is a routing document.
	Routes *routes.Document
	Fleet  map[string]fleet.Server
	// Quarantine holds the prompt segments in quarantine and on probation, sorted by segment.
	Quarantine []quarantine.Record
}

// Snapshot returns a snapshot of the current state, which later commands don't affect.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Index:     s.index,
		Now:       s.now,
		Table:     s.table.Snapshot(),
		Ledger:    s.ledger.Snapshot(),
		Authority: s.authority.Snapshot(),
		Drains:    s.drains,
		Fencing:   s.fencing,
		Routes:    s.routes.Document(),
		Fleet:     s.fleet,

		Quarantine: s.quarantine.Records(),
	}
}

// Restore returns the state of a snapshot. Its error has kind fault.Corrupt.
func Restore(snap Snapshot) (*State, error) {
	if len(snap.Drains) > MaxDrains || max(len(snap.Fencing), len(snap.Fleet)) > authority.MaxServers {
		return nil, fault.New(fault.Corrupt, part, "snapshot has more drains, fencing settings or backend servers than allowed")
	}
	t, err := table.Restore(snap.Table)
	if err != nil {
		return nil, err
	}
	l, err := ledger.Restore(snap.Ledger)
	if err != nil {
		return nil, err
	}
	a, err := authority.Restore(snap.Authority)
	if err != nil {
		return nil, err
	}
	r, err := routes.Restore(snap.Routes)
	if err != nil {
		return nil, err
	}
	q, err := quarantine.Restore(snap.Quarantine, snap.Now)
	if err != nil {
		return nil, err
	}
	s := &State{index: snap.Index, now: snap.Now, table: t, ledger: l, authority: a, routes: r, quarantine: q}
	s.drains = nonNilMap(snap.Drains)
	s.fencing = nonNilMap(snap.Fencing)
	s.fleet = nonNilMap(snap.Fleet)
	return s, nil
}

func nonNilMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return m
}
