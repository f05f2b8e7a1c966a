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
	// Version is the version that the change made.
	Version uint64
	// ID is the id of the change.
	ID     string
	Author string
	// At is the time of acceptance, Unix milliseconds.
	At int64
	// Classes is the whole table after the change. It must not be changed.
	Classes []Class
}

// Answer is the remembered answer to one change id.
type Answer struct {
	// ID is the id of the change.
	ID string
	// Content identifies the base and the classes of the change.
	Content [sha256.Size]byte
	// Version is the version made by an accepted change, or the current version
	// at the time of a refusal.
	Version uint64
	// Refused is set when the change was refused with Kind and Message.
	Refused bool
	Kind    fault.Kind
	Message string
}

// Result answers one change.
type Result struct {
	// Version is the version made by an accepted change, or the current version
	// at the time of a refusal.
	Version uint64
	// Err is nil for an accepted change. Its kind is fault.Conflict when Base was
	// not the current version, fault.Invalid for a bad table or id, and
	// fault.KeyReused when the id was used for other content.
	Err *fault.Error
	// Repeated is set when the answer is that of an earlier delivery.
	Repeated bool
}

// State is the table with its history and the answers to recent change ids.
// The zero value is the empty table at version 0.
type State struct {
	table   Table
	history []Record
	// answers is in order of arrival; byID points into the same answers.
	answers []*Answer
	byID    map[string]*Answer
}

// Table returns the current table. Its classes must not be changed.
func (s *State) Table() Table { return s.table }

// History returns the accepted changes that are still kept, oldest first.
func (s *State) History() []Record { return slices.Clone(s.history) }

// Apply carries out one change. A change whose id was answered before gets the
// first answer again, also after later changes.
func (s *State) Apply(c Change) Result {
	if err := checkChange(c); err != nil {
		return Result{Version: s.table.Version, Err: err}
	}
	content := contentOf(c)
	if first := s.byID[c.ID]; first != nil {
		return s.repeat(first, content)
	}
	result := s.decide(c)
	s.remember(newAnswer(c.ID, content, result))
	return result
}

func checkChange(c Change) *fault.Error {
	if c.ID == "" || len(c.ID) > MaxIDBytes {
		return fault.New(fault.Invalid, part, "a change id has 1 to %d bytes", MaxIDBytes)
	}
	if len(c.Author) > MaxAuthorBytes {
		return fault.New(fault.Invalid, part, "an author has at most %d bytes", MaxAuthorBytes)
	}
	return nil
}

func (s *State) repeat(first *Answer, content [sha256.Size]byte) Result {
	if first.Content != content {
		err := fault.New(fault.KeyReused, part, "change id %s was used for other content", quote(first.ID))
		return Result{Version: s.table.Version, Err: err}
	}
	result := Result{Version: first.Version, Repeated: true}
	if first.Refused {
		result.Err = fault.New(first.Kind, part, "%s", first.Message)
	}
	return result
}

func (s *State) decide(c Change) Result {
	current := s.table.Version
	if c.Base != current {
		err := fault.New(fault.Conflict, part, "the change was made from version %d; the current version is %d", c.Base, current)
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
	record := Record{Version: s.table.Version, ID: c.ID, Author: c.Author, At: c.At, Classes: classes}
	s.history = append(s.history, record)
	s.trimHistory()
}

// trimHistory drops the oldest changes; the newest one is always kept.
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

func newAnswer(id string, content [sha256.Size]byte, r Result) *Answer {
	a := &Answer{ID: id, Content: content, Version: r.Version}
	if r.Err != nil {
		a.Refused = true
		a.Kind = r.Err.Kind
		a.Message = r.Err.Error()
	}
	return a
}

func (s *State) remember(a *Answer) {
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

// contentOf hashes what a resend must repeat: the base and the classes.
func contentOf(c Change) [sha256.Size]byte {
	b := binary.AppendUvarint(nil, c.Base)
	for _, class := range c.Classes {
		b = appendClass(b, class)
	}
	return sha256.Sum256(b)
}

func appendClass(b []byte, c Class) []byte {
	b = appendString(b, c.Name)
	for _, n := range []int{c.Weight, c.Place, c.Concurrency, c.Queue, c.Tokens, int(c.Deadline)} {
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
