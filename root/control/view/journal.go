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

// Journal keeps the present view of one term and when each part of it last
// changed, so that an update from any earlier sequence can be made.
type Journal struct {
	current  *View
	servers  map[string]uint64
	vms      map[string]uint64
	tableAt  uint64
	routesAt uint64
	// partial is set while members may be missing.
	partial   bool
	removed   []removal
	forgotten uint64
}

// removal is a member that left the view.
type removal struct {
	id  string
	seq uint64
	vm  bool
}

// NewJournal returns the journal of a term that has no view yet.
func NewJournal(term uint64) *Journal {
	return &Journal{current: &View{Term: term}, servers: map[string]uint64{}, vms: map[string]uint64{}}
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
		j.routesAt = seq
		changed = true
	}
	changed = mark(j, j.servers, j.current.Servers, servers, serverID, sameServer, false) || changed
	changed = mark(j, j.vms, j.current.VMs, vms, vmID, sameVM, true) || changed
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

// mark notes which members of a list changed at the next sequence.
func mark[T any](
	j *Journal, at map[string]uint64, old, next []T, id func(T) string, same func(a, b T) bool, vm bool,
) bool {
	seq := j.current.Seq + 1
	before := make(map[string]int, len(old))
	for i, m := range old {
		before[id(m)] = i
	}
	changed := false
	for i, m := range next {
		k, known := before[id(m)]
		delete(before, id(m))
		if known && same(old[k], m) {
			next[i] = old[k]
			continue
		}
		at[id(m)] = seq
		changed = true
	}
	for name := range before {
		delete(at, name)
		j.noteRemoved(removal{id: name, seq: seq, vm: vm})
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
	if a.ID != b.ID || a.Incarnation != b.Incarnation || a.Address != b.Address ||
		a.FailureDomain != b.FailureDomain || a.Kind != b.Kind || a.Role != b.Role ||
		a.Slots != b.Slots || a.CacheTokens != b.CacheTokens ||
		a.ChecksFencing != b.ChecksFencing || a.State != b.State || !slices.Equal(a.Targets, b.Targets) {
		return false
	}
	return sameLoad(a.Load, b.Load)
}

func sameLoad(a, b fleet.Load) bool {
	if a.Running != b.Running || a.Waiting != b.Waiting || a.Tokens != b.Tokens || a.CacheUsed != b.CacheUsed {
		return false
	}
	idle := a.Running == 0 && a.Waiting == 0
	return idle || b.ReportedAt.Sub(a.ReportedAt) < loadRefresh
}

func sameVM(a, b fleet.VM) bool { return a == b }

// Since returns the update from a sequence of this term; 0 asks for all of it.
func (j *Journal) Since(seq uint64) *Update {
	if seq == 0 || seq <= j.forgotten || seq > j.current.Seq {
		u := Whole(j.current)
		u.Partial = j.partial
		return u
	}
	u := &Update{Term: j.current.Term, Base: seq, Seq: j.current.Seq}
	if j.routesAt > seq {
		u.Routes = j.current.Routes
	}
	if j.tableAt > seq {
		t := j.current.Table
		u.Table = &t
	}
	u.Servers = changedSince(j.current.Servers, j.servers, seq, serverID)
	u.VMs = changedSince(j.current.VMs, j.vms, seq, vmID)
	for _, r := range j.removed {
		switch {
		case r.seq <= seq:
		case r.vm:
			u.RemovedVMs = append(u.RemovedVMs, r.id)
		default:
			u.RemovedServers = append(u.RemovedServers, r.id)
		}
	}
	return u
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
