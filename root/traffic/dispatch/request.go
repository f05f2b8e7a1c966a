package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

// Request is the part of a caller's request that dispatch depends on.
type Request struct {
	// ID is the request id that the caller knows. Dispatch does not use it: State numbers
	// queued requests itself.
	ID, Class, Caller, Target string
	// Stage says which step of the request to run; the zero value is the whole request.
	Stage scheduling.Stage
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutputTokens bounds the response; 0 if the caller set no bound.
	MaxOutputTokens int
	// Prefix holds the hashes of successive prompt blocks.
	Prefix []uint64
	// Arrived is the time of arrival; zero means now.
	Arrived time.Time
	// Deadline is the time by which the response must be complete; zero means that of
	// the class.
	Deadline time.Time
	// Exclude lists the ids of backend servers to avoid, such as one that failed.
	Exclude []string
}

// Outcome says how a granted request ended.
type Outcome uint8

// The outcomes of a granted request.
const (
	// Succeeded means that the complete response was received.
	Succeeded Outcome = iota
	// Failed means that the backend server failed.
	Failed
	// Cancelled means that the caller disconnected or another attempt is used instead.
	Cancelled
)

// Grant gives one request a slot on a backend server.
type Grant struct {
	// ID is the id returned by State.Enqueue.
	ID     uint64
	Server fleet.Server
	Class  table.Class
	// run is also in State.running until Done.
	run *scheduling.Run
	// hedgeAfter is the wait for the first token after which a second attempt on another
	// server is worthwhile; 0 without enough samples.
	hedgeAfter time.Duration
}

// OwnLoad is this entry's own load on one backend server.
type OwnLoad = scheduling.OwnLoad

// ClassDemand is this entry's demand for one class.
type ClassDemand struct {
	Class            string
	Running, Waiting int
	// Rate is the number of arrivals per second, including those that admission
	// refused but not those refused before it, such as when no server has the target.
	Rate float64
}

// HedgeAfter returns the wait for the first token after which to start a second
// attempt, or 0 to start none.
func (g *Grant) HedgeAfter() time.Duration { return g.hedgeAfter }
