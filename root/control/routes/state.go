package routes

import "github.com/wagtaildyke/wagtaildyke/fault"

// Result answers one replacement.
type Result struct {
	// Version is the version in force afterwards.
	Version uint64
	// Err is nil when the document was accepted or is not newer than the one in
	// force, which changes nothing. Kinds: Invalid, TooLarge.
	Err *fault.Error
	// Changed is set when the document came into force.
	Changed bool
}

// State holds the document in force. The zero value holds none, at version 0.
type State struct{ current *Document }

// Document returns the document in force; nil before the first one.
func (s *State) Document() *Document { return s.current }

// Version returns the version in force; 0 before the first document.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// Replace puts a document in force when its version is the highest so far. A
// resend of an accepted document is answered as accepted again.
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

// Restore returns the state that holds the document; nil for none. The error is
// of kind fault.Corrupt.
func Restore(d *Document) (*State, error) {
	if d == nil {
		return &State{}, nil
	}
	if err := d.Validate(); err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, part, "the routes at version %d", d.Version)
	}
	return &State{current: d}, nil
}
