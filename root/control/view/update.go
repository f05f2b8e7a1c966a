package view

import (
	"cmp"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Update brings a view of the same term, whose sequence number is at least Base, to
// sequence number Seq. With Base 0 it is a full update, which applies to any earlier
// view.
type Update struct {
	Term, Base, Seq uint64
	// Table is nil if it has not changed since Base.
	Table *table.Table
	// Routes is the complete routing document, and RoutesDelta its difference from
	// the receiver's version. At most one is set; neither if the receiver is current.
	Routes      *routes.Document
	RoutesDelta *routes.Delta
	// Segments is nil if the segments have not changed since Base.
	Segments *quarantine.List
	// Partial is set in a full update whose sender may not know all members yet. The
	// receiver then keeps the servers and VMs that the update does not list, except the
	// RemovedServers.
	Partial bool
	// Servers and VMs are those added or changed since Base, RemovedServers and
	// RemovedVMs the ids of those removed.
	Servers        []fleet.Server
	VMs            []fleet.VM
	RemovedServers []string
	RemovedVMs     []string
	// ServerLoads and VMLoads are the new loads of members of which only the load
	// has changed since Base.
	ServerLoads []ServerLoad
	VMLoads     []VMLoad
}

// ServerLoad is the load of the backend server at an index of the sorted list in
// the updated view.
type ServerLoad struct {
	Index int
	Load  fleet.Load
}

// VMLoad is the load of the VM at an index of the sorted list in the updated view.
type VMLoad struct{ Index, InFlight int }

// FullUpdate returns an update with the complete contents of v.
func FullUpdate(v *View) *Update {
	t, segments := v.Table, v.Segments
	return &Update{Term: v.Term, Seq: v.Seq, Table: &t, Routes: v.Routes, Servers: v.Servers, VMs: v.VMs, Segments: &segments}
}

// Apply returns the updated view. It reports false if cur is already as new as the
// update, if an incremental update is of another term or cur is older than Base, or
// if cur's routing version is neither the one that the delta starts from nor at
// least as new as its result.
func (u *Update) Apply(cur *View) (*View, bool) {
	next := &View{Term: u.Term, Seq: u.Seq, LeaseUntil: cur.LeaseUntil, LeaseOptional: cur.LeaseOptional, Left: cur.Left, Leaving: cur.Leaving, Stopping: cur.Stopping}
	if !u.Newer(cur) {
		return nil, false
	}
	var ok bool
	if next.Routes, ok = u.routesAfter(cur.Routes); !ok {
		return nil, false
	}
	next.Segments = cur.Segments
	if u.Segments != nil {
		next.Segments = *u.Segments
	}
	if u.Base == 0 {
		u.applyFull(cur, next)
		return next, true
	}
	if u.Term != cur.Term || cur.Seq < u.Base {
		return nil, false
	}
	next.Table = cur.Table
	if u.Table != nil {
		next.Table = *u.Table
	}
	next.Servers = merge(cur.Servers, u.Servers, u.RemovedServers, serverID)
	next.VMs = merge(cur.VMs, u.VMs, u.RemovedVMs, vmID)
	u.applyLoads(next)
	return next, true
}

// applyLoads sets the loads in copies of the lists, because published views are
// immutable.
func (u *Update) applyLoads(next *View) {
	if len(u.ServerLoads) > 0 {
		next.Servers = slices.Clone(next.Servers)
	}
	for _, l := range u.ServerLoads {
		if l.Index < len(next.Servers) {
			next.Servers[l.Index].Load = l.Load
		}
	}
	if len(u.VMLoads) > 0 {
		next.VMs = slices.Clone(next.VMs)
	}
	for _, l := range u.VMLoads {
		if l.Index < len(next.VMs) {
			next.VMs[l.Index].InFlight = l.InFlight
		}
	}
}

// Newer reports whether the updated view is later than cur.
func (u *Update) Newer(cur *View) bool {
	return (&View{Term: u.Term, Seq: u.Seq}).Newer(cur)
}

// routesAfter returns the routing document after the update, which is never older
// than cur. It reports false for a delta that starts from another version than cur's,
// unless cur is already as new as the delta's result.
func (u *Update) routesAfter(cur *routes.Document) (*routes.Document, bool) {
	d := u.RoutesDelta
	switch {
	case d == nil:
		return newerRoutes(cur, u.Routes), true
	case cur != nil && cur.Version >= d.Version:
		return cur, true
	default:
		return d.Apply(cur)
	}
}

// applyFull sets the table and the members from a full update.
func (u *Update) applyFull(cur, next *View) {
	if u.Table != nil {
		next.Table = *u.Table
	}
	if !u.Partial {
		next.Servers = u.Servers
		next.VMs = u.VMs
		return
	}
	next.Servers = merge(cur.Servers, u.Servers, u.RemovedServers, serverID)
	next.VMs = merge(cur.VMs, u.VMs, nil, vmID)
}

// newerRoutes returns the document with the higher version. Either may be nil.
func newerRoutes(cur, next *routes.Document) *routes.Document {
	if next == nil || (cur != nil && cur.Version >= next.Version) {
		return cur
	}
	return next
}

func serverID(s fleet.Server) string { return s.ID }

func vmID(v fleet.VM) string { return v.ID }

// merge returns the sorted list old with the changed members added or replaced and
// the removed ones left out.
func merge[T any](old, changed []T, removed []string, id func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return old
	}
	excluded := make(map[string]bool, len(changed)+len(removed))
	for _, removedID := range removed {
		excluded[removedID] = true
	}
	for _, m := range changed {
		excluded[id(m)] = true
	}
	out := make([]T, 0, len(old)+len(changed))
	for _, m := range old {
		if !excluded[id(m)] {
			out = append(out, m)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	return out
}
