package view

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// loadRefresh is the age at which a busy server's published load is replaced by a
// newer one with the same values.
const loadRefresh = 2 * time.Second

// maxRemoved bounds the recorded removals. A receiver that is older than the
// oldest record gets a full update.
const maxRemoved = 1024

// maxDocuments bounds the routing documents kept for computing deltas. A receiver
// with an older one gets the complete document. Few receivers are more than one
// version behind, because they renew their leases twice a second and operators seldom
// change routes more often than that.
const maxDocuments = 8

// ChangeTracker holds the current view of one term and the sequence number at which
// each part of it last changed. It computes incremental updates from earlier views.
type ChangeTracker struct {
	current *View
	servers changeSeqs
	vms     changeSeqs
	// tableSeq is the sequence number at which the table last changed.
	tableSeq uint64
	// segmentsSeq is the sequence number at which the segments last changed.
	segmentsSeq uint64
	// documents are the latest routing documents without their sources, oldest first.
	documents []*routes.Document
	// deltas caches the deltas to the current document by the version they start
	// from, because many receivers have the same version.
	deltas map[uint64]*routes.Delta
	// updates caches the updates to the current view by the versions they start from,
	// because many receivers have the same ones and an update is encoded once.
	updates map[Versions]*Update
	// partial is set while members may be missing from the view.
	partial bool
	// departed are the ids of servers that left and that the view does not list, while it
	// is partial.
	departed []string
	removed  []removal
	// compactedSeq is the highest sequence number whose receivers get a full update:
	// removals up to it may no longer be recorded, or the view was partial until then.
	compactedSeq uint64
}

// changeSeqs maps each member to the sequence numbers at which its attributes and
// its load last changed.
type changeSeqs struct{ attributes, load map[string]uint64 }

func newChangeSeqs() changeSeqs {
	return changeSeqs{attributes: map[string]uint64{}, load: map[string]uint64{}}
}

// removal records a member that was removed from the view at seq.
type removal struct {
	id  string
	seq uint64
	vm  bool
}

// Versions identifies the state that a receiver has applied.
type Versions struct {
	// Seq is the sequence number of its view in the current term; 0 for none.
	Seq uint64
	// Routes is the version of its routing document, from any term; 0 for none.
	Routes uint64
}

// Versions returns the versions of a receiver that has applied the current view.
func (c *ChangeTracker) Versions() Versions {
	v := Versions{Seq: c.current.Seq}
	if c.current.Routes != nil {
		v.Routes = c.current.Routes.Version
	}
	return v
}

// NewChangeTracker returns the tracker of a term that has no view yet.
func NewChangeTracker(term uint64) *ChangeTracker {
	return &ChangeTracker{current: &View{Term: term}, servers: newChangeSeqs(), vms: newChangeSeqs()}
}

// ServerSeq returns the sequence number at which the attributes of a server last changed, or
// at which it was removed; 0 for one that is not known any more.
func (c *ChangeTracker) ServerSeq(id string) uint64 {
	seq := c.servers.attributes[id]
	for _, r := range c.removed {
		if !r.vm && r.id == id {
			seq = max(seq, r.seq)
		}
	}
	return seq
}

// Current returns the current view, which must not be modified.
func (c *ChangeTracker) Current() *View { return c.current }

// SetPartial sets whether members may be missing from the view. When it changes
// from true to false, every receiver gets a full update next.
func (c *ChangeTracker) SetPartial(partial bool) {
	if c.partial && !partial {
		next := *c.current
		next.Seq++
		c.compactedSeq = c.current.Seq
		c.current = &next
		c.departed = nil
	}
	if c.partial != partial {
		c.updates = nil
	}
	c.partial = partial
}

// SetDeparted sets the sorted ids of servers that left and that the view does not list, and
// reports whether the view changed. A receiver of a partial view keeps the servers that it
// does not list, and has to be told which of them left. Without a partial view nothing
// changes.
func (c *ChangeTracker) SetDeparted(ids []string) bool {
	if !c.partial || slices.Equal(ids, c.departed) {
		return false
	}
	next := *c.current
	next.Seq++
	c.departed = ids
	c.current = &next
	c.updates = nil
	return true
}

// Set replaces the contents of the view and reports whether anything changed. The
// members must be sorted by id. Set takes over both slices and may change their
// elements, so that the caller must not use them afterwards.
func (c *ChangeTracker) Set(t table.Table, r *routes.Document, servers []fleet.Server, vms []fleet.VM) bool {
	seq := c.current.Seq + 1
	next := &View{Term: c.current.Term, Seq: seq, Table: t, Routes: c.current.Routes, Servers: servers, VMs: vms, Segments: c.current.Segments}
	changed := c.current.Seq == 0
	if changed || t.Version != c.current.Table.Version {
		c.tableSeq = seq
		changed = true
	}
	if r != nil && (next.Routes == nil || r.Version != next.Routes.Version) {
		next.Routes = withoutSource(r)
		c.addDocument(next.Routes)
		changed = true
	}
	changed = recordChanges(c, c.servers, c.current.Servers, servers, serverType) || changed
	changed = recordChanges(c, c.vms, c.current.VMs, vms, vmType) || changed
	if changed {
		c.current = next
		c.updates = nil
	}
	return changed
}

// SetSegments replaces the segments of the view and reports whether they changed. It
// takes over the lists.
func (c *ChangeTracker) SetSegments(l quarantine.List) bool {
	if l.SameAs(c.current.Segments) {
		return false
	}
	next := *c.current
	next.Seq++
	next.Segments = l
	c.segmentsSeq = next.Seq
	c.current = &next
	c.updates = nil
	return true
}

// withoutSource returns a copy of the document without its source, which views omit.
func withoutSource(d *routes.Document) *routes.Document {
	out := *d
	out.Source = nil
	return &out
}

func (c *ChangeTracker) addDocument(d *routes.Document) {
	c.deltas = map[uint64]*routes.Delta{}
	c.documents = append(c.documents, d)
	if len(c.documents) > maxDocuments {
		c.documents = slices.Delete(c.documents, 0, 1)
	}
}

// memberType describes the members of one list: servers or VMs.
type memberType[T any] struct {
	id        func(T) string
	equal     func(a, b T) bool
	equalLoad func(a, b T) bool
	vm        bool
}

var (
	serverType = memberType[fleet.Server]{id: serverID, equal: equalServer, equalLoad: equalServerLoad}
	vmType     = memberType[fleet.VM]{id: vmID, equal: equalVM, equalLoad: equalVMLoad, vm: true}
)

// recordChanges records which members of a list change at the next sequence number.
// In next, it replaces unchanged members by their published values, and with them
// the time of their announcements, to which loadRefresh applies.
func recordChanges[T any](c *ChangeTracker, seqs changeSeqs, old, next []T, mt memberType[T]) bool {
	seq := c.current.Seq + 1
	oldIndex := make(map[string]int, len(old))
	for i, m := range old {
		oldIndex[mt.id(m)] = i
	}
	changed := false
	for i, m := range next {
		id := mt.id(m)
		prev, known := oldIndex[id]
		delete(oldIndex, id)
		switch {
		case !known || !mt.equal(old[prev], m):
			seqs.attributes[id] = seq
			changed = true
		case !mt.equalLoad(old[prev], m):
			seqs.load[id] = seq
			changed = true
		default:
			next[i] = old[prev]
		}
	}
	for removedID := range oldIndex {
		delete(seqs.attributes, removedID)
		delete(seqs.load, removedID)
		c.recordRemoval(removal{id: removedID, seq: seq, vm: mt.vm})
		changed = true
	}
	return changed
}

func (c *ChangeTracker) recordRemoval(r removal) {
	c.removed = append(c.removed, r)
	if len(c.removed) > maxRemoved {
		c.compactedSeq = max(c.compactedSeq, c.removed[0].seq)
		c.removed = slices.Delete(c.removed, 0, 1)
	}
}

func equalServer(a, b fleet.Server) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Kind == b.Kind && a.Role == b.Role &&
		a.Slots == b.Slots && a.CacheTokens == b.CacheTokens &&
		a.ChecksFencing == b.ChecksFencing && a.State == b.State && slices.Equal(a.Targets, b.Targets)
}

func equalServerLoad(sa, sb fleet.Server) bool {
	a, b := sa.Load, sb.Load
	if a.Running != b.Running || a.Waiting != b.Waiting || a.Tokens != b.Tokens || a.CacheUsed != b.CacheUsed {
		return false
	}
	idle := a.Running == 0 && a.Waiting == 0
	return idle || b.AnnouncedAt.Sub(a.AnnouncedAt) < loadRefresh
}

func equalVM(a, b fleet.VM) bool {
	a.InFlight = b.InFlight
	return a == b
}

func equalVMLoad(a, b fleet.VM) bool { return a.InFlight == b.InFlight }

// Since returns the update that brings a receiver to the current view. It is a
// full update when the receiver has no view of this term or one that is too old.
// Receivers with the same versions share the update, which must not be modified.
func (c *ChangeTracker) Since(have Versions) *Update {
	if u := c.updates[have]; u != nil {
		return u
	}
	if c.updates == nil {
		c.updates = map[Versions]*Update{}
	}
	c.updates[have] = c.since(have)
	return c.updates[have]
}

func (c *ChangeTracker) since(have Versions) *Update {
	if have.Seq == 0 || have.Seq <= c.compactedSeq || have.Seq > c.current.Seq {
		u := FullUpdate(c.current)
		u.Partial = c.partial
		u.RemovedServers = c.departed
		c.addRoutes(u, have.Routes)
		return u
	}
	u := &Update{Term: c.current.Term, Base: have.Seq, Seq: c.current.Seq, RemovedServers: slices.Clone(c.departed)}
	c.addRoutes(u, have.Routes)
	if c.tableSeq > have.Seq {
		t := c.current.Table
		u.Table = &t
	}
	if c.segmentsSeq > have.Seq {
		segments := c.current.Segments
		u.Segments = &segments
	}
	u.Servers = changedSince(c.current.Servers, c.servers.attributes, have.Seq, serverID)
	u.VMs = changedSince(c.current.VMs, c.vms.attributes, have.Seq, vmID)
	if !c.partial {
		c.addLoads(u, have.Seq)
	}
	for _, r := range c.removed {
		switch {
		case r.seq <= have.Seq:
		case r.vm:
			u.RemovedVMs = append(u.RemovedVMs, r.id)
		default:
			u.RemovedServers = append(u.RemovedServers, r.id)
		}
	}
	return u
}

// addRoutes sets the smallest routing change that updates the receiver's version:
// none, a delta or the complete document.
func (c *ChangeTracker) addRoutes(u *Update, version uint64) {
	u.Routes = nil
	current := c.current.Routes
	if current == nil || version >= current.Version {
		return
	}
	if u.RoutesDelta = c.deltaFrom(version); u.RoutesDelta == nil {
		u.Routes = current
	}
}

// deltaFrom returns the delta from the given version of the routing document to the
// current one, or nil when that version is no longer kept.
func (c *ChangeTracker) deltaFrom(version uint64) *routes.Delta {
	if cached := c.deltas[version]; cached != nil {
		return cached
	}
	for _, d := range c.documents {
		if d.Version == version {
			c.deltas[version] = routes.Diff(d, c.current.Routes)
			return c.deltas[version]
		}
	}
	return nil
}

// addLoads adds the loads of members of which only the load has changed. It must
// not be used while the view is partial: a receiver's lists may then have more
// members, and the indexes would not match.
func (c *ChangeTracker) addLoads(u *Update, seq uint64) {
	for i, s := range c.current.Servers {
		if c.servers.load[s.ID] > seq && c.servers.attributes[s.ID] <= seq {
			u.ServerLoads = append(u.ServerLoads, ServerLoad{Index: i, Load: s.Load})
		}
	}
	for i, vm := range c.current.VMs {
		if c.vms.load[vm.ID] > seq && c.vms.attributes[vm.ID] <= seq {
			u.VMLoads = append(u.VMLoads, VMLoad{Index: i, InFlight: vm.InFlight})
		}
	}
}

func changedSince[T any](members []T, changes map[string]uint64, seq uint64, id func(T) string) []T {
	var out []T
	for _, m := range members {
		if changes[id(m)] > seq {
			out = append(out, m)
		}
	}
	return out
}
