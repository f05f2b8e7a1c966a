package replicated

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const part = "control/replicated"

// MaxDrains bounds the drains under way at once.
const MaxDrains = 8192

// Drain is a VM or backend server that receives no new work.
type Drain struct {
	// By is who asked for it.
	By string
	// Since is Unix milliseconds.
	Since int64
}

// FencingSetting says whether a backend server refuses old fencing numbers.
type FencingSetting struct {
	Checks bool
	// By is who said so.
	By string
	// At is Unix milliseconds.
	At int64
}

// State is everything that the log drives. One goroutine owns it.
type State struct {
	index     uint64
	now       int64
	table     *table.State
	ledger    *ledger.Ledger
	authority *authority.Authority
	// drains and fencing are replaced, never changed in place.
	drains  map[string]Drain
	fencing map[string]FencingSetting
	routes  *routes.State
	// fleet is replaced, never changed in place.
	fleet map[string]fleet.Server
}

// New returns the state before the first command.
func New() *State {
	s, err := NewWithLimits(ledger.DefaultLimits())
	if err != nil {
		panic(err)
	}
	return s
}

// NewWithLimits is like New with other limits for the ledger. The error is of
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
	}, nil
}

// Index returns the log index of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Now returns the time of the state, Unix milliseconds.
func (s *State) Now() int64 { return s.now }

// Table returns the current table. Its classes must not be changed.
func (s *State) Table() table.Table { return s.table.Table() }

// History returns the accepted changes of the table that are still kept,
// oldest first.
func (s *State) History() []table.Record { return s.table.History() }

// Drains returns the VMs and backend servers that are draining, by id. The map
// must not be changed.
func (s *State) Drains() map[string]Drain { return s.drains }

// Fencing says for each backend server with a setting whether it checks fencing
// numbers.
func (s *State) Fencing() map[string]bool {
	out := make(map[string]bool, len(s.fencing))
	for id, setting := range s.fencing {
		out[id] = setting.Checks
	}
	return out
}

// Routes returns the document of routes in force; nil before the first one.
func (s *State) Routes() *routes.Document { return s.routes.Document() }

// Ledger returns the ledger for reading.
func (s *State) Ledger() *ledger.Ledger { return s.ledger }

// Authority returns the authority for reading.
func (s *State) Authority() *authority.Authority { return s.authority }

// Snapshot is the whole state at one moment. It shares memory with the state
// that made it and must not be changed; it may be read by another goroutine.
type Snapshot struct {
	// Index is the log index of the last command applied.
	Index uint64
	// Now is the time of the state, Unix milliseconds.
	Now       int64
	Table     table.Snapshot
	Ledger    ledger.Snapshot
	Authority authority.Snapshot
	Drains    map[string]Drain
	Fencing   map[string]FencingSetting
	// Routes is nil before the first document.
	Routes *routes.Document
	Fleet  map[string]fleet.Server
}

// Snapshot returns the state at this moment. Later commands don't affect it.
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
	}
}

// Restore returns a state equal to the one that made the snapshot. The error is
// of kind fault.Corrupt.
func Restore(snap Snapshot) (*State, error) {
	if len(snap.Drains) > MaxDrains || max(len(snap.Fencing), len(snap.Fleet)) > authority.MaxServers {
		return nil, fault.New(fault.Corrupt, part, "the snapshot is larger than its bounds")
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
	s := &State{index: snap.Index, now: snap.Now, table: t, ledger: l, authority: a, routes: r}
	s.drains = orEmpty(snap.Drains)
	s.fencing = orEmpty(snap.Fencing)
	s.fleet = orEmpty(snap.Fleet)
	return s, nil
}

func orEmpty[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return m
}
