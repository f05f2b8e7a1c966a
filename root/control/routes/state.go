package routes

import "github.com/wagtaildyke/wagtaildyke/fault"

// Result is the result of State.Replace.
type Result struct {
	// Version is the current version afterwards.
	Version uint64
	// Err is set if the document is invalid, of kind fault.Invalid or
	// fault.TooLarge. A valid document that isn't newer than the current one is
	// ignored without an error.
	Err *fault.Error
	// Changed is set if the document became the current one.
	Changed bool
}

// State holds the current document. The zero value has none and is at version 0.
type State struct{ current *Document }

// Document returns the current document; nil before the first one.
func (s *State) Document() *Document { return s.current }

// Version returns the current version; 0 before the first document.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Replace makes d the current document if its version is the highest so far. A
// valid document that isn't newer has no effect and causes no error.
func (s *State) Replace(d *Document) Result {
	if err := d.Validate(); err != nil {
		return Result{Version: s.Version(), Err: err}
	}
	if d.Version <= s.Version() {
		return Result{Version: s.Version()}
	}
	s.current = d
	return Result{Version: d.Version, Changed: true}
}

// Restore returns a state with the given current document, which may be nil. The
// error is of kind fault.Corrupt.
func Restore(d *Document) (*State, error) {
	if d == nil {
		return &State{}, nil
	}
	if err := d.Validate(); err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, part, "invalid routes at version %d in the snapshot", d.Version)
	}
	return &State{current: d}, nil
}
