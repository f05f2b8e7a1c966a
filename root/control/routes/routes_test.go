package routes_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

func document(version uint64, prefixes ...string) *routes.Document {
	d := &routes.Document{Version: version, Services: []routes.Service{{Name: "stock"}, {Name: "orders"}}}
	for _, p := range prefixes {
		d.Routes = append(d.Routes, routes.Route{
			Name: p, Host: "shop.example", Prefix: p, Timeout: time.Second,
			Split: []routes.WeightedService{{Service: "stock", Weight: 1}},
		})
	}
	return d
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := qt.New(t)
	d := document(1, "/", "/a/", "/a/b/")
	for path, want := range map[string]string{"/x": "/", "/a": "/", "/a/": "/a/", "/a/c": "/a/", "/a/b/c": "/a/b/"} {
		r, found := d.Match("shop.example", path)
		c.Assert(found, qt.IsTrue)
		c.Check(r.Prefix, qt.Equals, want, qt.Commentf("path %s", path))
	}
	_, found := d.Match("other.example", "/a/")
	c.Assert(found, qt.IsFalse)
	_, found = document(1, "/a/").Match("shop.example", "/b/")
	c.Assert(found, qt.IsFalse)
}

func TestReplaceKeepsHighestVersion(t *testing.T) {
	c := qt.New(t)
	var s routes.State
	c.Assert(s.Replace(document(7, "/a/")), qt.Equals, routes.Result{Version: 7, Changed: true})
	c.Assert(s.Replace(document(7, "/b/")), qt.Equals, routes.Result{Version: 7})
	c.Assert(s.Replace(document(5, "/b/")), qt.Equals, routes.Result{Version: 7})
	c.Assert(s.Document().Routes[0].Prefix, qt.Equals, "/a/")
	c.Assert(s.Replace(document(9, "/b/")), qt.Equals, routes.Result{Version: 9, Changed: true})
	c.Assert(s.Document().Routes[0].Prefix, qt.Equals, "/b/")
}

// TestReplaceNeverLowersVersion replaces documents in any order, some repeatedly.
// The current version must always be the highest one so far.
func TestReplaceNeverLowersVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s routes.State
		highest := uint64(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 40).Draw(t, "versions") {
			before := s.Version()
			s.Replace(document(v, "/a/"))
			highest = max(highest, v)
			if s.Version() < before || s.Version() != highest {
				t.Fatalf("version %d follows version %d; the highest one so far is %d", s.Version(), before, highest)
			}
		}
	})
}

func TestInvalidDocumentsAreRejected(t *testing.T) {
	c := qt.New(t)
	mutations := map[string]func(*routes.Document){
		"unknown service":               func(d *routes.Document) { d.Routes[0].Split[0].Service = "none" },
		"duplicate route":               func(d *routes.Document) { d.Routes = append(d.Routes, d.Routes[0]) },
		"no weight":                     func(d *routes.Document) { d.Routes[0].Split[0].Weight = 0 },
		"negative weight":               func(d *routes.Document) { d.Routes[0].Split[0].Weight = -1 },
		"no timeout":                    func(d *routes.Document) { d.Routes[0].Timeout = 0 },
		"prefix without trailing slash": func(d *routes.Document) { d.Routes[0].Prefix = "/a" },
		"duplicate service":             func(d *routes.Document) { d.Services = append(d.Services, d.Services[0]) },
		"no host":                       func(d *routes.Document) { d.Routes[0].Host = "" },
	}
	for name, mutate := range mutations {
		var s routes.State
		s.Replace(document(1, "/z/"))
		d := document(2, "/a/")
		mutate(d)
		r := s.Replace(d)
		c.Check(fault.Is(r.Err, fault.Invalid), qt.IsTrue, qt.Commentf("%s", name))
		c.Check(s.Version(), qt.Equals, uint64(1), qt.Commentf("%s", name))
	}
	large := document(2, "/a/")
	large.Source = make([]byte, routes.MaxDocumentBytes+1)
	c.Assert(fault.Is(large.Validate(), fault.TooLarge), qt.IsTrue)
	_, err := routes.Restore(&routes.Document{Version: 1, Routes: []routes.Route{{}}})
	c.Assert(fault.Is(err, fault.Corrupt), qt.IsTrue)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := routes.Route{Split: []routes.WeightedService{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	c.Assert(r.PickService(0), qt.Equals, "a")
	c.Assert(r.PickService(0.899), qt.Equals, "a")
	c.Assert(r.PickService(0.9), qt.Equals, "b")
	c.Assert(r.PickService(0.9999), qt.Equals, "b")
}

func TestOnlySafeRoutesAndResumableStreamsAreIdempotent(t *testing.T) {
	c := qt.New(t)
	c.Assert((&routes.Route{Kind: routes.Safe}).Idempotent(), qt.IsTrue)
	c.Assert((&routes.Route{Kind: routes.Unsafe, Resumable: true}).Idempotent(), qt.IsFalse)
	c.Assert((&routes.Route{Kind: routes.Stream}).Idempotent(), qt.IsFalse)
	c.Assert((&routes.Route{Kind: routes.Stream, Resumable: true}).Idempotent(), qt.IsTrue)
}
