package table

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Record is one accepted change in the history.
type Record struct {
	// Version is the table version that the change created.
	Version uint64
	// ID is the id of the change.
	ID     string
	Author string
	// At is the time of acceptance in Unix milliseconds.
	At int64
	// Classes are the rows of the table after the change. They must not be modified.
	Classes []Class
}

// Answer is the recorded result of a change, which is returned again for retries.
type Answer struct {
	// ID is the id of the change.
	ID string
	// ContentHash is the hash of the base and the classes of the change.
	ContentHash [sha256.Size]byte
	// Version is the version that an accepted change created, or the version that was
	// current when the change was rejected.
	Version uint64
	// Rejected is set if the change was rejected, with Kind and Message.
	Rejected bool
	Kind     fault.Kind
	Message  string
}

// Result is the result of one change.
type Result struct {
	// Version is the version that an accepted change created, or the version that was
	// current when the change was rejected.
	Version uint64
	// Err is nil for an accepted change. Its kind is fault.Conflict if Base was not
	// the current version, fault.Invalid if the table, id or author is invalid, and
	// fault.KeyReused if the id was used for a different change.
	Err *fault.Error
	// Repeated is set if the change is a retry and this is the recorded result.
	Repeated bool
}

// State is the table, its history and the recorded results of recent changes. The zero
// value is the empty table at version 0.
type State struct {
	table   Table
	history []Record
	// answers are ordered from oldest to newest. byID holds the same answers.
	answers []*Answer
	byID    map[string]*Answer
}

// Table returns the current table. Its classes must not be modified.
func (s *State) Table() Table { return s.table }

// History returns the accepted changes that are still kept, oldest first.
func (s *State) History() []Record { return slices.Clone(s.history) }

// Apply applies a change. A retry with a known id gets the first result again, even
// after later changes.
func (s *State) Apply(c Change) Result {
	if err := validateChange(c); err != nil {
		return Result{Version: s.table.Version, Err: err}
	}
	hash := contentHash(c)
	if first := s.byID[c.ID]; first != nil {
		return s.replay(first, hash)
	}
	result := s.execute(c)
	s.keepAnswer(newAnswer(c.ID, hash, result))
	return result
}

func validateChange(c Change) *fault.Error {
	if c.ID == "" || len(c.ID) > MaxIDBytes {
		return fault.New(fault.Invalid, part, "change id must have 1 to %d bytes", MaxIDBytes)
	}
	if len(c.Author) > MaxAuthorBytes {
		return fault.New(fault.Invalid, part, "author must have at most %d bytes", MaxAuthorBytes)
	}
	return nil
}

func (s *State) replay(first *Answer, hash [sha256.Size]byte) Result {
	if first.ContentHash != hash {
		err := fault.New(fault.KeyReused, part, "change id %s was already used for a different change", quote(first.ID))
		return Result{Version: s.table.Version, Err: err}
	}
	result := Result{Version: first.Version, Repeated: true}
	if first.Rejected {
		result.Err = fault.New(first.Kind, part, "%s", first.Message)
	}
	return result
}

func (s *State) execute(c Change) Result {
	current := s.table.Version
	if c.Base != current {
		err := fault.New(fault.Conflict, part, "change is based on version %d, but the current version is %d", c.Base, current)
		return Result{Version: current, Err: err}
	}
	if err := Validate(c.Classes); err != nil {
		return Result{Version: current, Err: fault.From(err)}
	}
	s.accept(c)
	return Result{Version: s.table.Version}
}

func (s *State) accept(c Change) {
	classes := cloneClasses(c.Classes)
	s.table = Table{Version: s.table.Version + 1, Classes: classes}
	rec := Record{Version: s.table.Version, ID: c.ID, Author: c.Author, At: c.At, Classes: classes}
	s.history = append(s.history, rec)
	s.trimHistory()
}

// trimHistory drops the oldest changes above the limits but always keeps the newest.
func (s *State) trimHistory() {
	rows := 0
	for _, r := range s.history {
		rows += len(r.Classes)
	}
	for len(s.history) > 1 && (len(s.history) > MaxHistory || rows > MaxHistoryRows) {
		rows -= len(s.history[0].Classes)
		s.history = s.history[1:]
	}
}

func newAnswer(id string, hash [sha256.Size]byte, r Result) *Answer {
	a := &Answer{ID: id, ContentHash: hash, Version: r.Version}
	if r.Err != nil {
		a.Rejected = true
		a.Kind = r.Err.Kind
		a.Message = r.Err.Error()
	}
	return a
}

// keepAnswer adds an answer and drops the oldest one above MaxAnswers.
func (s *State) keepAnswer(a *Answer) {
	if s.byID == nil {
		s.byID = make(map[string]*Answer)
	}
	s.byID[a.ID] = a
	s.answers = append(s.answers, a)
	if len(s.answers) > MaxAnswers {
		delete(s.byID, s.answers[0].ID)
		s.answers = s.answers[1:]
	}
}

func cloneClasses(classes []Class) []Class {
	out := slices.Clone(classes)
	for i := range out {
		out[i].Targets = slices.Clone(out[i].Targets)
	}
	return out
}

// contentHash returns the hash of what a retry must repeat: the base and the classes.
func contentHash(c Change) [sha256.Size]byte {
	b := binary.AppendUvarint(nil, c.Base)
	for _, class := range c.Classes {
		b = appendClass(b, class)
	}
	return sha256.Sum256(b)
}

func appendClass(b []byte, c Class) []byte {
	b = appendString(b, c.Name)
	for _, n := range []int{c.Weight, c.Priority, c.Concurrency, c.Queue, c.Tokens, int(c.Deadline)} {
		b = binary.AppendVarint(b, int64(n))
	}
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(c.RatePerSecond))
	b = binary.AppendUvarint(b, uint64(len(c.Targets)))
	for _, target := range c.Targets {
		b = appendString(b, target)
	}
	if c.Idempotent {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}
