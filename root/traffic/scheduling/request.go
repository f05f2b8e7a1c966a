package scheduling

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

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

// Request is the part of a caller's request that scheduling depends on. Target is
// the model or service requested.
type Request struct {
	Class, Caller, Target string
	Stage                 Stage
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the estimated length of the response.
	OutputTokens float64
	// Long says that the request is subject to the limits for long requests.
	Long bool
	// Prefix holds the hashes of successive prompt blocks.
	Prefix []uint64
	// Exclude lists the ids of servers to avoid.
	Exclude []string
}

// Candidate is a server with what this entry knows of it.
type Candidate struct {
	Server *fleet.Server
	// OwnRunning counts this entry's requests on the server, OwnLongRunning the long
	// ones among them.
	OwnRunning, OwnLongRunning int
	// PeerRunning estimates the requests of other entries that run on the server.
	PeerRunning float64
	// Queued estimates the requests that queue on the server itself.
	Queued float64
	// ReportAge is the age of the load report; Reported says that there is one.
	ReportAge time.Duration
	Reported  bool
	// Slowness is the server's inter-token time relative to the median of the eligible
	// servers, or the discounted ratio of its time to first token if that is larger; 1
	// without enough samples.
	Slowness float64
	// ProbeDue says that the server, if slow, may be sent a request as a probe.
	ProbeDue bool
	// OnlySlow says that every eligible server that the request does not exclude is
	// slow, whether it has free slots or not.
	OnlySlow bool
	// PrefixOverlap is the share of the prompt that the server's cache likely holds.
	PrefixOverlap float64
	// DomainLoad is the used share of the slots in the server's failure domain.
	DomainLoad float64
	// OwnShare is this entry's share of the server's slots, LongShare its share of the
	// slots open to long requests.
	OwnShare, LongShare int
	// LongSlots is the number of slots that long requests may use.
	LongSlots int
	// ReserveFree says that this entry has fewer short requests than reserveFactor
	// times its share of the slots reserved for them.
	ReserveFree bool
	// Borrow says that this entry may exceed its share of the slots, BorrowLong the
	// same for long requests.
	Borrow, BorrowLong bool
}

// Running returns the estimated number of requests that run on the server.
func (c *Candidate) Running() float64 { return float64(c.OwnRunning) + c.PeerRunning }

// Filter removes servers that may not take the request.
type Filter interface {
	// Keep reports whether the server may take the request.
	Keep(req *Request, c *Candidate) bool
}

// Scorer ranks servers; a lower score is better.
type Scorer interface {
	// Score returns the cost of choosing the server: 0 is the best, and 1 is about the
	// cost of a full server.
	Score(req *Request, c *Candidate) float64
}

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate. candidates and scores have the
	// same length, which is at least 1.
	Pick(candidates []Candidate, scores []float64) int
}
