package fleet

// String returns the name of the role in announcements and orders.
func (r Role) String() string {
	switch r {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	default:
		return "mixed"
	}
}

// ParseRole returns the role with the given name.
func ParseRole(name string) (Role, bool) {
	for _, r := range []Role{Mixed, Prefill, Decode} {
		if r.String() == name {
			return r, true
		}
	}
	return Mixed, false
}

// String returns the name of the state as shown to operators.
func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Suspected:
		return "suspected"
	case Draining:
		return "draining"
	default:
		return "leaving"
	}
}
