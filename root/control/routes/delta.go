package routes

import "reflect"

// Key identifies a route of a document. No two routes have the same host and
// prefix.
type Key struct{ Host, Prefix string }

// Key returns the key of the route.
func (r *Route) Key() Key { return Key{r.Host, r.Prefix} }

// Delta holds the changes from one version of a document to a later one. It
// doesn't include the source.
type Delta struct {
	From, Version uint64
	// Set holds the new and changed routes, Removed the keys of the removed ones.
	Set     []Route
	Removed []Key
	// Services and Limits are the complete ones of the later version.
	Services []Service
	Limits   Limits
	// SetTenants holds the new and changed tenants, RemovedTenants the names of the
	// removed ones. Few tenants change at once, and the digests of all keys of a large
	// document don't compress.
	SetTenants     []Tenant
	RemovedTenants []string
}

// Diff returns the delta between two documents.
func Diff(from, to *Document) *Delta {
	d := &Delta{From: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	d.SetTenants, d.RemovedTenants = diffTenants(from.Tenants, to.Tenants)
	unmatched := make(map[Key]*Route, len(from.Routes))
	for i := range from.Routes {
		r := &from.Routes[i]
		unmatched[r.Key()] = r
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		previous := unmatched[r.Key()]
		delete(unmatched, r.Key())
		if previous == nil || !reflect.DeepEqual(previous, r) {
			d.Set = append(d.Set, *r)
		}
	}
	for i := range from.Routes {
		key := from.Routes[i].Key()
		if _, removed := unmatched[key]; removed {
			d.Removed = append(d.Removed, key)
		}
	}
	return d
}

// Apply returns the later document; the order of its routes and tenants is
// unspecified. It
// returns false if from isn't the version that the delta starts from.
func (d *Delta) Apply(from *Document) (*Document, bool) {
	if from == nil || from.Version != d.From {
		return nil, false
	}
	out := &Document{Version: d.Version, Services: d.Services, Limits: d.Limits}
	replaced := make(map[Key]bool, len(d.Set)+len(d.Removed))
	for i := range d.Set {
		replaced[d.Set[i].Key()] = true
	}
	for _, key := range d.Removed {
		replaced[key] = true
	}
	for i := range from.Routes {
		if !replaced[from.Routes[i].Key()] {
			out.Routes = append(out.Routes, from.Routes[i])
		}
	}
	out.Routes = append(out.Routes, d.Set...)
	out.Tenants = applyTenants(from.Tenants, d.SetTenants, d.RemovedTenants)
	return out, true
}
