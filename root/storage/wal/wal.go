// Package wal stores the replicated log and the hard state in append-only segment
// files. A batch is atomic: it is synced once, and after a crash either all of it is
// present or none.
package wal

import (
	"fmt"
	"path/filepath"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
	"github.com/wagtaildyke/wagtaildyke/root/storage/record"
)

const part = "storage/wal"

const (
	magic      = "WTDWAL01"
	nameFormat = "%020d.wal"
)

// DefaultSegmentBytes is the default size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Batch is a set of changes that one sync makes durable. If Reset is set, the log is
// first emptied and continues after that position. The edits then apply in order.
type Batch struct {
	Reset     *record.Position
	HardState *consensus.HardState
	Edits     []Edit
}

// Edit truncates the log after the index TruncateAfter if Truncate is set, and then
// appends the entries.
type Edit struct {
	Truncate      bool
	TruncateAfter uint64
	Entries       []consensus.Entry
}

// TornTail describes the bytes that Open removed from the end of the log: a partially
// written batch that was never reported as durable.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Contents is the durable state read by Open.
type Contents struct {
	HardState consensus.HardState
	// Base is the position that precedes the first entry.
	Base     record.Position
	Entries  []consensus.Entry
	TornTail *TornTail
}

// Log is an open log. It is not safe for concurrent use, and must not be used after
// Append returned an error.
type Log struct {
	fs           files.FS
	dir          string
	segmentBytes int64

	segments  []segment
	file      files.File
	size      int64
	batch     uint64
	hardState consensus.HardState
	runs      termRuns
}

// segment is one file of the log. Its first entry follows the position prev.
type segment struct {
	number uint64
	prev   record.Position
}

// Create creates an empty log in an existing folder. Error kind: Unavailable.
func Create(fs files.FS, dir string) error {
	s := segment{number: 1}
	content := appendHeader([]byte(magic), s, true, consensus.HardState{}, 1)
	if err := files.Replace(fs, s.path(dir), content); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "cannot create %s", s.path(dir))
	}
	return nil
}

// Append writes the batch with one sync. Error kinds: Invalid if the entries are not
// consecutive or a truncation lies beyond the end of the log, in which case nothing was
// written; Unavailable for an I/O error, after which the state on disk is unknown.
func (l *Log) Append(b Batch) error {
	if err := l.validate(b); err != nil {
		return err
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	if b.Reset != nil || l.size >= l.segmentBytes {
		return l.appendToNewSegment(b)
	}
	l.batch++
	content := l.encode(nil, b)
	if _, err := l.file.Write(content); err != nil {
		return l.ioError(err, "write")
	}
	if err := l.file.Sync(); err != nil {
		return l.ioError(err, "sync")
	}
	l.size += int64(len(content))
	return nil
}

// appendToNewSegment starts a new segment that contains the batch. The segment is
// renamed to its final name once its content is synced, so a segment under its final
// name always has an intact header.
func (l *Log) appendToNewSegment(b Batch) error {
	s := segment{number: l.current().number + 1, prev: l.runs.last()}
	if b.Reset != nil {
		s.prev = *b.Reset
		l.runs = termRuns{s.prev}
	}
	l.batch++
	content := appendHeader([]byte(magic), s, b.Reset != nil, l.hardState, l.batch)
	l.batch++
	content = l.encode(content, b)
	file, err := files.Stage(l.fs, s.path(l.dir), content)
	if err != nil {
		return l.ioError(err, "stage")
	}
	if err := files.Publish(l.fs, s.path(l.dir)); err != nil {
		file.Close()
		return l.ioError(err, "publish")
	}
	old := l.file
	l.file, l.size = file, int64(len(content))
	l.segments = append(l.segments, s)
	if err := old.Close(); err != nil {
		return l.ioError(err, "close")
	}
	if b.Reset != nil {
		return l.removeOldest(len(l.segments) - 1)
	}
	return nil
}

// ioError returns the error of a failed operation on a segment, which need not be the
// current one: appendToNewSegment also reports errors of the next and the previous one.
// The wrapped error names the file.
func (l *Log) ioError(err error, operation string) error {
	return fault.Wrap(err, fault.Unavailable, part, "cannot %s a segment of the log whose current segment is %s", operation, l.current().path(l.dir))
}

func (l *Log) validate(b Batch) error {
	last := l.runs.last().Index
	if b.Reset != nil {
		last = b.Reset.Index
	}
	for _, edit := range b.Edits {
		if edit.Truncate && edit.TruncateAfter > last {
			return fault.New(fault.Invalid, part, "truncation after index %d is beyond the last entry %d", edit.TruncateAfter, last)
		}
		if edit.Truncate {
			last = edit.TruncateAfter
		}
		for _, e := range edit.Entries {
			if e.Index != last+1 {
				return fault.New(fault.Invalid, part, "entry %d does not follow entry %d", e.Index, last)
			}
			last = e.Index
		}
	}
	return nil
}

// encode appends the frames of a batch to content. The last frame always contains the
// hard state, so a batch has at least one frame.
func (l *Log) encode(content []byte, b Batch) []byte {
	add := func(f record.Frame) {
		f.Batch = l.batch
		content = record.Append(content, f)
	}
	for _, edit := range b.Edits {
		if edit.Truncate {
			at := l.runs.truncate(edit.TruncateAfter)
			add(record.Frame{Kind: record.Truncate, Payload: record.AppendPosition(nil, at)})
		}
		for _, e := range edit.Entries {
			l.runs = l.runs.add(record.Position{Index: e.Index, Term: e.Term})
			add(record.Frame{Kind: record.Entry, Payload: record.AppendEntry(nil, e)})
		}
	}
	add(record.Frame{Kind: record.HardState, Last: true, Payload: record.AppendHardState(nil, l.hardState)})
	return content
}

func appendHeader(b []byte, s segment, reset bool, h consensus.HardState, batch uint64) []byte {
	payload := record.AppendPosition(nil, s.prev)
	payload = append(payload, 0)
	if reset {
		payload[len(payload)-1] = 1
	}
	payload = record.AppendHardState(payload, h)
	return record.Append(b, record.Frame{Kind: record.SegmentHeader, Last: true, Batch: batch, Payload: payload})
}

// Last returns the position of the last entry.
func (l *Log) Last() record.Position { return l.runs.last() }

// RemoveThrough removes the segments that contain only entries up to and including
// index. The current segment is never removed. Error kind: Unavailable.
func (l *Log) RemoveThrough(index uint64) error {
	n := 0
	for n+1 < len(l.segments) && l.segments[n+1].prev.Index <= index {
		n++
	}
	return l.removeOldest(n)
}

// removeOldest removes n segments. Each removal is durable before the next: a loss of power
// may undo any of several removals, and a segment that returns without its successor would
// leave a gap.
func (l *Log) removeOldest(n int) error {
	for range n {
		name := l.segments[0].path(l.dir)
		err := l.fs.Remove(name)
		if err == nil {
			err = l.fs.SyncDir(l.dir)
		}
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, part, "cannot remove %s", name)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) current() segment { return l.segments[len(l.segments)-1] }

// Close closes the current segment. Error kind: Unavailable.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return l.ioError(err, "close")
	}
	return nil
}

func (s segment) path(dir string) string {
	return filepath.Join(dir, fmt.Sprintf(nameFormat, s.number))
}
