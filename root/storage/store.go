// Package storage keeps the durable state of one replica in its data folder: an
// identity, a log of segments and snapshots.
package storage

import (
	"path/filepath"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
	"github.com/wagtaildyke/wagtaildyke/root/storage/record"
	"github.com/wagtaildyke/wagtaildyke/root/storage/snap"
	"github.com/wagtaildyke/wagtaildyke/root/storage/wal"
)

const part = "storage"

// keptSnapshots are kept with the log after the oldest of them, so that damage
// to the newest one can be survived.
const keptSnapshots = 2

// Options say how to open a data folder.
type Options struct {
	// Cluster must be that of the folder when it is set.
	Cluster string
	// NewReplica is the identity to give to an empty or missing folder; empty
	// to refuse such a folder. It must never have been used before.
	NewReplica consensus.ReplicaID
	// SegmentBytes is the size at which a new log segment starts; 0 for the default.
	SegmentBytes int64
	// FS is the file system; nil for that of the operating system.
	FS files.FS
	// Full is called when a write begins to wait for room on the disk and when it
	// goes on; nil for nobody.
	Full func(name string, waits bool)
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs     *files.Patient
	folder string
	log    *wal.Log
	torn   *wal.Torn
	unlock func()
	// failed is the first write error: what is on disk is unknown from then on.
	failed error
}

func unavailable(err error, format string, args ...any) error {
	return fault.Wrap(err, fault.Unavailable, part, format, args...)
}

// Open locks a data folder and reads its state. Kinds: Settings for a folder
// not formatted or of another cluster, Conflict for one in use, Corrupt,
// Unavailable.
func Open(folder string, opts Options) (*Store, consensus.DurableState, Identity, error) {
	if opts.FS == nil {
		opts.FS = files.OS{}
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = wal.DefaultSegmentBytes
	}
	if err := opts.FS.MkdirAll(folder); err != nil {
		return nil, consensus.DurableState{}, Identity{}, unavailable(err, "cannot make folder %s", folder)
	}
	unlock, err := lock(opts.FS, folder)
	if err != nil {
		return nil, consensus.DurableState{}, Identity{}, err
	}
	if opts.Full == nil {
		opts.Full = func(string, bool) {}
	}
	s := &Store{fs: files.NewPatient(opts.FS, opts.Full), folder: folder, unlock: unlock}
	id, err := loadIdentity(opts.FS, folder, opts)
	if err != nil {
		unlock()
		return nil, consensus.DurableState{}, Identity{}, err
	}
	restored, err := s.load(opts.SegmentBytes)
	if err != nil {
		unlock()
		return nil, consensus.DurableState{}, Identity{}, err
	}
	return s, restored, id, nil
}

// load reads the log and the newest snapshot that it continues.
func (s *Store) load(segmentBytes int64) (consensus.DurableState, error) {
	log, found, err := wal.Open(s.fs, s.dir(walName), segmentBytes)
	if err != nil {
		return consensus.DurableState{}, err
	}
	s.log, s.torn = log, found.Torn
	r := consensus.DurableState{HardState: found.HardState}
	r.Snapshot, err = s.loadSnapshot(found)
	if err == nil && r.Snapshot != nil {
		r.Entries, err = s.join(*r.Snapshot, found)
	} else if err == nil {
		r.Entries = found.Entries
	}
	if err != nil {
		log.Close()
		return consensus.DurableState{}, err
	}
	return r, nil
}

// loadSnapshot returns the newest intact snapshot; nil when the log needs none.
func (s *Store) loadSnapshot(found wal.Contents) (*consensus.Snapshot, error) {
	indexes, err := snap.Indexes(s.fs, s.dir(snapName))
	if err != nil {
		return nil, err
	}
	var damage error
	for _, index := range indexes {
		if index < found.Base.Index {
			break
		}
		snapshot, err := snap.Load(s.fs, s.dir(snapName), index)
		if err == nil {
			return &snapshot, nil
		}
		if fault.KindOf(err) != fault.Corrupt {
			return nil, err
		}
		damage = err
	}
	if damage != nil {
		return nil, fault.Wrap(damage, fault.Corrupt, part, "the log does not cover an older snapshot")
	}
	if found.Base.Index > 0 {
		return nil, fault.New(fault.Corrupt, part, "the log begins after %d and no snapshot covers that", found.Base.Index)
	}
	return nil, nil
}

// join returns the log entries that continue the snapshot. A log that ends
// before the snapshot or conflicts with it was about to be replaced by it when
// the process stopped; that is finished here.
func (s *Store) join(snapshot consensus.Snapshot, found wal.Contents) ([]consensus.Entry, error) {
	at := record.Position{Index: snapshot.Index, Term: snapshot.Term}
	last := s.log.Last()
	if last.Index >= at.Index && termAt(found, at.Index) == at.Term {
		return found.Entries[at.Index-found.Base.Index:], nil
	}
	return nil, s.log.Append(wal.Batch{Reset: &at})
}

func termAt(found wal.Contents, index uint64) uint64 {
	if index == found.Base.Index {
		return found.Base.Term
	}
	return found.Entries[index-found.Base.Index-1].Term
}

// GiveUp ends waiting for room on a full disk, now and later. It may be called
// from any goroutine.
func (s *Store) GiveUp() { s.fs.GiveUp() }

// Torn returns what Open cut off the log's end, or nil.
func (s *Store) Torn() *wal.Torn { return s.torn }

// Write makes a batch durable: snapshots first, then the log and the hard state
// with one sync. A full disk is waited for. After an error the store refuses all writes, since what is on
// disk is unknown. Kinds: Unavailable, TooLarge, Invalid.
func (s *Store) Write(batch []consensus.WriteBatch) error {
	if s.failed == nil {
		s.failed = s.write(batch)
	}
	return s.failed
}

func (s *Store) write(batch []consensus.WriteBatch) error {
	snapshot := newestSnapshot(batch)
	if snapshot != nil {
		if err := snap.Save(s.fs, s.dir(snapName), *snapshot); err != nil {
			return err
		}
	}
	if err := s.log.Append(logBatch(batch)); err != nil {
		return err
	}
	if snapshot == nil {
		return nil
	}
	oldest, err := snap.Prune(s.fs, s.dir(snapName), keptSnapshots)
	if err != nil {
		return err
	}
	return s.log.RemoveThrough(oldest)
}

func newestSnapshot(batch []consensus.WriteBatch) *consensus.Snapshot {
	var newest *consensus.Snapshot
	for _, p := range batch {
		if p.Snapshot != nil {
			newest = p.Snapshot
		}
	}
	return newest
}

// logBatch merges the writes. Those before the last one that starts the log
// anew after a snapshot are dropped, but for the hard state.
func logBatch(batch []consensus.WriteBatch) wal.Batch {
	var out wal.Batch
	for _, p := range batch {
		if p.HardState != nil {
			out.HardState = p.HardState
		}
		part := wal.Part{Truncate: p.Truncate, TruncateAfter: p.TruncateAfter, Entries: p.Entries}
		if p.Truncate && p.Snapshot != nil {
			out.Reset = &record.Position{Index: p.Snapshot.Index, Term: p.Snapshot.Term}
			out.Parts, part.Truncate = nil, false
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}

func (s *Store) dir(name string) string { return filepath.Join(s.folder, name) }

// Close closes the log and gives up the folder. Kind: Unavailable.
func (s *Store) Close() error {
	defer s.unlock()
	return s.log.Close()
}
