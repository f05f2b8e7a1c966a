package tenancy

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// levels is the number of ranks that engines distinguish: 0 to 9.
const levels = 10

// ranks maps the priorities of a tenant and a route to one rank. The ranks are divided
// into bands, one for each priority of the tenants, in their order. Within its band a
// request is placed by the position of its route's priority among those of the routes
// that lead to engines. Where the numbers of tenant and route priorities multiply to more
// than levels, route priorities that are close share a rank; with more than levels tenant
// priorities, those do too. No request gets a lower rank than one that it comes after.
type ranks struct {
	// tenants and routes are the different priorities, ascending.
	tenants, routes []int
}

func newRanks(d *routes.Document) ranks {
	var r ranks
	if len(d.Tenants) == 0 {
		return r
	}
	for i := range d.Tenants {
		r.tenants = append(r.tenants, d.Tenants[i].Priority)
	}
	for i := range d.Routes {
		if leadsToEngine(d, &d.Routes[i]) {
			r.routes = append(r.routes, d.Routes[i].Priority)
		}
	}
	slices.Sort(r.tenants)
	slices.Sort(r.routes)
	r.tenants, r.routes = slices.Compact(r.tenants), slices.Compact(r.routes)
	return r
}

// leadsToEngine reports whether requests of the route may be sent to engines, which alone
// are told a rank.
func leadsToEngine(d *routes.Document, route *routes.Route) bool {
	return slices.ContainsFunc(route.Split, func(w routes.WeightedService) bool {
		service, found := d.Service(w.Service)
		return found && service.Engine != nil
	})
}

// of returns the rank for the priorities of a tenant and a route. Where all tenants have
// the same priority, the rank is the route's priority, as without tenants.
func (r ranks) of(tenant, route int) int {
	count := len(r.tenants)
	if count <= 1 {
		return route
	}
	i, _ := slices.BinarySearch(r.tenants, tenant)
	first, next := i*levels/count, (i+1)*levels/count
	if len(r.routes) == 0 || next-first <= 1 {
		return first
	}
	j, _ := slices.BinarySearch(r.routes, route)
	return first + min(j, len(r.routes)-1)*(next-first)/len(r.routes)
}

// withoutTenant returns the rank of a request without a tenant: that of one of the least
// urgent tenant, so that leaving out the key never raises a request's rank.
func (r ranks) withoutTenant(route int) int {
	return r.of(r.tenants[len(r.tenants)-1], route)
}
