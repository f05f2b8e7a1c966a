// Package wal keeps the replicated log and the hard state in append-only
// segments. A batch is written and synced as one: after a crash it is there
// whole or not at all.
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

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Batch is what one sync makes durable. Reset comes first and drops the whole
// log; then the parts are applied in order.
type Batch struct {
	Reset     *record.Position
	HardState *consensus.HardState
	Parts     []Part
}

// Part cuts the log after TruncateAfter when Truncate is set, then appends entries.
type Part struct {
	Truncate      bool
	TruncateAfter uint64
	Entries       []consensus.Entry
}

// Torn describes the tail that Open cut off: the remains of a batch that was
// never reported as durable.
type Torn struct {
	File   string
	Offset int64
	Bytes  int64
}

// Contents is the durable state that Open found.
type Contents struct {
	HardState consensus.HardState
	// Base is the position before the first entry.
	Base    record.Position
	Entries []consensus.Entry
	Torn    *Torn
}

// Log is an open log. It is not safe for concurrent use. After an error from
// Append it must not be used again.
type Log struct {
	fs           files.FS
	dir          string
	segmentBytes int64

	segments []segment
	file     files.File
	size     int64
	batch    uint64
	hard     consensus.HardState
	ends     positions
}

// segment is one file. It follows prev in the log.
type segment struct {
	number uint64
	prev   record.Position
}

// Create makes an empty log in an existing folder. Kind: Unavailable.
func Create(fs files.FS, dir string) error {
	s := segment{number: 1}
	content := appendStart([]byte(magic), s, true, consensus.HardState{}, 1)
	if err := files.Replace(fs, s.path(dir), content); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "cannot create %s", s.path(dir))
	}
	return nil
}

// Append writes the batch with one sync. The caller must give entries in
// order without gaps. Kind: Unavailable when the outcome on disk is unknown,
// Invalid for a gap.
func (l *Log) Append(b Batch) error {
	if err := l.check(b); err != nil {
		return err
	}
	if b.HardState != nil {
		l.hard = *b.HardState
	}
	if b.Reset != nil || l.size >= l.segmentBytes {
		return l.appendToNew(b)
	}
	l.batch++
	content := l.encode(nil, b)
	if _, err := l.file.Write(content); err != nil {
		return l.failed(err, "write")
	}
	if err := l.file.Sync(); err != nil {
		return l.failed(err, "sync")
	}
	l.size += int64(len(content))
	return nil
}

// appendToNew starts a segment with the batch in it. It gets its name only
// once it is durable, so a named segment always has an intact start.
func (l *Log) appendToNew(b Batch) error {
	s := segment{number: l.current().number + 1, prev: l.ends.last()}
	if b.Reset != nil {
		s.prev = *b.Reset
		l.ends = positions{s.prev}
	}
	l.batch++
	content := appendStart([]byte(magic), s, b.Reset != nil, l.hard, l.batch)
	l.batch++
	content = l.encode(content, b)
	file, err := files.Stage(l.fs, s.path(l.dir), content)
	if err != nil {
		return l.failed(err, "stage")
	}
	if err := files.Publish(l.fs, s.path(l.dir)); err != nil {
		file.Close()
		return l.failed(err, "publish")
	}
	old := l.file
	l.file, l.size = file, int64(len(content))
	l.segments = append(l.segments, s)
	if err := old.Close(); err != nil {
		return l.failed(err, "close")
	}
	if b.Reset != nil {
		return l.removeFirst(len(l.segments) - 1)
	}
	return nil
}

func (l *Log) failed(err error, what string) error {
	return fault.Wrap(err, fault.Unavailable, part, "cannot %s segment %s", what, l.current().path(l.dir))
}

func (l *Log) check(b Batch) error {
	last := l.ends.last().Index
	if b.Reset != nil {
		last = b.Reset.Index
	}
	for _, p := range b.Parts {
		if p.Truncate && p.TruncateAfter > last {
			return fault.New(fault.Invalid, part, "truncate after %d beyond the last entry %d", p.TruncateAfter, last)
		}
		if p.Truncate {
			last = p.TruncateAfter
		}
		for _, e := range p.Entries {
			if e.Index != last+1 {
				return fault.New(fault.Invalid, part, "entry %d after %d", e.Index, last)
			}
			last = e.Index
		}
	}
	return nil
}

// encode adds the frames of a batch. There is always at least one.
func (l *Log) encode(content []byte, b Batch) []byte {
	add := func(f record.Frame) {
		f.Batch = l.batch
		content = record.Append(content, f)
	}
	for _, p := range b.Parts {
		if p.Truncate {
			at := l.ends.cut(p.TruncateAfter)
			add(record.Frame{Kind: record.Truncate, Payload: record.AppendPosition(nil, at)})
		}
		for _, e := range p.Entries {
			l.ends = l.ends.add(record.Position{Index: e.Index, Term: e.Term})
			add(record.Frame{Kind: record.Entry, Payload: record.AppendEntry(nil, e)})
		}
	}
	add(record.Frame{Kind: record.HardState, Last: true, Payload: record.AppendHardState(nil, l.hard)})
	return content
}

func appendStart(b []byte, s segment, reset bool, h consensus.HardState, batch uint64) []byte {
	payload := record.AppendPosition(nil, s.prev)
	payload = append(payload, 0)
	if reset {
		payload[len(payload)-1] = 1
	}
	payload = record.AppendHardState(payload, h)
	return record.Append(b, record.Frame{Kind: record.Start, Last: true, Batch: batch, Payload: payload})
}

// Last returns the position of the last entry.
func (l *Log) Last() record.Position { return l.ends.last() }

// RemoveThrough removes the segments whose entries all are at or before index.
// Kind: Unavailable.
func (l *Log) RemoveThrough(index uint64) error {
	n := 0
	for n+1 < len(l.segments) && l.segments[n+1].prev.Index <= index {
		n++
	}
	return l.removeFirst(n)
}

func (l *Log) removeFirst(n int) error {
	for range n {
		name := l.segments[0].path(l.dir)
		if err := l.fs.Remove(name); err != nil {
			return fault.Wrap(err, fault.Unavailable, part, "cannot remove %s", name)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) current() segment { return l.segments[len(l.segments)-1] }

// Close closes the current segment. Kind: Unavailable.
func (l *Log) Close() error {
	if err := l.file.Close(); err != nil {
		return l.failed(err, "close")
	}
	return nil
}

func (s segment) path(dir string) string {
	return filepath.Join(dir, fmt.Sprintf(nameFormat, s.number))
}
