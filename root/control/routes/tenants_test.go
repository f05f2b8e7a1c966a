package routes_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// withTenants returns a valid document with the given tenants, or the error.
func withTenants(sources ...routes.TenantSource) (*routes.Document, error) {
	d := document(2, "/a/")
	var err *fault.Error
	if d.Tenants, err = routes.NewTenants(sources); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// TestInvalidTenantsAreRejectedWithoutTheirKeys guards against documents whose keys don't
// tell tenants apart or can't be sent, and against errors that show a key. The error must
// name the tenant, unless its name is itself a key.
func TestInvalidTenantsAreRejectedWithoutTheirKeys(t *testing.T) {
	c := qt.New(t)
	good := routes.TenantSource{Name: "huka270", Keys: []string{"secret-1", "secret-2"}}
	long := strings.Repeat("k", 257)
	cases := map[string]struct {
		tenants []routes.TenantSource
		names   string
	}{
		"shared key":              {[]routes.TenantSource{good, {Name: "rimu", Keys: []string{"secret-3", "secret-2"}}}, "rimu"},
		"shared name":             {[]routes.TenantSource{good, {Name: "huka270", Keys: []string{"secret-3"}}}, "huka270"},
		"empty name":              {[]routes.TenantSource{good, {Keys: []string{"secret-3"}}}, "tenant 2"},
		"name with line feed":     {[]routes.TenantSource{{Name: "hu\nka"}}, `hu\nka`},
		"name not ASCII":          {[]routes.TenantSource{{Name: "hūka"}}, "hūka"},
		"name with leading space": {[]routes.TenantSource{{Name: " huka"}}, " huka"},
		"name too long":           {[]routes.TenantSource{good, {Name: long}}, "tenant 2"},
		"empty key":               {[]routes.TenantSource{{Name: "rimu", Keys: []string{"secret-1", ""}}}, "rimu"},
		"key with space at end":   {[]routes.TenantSource{{Name: "rimu", Keys: []string{"secret-1 "}}}, "rimu"},
		"key with tab":            {[]routes.TenantSource{{Name: "rimu", Keys: []string{"secret\t1"}}}, "rimu"},
		"key with control byte":   {[]routes.TenantSource{{Name: "rimu", Keys: []string{"secret-1\x7f"}}}, "rimu"},
		"key not ASCII":           {[]routes.TenantSource{{Name: "rimu", Keys: []string{"secret-é"}}}, "rimu"},
		"key too long":            {[]routes.TenantSource{{Name: "rimu", Keys: []string{long}}}, "rimu"},
		"name is own key":         {[]routes.TenantSource{good, {Name: "secret-3", Keys: []string{"secret-3"}}}, "tenant 2"},
		"name is another's key":   {[]routes.TenantSource{good, {Name: "secret-1"}}, "tenant 2"},
		"bad key, name is a key":  {[]routes.TenantSource{good, {Name: "secret-1", Keys: []string{""}}}, "tenant 2"},
		"shared names are keys":   {[]routes.TenantSource{good, {Name: "secret-1"}, {Name: "secret-1"}}, "tenant 2"},
	}
	for name, tc := range cases {
		_, err := withTenants(tc.tenants...)
		c.Check(fault.Is(err, fault.Invalid), qt.IsTrue, qt.Commentf("%s: %v", name, err))
		c.Check(err.Error(), qt.Contains, tc.names, qt.Commentf("%s", name))
		c.Check(err.Error(), qt.Not(qt.Contains), "secret", qt.Commentf("%s", name))
		c.Check(err.Error(), qt.Not(qt.Contains), long, qt.Commentf("%s", name))
	}
}

func TestValidTenantsAreAccepted(t *testing.T) {
	c := qt.New(t)
	longest := strings.Repeat("k", 256)
	d, err := withTenants(
		routes.TenantSource{Name: "with space~", Keys: []string{"k 1", longest, "k 1"}, Priority: 3},
		routes.TenantSource{Name: "without-keys"},
	)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Tenants, qt.DeepEquals, []routes.Tenant{
		{Name: "with space~", Keys: []routes.KeyDigest{routes.DigestKey("k 1"), routes.DigestKey(longest)}, Priority: 3},
		{Name: "without-keys"},
	})
}

// TestNumberOfKeysIsBounded guards against a document of legal size whose digests don't fit
// the log.
func TestNumberOfKeysIsBounded(t *testing.T) {
	c := qt.New(t)
	source := routes.TenantSource{Name: "huka270"}
	for i := range routes.MaxKeys {
		source.Keys = append(source.Keys, fmt.Sprint(i))
	}
	_, err := withTenants(source)
	c.Assert(err, qt.IsNil)
	_, err = withTenants(source, routes.TenantSource{Name: "rimu", Keys: []string{"more"}})
	c.Assert(fault.Is(err, fault.TooLarge), qt.IsTrue, qt.Commentf("%v", err))
}

// TestInvalidTenantsLeaveTheDocumentInForce guards against a refused change that takes
// effect in part.
func TestInvalidTenantsLeaveTheDocumentInForce(t *testing.T) {
	c := qt.New(t)
	var s routes.State
	first, err := withTenants(routes.TenantSource{Name: "huka270", Keys: []string{"k1"}})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Replace(first).Changed, qt.IsTrue)
	next := document(3, "/a/")
	next.Tenants = []routes.Tenant{first.Tenants[0], {Name: "rimu", Keys: first.Tenants[0].Keys}}
	c.Assert(fault.Is(s.Replace(next).Err, fault.Invalid), qt.IsTrue)
	c.Assert(s.Document(), qt.Equals, first)
	_, restoreErr := routes.Restore(next)
	c.Assert(fault.Is(restoreErr, fault.Corrupt), qt.IsTrue)
}

func drawTenants(t *rapid.T) []routes.Tenant {
	var out []routes.Tenant
	for i := range 5 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		tenant := routes.Tenant{Name: fmt.Sprint(i), Priority: rapid.IntRange(0, 1).Draw(t, "priority")}
		for k := range rapid.IntRange(0, 2).Draw(t, "keys") {
			tenant.Keys = append(tenant.Keys, routes.DigestKey(fmt.Sprint(i, k)))
		}
		out = append(out, tenant)
	}
	return out
}

// TestDeltaLeadsToTheSameTenants guards against a tenant or a key that a receiver of deltas
// keeps after its removal, or lacks.
func TestDeltaLeadsToTheSameTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := &routes.Document{Version: 1, Tenants: drawTenants(t)}
		to := &routes.Document{Version: 2, Tenants: drawTenants(t)}
		delta := routes.Diff(from, to)
		got, ok := delta.Apply(from)
		if !ok {
			t.Fatal("the delta does not apply")
		}
		byName := func(a, b routes.Tenant) int { return cmp.Compare(a.Name, b.Name) }
		sorted := slices.SortedFunc(slices.Values(got.Tenants), byName)
		if !slices.EqualFunc(sorted, to.Tenants, func(a, b routes.Tenant) bool {
			return a.Name == b.Name && a.Priority == b.Priority && slices.Equal(a.Keys, b.Keys)
		}) {
			t.Fatalf("tenants %v, want %v", sorted, to.Tenants)
		}
		if again := routes.Diff(to, got); len(again.SetTenants) > 0 || len(again.RemovedTenants) > 0 {
			t.Fatalf("a difference remains: %+v", again)
		}
	})
}
