package dispatch

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/scheduling"
)

// reservePart is the largest part of a request's time kept for running it.
const reservePart = 0.8

// describe estimates the request's work and time.
func (s *State) describe(now time.Time, class table.Class, r Request) (scheduling.Request, admission.Item) {
	est := s.sched.Lengths().Estimate(r.Class, r.Caller, r.MaxOutputTokens)
	prompt, output := r.PromptTokens, est.Mean
	switch r.Stage {
	case scheduling.PrefillOnly:
		output = 1
	case scheduling.DecodeOnly:
		prompt = 0
	}
	cost := scheduling.Cost(prompt, output)
	work := scheduling.Request{
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
	s.nextID++
	return work, admission.Item{
		ID: s.nextID, Class: r.Class,
		Cost:        cost,
		Tokens:      prompt + int(output),
		Arrived:     arrived,
		Deadline:    deadline,
		ServiceTime: s.reserve(&work, est, deadline.Sub(arrived)),
	}
}

// service predicts the time that a waiting request takes once granted.
func (s *State) service(id uint64) time.Duration {
	w := s.line[id]
	est := s.sched.Lengths().Estimate(w.work.Class, w.work.Caller, w.maxOutput)
	return s.reserve(&w.work, est, w.allowed)
}

// reserve returns the time kept for running a request: enough for a long
// answer, but at most a part of the whole time allowed, so that a short
// deadline does not refuse work that most likely meets it.
func (s *State) reserve(w *scheduling.Request, est scheduling.Estimate, allowed time.Duration) time.Duration {
	mean := s.sched.Predict(w.Target, w.PromptTokens, est.Mean)
	high := s.sched.Predict(w.Target, w.PromptTokens, est.High)
	bound := time.Duration(reservePart * float64(allowed))
	return max(mean, min(high, bound))
}
