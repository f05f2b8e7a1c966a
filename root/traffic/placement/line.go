package placement

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// prefillsAtOnce is the number of prompts that all entries together may have at
// one prefill engine. More would only wait there, and their KV cache would push
// out what later prompts share.
const prefillsAtOnce = 8

// Waiting is work in line for one server.
type Waiting struct {
	server *server
	work   Work
	choice Candidate
	others int
	until  time.Time
	// granted takes what becomes of the work.
	granted chan grant
}

// grant ends a wait in line: with a run, with a refusal, or with neither when the
// work is to be placed anew.
type grant struct {
	run *Run
	err *fault.Error
}

// ownPrefills is this entry's part of prefillsAtOnce.
func (s *State) ownPrefills() int { return max(1, prefillsAtOnce/s.Entries()) }

// mustWait reports whether the work is to wait in line for the chosen server.
func (s *State) mustWait(w *Work, srv *server) bool {
	return w.Stage == Prefill && (srv.own >= s.ownPrefills() || len(srv.line) > 0)
}

// enqueue puts work in line for its server.
func (s *State) enqueue(now time.Time, w Work, c Candidate, others int) *Waiting {
	srv := s.byID[c.Server.ID]
	item := &Waiting{server: srv, work: w, choice: c, others: others, granted: make(chan grant, 1)}
	if w.Patience > 0 {
		item.until = now.Add(w.Patience)
	}
	srv.line = append(srv.line, item)
	return item
}

// leave takes work out of line. It reports false when the work has left already;
// then granted holds what became of it.
func (s *State) leave(item *Waiting) bool {
	i := slices.Index(item.server.line, item)
	if i < 0 {
		return false
	}
	item.server.line = slices.Delete(item.server.line, i, i+1)
	return true
}

// serveLine begins what may begin on the server. Work whose caller would not see
// the answer any more is refused.
func (s *State) serveLine(now time.Time, srv *server) {
	for len(srv.line) > 0 && srv.own < s.ownPrefills() {
		item := srv.line[0]
		srv.line = srv.line[1:]
		reading := s.reading(&item.work).predict(item.choice.Missing)
		if !item.until.IsZero() && now.Add(reading).After(item.until) {
			item.granted <- grant{err: errTooLong(reading, item.until.Sub(now))}
			continue
		}
		item.granted <- grant{run: s.begin(now, item.work, item.choice, item.others)}
	}
}

// dissolve has the work in line for the server placed anew.
func (srv *server) dissolve() {
	for _, item := range srv.line {
		item.granted <- grant{}
	}
	srv.line = nil
}

// lineTokens are the prompt tokens of the work in line.
func (srv *server) lineTokens() float64 {
	sum := 0.0
	for _, item := range srv.line {
		sum += item.choice.Missing
	}
	return sum
}

func errTooLong(reading, patience time.Duration) *fault.Error {
	err := fault.New(fault.Overloaded, part, "reading the prompt would take %s", reading.Round(time.Millisecond))
	return err.WithRetryAfter(max(busyRetry, reading-patience))
}
