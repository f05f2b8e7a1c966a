package scheduling

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// Stage says which part of the work is to be placed.
type Stage uint8

// The stages of a request.
const (
	// Whole is a request that one server runs from prompt to answer.
	Whole Stage = iota
	// PrefillOnly reads the prompt and exports its KV cache.
	PrefillOnly
	// DecodeOnly generates from an imported KV cache.
	DecodeOnly
)

// Work is a request as scheduling sees it.
type Work struct {
	Class, Caller, Target string
	Stage                 Stage
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Output is the estimated length of the answer, in tokens.
	Output float64
	// Long says that the work counts against the cap for long work.
	Long bool
	// Prefix holds the hashes of successive prompt blocks.
	Prefix []uint64
	// Exclude lists server ids to avoid.
	Exclude []string
}

// Candidate is a server with what this entry knows of it.
type Candidate struct {
	Server *fleet.Server
	// Own is this entry's running requests on the server, OwnLong the long ones.
	Own, OwnLong int
	// Peers is the estimate of the other entries' running requests.
	Peers float64
	// Queued is the estimate of the requests queued on the server itself.
	Queued float64
	// ReportAge is the age of the load report; Reported says that one is known.
	ReportAge time.Duration
	Reported  bool
	// Slowness is the server's time per token relative to the fleet's median.
	Slowness float64
	// Probe says that a slow server may be given one request to measure it.
	Probe bool
	// Overlap is the share of the prompt that the server's cache likely holds.
	Overlap float64
	// DomainLoad is the used share of the server's failure domain's slots.
	DomainLoad float64
	// OwnPart is this entry's part of the server's slots, LongPart of those
	// open to long work.
	OwnPart, LongPart int
	// LongSlots is the number of slots that long work may use.
	LongSlots int
	// Since counts this entry's requests begun since the load report arrived.
	Since int
	// BorrowPart is this entry's part of the reported free slots.
	BorrowPart float64
}

// Running returns the estimated requests running on the server.
func (c *Candidate) Running() float64 { return float64(c.Own) + c.Peers }

// Filter removes servers that may not take the work.
type Filter interface {
	// Keep reports whether the server may take the work.
	Keep(w *Work, c *Candidate) bool
}

// Scorer ranks servers; a lower score is better.
type Scorer interface {
	// Score returns a cost of about 0 to 1 for an ordinary server.
	Score(w *Work, c *Candidate) float64
}

// Picker chooses among scored candidates; scores and candidates have the same
// length, which is at least 1. It returns the chosen index.
type Picker interface {
	Pick(candidates []Candidate, scores []float64) int
}
