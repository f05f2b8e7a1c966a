package view_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// TestUpdatesLeadToTheSameView changes a view at random, while receivers skip random
// updates. Every receiver must end with the tracker's view.
func TestUpdatesLeadToTheSameView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := view.NewChangeTracker(3)
		receivers := []*view.View{{}, {}, {Term: 2, Seq: 90}}
		var document *routes.Document
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			document = drawRoutes(t, document)
			tracker.Set(drawTable(t), document, drawServers(t), drawVMs(t))
			for i, cur := range receivers {
				if rapid.Bool().Draw(t, "skip") {
					continue
				}
				receivers[i] = update(t, tracker, cur)
			}
		}
		for _, cur := range receivers {
			got := update(t, tracker, cur)
			byName := cmpopts.SortSlices(func(a, b routes.Tenant) bool { return a.Name < b.Name })
			byPrefix := cmpopts.SortSlices(func(a, b routes.Route) bool { return a.Prefix < b.Prefix })
			if diff := cmp.Diff(tracker.Current(), got, cmpopts.EquateEmpty(), byPrefix, byName); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func update(t *rapid.T, tracker *view.ChangeTracker, cur *view.View) *view.View {
	var versions view.Versions
	if cur.Term == tracker.Current().Term {
		versions.Seq = cur.Seq
	}
	if cur.Routes != nil {
		versions.Routes = cur.Routes.Version
	}
	next, ok := tracker.Since(versions).Apply(cur)
	if !ok {
		if cur.Seq != tracker.Current().Seq {
			t.Fatalf("receiver stuck at sequence %d, current sequence %d", cur.Seq, tracker.Current().Seq)
		}
		return cur
	}
	return next
}

// drawRoutes returns old or a document of the next version.
func drawRoutes(t *rapid.T, old *routes.Document) *routes.Document {
	if old != nil && rapid.Bool().Draw(t, "same routes") {
		return old
	}
	next := &routes.Document{Version: 1}
	if old != nil {
		next.Version = old.Version + 1
	}
	for i := range 4 {
		if rapid.Bool().Draw(t, "route") {
			r := routes.Route{Prefix: fmt.Sprint(i), Priority: rapid.IntRange(0, 1).Draw(t, "priority")}
			next.Routes = append(next.Routes, r)
		}
	}
	for i := range 3 {
		if rapid.Bool().Draw(t, "tenant") {
			keys := []routes.KeyDigest{routes.DigestKey(fmt.Sprint(i, rapid.IntRange(0, 1).Draw(t, "key")))}
			next.Tenants = append(next.Tenants, routes.Tenant{Name: fmt.Sprint(i), Keys: keys})
		}
	}
	return next
}

func drawTable(t *rapid.T) table.Table {
	return table.Table{Version: rapid.Uint64Range(1, 3).Draw(t, "version")}
}

func drawServers(t *rapid.T) []fleet.Server {
	var out []fleet.Server
	for i := range 4 {
		if rapid.Bool().Draw(t, "present") {
			load := fleet.Load{Running: rapid.IntRange(0, 2).Draw(t, "running"), AnnouncedAt: time.Unix(100, 0)}
			out = append(out, fleet.Server{ID: fmt.Sprint(i), Load: load})
		}
	}
	return out
}

func drawVMs(t *rapid.T) []fleet.VM {
	var out []fleet.VM
	for i := range 3 {
		if rapid.Bool().Draw(t, "present") {
			out = append(out, fleet.VM{ID: fmt.Sprint(i), InFlight: rapid.IntRange(0, 2).Draw(t, "in flight")})
		}
	}
	return out
}

func TestApplyRejectsUpdateFromLaterBaseOrOtherTerm(t *testing.T) {
	c := qt.New(t)
	u := &view.Update{Term: 3, Base: 5, Seq: 7}
	_, ok := u.Apply(&view.View{Term: 3, Seq: 4})
	c.Assert(ok, qt.IsFalse)
	_, ok = u.Apply(&view.View{Term: 2, Seq: 6})
	c.Assert(ok, qt.IsFalse)
	next, ok := u.Apply(&view.View{Term: 3, Seq: 6})
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Seq, qt.Equals, uint64(7))
}
