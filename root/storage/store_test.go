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

// The seed of the rapid tests is fixed unless it is given on the command line.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var memOptions = Options{Cluster: "test", NewReplica: "a", SegmentBytes: 300}

func openMem(m *memFS) (*Store, consensus.DurableState, error) {
	opts := memOptions
	opts.FS = m
	s, state, _, err := Open(folder, opts)
	return s, state, err
}

// formatState formats the part of a durable state that a replica uses: entries that the
// snapshot covers are left out.
func formatState(state consensus.DurableState) string {
	base := consensus.Snapshot{}
	if state.Snapshot != nil {
		base = *state.Snapshot
	}
	out := fmt.Sprint(state.HardState, base)
	for _, e := range state.Entries {
		if e.Index > base.Index {
			out += fmt.Sprintf(" %d/%d:%x", e.Term, e.Index, e.Data)
		}
	}
	return out
}

// apply is the reference model of a write: it returns the durable state that follows.
func apply(state consensus.DurableState, write consensus.WriteBatch) consensus.DurableState {
	if write.Snapshot != nil {
		state.Snapshot = write.Snapshot
	}
	if write.HardState != nil {
		state.HardState = *write.HardState
	}
	entries := state.Entries
	if write.Truncate && write.Snapshot != nil {
		entries = nil
	}
	for write.Truncate && len(entries) > 0 && entries[len(entries)-1].Index > write.TruncateAfter {
		entries = entries[:len(entries)-1]
	}
	state.Entries = append(entries[:len(entries):len(entries)], write.Entries...)
	return state
}

// applySnapshot is the reference model of a write of which only the snapshot became
// durable.
func applySnapshot(state consensus.DurableState, write consensus.WriteBatch) consensus.DurableState {
	if write.Snapshot == nil {
		return state
	}
	return apply(state, consensus.WriteBatch{Snapshot: write.Snapshot, Truncate: write.Truncate, TruncateAfter: write.TruncateAfter})
}

// drawWriteBatch draws a write that is valid in the given state.
func drawWriteBatch(t *rapid.T, state consensus.DurableState, seq uint64) consensus.WriteBatch {
	write := consensus.WriteBatch{Seq: seq}
	term := state.HardState.Term + 1
	last, base := uint64(0), uint64(0)
	if state.Snapshot != nil {
		base, last = state.Snapshot.Index, state.Snapshot.Index
	}
	if n := len(state.Entries); n > 0 {
		last = max(last, state.Entries[n-1].Index)
	}
	switch kind := rapid.Uint64().Draw(t, "kind") % 8; {
	case kind == 0:
		last += 10
		write.Snapshot = &consensus.Snapshot{Index: last, Term: term, Data: []byte("installed")}
		write.Truncate, write.TruncateAfter = true, last
	case kind == 1 && last > base:
		for _, e := range state.Entries {
			if e.Index == last {
				write.Snapshot = &consensus.Snapshot{Index: last, Term: e.Term, Data: []byte("compacted")}
			}
		}
	case kind <= 3 && last > base:
		last = base + rapid.Uint64().Draw(t, "cut")%(last-base)
		write.Truncate, write.TruncateAfter = true, last
	}
	write.HardState = &consensus.HardState{Term: term, Vote: "b"}
	for i := range rapid.Uint64().Draw(t, "entries") % 6 {
		data := binary.LittleEndian.AppendUint64(nil, seq<<8+i)
		write.Entries = append(write.Entries, consensus.Entry{Term: term, Index: last + 1 + i, Kind: consensus.EntryCommand, Data: data})
	}
	return write
}

// TestCrashAtRandomOperation crashes a store at a random operation in a series of writes,
// tears the last write, and opens the store again. Each write must be present completely
// or not at all, except that a snapshot may be present without the rest of its write.
// Every write that was reported as durable must be present.
func TestCrashAtRandomOperation(t *testing.T) { rapid.Check(t, crashProperty("")) }

// TestMissingSyncIsFound checks that the test above fails if files or folders are not
// synced.
func TestMissingSyncIsFound(t *testing.T) {
	for _, skipped := range []string{"file", "folder"} {
		r := &failureRecorder{T: t}
		rapid.Check(r, crashProperty(skipped))
		qt.Check(t, r.failed, qt.IsTrue, qt.Commentf("sync of every %s skipped", skipped))
	}
}

// failureRecorder records a failure of a check instead of reporting it.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Failed() bool          { return false }

// crashProperty returns the property that TestCrashAtRandomOperation checks. skipped is
// the kind of sync that the file system omits; see memFS.
func crashProperty(skipped string) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMemFS()
		m.skipSync = skipped
		m.opsLeft = int(rapid.Uint64().Draw(t, "operations") % 120)
		var state consensus.DurableState
		allowed := []string{formatState(state)}
		for seq := uint64(1); seq < 60; {
			s, got, err := openMem(m)
			if err == nil {
				requireOneOf(t, formatState(got), allowed)
				state = got
				for ; err == nil && seq < 60; seq++ {
					write := drawWriteBatch(t, state, seq)
					next := apply(state, write)
					allowed = []string{formatState(state), formatState(applySnapshot(state, write)), formatState(next)}
					if err = s.Write([]consensus.WriteBatch{write}); err == nil {
						state, allowed = next, allowed[2:]
					}
				}
			}
			if err != nil && !errors.Is(err, errCrash) {
				t.Fatalf("unexpected error: %v", err)
			}
			m.crash(int(rapid.Uint64().Draw(t, "kept")%200), rapid.Bool().Draw(t, "torn"), func() bool { return rapid.Bool().Draw(t, "keepsName") })
			if rapid.Bool().Draw(t, "again") {
				m.opsLeft = int(rapid.Uint64().Draw(t, "operations") % 120)
			}
		}
	}
}

func requireOneOf(t *rapid.T, got string, allowed []string) {
	for _, want := range allowed {
		if got == want {
			return
		}
	}
	t.Fatalf("got %s\nwant one of %q", got, allowed)
}

// TestCorruptionIsDetected changes one byte of a log file. Opening the store must then
// fail, yield the unchanged state, or yield the state without the last batch and report
// a torn tail.
func TestCorruptionIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		s, state, err := openMem(m)
		if err != nil {
			t.Fatal(err)
		}
		before, last := state, consensus.WriteBatch{}
		for seq := range uint64(12) {
			write := drawWriteBatch(t, state, seq)
			if err := s.Write([]consensus.WriteBatch{write}); err != nil {
				t.Fatal(err)
			}
			before, last, state = state, write, apply(state, write)
		}
		names, _ := m.List(folder + "/wal")
		name := folder + "/wal/" + names[rapid.Uint64().Draw(t, "file")%uint64(len(names))]
		data := m.live[name].data
		data[rapid.Uint64().Draw(t, "offset")%uint64(len(data))] ^= byte(1 + rapid.Uint64().Draw(t, "bits")%255)
		s, got, err := openMem(m)
		switch {
		case err != nil:
			if fault.KindOf(err) != fault.Corrupt {
				t.Fatalf("error of the wrong kind: %v", err)
			}
		case s.TornTail() == nil:
			requireOneOf(t, formatState(got), []string{formatState(state)})
		default:
			requireOneOf(t, formatState(got), []string{formatState(applySnapshot(before, last))})
		}
	})
}

func entry(index uint64, data string) consensus.Entry {
	return consensus.Entry{Term: 1, Index: index, Kind: consensus.EntryCommand, Data: []byte(data)}
}

// TestOpenFallsBackToOlderSnapshot corrupts the newest snapshot. Open must use the older
// one if the log continues it, and fail if the newest snapshot replaced the log.
func TestOpenFallsBackToOlderSnapshot(t *testing.T) {
	for _, installed := range []bool{false, true} {
		c := qt.New(t)
		m := newMemFS()
		s, _, err := openMem(m)
		c.Assert(err, qt.IsNil)
		write := func(batch consensus.WriteBatch) { c.Assert(s.Write([]consensus.WriteBatch{batch}), qt.IsNil) }
		write(consensus.WriteBatch{Entries: []consensus.Entry{entry(1, "x"), entry(2, "y")}})
		write(consensus.WriteBatch{Snapshot: &consensus.Snapshot{Index: 1, Term: 1}})
		write(consensus.WriteBatch{Snapshot: &consensus.Snapshot{Index: 2, Term: 1}, Truncate: installed, TruncateAfter: 2})
		m.live[folder+fmt.Sprintf("/snap/%020d.snap", 2)].data[20] ^= 1
		_, state, err := openMem(m)
		if installed {
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Assert(state.Snapshot.Index, qt.Equals, uint64(1))
		c.Assert(state.Entries, qt.HasLen, 1)
	}
}

func TestIdentityIsBoundToTheFolder(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(t.TempDir(), "replica")
	_, _, _, err := Open(dir, Options{})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Settings)
	c.Assert(Format(dir, Identity{Cluster: "test", Replica: "a"}), qt.IsNil)
	c.Assert(fault.KindOf(Format(dir, Identity{Cluster: "test", Replica: "b"})), qt.Equals, fault.Conflict)

	s, _, id, err := Open(dir, Options{Cluster: "test", NewReplica: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(id.Replica, qt.Equals, consensus.ReplicaID("a"))
	_, _, _, err = Open(dir, Options{})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	c.Assert(s.Close(), qt.IsNil)
	_, _, _, err = Open(dir, Options{Cluster: "other"})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Settings)

	c.Assert(os.RemoveAll(dir), qt.IsNil)
	s, state, id, err := Open(dir, Options{Cluster: "test", NewReplica: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(id.Replica, qt.Equals, consensus.ReplicaID("b"))
	c.Assert(state, qt.DeepEquals, consensus.DurableState{})
	c.Assert(s.Close(), qt.IsNil)

	c.Assert(os.Remove(filepath.Join(dir, "wal", fmt.Sprintf("%020d.wal", 1))), qt.IsNil)
	_, _, _, err = Open(dir, Options{})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
	c.Assert(os.Remove(filepath.Join(dir, "identity")), qt.IsNil)
	_, _, _, err = Open(dir, Options{NewReplica: "c"})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
}

// TestWriter checks that queued writes share one sync and that no write succeeds after a
// write error.
func TestWriter(t *testing.T) {
	c := qt.New(t)
	m := newMemFS()
	s, _, err := openMem(m)
	c.Assert(err, qt.IsNil)
	var durable []uint64
	var failure error
	w := NewWriter(s, func(seq uint64) { durable = append(durable, seq) }, func(err error) { failure = err })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	before := m.syncs
	w.Submit(consensus.WriteBatch{Seq: 1, Entries: []consensus.Entry{entry(1, "x")}})
	w.Submit(consensus.WriteBatch{Seq: 2, Entries: []consensus.Entry{entry(2, "y")}})
	c.Assert(w.Serve(ctx), qt.ErrorIs, context.Canceled)
	c.Assert(durable, qt.DeepEquals, []uint64{1, 2})
	c.Assert(m.syncs-before, qt.Equals, 1)

	m.opsLeft = 0
	for range 2 {
		w.Submit(consensus.WriteBatch{Seq: 3, Entries: []consensus.Entry{entry(3, "z")}})
		c.Assert(w.Serve(ctx), qt.ErrorIs, suture.ErrTerminateSupervisorTree)
		c.Assert(fault.KindOf(failure), qt.Equals, fault.Unavailable)
		m.opsLeft = -1
	}
	c.Assert(durable, qt.HasLen, 2)
}

func BenchmarkWrite(b *testing.B) {
	for _, proposals := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(proposals), func(b *testing.B) {
			s, _, _, err := Open(b.TempDir(), Options{Cluster: "test", NewReplica: "a", FS: files.OS{}})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			next := uint64(1)
			for b.Loop() {
				write := consensus.WriteBatch{}
				for range proposals {
					write.Entries = append(write.Entries, entry(next, string(make([]byte, 200))))
					next++
				}
				if err := s.Write([]consensus.WriteBatch{write}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*proposals)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
