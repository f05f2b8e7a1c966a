package tenancy_test

import (
	"fmt"
	"testing"

	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/tenancy"
)

// manyTenants returns a document with as many tenants as are expected, with three keys each.
func manyTenants(b *testing.B) *routes.Document {
	var sources []routes.TenantSource
	for i := range 3100 {
		s := routes.TenantSource{Name: fmt.Sprintf("huka%04d", i), Priority: i % 4}
		for k := range 3 {
			s.Keys = append(s.Keys, fmt.Sprintf("key-%d-%d", i, k))
		}
		sources = append(sources, s)
	}
	tenants, err := routes.NewTenants(sources)
	if err != nil {
		b.Fatal(err)
	}
	return &routes.Document{Version: 1, Tenants: tenants}
}

// BenchmarkIndex measures the making of an index, once for each document.
func BenchmarkIndex(b *testing.B) {
	d := manyTenants(b)
	b.ReportAllocs()
	for b.Loop() {
		tenancy.NewIndex(d)
	}
}

// BenchmarkDecide measures the digest and the decision for one request.
func BenchmarkDecide(b *testing.B) {
	x := tenancy.NewIndex(manyTenants(b))
	route := &routes.Route{Name: "r"}
	b.ReportAllocs()
	for b.Loop() {
		if x.Decide(route, []routes.KeyDigest{routes.DigestKey("key-1543-1")}).Tenant != "huka1543" {
			b.Fatal("wrong tenant")
		}
	}
}
