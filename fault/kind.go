// Package fault defines the error kinds of the system and the response to each of
// them: HTTP status, exit code, whether the work may have run, and whether a retry
// can succeed.
package fault

// Kind classifies an error. The set of kinds is closed.
type Kind uint8

// The error kinds. A new kind needs an entry in attributesOf.
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
	Quarantined
	RequestTimeout
	kindCount
)

// Ran says whether the work of a failed request ran.
type Ran uint8

// The values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns the value used in error responses: no, yes or unknown.
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

// Attributes describes how an error of one kind is reported.
type Attributes struct {
	// Name identifies the kind in error responses, logs and metrics. It must not
	// change.
	Name string
	// HTTPStatus is the status code of the error response.
	HTTPStatus int
	// ExitCode is the exit code of a command that fails with this kind.
	ExitCode int
	// Ran is the value of Error.Ran unless WithRan sets another.
	Ran Ran
	// Retryable says whether the same request may succeed later.
	Retryable bool
}

var attributesOf = [kindCount]Attributes{
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
	Quarantined:      {"quarantined", 503, 75, RanNo, true},
	RequestTimeout:   {"request_timeout", 408, 75, RanNo, true},
}

// Attributes returns the attributes of the kind, and those of Internal for an
// unknown kind.
func (k Kind) Attributes() Attributes {
	if k >= kindCount {
		return attributesOf[Internal]
	}
	return attributesOf[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Attributes().Name }

// Kinds returns all kinds in order of declaration.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}

// ParseKind returns the kind with the given name and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for k := range kindCount {
		if attributesOf[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}
