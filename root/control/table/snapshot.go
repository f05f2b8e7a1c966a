package table

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Snapshot is the state at one moment. It shares memory with the State and must not
// be modified.
type Snapshot struct {
	Table Table
	// History is ordered from oldest to newest.
	History []Record
	// Answers are ordered from oldest to newest.
	Answers []*Answer
}

// Snapshot returns a snapshot of the current state, which later changes don't affect.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Table:   s.table,
		History: s.history[:len(s.history):len(s.history)],
		Answers: s.answers[:len(s.answers):len(s.answers)],
	}
}

// Restore returns the state of a snapshot. Its error has kind fault.Corrupt.
func Restore(snap Snapshot) (*State, error) {
	if len(snap.History) > MaxHistory || len(snap.Answers) > MaxAnswers {
		return nil, fault.New(fault.Corrupt, part, "snapshot has more changes or answers than allowed")
	}
	if err := validateSnapshot(snap); err != nil {
		return nil, err
	}
	s := &State{table: snap.Table, byID: make(map[string]*Answer, len(snap.Answers))}
	s.history = append(s.history, snap.History...)
	for _, a := range snap.Answers {
		if a == nil || s.byID[a.ID] != nil {
			return nil, fault.New(fault.Corrupt, part, "snapshot has a missing answer or two answers for one change id")
		}
		s.byID[a.ID] = a
		s.answers = append(s.answers, a)
	}
	return s, nil
}

func validateSnapshot(snap Snapshot) error {
	want := snap.Table.Version - uint64(len(snap.History))
	for _, r := range snap.History {
		want++
		if r.Version != want {
			return fault.New(fault.Corrupt, part, "history has version %d, want %d", r.Version, want)
		}
	}
	if snap.Table.Version == 0 && len(snap.Table.Classes) == 0 {
		return nil
	}
	if err := Validate(snap.Table.Classes); err != nil {
		return fault.Wrap(err, fault.Corrupt, part, "invalid table in snapshot")
	}
	return nil
}
