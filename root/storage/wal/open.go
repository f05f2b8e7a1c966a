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

// Open opens the log in dir and reads it. A partially written batch at the end of the
// last segment is truncated and reported as Contents.TornTail. Any other corruption is
// an error. segmentBytes is the size at which a new segment is started. Error kinds:
// Corrupt, with the file and the offset, or with the directory if it contains no segment;
// Unavailable.
func Open(fs files.FS, dir string, segmentBytes int64) (*Log, Contents, error) {
	segments, err := listSegments(fs, dir)
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
		end, err := r.replaySegment(s, s.path(dir), data, i == len(segments)-1)
		if err != nil {
			return nil, Contents{}, err
		}
		size = int64(end)
	}
	l := &Log{fs: fs, dir: dir, segmentBytes: segmentBytes, segments: segments, size: size}
	l.batch, l.hardState = r.batch, r.contents.HardState
	l.runs = termRuns{r.contents.Base}
	for _, e := range r.contents.Entries {
		l.runs = l.runs.add(record.Position{Index: e.Index, Term: e.Term})
	}
	return l, r.contents, l.openCurrent(r.contents.TornTail)
}

// openCurrent opens the last segment for writing, truncates the torn tail, and syncs,
// because the last batch may have been written but not synced when the process stopped.
func (l *Log) openCurrent(torn *TornTail) error {
	file, err := l.fs.Append(l.current().path(l.dir))
	if err != nil {
		return l.ioError(err, "open")
	}
	// A failed truncation is reported as a failed sync; the wrapped error names the
	// operation that failed.
	if torn != nil {
		err = file.Truncate(torn.Offset)
	}
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		file.Close()
		return l.ioError(err, "sync")
	}
	l.file = file
	return nil
}

// listSegments returns the segments in order. It removes temporary files that a crash
// left behind.
func listSegments(fs files.FS, dir string) ([]segment, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, part, "cannot list %s", dir)
	}
	var segments []segment
	for _, name := range names {
		if files.IsStaged(name) {
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
		return nil, fault.New(fault.Corrupt, part, "%s contains no log segment", dir)
	}
	slices.SortFunc(segments, func(a, b segment) int { return int(a.number) - int(b.number) })
	return segments, nil
}

// replay rebuilds the log from its segments, which are read in order. batch and number
// are the last batch and segment read.
type replay struct {
	contents Contents
	batch    uint64
	number   uint64
	started  bool
}

func corruptError(name string, offset int, problem string) error {
	return fault.New(fault.Corrupt, part, "%s is corrupt at offset %d: %s", name, offset, problem)
}

// replaySegment replays one file and returns the offset after its last complete batch.
func (r *replay) replaySegment(s *segment, name string, data []byte, last bool) (int, error) {
	if len(data) < len(magic) || string(data[:len(magic)]) != magic {
		return 0, corruptError(name, 0, "not a log segment")
	}
	header, headerSize, ok := record.Parse(data[len(magic):])
	if !ok || header.Kind != record.SegmentHeader || !header.Last {
		return 0, corruptError(name, len(magic), "missing or corrupt segment header")
	}
	if problem := r.replayHeader(s, header); problem != "" {
		return 0, corruptError(name, len(magic), problem)
	}
	offset := len(magic) + headerSize
	if s.number > 1 && offset == len(data) {
		return 0, corruptError(name, offset, "no batch after the segment header")
	}
	for offset < len(data) {
		frames, size, ok := nextBatch(data[offset:], r.batch+1)
		if !ok {
			// Every segment but the first is renamed to its final name only once it
			// contains a complete batch, so its first batch cannot be torn.
			mayBeTorn := last && (s.number == 1 || offset > len(magic)+headerSize)
			return offset, r.checkTail(name, data, offset, mayBeTorn)
		}
		if problem := r.apply(frames); problem != "" {
			return 0, corruptError(name, offset, problem)
		}
		r.batch++
		offset += size
	}
	return offset, nil
}

// replayHeader applies the header of a segment. The segment must continue the one
// before it, unless its header resets the log. replayHeader returns a description of
// the problem, or an empty string.
func (r *replay) replayHeader(s *segment, f record.Frame) string {
	in := record.NewReader(f.Payload)
	prev, reset, hard := in.Position(), in.Bool(), in.HardState()
	end := r.end()
	switch {
	case !in.Done():
		return "malformed segment header"
	case r.started && s.number != r.number+1:
		return "the preceding segment is missing"
	case r.started && f.Batch != r.batch+1:
		return "preceding batches are missing"
	case r.started && !reset && (prev.Index != end.Index || prev.Term != end.Term):
		return "the segment does not continue the preceding segment"
	}
	if reset || !r.started {
		r.contents.Base, r.contents.Entries = prev, nil
	}
	r.contents.HardState = hard
	r.started, r.number, r.batch = true, s.number, f.Batch
	s.prev = prev
	return ""
}

// end returns the position of the last entry, or the base if there is none.
func (r *replay) end() record.Position {
	if n := len(r.contents.Entries); n > 0 {
		return record.Position{Index: r.contents.Entries[n-1].Index, Term: r.contents.Entries[n-1].Term}
	}
	return r.contents.Base
}

// nextBatch parses the batch with the given number at the start of data and returns its
// frames and size. It reports false if the batch is not complete and intact.
func nextBatch(data []byte, number uint64) ([]record.Frame, int, bool) {
	var frames []record.Frame
	offset := 0
	for {
		f, size, ok := record.Parse(data[offset:])
		if !ok || f.Batch != number || f.Kind == record.SegmentHeader {
			return nil, 0, false
		}
		frames = append(frames, f)
		offset += size
		if f.Last {
			return frames, offset, true
		}
	}
}

// checkTail classifies bytes that do not form a complete batch as a torn tail or as
// corruption. A batch is written only after the one before it was synced, so an intact
// frame of a later batch proves that these bytes were once durable.
func (r *replay) checkTail(name string, data []byte, offset int, mayBeTorn bool) error {
	if !mayBeTorn {
		return corruptError(name, offset, "a durable batch is incomplete")
	}
	for at := offset; at+record.HeaderBytes <= len(data); at++ {
		if f, _, ok := record.Parse(data[at:]); ok && f.Batch > r.batch+1 {
			return corruptError(name, offset, fmt.Sprintf("an intact frame of a later batch follows at offset %d", at))
		}
	}
	r.contents.TornTail = &TornTail{File: name, Offset: int64(offset), Bytes: int64(len(data) - offset)}
	return nil
}

// apply applies the frames of a batch. It returns a description of the first problem,
// or an empty string.
func (r *replay) apply(frames []record.Frame) string {
	for _, f := range frames {
		in := record.NewReader(f.Payload)
		problem := ""
		switch f.Kind {
		case record.HardState:
			r.contents.HardState = in.HardState()
		case record.Truncate:
			problem = r.truncate(in.Position())
		case record.Entry:
			problem = r.appendEntry(in)
		default:
			problem = "unexpected frame kind"
		}
		if problem == "" && !in.Done() {
			problem = "malformed frame payload"
		}
		if problem != "" {
			return problem
		}
	}
	return ""
}

// truncate removes the entries after at. If at precedes the base, it becomes the new
// base.
func (r *replay) truncate(at record.Position) string {
	if at.Index > r.end().Index {
		return "truncation beyond the end of the log"
	}
	if at.Index <= r.contents.Base.Index {
		r.contents.Entries = nil
		if at.Index < r.contents.Base.Index {
			r.contents.Base = at
		}
		return ""
	}
	r.contents.Entries = r.contents.Entries[:at.Index-r.contents.Base.Index]
	return ""
}

// appendEntry reads an entry from in, which must follow the last one, and appends it.
func (r *replay) appendEntry(in *record.Reader) string {
	e := in.Entry()
	if e.Index != r.end().Index+1 {
		return "entry out of order"
	}
	e.Data = bytes.Clone(e.Data)
	r.contents.Entries = append(r.contents.Entries, e)
	return ""
}
