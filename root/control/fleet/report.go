package fleet

import "time"

// Heard is a backend server as announced to one process, with the age of the
// announcement at the time of the report.
type Heard struct {
	Server Server
	Age    time.Duration
}

// OwnLoad is one process's own requests in flight on one backend server.
type OwnLoad struct {
	Server  string
	Running int
	// Tokens estimates the tokens still to be generated.
	Tokens int
}

// Demand is one process's demand for one class.
type Demand struct {
	Class            string
	Running, Waiting int
	// RatePerSecond is the recent rate of arrivals.
	RatePerSecond float64
}

// Share is one process's share of a class's fleet-wide limits, 0 to 1.
type Share struct {
	Class    string
	Fraction float64
}
