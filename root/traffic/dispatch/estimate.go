package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

// maxReservedShare bounds the time reserved for running a request, as a fraction of
// the time from its arrival to its deadline.
const maxReservedShare = 0.8

// prepare returns the request with its estimates for scheduling and for admission.
func (s *State) prepare(now time.Time, class table.Class, r Request) (scheduling.Request, admission.Item) {
	est := s.sched.Lengths().Estimate(r.Class, r.Caller, r.MaxOutputTokens)
	prompt, output := r.PromptTokens, est.Mean
	switch r.Stage {
	case scheduling.Prefill:
		output = 1
	case scheduling.Decode:
		prompt = 0
	}
	cost := scheduling.Cost(prompt, output)
	req := scheduling.Request{
		Class: r.Class, Caller: r.Caller, Target: r.Target, Stage: r.Stage,
		PromptTokens: prompt,
		OutputTokens: output,
		Long:         s.sched.Lengths().IsLong(cost),
		Prefix:       r.Prefix,
		Exclude:      r.Exclude,
	}
	arrived := r.Arrived
	if arrived.IsZero() {
		arrived = now
	}
	deadline := r.Deadline
	if deadline.IsZero() && class.Deadline > 0 {
		deadline = arrived.Add(class.Deadline)
	}
	s.lastID++
	return req, admission.Item{
		ID: s.lastID, Class: r.Class,
		Cost:         cost,
		Tokens:       prompt + int(output),
		Arrived:      arrived,
		Deadline:     deadline,
		ReservedTime: s.reservedTime(&req, est, deadline.Sub(arrived)),
	}
}

// reservedTimeByID returns the time to reserve for running a queued request.
func (s *State) reservedTimeByID(id uint64) time.Duration {
	q := s.queued[id]
	est := s.sched.Lengths().Estimate(q.request.Class, q.request.Caller, q.maxOutput)
	return s.reservedTime(&q.request, est, q.timeLimit)
}

// reservedTime returns the time to reserve before the deadline for running a request:
// that of a long response, but at most maxReservedShare of timeLimit, so that requests
// with a short deadline that they would most likely meet are not refused. It is never
// less than the time of a response of mean length. Without a deadline it is not used.
func (s *State) reservedTime(req *scheduling.Request, est scheduling.Estimate, timeLimit time.Duration) time.Duration {
	mean := s.sched.Predict(req.Target, req.PromptTokens, est.Mean)
	high := s.sched.Predict(req.Target, req.PromptTokens, est.High)
	bound := time.Duration(maxReservedShare * float64(timeLimit))
	return max(mean, min(high, bound))
}
