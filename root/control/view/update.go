package view

import (
	"cmp"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// Update brings a view of the same term from any sequence at or after Base to
// Seq. Base 0 marks a whole view.
type Update struct {
	Term, Base, Seq uint64
	// Table is nil when it has not changed since Base.
	Table *table.Table
	// Routes is the whole document, and RoutesDelta what brings an earlier one up
	// to it; both are nil for a receiver that has it.
	Routes      *routes.Document
	RoutesDelta *routes.Delta
	// Partial says that the sender may not know all servers and VMs yet: those
	// that it does not name stay.
	Partial bool
	// Servers and VMs are those changed since Base; the removed ones are named.
	Servers        []fleet.Server
	VMs            []fleet.VM
	RemovedServers []string
	RemovedVMs     []string
	// ServerLoads and VMLoads are the loads that changed since Base of members
	// that are otherwise the same.
	ServerLoads []ServerLoad
	VMLoads     []VMLoad
}

// ServerLoad is the load of the backend server at a position of the sorted list
// of the view at Seq.
type ServerLoad struct {
	At   int
	Load fleet.Load
}

// VMLoad is the load of the VM at a position of the sorted list of the view at Seq.
type VMLoad struct{ At, InFlight int }

// Whole returns the update that stands for all of v.
func Whole(v *View) *Update {
	t := v.Table
	return &Update{Term: v.Term, Seq: v.Seq, Table: &t, Routes: v.Routes, Servers: v.Servers, VMs: v.VMs}
}

// Apply returns the view after the update. It reports false when the update is
// no news, or starts from a view or from routes that cur has not reached.
func (u *Update) Apply(cur *View) (*View, bool) {
	next := &View{Term: u.Term, Seq: u.Seq, LeaseUntil: cur.LeaseUntil, LeaseOptional: cur.LeaseOptional, Left: cur.Left, Leaving: cur.Leaving, Stopping: cur.Stopping}
	if !u.Newer(cur) {
		return nil, false
	}
	var ok bool
	if next.Routes, ok = u.routesAfter(cur.Routes); !ok {
		return nil, false
	}
	if u.Base == 0 {
		u.applyWhole(cur, next)
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

// applyLoads sets the loads in lists of its own: views are immutable.
func (u *Update) applyLoads(next *View) {
	if len(u.ServerLoads) > 0 {
		next.Servers = slices.Clone(next.Servers)
	}
	for _, l := range u.ServerLoads {
		if l.At < len(next.Servers) {
			next.Servers[l.At].Load = l.Load
		}
	}
	if len(u.VMLoads) > 0 {
		next.VMs = slices.Clone(next.VMs)
	}
	for _, l := range u.VMLoads {
		if l.At < len(next.VMs) {
			next.VMs[l.At].InFlight = l.InFlight
		}
	}
}

// Newer reports whether the update leads to a later view than cur.
func (u *Update) Newer(cur *View) bool {
	return (&View{Term: u.Term, Seq: u.Seq}).Newer(cur)
}

// routesAfter returns the routes after the update, which never go back to an
// older document. It reports false for a delta from a document that cur is not.
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

// applyWhole fills in the members of a whole view.
func (u *Update) applyWhole(cur, next *View) {
	if u.Table != nil {
		next.Table = *u.Table
	}
	if !u.Partial {
		next.Servers = u.Servers
		next.VMs = u.VMs
		return
	}
	next.Servers = merge(cur.Servers, u.Servers, nil, serverID)
	next.VMs = merge(cur.VMs, u.VMs, nil, vmID)
}

// newerRoutes never goes back to an older document.
func newerRoutes(cur, next *routes.Document) *routes.Document {
	if next == nil || (cur != nil && cur.Version >= next.Version) {
		return cur
	}
	return next
}

func serverID(s fleet.Server) string { return s.ID }

func vmID(v fleet.VM) string { return v.ID }

// merge replaces, adds and removes members of a list sorted by id.
func merge[T any](old, changed []T, removed []string, id func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return old
	}
	gone := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		gone[name] = true
	}
	for _, m := range changed {
		gone[id(m)] = true
	}
	out := make([]T, 0, len(old)+len(changed))
	for _, m := range old {
		if !gone[id(m)] {
			out = append(out, m)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	return out
}
