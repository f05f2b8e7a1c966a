// Package storage persists the durable state of one replica in its data folder: the
// replica's identity, a segmented write-ahead log, and snapshots.
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

// snapshotsToKeep is the number of snapshots that are retained. The log is retained
// from the oldest of them on, so that a replica can recover if the newest is corrupt.
const snapshotsToKeep = 2

// Options configure Open.
type Options struct {
	// Cluster, if set, must match the cluster recorded in the folder.
	Cluster string
	// NewReplica is the replica id with which an empty or missing folder is
	// formatted. If it is empty, Open rejects such a folder. The id must never have
	// been used before.
	NewReplica consensus.ReplicaID
	// SegmentBytes is the size at which a new log segment is started. 0 means
	// wal.DefaultSegmentBytes.
	SegmentBytes int64
	// FS is the file system. nil means files.OS.
	FS files.FS
	// OnDiskFull, if not nil, is called with waiting set when a write starts waiting
	// for free disk space, and with waiting unset when that write has succeeded or
	// failed with another error. It is not called when StopRetrying ends the wait.
	OnDiskFull func(name string, waiting bool)
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs       *files.RetryFS
	folder   string
	log      *wal.Log
	tornTail *wal.TornTail
	unlock   func()
	// writeErr is the first error of Write. Nothing is written after it.
	writeErr error
}

func unavailableError(err error, format string, args ...any) error {
	return fault.Wrap(err, fault.Unavailable, part, format, args...)
}

// Open locks a data folder and reads its state. Error kinds: Settings if the folder
// is not formatted or belongs to another cluster, Conflict if another process has it
// open, Corrupt, Unavailable.
func Open(folder string, opts Options) (*Store, consensus.DurableState, Identity, error) {
	if opts.FS == nil {
		opts.FS = files.OS{}
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = wal.DefaultSegmentBytes
	}
	if err := opts.FS.MkdirAll(folder); err != nil {
		return nil, consensus.DurableState{}, Identity{}, unavailableError(err, "cannot create folder %s", folder)
	}
	unlock, err := lock(opts.FS, folder)
	if err != nil {
		return nil, consensus.DurableState{}, Identity{}, err
	}
	if opts.OnDiskFull == nil {
		opts.OnDiskFull = func(string, bool) {}
	}
	s := &Store{fs: files.NewRetryFS(opts.FS, opts.OnDiskFull), folder: folder, unlock: unlock}
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

// load reads the log and the newest intact snapshot, and combines them.
func (s *Store) load(segmentBytes int64) (consensus.DurableState, error) {
	log, contents, err := wal.Open(s.fs, s.path(walName), segmentBytes)
	if err != nil {
		return consensus.DurableState{}, err
	}
	s.log, s.tornTail = log, contents.TornTail
	state := consensus.DurableState{HardState: contents.HardState}
	state.Snapshot, err = s.loadSnapshot(contents)
	if err == nil && state.Snapshot != nil {
		state.Entries, err = s.entriesAfter(*state.Snapshot, contents)
	} else if err == nil {
		state.Entries = contents.Entries
	}
	if err != nil {
		log.Close()
		return consensus.DurableState{}, err
	}
	return state, nil
}

// loadSnapshot returns the newest intact snapshot among those that are not older than the
// base of the log. It returns nil if no such snapshot is stored and the log is complete
// without one. If all that are stored are corrupt, it returns an error, even if the log is
// complete.
func (s *Store) loadSnapshot(contents wal.Contents) (*consensus.Snapshot, error) {
	indexes, err := snap.Indexes(s.fs, s.path(snapName))
	if err != nil {
		return nil, err
	}
	var corruptErr error
	for _, index := range indexes {
		if index < contents.Base.Index {
			break
		}
		snapshot, err := snap.Load(s.fs, s.path(snapName), index)
		if err == nil {
			return &snapshot, nil
		}
		if fault.KindOf(err) != fault.Corrupt {
			return nil, err
		}
		corruptErr = err
	}
	if corruptErr != nil {
		return nil, fault.Wrap(corruptErr, fault.Corrupt, part, "the log does not continue any intact snapshot")
	}
	if contents.Base.Index > 0 {
		return nil, fault.New(fault.Corrupt, part, "the log begins after index %d and there is no snapshot at or after it", contents.Base.Index)
	}
	return nil, nil
}

// entriesAfter returns the log entries that follow the snapshot. If the log ends
// before the snapshot or conflicts with it, the process stopped after it saved the
// snapshot and before it reset the log; entriesAfter then resets the log.
func (s *Store) entriesAfter(snapshot consensus.Snapshot, contents wal.Contents) ([]consensus.Entry, error) {
	at := record.Position{Index: snapshot.Index, Term: snapshot.Term}
	last := s.log.Last()
	if last.Index >= at.Index && termAt(contents, at.Index) == at.Term {
		return contents.Entries[at.Index-contents.Base.Index:], nil
	}
	return nil, s.log.Append(wal.Batch{Reset: &at})
}

// termAt returns the term of the entry at index, which the log must contain.
func termAt(contents wal.Contents, index uint64) uint64 {
	if index == contents.Base.Index {
		return contents.Base.Term
	}
	return contents.Entries[index-contents.Base.Index-1].Term
}

// StopRetrying makes writes to a full disk fail instead of waiting for free space,
// including a write in progress. It may be called from any goroutine.
func (s *Store) StopRetrying() { s.fs.StopRetrying() }

// TornTail describes the incomplete batch that Open removed from the end of the log.
// It is nil if there was none.
func (s *Store) TornTail() *wal.TornTail { return s.tornTail }

// Write makes a batch durable: first the snapshot, then the log and the hard state
// with one sync. It waits while the disk is full. After an error of any kind every later
// call returns that error, because after an I/O error the state on disk is unknown. Error
// kinds: Unavailable for an I/O error, TooLarge, Invalid.
func (s *Store) Write(batch []consensus.WriteBatch) error {
	if s.writeErr == nil {
		s.writeErr = s.write(batch)
	}
	return s.writeErr
}

func (s *Store) write(batch []consensus.WriteBatch) error {
	snapshot := lastSnapshot(batch)
	if snapshot != nil {
		if err := snap.Save(s.fs, s.path(snapName), *snapshot); err != nil {
			return err
		}
	}
	if err := s.log.Append(logBatch(batch)); err != nil {
		return err
	}
	if snapshot == nil {
		return nil
	}
	oldest, err := snap.Prune(s.fs, s.path(snapName), snapshotsToKeep)
	if err != nil {
		return err
	}
	return s.log.RemoveThrough(oldest)
}

func lastSnapshot(batch []consensus.WriteBatch) *consensus.Snapshot {
	var last *consensus.Snapshot
	for _, write := range batch {
		if write.Snapshot != nil {
			last = write.Snapshot
		}
	}
	return last
}

// logBatch merges the writes into one batch of the log. If a write resets the log to a
// snapshot, only the hard state of the writes before it is kept.
func logBatch(batch []consensus.WriteBatch) wal.Batch {
	var out wal.Batch
	for _, write := range batch {
		if write.HardState != nil {
			out.HardState = write.HardState
		}
		edit := wal.Edit{Truncate: write.Truncate, TruncateAfter: write.TruncateAfter, Entries: write.Entries}
		if write.Truncate && write.Snapshot != nil {
			out.Reset = &record.Position{Index: write.Snapshot.Index, Term: write.Snapshot.Term}
			out.Edits, edit.Truncate = nil, false
		}
		out.Edits = append(out.Edits, edit)
	}
	return out
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// Close closes the log and unlocks the folder. Error kind: Unavailable.
func (s *Store) Close() error {
	defer s.unlock()
	return s.log.Close()
}
