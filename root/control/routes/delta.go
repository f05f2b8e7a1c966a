package routes

import "reflect"

// Place names a route of a document: no two share host and prefix.
type Place struct{ Host, Prefix string }

// Place returns the route's place.
func (r *Route) Place() Place { return Place{r.Host, r.Prefix} }

// Delta brings one version of a document to a later one. It carries no source.
type Delta struct {
	From, Version uint64
	// Set holds routes that are new or changed, Removed those that are gone.
	Set     []Route
	Removed []Place
	// Services and Limits are those of the later version, whole.
	Services []Service
	Limits   Limits
}

// Diff returns the delta between two documents.
func Diff(from, to *Document) *Delta {
	d := &Delta{From: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	old := make(map[Place]*Route, len(from.Routes))
	for i := range from.Routes {
		r := &from.Routes[i]
		old[r.Place()] = r
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		was := old[r.Place()]
		delete(old, r.Place())
		if was == nil || !reflect.DeepEqual(was, r) {
			d.Set = append(d.Set, *r)
		}
	}
	for i := range from.Routes {
		place := from.Routes[i].Place()
		if _, gone := old[place]; gone {
			d.Removed = append(d.Removed, place)
		}
	}
	return d
}

// Apply returns the later document, with its routes in any order. It reports
// false when the given one is not that which the delta starts from.
func (d *Delta) Apply(from *Document) (*Document, bool) {
	if from == nil || from.Version != d.From {
		return nil, false
	}
	out := &Document{Version: d.Version, Services: d.Services, Limits: d.Limits}
	replaced := make(map[Place]bool, len(d.Set)+len(d.Removed))
	for i := range d.Set {
		replaced[d.Set[i].Place()] = true
	}
	for _, place := range d.Removed {
		replaced[place] = true
	}
	for i := range from.Routes {
		if !replaced[from.Routes[i].Place()] {
			out.Routes = append(out.Routes, from.Routes[i])
		}
	}
	out.Routes = append(out.Routes, d.Set...)
	return out, true
}
