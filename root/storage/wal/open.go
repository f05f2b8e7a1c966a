package wal

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/storage/files"
	"github.com/wagtaildyke/wagtaildyke/root/storage/record"
)

// Open reads a log. The tail of the last segment that holds no whole batch is
// cut off and reported; any other damage is an error. segmentBytes is the size
// at which a new segment starts. Kinds: Corrupt, naming file and offset;
// Unavailable.
func Open(fs files.FS, dir string, segmentBytes int64) (*Log, Contents, error) {
	segments, err := list(fs, dir)
	if err != nil {
		return nil, Contents{}, err
	}
	r := &replay{}
	var size int64
	for i := range segments {
		s := &segments[i]
		data, err := fs.ReadFile(s.path(dir))
		if err != nil {
			return nil, Contents{}, fault.Wrap(err, fault.Unavailable, part, "cannot read %s", s.path(dir))
		}
		end, err := r.segment(s, s.path(dir), data, i == len(segments)-1)
		if err != nil {
			return nil, Contents{}, err
		}
		size = int64(end)
	}
	l := &Log{fs: fs, dir: dir, segmentBytes: segmentBytes, segments: segments, size: size}
	l.batch, l.hard = r.batch, r.found.HardState
	l.ends = positions{r.found.Base}
	for _, e := range r.found.Entries {
		l.ends = l.ends.add(record.Position{Index: e.Index, Term: e.Term})
	}
	return l, r.found, l.openLast(r.found.Torn)
}

// openLast cuts the torn tail and syncs, since a batch may have been written
// but not synced when the process stopped.
func (l *Log) openLast(torn *Torn) error {
	file, err := l.fs.Append(l.current().path(l.dir))
	if err != nil {
		return l.failed(err, "open")
	}
	if torn != nil {
		err = file.Truncate(torn.Offset)
	}
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		file.Close()
		return l.failed(err, "sync")
	}
	l.file = file
	return nil
}

// list returns the segments in order and removes what a crash left unpublished.
func list(fs files.FS, dir string) ([]segment, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, part, "cannot list %s", dir)
	}
	var segments []segment
	for _, name := range names {
		if files.Staged(name) {
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				return nil, fault.Wrap(err, fault.Unavailable, part, "cannot remove %s", name)
			}
			continue
		}
		var s segment
		if n, _ := fmt.Sscanf(name, nameFormat, &s.number); n == 1 && name == fmt.Sprintf(nameFormat, s.number) {
			segments = append(segments, s)
		}
	}
	if len(segments) == 0 {
		return nil, fault.New(fault.Corrupt, part, "%s holds no log segment", dir)
	}
	slices.SortFunc(segments, func(a, b segment) int { return int(a.number) - int(b.number) })
	return segments, nil
}

// replay rebuilds the log from the segments in order.
type replay struct {
	found   Contents
	batch   uint64
	number  uint64
	started bool
}

func corrupt(name string, offset int, what string) error {
	return fault.New(fault.Corrupt, part, "%s is damaged at offset %d: %s", name, offset, what)
}

// segment replays one file and returns the offset after its last whole batch.
func (r *replay) segment(s *segment, name string, data []byte, last bool) (int, error) {
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		return 0, corrupt(name, 0, "not a log segment")
	}
	start, startSize, ok := record.Parse(data[len(magic):])
	if !ok || start.Kind != record.Start || !start.Last {
		return 0, corrupt(name, len(magic), "no intact start")
	}
	if problem := r.start(s, start); problem != "" {
		return 0, corrupt(name, len(magic), problem)
	}
	offset := len(magic) + startSize
	if s.number > 1 && offset == len(data) {
		return 0, corrupt(name, offset, "no batch after the start")
	}
	for offset < len(data) {
		frames, size, ok := nextBatch(data[offset:], r.batch+1)
		if !ok {
			// Segments after the first one get their name with a whole batch inside.
			mayTear := last && (s.number == 1 || offset > len(magic)+startSize)
			return offset, r.tail(name, data, offset, mayTear)
		}
		if problem := r.apply(frames); problem != "" {
			return 0, corrupt(name, offset, problem)
		}
		r.batch++
		offset += size
	}
	return offset, nil
}

// start takes a segment's start, which must follow the segment before it
// unless it drops the log.
func (r *replay) start(s *segment, f record.Frame) string {
	in := record.NewReader(f.Payload)
	prev, reset, hard := in.Position(), in.Bool(), in.HardState()
	end := r.end()
	switch {
	case !in.Done():
		return "malformed start"
	case r.started && s.number != r.number+1:
		return "the segment before it is missing"
	case r.started && f.Batch != r.batch+1:
		return "batches are missing before it"
	case r.started && !reset && (prev.Index != end.Index || prev.Term != end.Term):
		return "it does not follow the segment before it"
	}
	if reset || !r.started {
		r.found.Base, r.found.Entries = prev, nil
	}
	r.found.HardState = hard
	r.started, r.number, r.batch = true, s.number, f.Batch
	s.prev = prev
	return ""
}

func (r *replay) end() record.Position {
	if n := len(r.found.Entries); n > 0 {
		return record.Position{Index: r.found.Entries[n-1].Index, Term: r.found.Entries[n-1].Term}
	}
	return r.found.Base
}

// nextBatch returns the frames of the batch with the given number if it is whole.
func nextBatch(data []byte, number uint64) ([]record.Frame, int, bool) {
	var frames []record.Frame
	offset := 0
	for {
		f, size, ok := record.Parse(data[offset:])
		if !ok || f.Batch != number || f.Kind == record.Start {
			return nil, 0, false
		}
		frames = append(frames, f)
		offset += size
		if f.Last {
			return frames, offset, true
		}
	}
}

// tail decides about bytes that hold no whole batch. The next batch is written
// only after this one was synced, so an intact frame of a later batch shows
// that these bytes were durable once.
func (r *replay) tail(name string, data []byte, offset int, mayTear bool) error {
	if !mayTear {
		return corrupt(name, offset, "a batch that was durable is not whole")
	}
	for at := offset; at+record.HeaderBytes <= len(data); at++ {
		if f, _, ok := record.Parse(data[at:]); ok && f.Batch > r.batch+1 {
			return corrupt(name, offset, fmt.Sprintf("an intact record follows at offset %d", at))
		}
	}
	r.found.Torn = &Torn{File: name, Offset: int64(offset), Bytes: int64(len(data) - offset)}
	return nil
}

func (r *replay) apply(frames []record.Frame) string {
	for _, f := range frames {
		in := record.NewReader(f.Payload)
		problem := ""
		switch f.Kind {
		case record.HardState:
			r.found.HardState = in.HardState()
		case record.Truncate:
			problem = r.truncate(in.Position())
		case record.Entry:
			problem = r.entry(in)
		default:
			problem = "unexpected record"
		}
		if problem == "" && !in.Done() {
			problem = "malformed record"
		}
		if problem != "" {
			return problem
		}
	}
	return ""
}

func (r *replay) truncate(at record.Position) string {
	if at.Index > r.end().Index {
		return "truncation beyond the end of the log"
	}
	if at.Index <= r.found.Base.Index {
		r.found.Entries = nil
		if at.Index < r.found.Base.Index {
			r.found.Base = at
		}
		return ""
	}
	r.found.Entries = r.found.Entries[:at.Index-r.found.Base.Index]
	return ""
}

func (r *replay) entry(in *record.Reader) string {
	e := in.Entry()
	if e.Index != r.end().Index+1 {
		return "entry out of order"
	}
	e.Data = bytes.Clone(e.Data)
	r.found.Entries = append(r.found.Entries, e)
	return ""
}
