package tenancy_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/tenancy"
)

func index(t interface{ Fatal(...any) }, sources ...routes.TenantSource) *tenancy.Index {
	tenants, err := routes.NewTenants(sources)
	if err != nil {
		t.Fatal(err)
	}
	return tenancy.NewIndex(&routes.Document{Version: 1, Tenants: tenants})
}

func digests(keys ...string) []routes.KeyDigest {
	var out []routes.KeyDigest
	for _, key := range keys {
		out = append(out, routes.DigestKey(key))
	}
	return out
}

// TestOnlyOneKnownKeyAdmits covers each way in which a request may carry keys, on closed
// and public routes.
func TestOnlyOneKnownKeyAdmits(t *testing.T) {
	c := qt.New(t)
	x := index(t, routes.TenantSource{Name: "huka270", Keys: []string{"thhk-0001", "cpih"}}, routes.TenantSource{Name: "rimu", Keys: []string{"r"}})
	for name, tc := range map[string]struct {
		keys    []string
		verdict tenancy.Verdict
		tenant  string
	}{
		"first key":            {[]string{"thhk-0001"}, tenancy.Admitted, "huka270"},
		"second key":           {[]string{"cpih"}, tenancy.Admitted, "huka270"},
		"other tenant":         {[]string{"r"}, tenancy.Admitted, "rimu"},
		"no key":               {nil, tenancy.NoKey, ""},
		"empty key":            {[]string{""}, tenancy.UnknownKey, ""},
		"other last byte":      {[]string{"thhk-0002"}, tenancy.UnknownKey, ""},
		"one byte less":        {[]string{"thhk-000"}, tenancy.UnknownKey, ""},
		"one byte more":        {[]string{"thhk-00011"}, tenancy.UnknownKey, ""},
		"other case":           {[]string{"THHK-0001"}, tenancy.UnknownKey, ""},
		"name of a tenant":     {[]string{"huka270"}, tenancy.UnknownKey, ""},
		"the same key twice":   {[]string{"r", "r"}, tenancy.SeveralKeys, ""},
		"two keys in one line": {[]string{"r, cpih"}, tenancy.UnknownKey, ""},
	} {
		d := x.Decide(&routes.Route{Name: "closed"}, digests(tc.keys...))
		c.Check(d.Verdict, qt.Equals, tc.verdict, qt.Commentf("%s", name))
		c.Check(d.Tenant, qt.Equals, tc.tenant, qt.Commentf("%s", name))
		public := x.Decide(&routes.Route{Name: "public", Public: true}, digests(tc.keys...))
		c.Check(public.Verdict, qt.Equals, tenancy.Admitted, qt.Commentf("%s", name))
		c.Check(public.Tenant, qt.Equals, tc.tenant, qt.Commentf("%s", name))
	}
}

// TestWithoutTenantsNothingChanges guards documents without tenants: any request is
// admitted, without a tenant and with the priority of its route.
func TestWithoutTenantsNothingChanges(t *testing.T) {
	c := qt.New(t)
	x := index(t)
	for _, priority := range []int{-1, 0, 5, 9, 30} {
		got := x.Decide(&routes.Route{Priority: priority}, digests("any"))
		c.Check(got, qt.Equals, tenancy.Decision{Rank: priority})
	}
}

// TestOnlyAFreshViewRefusesAKey guards against a 401 for a key that a later document has.
func TestOnlyAFreshViewRefusesAKey(t *testing.T) {
	c := qt.New(t)
	for _, verdict := range []tenancy.Verdict{tenancy.NoKey, tenancy.SeveralKeys, tenancy.UnknownKey} {
		d := tenancy.Decision{Verdict: verdict}
		c.Check(d.Err(true).Kind, qt.Equals, fault.Unauthorized)
		c.Check(d.Err(true).Ran, qt.Equals, fault.RanNo)
		c.Check(d.Err(false).Kind, qt.Equals, fault.NotReady)
	}
	c.Check(tenancy.Decision{}.Err(true) == nil, qt.IsTrue)
}

// TestRanksFollowTenantThenRoute guards the order of requests at engines: a request of a
// more urgent tenant never comes after one of a less urgent tenant, nor one of a more
// urgent route after another of the same tenant. Where ten ranks suffice, different
// priorities have different ranks.
func TestRanksFollowTenantThenRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 1, 14, rapid.ID[int])
		tenantPriorities, routePriorities := priorities.Draw(t, "tenants"), priorities.Draw(t, "routes")
		var sources []routes.TenantSource
		for i, p := range tenantPriorities {
			sources = append(sources, routes.TenantSource{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint(i)}, Priority: p})
		}
		tenants, _ := routes.NewTenants(sources)
		d := &routes.Document{Tenants: tenants, Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{}}, {Name: "plain"}}}
		for _, p := range routePriorities {
			d.Routes = append(d.Routes, routes.Route{Priority: p, Public: true, Split: []routes.WeightedService{{Service: "llm", Weight: 1}}})
		}
		// Routes without engines must not take up ranks.
		for p := 41; p < 60; p++ {
			d.Routes = append(d.Routes, routes.Route{Priority: p, Split: []routes.WeightedService{{Service: "plain", Weight: 1}}})
		}
		x := tenancy.NewIndex(d)
		distinct := len(tenantPriorities)*len(routePriorities) <= 10
		rank := func(i, j int) int { return x.Decide(&d.Routes[j], digests(fmt.Sprint(i))).Rank }
		for i, tenant := range tenantPriorities {
			for j, route := range routePriorities {
				a := rank(i, j)
				if len(tenantPriorities) == 1 {
					if a != route {
						t.Fatalf("rank %d on a route of priority %d with one tenant priority", a, route)
					}
					continue
				}
				if a < 0 || a > 9 {
					t.Fatalf("rank %d", a)
				}
				if anonymous := x.Decide(&d.Routes[j], nil).Rank; anonymous < a {
					t.Fatalf("rank %d without a key, %d with one", anonymous, a)
				}
				for k, otherTenant := range tenantPriorities {
					for l, otherRoute := range routePriorities {
						b := rank(k, l)
						before := tenant < otherTenant || tenant == otherTenant && route < otherRoute
						if before && (a > b || distinct && a == b) {
							t.Fatalf("rank %d of (%d, %d), rank %d of (%d, %d)", a, tenant, route, b, otherTenant, otherRoute)
						}
					}
				}
			}
		}
	})
}
