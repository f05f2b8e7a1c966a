// Package placement chooses the backend server for each request that matched a
// route. It runs in every entry, the part of a daemon that accepts callers'
// requests; package scheduling does the same for requests of a traffic class.
// Filters say which servers may take a request, scorers rank them, and a picker
// chooses one. Backend servers have queues of their own, which engines order by
// priority, so a request is placed or refused immediately; only prefill requests
// may wait at the entry, in a queue for one engine.
//
// Prompts with a common prefix share their leading segments. All entries prefer the
// same two engines for prompts with the same first segment, the prefill home and the
// decode home, whose KV caches then hold the shared segments.
//
// State does no I/O and reads no clock; Placer makes it safe for concurrent use.
package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "traffic/placement"

// Stage says which step of a request is to be placed.
type Stage uint8

// The stages of a request.
const (
	// Whole is a request that one server runs from prompt to response.
	Whole Stage = iota
	// Prefill processes the prompt and keeps its KV cache for a decode engine.
	Prefill
	// Decode generates the response from a KV cache that another engine prefilled.
	Decode
)

// Segment is one segment of a prompt. Prompts with the same prefix share their
// leading segments.
type Segment struct {
	// Hash identifies the segment and all segments before it.
	Hash   uint64
	Tokens int
}

// Request is the part of a caller's request that placement depends on.
type Request struct {
	Service string
	Stage   Stage
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int
	// Segments are the segments of the prompt. The last one is not shared with other
	// requests.
	Segments []Segment
	// Exclude lists the ids of servers that failed or refused this request.
	Exclude []string
	// RequiredServer is the id of the only server that may take the request; empty
	// for any.
	RequiredServer string
	// FirstOutputTimeout is how long the caller waits for the first output; 0 for no
	// limit.
	FirstOutputTimeout time.Duration
	// Objective is the latency objective for the first output; 0 for none.
	Objective time.Duration
	// Arrived is when the request was submitted for placement.
	Arrived time.Time
}

// Candidate is a server with what this entry knows of it.
type Candidate struct {
	Server *fleet.Server
	// Running estimates the requests on the server from all entries.
	Running float64
	// QueuedTokens estimates the prompt tokens that wait on the server,
	// UncachedTokens those of the request that its KV cache lacks.
	QueuedTokens, UncachedTokens float64
	// PrefillHome says that the server is the prefill home of the request.
	PrefillHome bool
	// DecodeHome says that the server is the decode home of the request. It is set for
	// stage Decode only.
	DecodeHome bool
	// PrefillTime predicts the time until the prompt is prefilled.
	PrefillTime time.Duration
	// SameDomain says that the server is in this entry's failure domain.
	SameDomain bool
	// ExcessErrorRate is the server's recent error rate above the median of the
	// service's servers for the stage, 0 to 1.
	ExcessErrorRate float64
	// Slowness is the server's latency per unit of work relative to the median of the
	// service's servers for the stage, at least 1.
	Slowness float64
	// BackingOff says that the server recently lost or refused a request and is in
	// back-off.
	BackingOff bool
}

// Filter removes servers that may not take the request.
type Filter interface {
	// Keep reports whether the server may take the request.
	Keep(req *Request, c *Candidate) bool
}

// Scorer ranks servers; a lower score is better.
type Scorer interface {
	// Score returns the cost of choosing the server; 1 is the cost of a full server.
	Score(req *Request, c *Candidate) float64
}

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate; scores is not empty.
	Pick(scores []float64) int
}

// String returns the name of the stage in logs and metrics.
func (s Stage) String() string {
	switch s {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	default:
		return "whole"
	}
}

// Outcome says how a placed request ended.
type Outcome uint8

// The outcomes of a placed request.
const (
	// Answered means that the server responded without an error.
	Answered Outcome = iota
	// Errored means that the server responded with an error.
	Errored
	// Refused means that the server refused the request as full and ran nothing.
	Refused
	// Lost means that the server was unreachable or did not complete its response.
	Lost
	// Abandoned means that the caller went away or its deadline passed, which says
	// nothing about the server.
	Abandoned
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Errored:
		return "errored"
	case Refused:
		return "refused"
	case Lost:
		return "lost"
	default:
		return "abandoned"
	}
}

// Decision records what a placement was based on.
type Decision struct {
	Stage Stage
	// Candidates counts the servers that could have taken the request.
	Candidates int
	// The estimates for the chosen server from when it was chosen, before any wait in
	// this entry's queue for it; see Candidate.
	Running, QueuedTokens, UncachedTokens, Slowness float64
	PrefillTime                                     time.Duration
	PrefillHome                                     bool
	// ReportAge is the age of the server's load report when the run began; 0 without a
	// report.
	ReportAge time.Duration
	// ViewTerm and ViewSeq identify the view when the run began.
	ViewTerm, ViewSeq uint64
	// CopyFrom is the base URL of the engine from whose KV cache the server may copy
	// the shared segments of the prompt; empty for none.
	CopyFrom string
}

// Result describes the end of a placed request.
type Result struct {
	Outcome Outcome
	// TimeToFirstOutput is the time to the first event, or to the whole response if
	// it has no events; 0 if there was no output.
	TimeToFirstOutput time.Duration
}
