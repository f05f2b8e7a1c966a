package fleet

import "time"

// Announcement is a backend server as announced to one process, with the age that
// the announcement has when the process reports it to the leader.
type Announcement struct {
	Server Server
	Age    time.Duration
}

// OwnLoad counts one process's requests in flight on one backend server.
type OwnLoad struct {
	Server  string
	Running int
	// Tokens estimates the tokens that the server still has to process for them.
	Tokens int
}

// Demand counts one process's requests of one traffic class (see package table).
type Demand struct {
	Class            string
	Running, Waiting int
	// RatePerSecond is the recent arrival rate.
	RatePerSecond float64
}

// Share is the fraction, 0 to 1, of a class's fleet-wide limits that one process
// may use.
type Share struct {
	Class    string
	Fraction float64
}

// ServerDemand is one process's demand for a backend server that has named a limit on the
// requests that it takes from all VMs together.
type ServerDemand struct {
	Server      string
	Incarnation uint64
	// LimitPerSecond is the limit in requests per second; 0 once the server names none any
	// more. Age is the time since the server's response that says so.
	LimitPerSecond float64
	Age            time.Duration
	// RatePerSecond is the recent rate of requests that the server could have taken.
	RatePerSecond float64
}

// ServerShare is the fraction, 0 to 1, of a backend server's limit that one process may
// use. The other fields are those of the newest ServerDemand of any process.
type ServerShare struct {
	Server         string
	Incarnation    uint64
	LimitPerSecond float64
	Age            time.Duration
	Fraction       float64
}
