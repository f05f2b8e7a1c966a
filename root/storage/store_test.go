package storage

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/thejerf/suture/v4"
	"pgregory.net/rapid"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
)

const folder = "/data"

// Fixed seeds unless the command line gives others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var memOptions = Options{Cluster: "stall", NewReplica: "a", SegmentBytes: 300}

func openMem(m *memFS) (*Store, consensus.DurableState, error) {
	opts := memOptions
	opts.FS = m
	s, r, _, err := Open(folder, opts)
	return s, r, err
}

// effective renders the durable state that a replica acts on.
func effective(r consensus.DurableState) string {
	base := consensus.Snapshot{}
	if r.Snapshot != nil {
		base = *r.Snapshot
	}
	out := fmt.Sprint(r.HardState, base)
	for _, e := range r.Entries {
		if e.Index > base.Index {
			out += fmt.Sprintf(" %d/%d:%x", e.Term, e.Index, e.Data)
		}
	}
	return out
}

// apply is the model of a write: what Restored becomes.
func apply(r consensus.DurableState, p consensus.WriteBatch) consensus.DurableState {
	if p.Snapshot != nil {
		r.Snapshot = p.Snapshot
	}
	if p.HardState != nil {
		r.HardState = *p.HardState
	}
	entries := r.Entries
	if p.Truncate && p.Snapshot != nil {
		entries = nil
	}
	for p.Truncate && len(entries) > 0 && entries[len(entries)-1].Index > p.TruncateAfter {
		entries = entries[:len(entries)-1]
	}
	r.Entries = append(entries[:len(entries):len(entries)], p.Entries...)
	return r
}

// snapshotOnly is the model of a write of which only the snapshot became durable.
func snapshotOnly(r consensus.DurableState, p consensus.WriteBatch) consensus.DurableState {
	if p.Snapshot == nil {
		return r
	}
	return apply(r, consensus.WriteBatch{Snapshot: p.Snapshot, Truncate: p.Truncate, TruncateAfter: p.TruncateAfter})
}

// drawPersist draws a write that fits the state.
func drawPersist(t *rapid.T, r consensus.DurableState, seq uint64) consensus.WriteBatch {
	p := consensus.WriteBatch{Seq: seq}
	term := r.HardState.Term + 1
	last, base := uint64(0), uint64(0)
	if r.Snapshot != nil {
		base, last = r.Snapshot.Index, r.Snapshot.Index
	}
	if n := len(r.Entries); n > 0 {
		last = max(last, r.Entries[n-1].Index)
	}
	switch kind := rapid.Uint64().Draw(t, "kind") % 8; {
	case kind == 0:
		last += 10
		p.Snapshot = &consensus.Snapshot{Index: last, Term: term, Data: []byte("installed")}
		p.Truncate, p.TruncateAfter = true, last
	case kind == 1 && last > base:
		for _, e := range r.Entries {
			if e.Index == last {
				p.Snapshot = &consensus.Snapshot{Index: last, Term: e.Term, Data: []byte("compacted")}
			}
		}
	case kind <= 3 && last > base:
		last = base + rapid.Uint64().Draw(t, "cut")%(last-base)
		p.Truncate, p.TruncateAfter = true, last
	}
	p.HardState = &consensus.HardState{Term: term, Vote: "b"}
	for i := range rapid.Uint64().Draw(t, "entries") % 6 {
		data := binary.LittleEndian.AppendUint64(nil, seq<<8+i)
		p.Entries = append(p.Entries, consensus.Entry{Term: term, Index: last + 1 + i, Kind: consensus.EntryCommand, Data: data})
	}
	return p
}

// TestCrashAtEveryOperation crashes a store somewhere in a series of writes,
// tears the last one, and opens it again: each write is there whole or not at
// all, and those reported as durable are there.
func TestCrashAtEveryOperation(t *testing.T) { rapid.Check(t, crashes("")) }

// TestMissingSyncIsFound shows that the same test finds a sync that is left out.
func TestMissingSyncIsFound(t *testing.T) {
	for _, skip := range []string{"file", "folder"} {
		r := &recorder{T: t}
		rapid.Check(r, crashes(skip))
		qt.Check(t, r.failed, qt.IsTrue, qt.Commentf("sync of the %s left out", skip))
	}
}

// recorder stands in for the test when a failure is expected.
type recorder struct {
	*testing.T
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Failed() bool          { return false }

func crashes(skip string) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMemFS()
		m.skip = skip
		m.left = int(rapid.Uint64().Draw(t, "operations") % 120)
		var state consensus.DurableState
		allowed := []string{effective(state)}
		for seq := uint64(1); seq < 60; {
			s, got, err := openMem(m)
			if err == nil {
				matchOne(t, effective(got), allowed)
				state = got
				for ; err == nil && seq < 60; seq++ {
					p := drawPersist(t, state, seq)
					next := apply(state, p)
					allowed = []string{effective(state), effective(snapshotOnly(state, p)), effective(next)}
					if err = s.Write([]consensus.WriteBatch{p}); err == nil {
						state, allowed = next, allowed[2:]
					}
				}
			}
			if err != nil && !errors.Is(err, errCrash) {
				t.Fatalf("unexpected error: %v", err)
			}
			m.crash(int(rapid.Uint64().Draw(t, "kept")%200), rapid.Bool().Draw(t, "torn"))
			if rapid.Bool().Draw(t, "again") {
				m.left = int(rapid.Uint64().Draw(t, "operations") % 120)
			}
		}
	}
}

func matchOne(t *rapid.T, got string, allowed []string) {
	for _, want := range allowed {
		if got == want {
			return
		}
	}
	t.Fatalf("found %s\nallowed %q", got, allowed)
}

// TestDamageIsNeverSilent flips one byte of a log file: the state found is the
// old one, or the last batch is cut as torn, or the store refuses to open.
func TestDamageIsNeverSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		s, state, err := openMem(m)
		if err != nil {
			t.Fatal(err)
		}
		before, last := state, consensus.WriteBatch{}
		for seq := range uint64(12) {
			p := drawPersist(t, state, seq)
			if err := s.Write([]consensus.WriteBatch{p}); err != nil {
				t.Fatal(err)
			}
			before, last, state = state, p, apply(state, p)
		}
		names, _ := m.List(folder + "/wal")
		name := folder + "/wal/" + names[rapid.Uint64().Draw(t, "file")%uint64(len(names))]
		data := m.live[name].data
		data[rapid.Uint64().Draw(t, "offset")%uint64(len(data))] ^= byte(1 + rapid.Uint64().Draw(t, "bits")%255)
		s, got, err := openMem(m)
		switch {
		case err != nil:
			if fault.KindOf(err) != fault.Corrupt {
				t.Fatalf("kind of %v", err)
			}
		case s.Torn() == nil:
			matchOne(t, effective(got), []string{effective(state)})
		default:
			matchOne(t, effective(got), []string{effective(snapshotOnly(before, last))})
		}
	})
}

func entry(index uint64, data string) consensus.Entry {
	return consensus.Entry{Term: 1, Index: index, Kind: consensus.EntryCommand, Data: []byte(data)}
}

func TestSnapshotFallsBackOnlyWhenTheLogCoversIt(t *testing.T) {
	for _, installed := range []bool{false, true} {
		c := qt.New(t)
		m := newMemFS()
		s, _, err := openMem(m)
		c.Assert(err, qt.IsNil)
		write := func(p consensus.WriteBatch) { c.Assert(s.Write([]consensus.WriteBatch{p}), qt.IsNil) }
		write(consensus.WriteBatch{Entries: []consensus.Entry{entry(1, "x"), entry(2, "y")}})
		write(consensus.WriteBatch{Snapshot: &consensus.Snapshot{Index: 1, Term: 1}})
		write(consensus.WriteBatch{Snapshot: &consensus.Snapshot{Index: 2, Term: 1}, Truncate: installed, TruncateAfter: 2})
		m.live[folder+fmt.Sprintf("/snap/%020d.snap", 2)].data[20] ^= 1
		_, r, err := openMem(m)
		if installed {
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Assert(r.Snapshot.Index, qt.Equals, uint64(1))
		c.Assert(r.Entries, qt.HasLen, 1)
	}
}

func TestIdentityIsBoundToTheFolder(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(t.TempDir(), "replica")
	_, _, _, err := Open(dir, Options{})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Settings)
	c.Assert(Format(dir, Identity{Cluster: "stall", Replica: "a"}), qt.IsNil)
	c.Assert(fault.KindOf(Format(dir, Identity{Cluster: "stall", Replica: "b"})), qt.Equals, fault.Conflict)

	s, _, id, err := Open(dir, Options{Cluster: "stall", NewReplica: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(id.Replica, qt.Equals, consensus.ReplicaID("a"))
	_, _, _, err = Open(dir, Options{})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	c.Assert(s.Close(), qt.IsNil)
	_, _, _, err = Open(dir, Options{Cluster: "other"})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Settings)

	c.Assert(os.RemoveAll(dir), qt.IsNil)
	s, r, id, err := Open(dir, Options{Cluster: "stall", NewReplica: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(id.Replica, qt.Equals, consensus.ReplicaID("b"))
	c.Assert(r, qt.DeepEquals, consensus.DurableState{})
	c.Assert(s.Close(), qt.IsNil)

	c.Assert(os.Remove(filepath.Join(dir, "wal", fmt.Sprintf("%020d.wal", 1))), qt.IsNil)
	_, _, _, err = Open(dir, Options{})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
	c.Assert(os.Remove(filepath.Join(dir, "identity")), qt.IsNil)
	_, _, _, err = Open(dir, Options{NewReplica: "c"})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
}

// TestWriter shows that queued writes share one sync and that an error ends all writing.
func TestWriter(t *testing.T) {
	c := qt.New(t)
	m := newMemFS()
	s, _, err := openMem(m)
	c.Assert(err, qt.IsNil)
	var done []uint64
	var failure error
	w := NewWriter(s, func(seq uint64) { done = append(done, seq) }, func(err error) { failure = err })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	before := m.syncs
	w.Submit(consensus.WriteBatch{Seq: 1, Entries: []consensus.Entry{entry(1, "x")}})
	w.Submit(consensus.WriteBatch{Seq: 2, Entries: []consensus.Entry{entry(2, "y")}})
	c.Assert(w.Serve(ctx), qt.ErrorIs, context.Canceled)
	c.Assert(done, qt.DeepEquals, []uint64{1, 2})
	c.Assert(m.syncs-before, qt.Equals, 1)

	m.left = 0
	for range 2 {
		w.Submit(consensus.WriteBatch{Seq: 3, Entries: []consensus.Entry{entry(3, "z")}})
		c.Assert(w.Serve(ctx), qt.ErrorIs, suture.ErrTerminateSupervisorTree)
		c.Assert(fault.KindOf(failure), qt.Equals, fault.Unavailable)
		m.left = -1
	}
	c.Assert(done, qt.HasLen, 2)
}

func BenchmarkWrite(b *testing.B) {
	for _, proposals := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(proposals), func(b *testing.B) {
			s, _, _, err := Open(b.TempDir(), Options{Cluster: "stall", NewReplica: "a", FS: files.OS{}})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			next := uint64(1)
			for b.Loop() {
				p := consensus.WriteBatch{}
				for range proposals {
					p.Entries = append(p.Entries, entry(next, string(make([]byte, 200))))
					next++
				}
				if err := s.Write([]consensus.WriteBatch{p}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*proposals)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
