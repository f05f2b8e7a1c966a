package view

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// loadRefresh is how old a published load report may grow before the same load
// counts as news again.
const loadRefresh = 2 * time.Second

// maxRemoved bounds the remembered removals; an update from before the oldest
// one is a whole view.
const maxRemoved = 1024

// maxDocuments bounds the remembered documents of routes; a holder of an older
// one gets the whole document. Operators seldom change routes faster than twice
// a second, and a holder renews its lease as often.
const maxDocuments = 8

// Journal keeps the present view of one term and when each part of it last
// changed, so that an update from any earlier sequence can be made.
type Journal struct {
	current *View
	servers changes
	vms     changes
	tableAt uint64
	// documents are the latest documents of routes without their sources, the
	// newest last.
	documents []*routes.Document
	// deltas lead from earlier documents to the current one, by their versions: many
	// followers hold the same.
	deltas map[uint64]*routes.Delta
	// partial is set while members may be missing.
	partial   bool
	removed   []removal
	forgotten uint64
}

// changes holds by member when it last changed, and when its load did.
type changes struct{ at, loadAt map[string]uint64 }

func newChanges() changes {
	return changes{at: map[string]uint64{}, loadAt: map[string]uint64{}}
}

// removal is a member that left the view.
type removal struct {
	id  string
	seq uint64
	vm  bool
}

// Holding is what a follower has in force.
type Holding struct {
	// Seq is its view of this term; 0 for none.
	Seq uint64
	// Routes is the version of its routes, of any term; 0 for none.
	Routes uint64
}

// Holding returns what a follower holds that has the present view.
func (j *Journal) Holding() Holding {
	h := Holding{Seq: j.current.Seq}
	if j.current.Routes != nil {
		h.Routes = j.current.Routes.Version
	}
	return h
}

// NewJournal returns the journal of a term that has no view yet.
func NewJournal(term uint64) *Journal {
	return &Journal{current: &View{Term: term}, servers: newChanges(), vms: newChanges()}
}

// Current returns the present view. It must not be changed.
func (j *Journal) Current() *View { return j.current }

// SetPartial says whether members may be missing from the view. Once none are
// missing any more, every follower gets a whole view.
func (j *Journal) SetPartial(partial bool) {
	if j.partial && !partial {
		whole := *j.current
		whole.Seq++
		j.forgotten = j.current.Seq
		j.current = &whole
	}
	j.partial = partial
}

// Set makes a new view of sorted members and reports whether anything changed.
func (j *Journal) Set(t table.Table, r *routes.Document, servers []fleet.Server, vms []fleet.VM) bool {
	seq := j.current.Seq + 1
	next := &View{Term: j.current.Term, Seq: seq, Table: t, Routes: j.current.Routes, Servers: servers, VMs: vms}
	changed := j.current.Seq == 0
	if changed || t.Version != j.current.Table.Version {
		j.tableAt = seq
		changed = true
	}
	if r != nil && (next.Routes == nil || r.Version != next.Routes.Version) {
		next.Routes = withoutSource(r)
		j.remember(next.Routes)
		changed = true
	}
	changed = mark(j, j.servers, j.current.Servers, servers, serverKind) || changed
	changed = mark(j, j.vms, j.current.VMs, vms, vmKind) || changed
	if changed {
		j.current = next
	}
	return changed
}

// withoutSource returns the document as views carry it.
func withoutSource(d *routes.Document) *routes.Document {
	out := *d
	out.Source = nil
	return &out
}

func (j *Journal) remember(d *routes.Document) {
	j.deltas = map[uint64]*routes.Delta{}
	j.documents = append(j.documents, d)
	if len(j.documents) > maxDocuments {
		j.documents = slices.Delete(j.documents, 0, 1)
	}
}

// kind tells the members of one list apart.
type kind[T any] struct {
	id       func(T) string
	same     func(a, b T) bool
	sameLoad func(a, b T) bool
	vm       bool
}

var (
	serverKind = kind[fleet.Server]{id: serverID, same: sameServer, sameLoad: sameServerLoad}
	vmKind     = kind[fleet.VM]{id: vmID, same: sameVM, sameLoad: sameVMLoad, vm: true}
)

// mark notes which members of a list changed at the next sequence.
func mark[T any](j *Journal, c changes, old, next []T, k kind[T]) bool {
	seq := j.current.Seq + 1
	before := make(map[string]int, len(old))
	for i, m := range old {
		before[k.id(m)] = i
	}
	changed := false
	for i, m := range next {
		id := k.id(m)
		was, known := before[id]
		delete(before, id)
		switch {
		case !known || !k.same(old[was], m):
			c.at[id] = seq
			changed = true
		case !k.sameLoad(old[was], m):
			c.loadAt[id] = seq
			changed = true
		default:
			next[i] = old[was]
		}
	}
	for name := range before {
		delete(c.at, name)
		delete(c.loadAt, name)
		j.noteRemoved(removal{id: name, seq: seq, vm: k.vm})
		changed = true
	}
	return changed
}

func (j *Journal) noteRemoved(r removal) {
	j.removed = append(j.removed, r)
	if len(j.removed) > maxRemoved {
		j.forgotten = j.removed[0].seq
		j.removed = slices.Delete(j.removed, 0, 1)
	}
}

func sameServer(a, b fleet.Server) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Kind == b.Kind && a.Role == b.Role &&
		a.Slots == b.Slots && a.CacheTokens == b.CacheTokens &&
		a.ChecksFencing == b.ChecksFencing && a.State == b.State && slices.Equal(a.Targets, b.Targets)
}

func sameServerLoad(sa, sb fleet.Server) bool {
	a, b := sa.Load, sb.Load
	if a.Running != b.Running || a.Waiting != b.Waiting || a.Tokens != b.Tokens || a.CacheUsed != b.CacheUsed {
		return false
	}
	idle := a.Running == 0 && a.Waiting == 0
	return idle || b.ReportedAt.Sub(a.ReportedAt) < loadRefresh
}

func sameVM(a, b fleet.VM) bool {
	a.InFlight = b.InFlight
	return a == b
}

func sameVMLoad(a, b fleet.VM) bool { return a.InFlight == b.InFlight }

// Since returns the update for a follower. One without a view of this term, or
// with one too old, gets a whole view.
func (j *Journal) Since(h Holding) *Update {
	if h.Seq == 0 || h.Seq <= j.forgotten || h.Seq > j.current.Seq {
		u := Whole(j.current)
		u.Partial = j.partial
		j.addRoutes(u, h.Routes)
		return u
	}
	u := &Update{Term: j.current.Term, Base: h.Seq, Seq: j.current.Seq}
	j.addRoutes(u, h.Routes)
	if j.tableAt > h.Seq {
		t := j.current.Table
		u.Table = &t
	}
	u.Servers = changedSince(j.current.Servers, j.servers.at, h.Seq, serverID)
	u.VMs = changedSince(j.current.VMs, j.vms.at, h.Seq, vmID)
	if !j.partial {
		j.addLoads(u, h.Seq)
	}
	for _, r := range j.removed {
		switch {
		case r.seq <= h.Seq:
		case r.vm:
			u.RemovedVMs = append(u.RemovedVMs, r.id)
		default:
			u.RemovedServers = append(u.RemovedServers, r.id)
		}
	}
	return u
}

// addRoutes says as little about the routes as brings the held version up to date.
func (j *Journal) addRoutes(u *Update, held uint64) {
	u.Routes = nil
	current := j.current.Routes
	if current == nil || held >= current.Version {
		return
	}
	if u.RoutesDelta = j.deltaFrom(held); u.RoutesDelta == nil {
		u.Routes = current
	}
}

// deltaFrom returns what leads from a remembered document to the current one; nil
// for one that is not remembered.
func (j *Journal) deltaFrom(version uint64) *routes.Delta {
	if known := j.deltas[version]; known != nil {
		return known
	}
	for _, d := range j.documents {
		if d.Version == version {
			j.deltas[version] = routes.Diff(d, j.current.Routes)
			return j.deltas[version]
		}
	}
	return nil
}

// addLoads adds the new loads of members that are otherwise the same. While
// members may be missing, a follower's lists may hold more, so that positions
// mean nothing.
func (j *Journal) addLoads(u *Update, seq uint64) {
	for i, s := range j.current.Servers {
		if j.servers.loadAt[s.ID] > seq && j.servers.at[s.ID] <= seq {
			u.ServerLoads = append(u.ServerLoads, ServerLoad{At: i, Load: s.Load})
		}
	}
	for i, vm := range j.current.VMs {
		if j.vms.loadAt[vm.ID] > seq && j.vms.at[vm.ID] <= seq {
			u.VMLoads = append(u.VMLoads, VMLoad{At: i, InFlight: vm.InFlight})
		}
	}
}

func changedSince[T any](members []T, at map[string]uint64, seq uint64, id func(T) string) []T {
	var out []T
	for _, m := range members {
		if at[id(m)] > seq {
			out = append(out, m)
		}
	}
	return out
}
