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

// TestAPartialViewTakesNobodyAway follows a leader that took over without a view
// and hears of the servers one by one.
func TestAPartialViewTakesNobodyAway(t *testing.T) {
	c := qt.New(t)
	j := view.NewJournal(9)
	j.SetPartial(true)
	j.Set(table.Table{}, nil, servers("b"), nil)
	follower := &view.View{Term: 8, Seq: 40, Servers: servers("a", "b")}
	next, ok := j.Since(view.Holding{}).Apply(follower)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("a", "b"))
	j.SetPartial(false)
	j.Set(table.Table{}, nil, servers("b"), nil)
	next, ok = j.Since(view.Holding{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("b"))
}

// TestRoutesNeverGoBack applies a later view that carries an older document.
func TestRoutesNeverGoBack(t *testing.T) {
	c := qt.New(t)
	follower := &view.View{Term: 8, Seq: 40, Routes: &routes.Document{Version: 7}}
	older := &view.Update{Term: 9, Seq: 1, Routes: &routes.Document{Version: 5}}
	next, ok := older.Apply(follower)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Routes.Version, qt.Equals, uint64(7))
	newer := &view.Update{Term: 9, Seq: 2, Routes: &routes.Document{Version: 8}}
	next, ok = newer.Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Routes.Version, qt.Equals, uint64(8))
}

func TestViewsCarryRoutesWithoutSource(t *testing.T) {
	c := qt.New(t)
	j := view.NewJournal(1)
	j.Set(table.Table{}, &routes.Document{Version: 3, Source: []byte("text")}, nil, nil)
	c.Assert(j.Current().Routes.Version, qt.Equals, uint64(3))
	c.Assert(j.Current().Routes.Source, qt.IsNil)
	seq := j.Current().Seq
	j.Set(table.Table{}, &routes.Document{Version: 3}, servers("a"), nil)
	c.Assert(j.Since(view.Holding{Seq: seq, Routes: 3}).Routes, qt.IsNil)
}

func TestAnEntryMayGoOnWithoutALease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	c.Assert((&view.View{Term: 1}).InForce(now), qt.IsFalse)
	c.Assert((&view.View{LeaseOptional: true}).InForce(now), qt.IsFalse)
	c.Assert((&view.View{Term: 1, LeaseOptional: true}).InForce(now), qt.IsTrue)
	c.Assert((&view.View{Term: 1, LeaseOptional: true, Stopping: true}).Ready(now), qt.IsFalse)
}

// TestLoadsWaitUntilNobodyIsMissing: positions in a list mean nothing to a
// follower whose list still holds others.
func TestLoadsWaitUntilNobodyIsMissing(t *testing.T) {
	c := qt.New(t)
	j := view.NewJournal(9)
	j.SetPartial(true)
	j.Set(table.Table{}, nil, servers("b"), nil)
	next, ok := j.Since(view.Holding{}).Apply(&view.View{Term: 8, Seq: 40, Servers: servers("a", "b")})
	c.Assert(ok, qt.IsTrue)
	busy := servers("b")
	busy[0].Load.Running = 7
	j.Set(table.Table{}, nil, busy, nil)
	next, ok = j.Since(view.Holding{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, servers("a", "b"))
	j.SetPartial(false)
	next, ok = j.Since(view.Holding{Seq: next.Seq}).Apply(next)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Servers, qt.DeepEquals, busy)
}

// TestADeltaIsMadeOnce: a document has thousands of routes, and followers at many
// views hold the same version.
func TestADeltaIsMadeOnce(t *testing.T) {
	c := qt.New(t)
	j := view.NewJournal(1)
	j.Set(table.Table{}, &routes.Document{Version: 3}, nil, nil)
	j.Set(table.Table{}, &routes.Document{Version: 3}, servers("a"), nil)
	j.Set(table.Table{}, &routes.Document{Version: 5}, servers("a"), nil)
	first := j.Since(view.Holding{Seq: 1, Routes: 3}).RoutesDelta
	c.Assert(first.Version, qt.Equals, uint64(5))
	c.Assert(j.Since(view.Holding{Seq: 2, Routes: 3}).RoutesDelta, qt.Equals, first)
	c.Assert(j.Since(view.Holding{Routes: 3}).RoutesDelta, qt.Equals, first)
	j.Set(table.Table{}, &routes.Document{Version: 6}, servers("a"), nil)
	c.Assert(j.Since(view.Holding{Seq: 2, Routes: 3}).RoutesDelta.Version, qt.Equals, uint64(6))
}

// TestADeltaOfOtherRoutesIsNotApplied: the follower stays at its view, so that
// its next Renew brings what it lacks.
func TestADeltaOfOtherRoutesIsNotApplied(t *testing.T) {
	c := qt.New(t)
	j := view.NewJournal(1)
	j.Set(table.Table{}, &routes.Document{Version: 3}, nil, nil)
	j.Set(table.Table{}, &routes.Document{Version: 5}, nil, nil)
	u := j.Since(view.Holding{Seq: 1, Routes: 3})
	c.Assert(u.RoutesDelta, qt.IsNotNil)
	_, ok := u.Apply(&view.View{Term: 1, Seq: 1, Routes: &routes.Document{Version: 4}})
	c.Assert(ok, qt.IsFalse)
	next, ok := u.Apply(&view.View{Term: 1, Seq: 1, Routes: &routes.Document{Version: 6}})
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Routes.Version, qt.Equals, uint64(6))
}
