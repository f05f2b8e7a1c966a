package placement

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// spareRunning is the number of requests up to which a decode engine has time to
	// read a long prompt: each of them is slowed for as long as that takes.
	spareRunning = 3
	// spareMargin is how much sooner than the home a decode engine must have read a
	// prompt: its reading slows the answers under way there.
	spareMargin = 150 * time.Millisecond
)

// Way says how the prompt of a request is read.
type Way struct {
	// Apart says that another engine than the answering one reads it.
	Apart bool
	// Server is the engine that reads and answers; empty for any.
	Server string
}

// Way chooses how the prompt of the work is read. A long one is read at its home,
// or at a decode engine with time to spare when that is much sooner.
func (s *State) Way(now time.Time, w Work) Way {
	if w.PromptTokens == 0 || !s.hasStage(w.Service, Prefill) {
		return Way{}
	}
	if w.isShort() {
		return Way{Apart: s.random.Float64() < s.split(w.Service).share}
	}
	w.Stage = Prefill
	at := s.candidates(now, &w)
	if len(at) == 0 {
		return Way{}
	}
	home := slices.IndexFunc(at, func(c Candidate) bool { return c.Home })
	reading := soonest(at)
	if home >= 0 && at[home].Reading <= spillAfter {
		reading = at[home].Reading
	}
	if spare := s.spare(now, w, reading-spareMargin); spare != "" {
		return Way{Server: spare}
	}
	return Way{Apart: true}
}

// spare returns a decode engine that reads the prompt within the limit: one of this
// entry's, or the keeper, which copies nothing. Each decode engine reads other long
// prompts for one entry, and one at a time, so that they don't queue there.
func (s *State) spare(now time.Time, w Work, limit time.Duration) string {
	w.Stage = Whole
	best, id := limit, ""
	keeper := s.keeper(&w)
	for i, c := range s.candidates(now, &w) {
		srv := s.byID[c.Server.ID]
		if !s.isOwn(i) && srv != keeper || srv.longs > 0 || c.Avoided || c.Running > spareRunning {
			continue
		}
		if c.Reading < best {
			best, id = c.Reading, c.Server.ID
		}
	}
	return id
}

// isOwn reports whether the i-th decode engine reads long prompts for this entry.
func (s *State) isOwn(i int) bool { return i%s.entries == s.index }

// rank finds this entry among those that take callers.
func (s *State) rank(vms []fleet.VM) {
	index, entries := 0, 0
	for _, vm := range vms {
		if vm.Address == "" {
			continue
		}
		entries++
		if vm.ID < s.self {
			index++
		}
	}
	s.entries = max(1, entries)
	s.index = index % s.entries
}
