package placement

// Granted reports whether work in line has begun.
func Granted(w *Waiting) bool {
	select {
	case g := <-w.granted:
		return g.run != nil
	default:
		return false
	}
}

// Refusal returns the refusal that ended a wait in line; nil without one.
func Refusal(w *Waiting) error {
	select {
	case g := <-w.granted:
		return g.err
	default:
		return nil
	}
}
