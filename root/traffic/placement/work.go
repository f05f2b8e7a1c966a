// Package placement chooses backend servers for routed requests. The servers
// queue by themselves and by urgency, so a request is placed at once or refused
// at once: filters say which servers may take it, scorers rank them, a picker
// chooses. State is pure; Placer shares it between goroutines.
package placement

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "traffic/placement"

// Stage says which part of a request is to be placed.
type Stage uint8

// The stages of a request.
const (
	// Whole is a request that one server runs from its prompt to its answer.
	Whole Stage = iota
	// Prefill reads the prompt and keeps its KV cache for a taker.
	Prefill
	// Decode answers from KV cache that was read elsewhere.
	Decode
)

// Part is one part of a prompt; requests share leading parts.
type Part struct {
	// Hash identifies the part and all parts before it.
	Hash   uint64
	Tokens int
}

// Work is a request as placement sees it.
type Work struct {
	Service string
	Stage   Stage
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int
	// Parts are the parts of the prompt; the last one belongs to the request alone.
	Parts []Part
	// Exclude lists the servers that failed this request.
	Exclude []string
	// Only names the one server that may take the work; empty for any.
	Only string
	// Patience is how long the caller waits for the first sign of an answer; 0 for
	// no bound.
	Patience time.Duration
	// Objective is the time to the first sign of an answer on time; 0 for none.
	Objective time.Duration
	// Arrived is when the work came to be placed.
	Arrived time.Time
}

// Candidate is a server with what this entry knows of it.
type Candidate struct {
	Server *fleet.Server
	// Running estimates the requests on the server from all entries.
	Running float64
	// Queued estimates the prompt tokens that wait on the server, Missing those
	// of the work that its cache lacks.
	Queued, Missing float64
	// Home says that the prompts that share the work's first part are sent here.
	Home bool
	// Keeper says that prompts that share the work's first part are answered here.
	Keeper bool
	// Reading predicts the time until the prompt is read.
	Reading time.Duration
	// Near says that the server is in this entry's failure domain.
	Near bool
	// Errors is the recent share of failures above what the service's servers
	// commonly have, 0 to 1.
	Errors float64
	// Slowness is the server's time for its work relative to the fleet's, at least 1.
	Slowness float64
	// Avoided says that the server failed lately and has not been tried since.
	Avoided bool
}

// Filter removes servers that may not take the work.
type Filter interface {
	// Keep reports whether the server may take the work.
	Keep(w *Work, c *Candidate) bool
}

// Scorer ranks servers; a lower score is better.
type Scorer interface {
	// Score returns the cost of the choice; 1 is a full server.
	Score(w *Work, c *Candidate) float64
}

// Picker chooses among scored candidates. It returns the chosen index; scores
// has at least one element.
type Picker interface {
	Pick(scores []float64) int
}

// String returns the name of the stage in logs.
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
	// Answered means that the server answered, in the given time.
	Answered Outcome = iota
	// Errored means that the server answered that it failed.
	Errored
	// Refused means that the server said that it is full and ran nothing.
	Refused
	// Lost means that the server could not be reached or did not answer.
	Lost
	// Abandoned says nothing about the server: the caller went away, or another
	// server did.
	Abandoned
)

// String returns the name of the outcome in logs.
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

// Choice is what a place was chosen by.
type Choice struct {
	Stage Stage
	// Candidates counts the servers that could have taken the work.
	Candidates int
	// The rest is what was known of the chosen server; see Candidate.
	Running, Queued, Missing, Slowness float64
	Reading                            time.Duration
	Home                               bool
	// ReportAge is the age of what other entries reported of the server; 0 without
	// a report.
	ReportAge time.Duration
	// Term and Seq name the view that was gone by.
	Term, Seq uint64
	// Source is the base URL of the engine from whose KV cache the shared parts of
	// the prompt are copied; empty for none.
	Source string
}

// Result describes the end of a placed request.
type Result struct {
	Outcome Outcome
	// Took is the time to the answer or its first event; 0 when unknown.
	Took time.Duration
}
