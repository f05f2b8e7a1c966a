package view_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

func servers(ids ...string) []fleet.Server {
	var out []fleet.Server
	for _, id := range ids {
		out = append(out, fleet.Server{ID: id})
	}
	return out
}

// A new leader without a view learns of the servers one by one. Its partial views
// must not remove members that it has not heard from yet.
func TestPartialViewKeepsUnlistedMembers(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(9)
	tracker.SetPartial(true)
	tracker.Set(table.Table{}, nil, servers("b"), nil)
	receiver := &view.View{Term: 8, Seq: 40, Servers: servers("a", "b")}
	next, ok := tracker.Since(view.Versions{}).Apply(receiver)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("a", "b"))
	tracker.SetPartial(false)
	tracker.Set(table.Table{}, nil, servers("b"), nil)
	next, ok = tracker.Since(view.Versions{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("b"))
}

// A new leader can publish a later view with an older routing document.
func TestApplyKeepsNewerRoutes(t *testing.T) {
	c := qt.New(t)
	receiver := &view.View{Term: 8, Seq: 40, Routes: &routes.Document{Version: 7}}
	older := &view.Update{Term: 9, Seq: 1, Routes: &routes.Document{Version: 5}}
	next, ok := older.Apply(receiver)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Routes.Version, qt.Equals, uint64(7))
	newer := &view.Update{Term: 9, Seq: 2, Routes: &routes.Document{Version: 8}}
	next, ok = newer.Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Routes.Version, qt.Equals, uint64(8))
}

func TestSetDropsRouteSource(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(1)
	tracker.Set(table.Table{}, &routes.Document{Version: 3, Source: []byte("text")}, nil, nil)
	c.Assert(tracker.Current().Routes.Version, qt.Equals, uint64(3))
	c.Assert(tracker.Current().Routes.Source, qt.IsNil)
	seq := tracker.Current().Seq
	tracker.Set(table.Table{}, &routes.Document{Version: 3}, servers("a"), nil)
	c.Assert(tracker.Since(view.Versions{Seq: seq, Routes: 3}).Routes, qt.IsNil)
}

func TestOptionalLease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	c.Assert((&view.View{Term: 1}).Valid(now), qt.IsFalse)
	c.Assert((&view.View{LeaseOptional: true}).Valid(now), qt.IsFalse)
	c.Assert((&view.View{Term: 1, LeaseOptional: true}).Valid(now), qt.IsTrue)
	c.Assert((&view.View{Term: 1, LeaseOptional: true, Stopping: true}).Ready(now), qt.IsFalse)
}

// Loads are addressed by index. While the view is partial, the receiver's list can
// be longer than the tracker's, so that an index would name another server.
func TestPartialViewCarriesNoLoads(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(9)
	tracker.SetPartial(true)
	tracker.Set(table.Table{}, nil, servers("b"), nil)
	next, ok := tracker.Since(view.Versions{}).Apply(&view.View{Term: 8, Seq: 40, Servers: servers("a", "b")})
	c.Assert(ok, qt.IsTrue)
	busy := servers("b")
	busy[0].Load.Running = 7
	tracker.Set(table.Table{}, nil, busy, nil)
	next, ok = tracker.Since(view.Versions{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("a", "b"))
	tracker.SetPartial(false)
	next, ok = tracker.Since(view.Versions{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, busy)
}

// TestReceiverOfAPartialViewGetsAFullUpdate removes members while the view is partial and
// then so many that the first removals are no longer recorded. A receiver of the partial
// view must not get an incremental update, which would keep a server that is gone.
func TestReceiverOfAPartialViewGetsAFullUpdate(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(9)
	tracker.SetPartial(true)
	tracker.Set(table.Table{}, nil, servers("a", "b", "c"), nil)
	tracker.Set(table.Table{}, nil, servers("b", "c"), nil)
	tracker.Set(table.Table{}, nil, servers("c"), nil)
	receiver, ok := tracker.Since(view.Versions{}).Apply(&view.View{Term: 8, Seq: 40, Servers: servers("c", "gone")})
	c.Assert(ok, qt.IsTrue)
	tracker.SetPartial(false)
	for range 1023 {
		tracker.Set(table.Table{}, nil, servers("c", "d"), nil)
		tracker.Set(table.Table{}, nil, servers("c"), nil)
	}
	receiver, ok = tracker.Since(view.Versions{Seq: receiver.Seq}).Apply(receiver)
	c.Assert(ok, qt.IsTrue)
	c.Assert(receiver.Servers, qt.DeepEquals, servers("c"))
}

// Computing a delta is expensive, and receivers at different sequence numbers often
// have the same routing version.
func TestRoutesDeltaIsCached(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(1)
	tracker.Set(table.Table{}, &routes.Document{Version: 3}, nil, nil)
	tracker.Set(table.Table{}, &routes.Document{Version: 3}, servers("a"), nil)
	tracker.Set(table.Table{}, &routes.Document{Version: 5}, servers("a"), nil)
	first := tracker.Since(view.Versions{Seq: 1, Routes: 3}).RoutesDelta
	c.Assert(first.Version, qt.Equals, uint64(5))
	c.Assert(tracker.Since(view.Versions{Seq: 2, Routes: 3}).RoutesDelta, qt.Equals, first)
	c.Assert(tracker.Since(view.Versions{Routes: 3}).RoutesDelta, qt.Equals, first)
	tracker.Set(table.Table{}, &routes.Document{Version: 6}, servers("a"), nil)
	c.Assert(tracker.Since(view.Versions{Seq: 2, Routes: 3}).RoutesDelta.Version, qt.Equals, uint64(6))
}

// Encoding a complete view is expensive, and after a change of leader every receiver
// needs one.
func TestReceiversWithTheSameVersionsShareAnUpdate(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(1)
	tracker.Set(table.Table{}, nil, servers("a"), nil)
	complete := tracker.Since(view.Versions{})
	c.Assert(tracker.Since(view.Versions{}), qt.Equals, complete)
	tracker.Set(table.Table{}, nil, servers("a", "b"), nil)
	c.Assert(tracker.Since(view.Versions{}).Servers, qt.HasLen, 2)
	next := tracker.Since(view.Versions{Seq: 1})
	c.Assert(tracker.Since(view.Versions{Seq: 1}), qt.Equals, next)
	c.Assert(next.Servers, qt.DeepEquals, servers("b"))
}

// A delta that starts from other routes is rejected, unless the receiver's routes are
// already as new as its result.
func TestApplyRejectsDeltaFromOtherRoutes(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(1)
	tracker.Set(table.Table{}, &routes.Document{Version: 3}, nil, nil)
	tracker.Set(table.Table{}, &routes.Document{Version: 5}, nil, nil)
	u := tracker.Since(view.Versions{Seq: 1, Routes: 3})
	c.Assert(u.RoutesDelta, qt.IsNotNil)
	_, ok := u.Apply(&view.View{Term: 1, Seq: 1, Routes: &routes.Document{Version: 4}})
	c.Assert(ok, qt.IsFalse)
	next, ok := u.Apply(&view.View{Term: 1, Seq: 1, Routes: &routes.Document{Version: 6}})
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Routes.Version, qt.Equals, uint64(6))
}

// TestPartialViewDropsDepartedServers guards against entries that keep a server which left,
// because a leader that started without a view does not list it.
func TestPartialViewDropsDepartedServers(t *testing.T) {
	c := qt.New(t)
	tracker := view.NewChangeTracker(9)
	tracker.SetPartial(true)
	tracker.Set(table.Table{}, nil, servers("b"), nil)
	c.Assert(tracker.SetDeparted([]string{"a"}), qt.IsTrue)
	c.Assert(tracker.SetDeparted([]string{"a"}), qt.IsFalse)
	receiver := &view.View{Term: 8, Seq: 40, Servers: servers("a", "b", "c", "d")}
	next, ok := tracker.Since(view.Versions{}).Apply(receiver)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("b", "c", "d"))
	c.Assert(tracker.SetDeparted([]string{"a", "c"}), qt.IsTrue)
	next, ok = tracker.Since(view.Versions{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("b", "d"))
	tracker.SetPartial(false)
	c.Assert(tracker.SetDeparted([]string{"a", "b", "c"}), qt.IsFalse)
	c.Assert(tracker.Since(view.Versions{}).RemovedServers, qt.HasLen, 0)
}
