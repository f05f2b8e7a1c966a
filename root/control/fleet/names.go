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

// String returns the name of the state for operators.
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
