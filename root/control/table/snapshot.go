package table

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Snapshot is the whole state at one moment. It shares memory with the state
// that made it and must not be changed.
type Snapshot struct {
	Table   Table
	History []Record
	// Answers is in order of arrival.
	Answers []*Answer
}

// Snapshot returns the state at this moment. Later changes don't affect it.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Table:   s.table,
		History: s.history[:len(s.history):len(s.history)],
		Answers: s.answers[:len(s.answers):len(s.answers)],
	}
}

// Restore returns a state equal to the one that made the snapshot. The error is
// of kind fault.Corrupt.
func Restore(snap Snapshot) (*State, error) {
	if len(snap.History) > MaxHistory || len(snap.Answers) > MaxAnswers {
		return nil, fault.New(fault.Corrupt, part, "the snapshot is larger than its bounds")
	}
	if err := checkHistory(snap); err != nil {
		return nil, err
	}
	s := &State{table: snap.Table, byID: make(map[string]*Answer, len(snap.Answers))}
	s.history = append(s.history, snap.History...)
	for _, a := range snap.Answers {
		if a == nil || s.byID[a.ID] != nil {
			return nil, fault.New(fault.Corrupt, part, "the snapshot repeats a change id")
		}
		s.byID[a.ID] = a
		s.answers = append(s.answers, a)
	}
	return s, nil
}

func checkHistory(snap Snapshot) error {
	want := snap.Table.Version - uint64(len(snap.History))
	for _, r := range snap.History {
		want++
		if r.Version != want {
			return fault.New(fault.Corrupt, part, "the history has version %d where %d belongs", r.Version, want)
		}
	}
	if snap.Table.Version == 0 && len(snap.Table.Classes) == 0 {
		return nil
	}
	if err := Validate(snap.Table.Classes); err != nil {
		return fault.Wrap(err, fault.Corrupt, part, "the table of the snapshot is not valid")
	}
	return nil
}
