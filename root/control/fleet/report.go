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
