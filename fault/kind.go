// Package fault holds the closed list of error kinds and the one table that
// says how each kind is answered: HTTP status, exit code, whether the work may
// have run, and whether a retry is worthwhile.
package fault

// Kind is one entry of the closed list of error kinds.
type Kind uint8

// The closed list. A new kind needs a row in the answer table.
const (
	Internal Kind = iota
	Invalid
	Unauthorized
	NotFound
	MethodNotAllowed
	TooLarge
	Conflict
	RateLimited
	Overloaded
	NotReady
	Stopping
	NoBackend
	DeadlineExceeded
	Cancelled
	InProgress
	KeyReused
	KeyExpired
	OutcomeUnknown
	BackendFailed
	StreamCut
	NoQuorum
	NotLeader
	Fenced
	Corrupt
	Settings
	Unavailable
	kindCount
)

// Ran says whether the work behind a refused request ran.
type Ran uint8

// The three honest answers to "did it run?".
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns the word used in refusals: no, yes or unknown.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Answer is one row of the table from kind to answer.
type Answer struct {
	// Name is the stable word in refusals, logs and metrics.
	Name string
	// HTTPStatus is the status code of the refusal.
	HTTPStatus int
	// ExitCode is the exit code of the command line.
	ExitCode int
	// Ran is the default claim; an Error may carry a stronger one.
	Ran Ran
	// Retry says whether the same request may succeed later unchanged.
	Retry bool
}

var answers = [kindCount]Answer{
	Internal:         {"internal", 500, 70, RanUnknown, false},
	Invalid:          {"invalid", 400, 2, RanNo, false},
	Unauthorized:     {"unauthorized", 401, 77, RanNo, false},
	NotFound:         {"not_found", 404, 4, RanNo, false},
	MethodNotAllowed: {"method_not_allowed", 405, 2, RanNo, false},
	TooLarge:         {"too_large", 413, 2, RanNo, false},
	Conflict:         {"conflict", 409, 3, RanNo, false},
	RateLimited:      {"rate_limited", 429, 75, RanNo, true},
	Overloaded:       {"overloaded", 503, 75, RanNo, true},
	NotReady:         {"not_ready", 503, 75, RanNo, true},
	Stopping:         {"stopping", 503, 75, RanNo, true},
	NoBackend:        {"no_backend", 503, 75, RanNo, true},
	DeadlineExceeded: {"deadline_exceeded", 504, 75, RanNo, false},
	Cancelled:        {"cancelled", 499, 130, RanUnknown, false},
	InProgress:       {"in_progress", 409, 75, RanUnknown, true},
	KeyReused:        {"key_reused", 422, 2, RanNo, false},
	KeyExpired:       {"key_expired", 410, 2, RanUnknown, false},
	OutcomeUnknown:   {"outcome_unknown", 502, 75, RanUnknown, false},
	BackendFailed:    {"backend_failed", 502, 75, RanUnknown, false},
	StreamCut:        {"stream_cut", 502, 75, RanYes, false},
	NoQuorum:         {"no_quorum", 503, 75, RanNo, true},
	NotLeader:        {"not_leader", 503, 75, RanNo, true},
	Fenced:           {"fenced", 409, 3, RanNo, false},
	Corrupt:          {"corrupt", 500, 74, RanUnknown, false},
	Settings:         {"settings", 500, 78, RanNo, false},
	Unavailable:      {"unavailable", 503, 69, RanUnknown, true},
}

// Answer returns the table row of the kind. An unknown kind answers as Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns every kind of the closed list in order.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, bool) {
	for k := range kindCount {
		if answers[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}
