package routes

import (
	"fmt"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// classQueue bounds the requests of one class that wait over the whole fleet:
// about two seconds of a busy class.
const classQueue = 512

// Class returns the name of the class of work that the route's requests belong
// to. Routes of equal kind and priority share one.
func (r *Route) Class() string {
	name := fmt.Sprintf("route-%d-%s", r.Priority, r.Kind)
	if r.Resumable {
		name += "-resumable"
	}
	return name
}

// Classes returns the classes of work that the routes need, sorted by name.
// Timeouts are those of each request's own route.
func (d *Document) Classes() []table.Class {
	byName := map[string]*table.Class{}
	for i := range d.Routes {
		r := &d.Routes[i]
		c := byName[r.Class()]
		if c == nil {
			c = &table.Class{Name: r.Class(), Weight: 1, Place: r.Priority, Queue: classQueue, Idempotent: r.Idempotent()}
			byName[c.Name] = c
		}
		for _, s := range r.Split {
			if !slices.Contains(c.Targets, s.Service) {
				c.Targets = append(c.Targets, s.Service)
			}
		}
	}
	out := make([]table.Class, 0, len(byName))
	for _, c := range byName {
		slices.Sort(c.Targets)
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b table.Class) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
