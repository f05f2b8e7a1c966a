package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

// Request is one caller's request for a place on a backend server.
type Request struct {
	ID, Class, Caller, Target string
	// Stage says which part of the request to place; the zero value is all of it.
	Stage scheduling.Stage
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutputTokens bounds the answer; 0 when the caller set no bound.
	MaxOutputTokens int
	// Prefix holds the hashes of successive prompt blocks.
	Prefix []uint64
	// Arrived is the time of arrival; zero means now.
	Arrived time.Time
	// Deadline bounds the whole answer; zero means the class's.
	Deadline time.Time
	// Exclude lists ids of backend servers to avoid, after a failure.
	Exclude []string
}

// Outcome says how a granted request ended.
type Outcome uint8

// The outcomes of a granted request.
const (
	// Succeeded means that the whole answer was received.
	Succeeded Outcome = iota
	// Failed means that the backend server failed.
	Failed
	// Cancelled means that the caller went away or another attempt won.
	Cancelled
)

// Grant is a place on a server for one request.
type Grant struct {
	// ID is the ticket returned by State.Arrive.
	ID     uint64
	Server fleet.Server
	Class  table.Class
	run    *scheduling.Run
	// hedgeAfter is the wait for the first token past which a second attempt helps.
	hedgeAfter time.Duration
}

// ServerLoad is this entry's own load on one backend server.
type ServerLoad = scheduling.ServerLoad

// ClassDemand is this entry's demand for one class.
type ClassDemand struct {
	Class            string
	Running, Waiting int
	// Rate is the arrivals per second, refused ones included.
	Rate float64
}

// HedgeAfter returns the wait for the first token past which a second attempt
// on another server is worthwhile; 0 when unknown.
func (g *Grant) HedgeAfter() time.Duration { return g.hedgeAfter }
