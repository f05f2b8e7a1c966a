package placement

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// maxRunningForPrefill is the number of running requests up to which a decode
	// engine may prefill a long prompt: the prefill slows each of them while it
	// lasts.
	maxRunningForPrefill = 3
	// prefillMargin is how much longer the predicted prefill time at a prefill engine
	// must be for a decode engine to prefill a long prompt instead. The prefill slows
	// the responses that the decode engine generates at the same time.
	prefillMargin = 150 * time.Millisecond
)

// PrefillPlan says where the prompt of a request is prefilled.
type PrefillPlan struct {
	// Disaggregated says that a prefill engine prefills the prompt and another engine
	// decodes.
	Disaggregated bool
	// Server is the engine that both prefills and decodes; empty for any.
	Server string
}

// PlanPrefill decides where the request's prompt is prefilled. A short prompt is
// disaggregated at random with the probability split.share. A long prompt goes to a
// prefill engine or, if the predicted prefill time there is shorter by more than
// prefillMargin, to a lightly loaded decode engine. The prefill engine compared is
// the prefill home if its predicted time is at most spilloverTime, and otherwise the
// fastest one. Nothing is prefilled apart while no engine would decode it.
func (s *State) PlanPrefill(now time.Time, req Request) PrefillPlan {
	if req.PromptTokens == 0 || !s.hasStage(now, req.Service, Prefill) || !s.hasStage(now, req.Service, Decode) {
		return PrefillPlan{}
	}
	if req.isShort() {
		return PrefillPlan{Disaggregated: s.random.Float64() < s.split(req.Service).share}
	}
	req.Stage = Prefill
	candidates := s.candidates(now, &req)
	if len(candidates) == 0 {
		return PrefillPlan{}
	}
	home := slices.IndexFunc(candidates, func(c Candidate) bool { return c.PrefillHome })
	prefillTime := minPrefillTime(candidates)
	if home >= 0 && candidates[home].PrefillTime <= spilloverTime {
		prefillTime = candidates[home].PrefillTime
	}
	if id := s.decodeEngineForPrefill(now, req, prefillTime-prefillMargin); id != "" {
		return PrefillPlan{Server: id}
	}
	return PrefillPlan{Disaggregated: true}
}

// decodeEngineForPrefill returns the id of the engine for whole requests with the
// shortest predicted prefill time below the limit, or "" if there is none. Only the
// engines assigned to this entry and the decode home, which usually holds the shared
// segments already, are eligible. An entry sends an engine one long prompt at a time,
// so that few long prompts queue there.
func (s *State) decodeEngineForPrefill(now time.Time, req Request, limit time.Duration) string {
	req.Stage = Whole
	best, id := limit, ""
	decodeHome := s.decodeHome(&req)
	for i, c := range s.candidates(now, &req) {
		srv := s.byID[c.Server.ID]
		if !s.isAssigned(i) && srv != decodeHome || srv.longPrefills > 0 || c.BackingOff || c.Running > maxRunningForPrefill {
			continue
		}
		if c.PrefillTime < best {
			best, id = c.PrefillTime, c.Server.ID
		}
	}
	return id
}

// isAssigned reports whether the i-th candidate for whole requests is assigned to
// this entry for the prefill of long prompts. It is assigned to the entry whose rank
// is i modulo the number of entries, so entries with the same candidates share them
// without overlap.
func (s *State) isAssigned(i int) bool { return i%s.entries == s.rank }

// updateRank sets this entry's rank and the number of entries: all VMs with an
// address, whatever their state.
func (s *State) updateRank(vms []fleet.VM) {
	rank, entries := 0, 0
	for _, vm := range vms {
		if vm.Address == "" {
			continue
		}
		entries++
		if vm.ID < s.self {
			rank++
		}
	}
	s.entries = max(1, entries)
	s.rank = rank % s.entries
}
