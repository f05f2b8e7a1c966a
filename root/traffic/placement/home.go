package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// missing returns the prompt tokens that the server's cache likely lacks. The
// home of a prompt is taken to hold what other requests share: every entry sends
// them there, and an engine that answers copies it from there.
func (srv *server) missing(w *Work, shared bool) int {
	if w.PromptTokens == 0 {
		return 0
	}
	held := srv.cache.missing(w.Parts, w.PromptTokens)
	if shared && len(w.Parts) > 1 {
		return min(held, w.Parts[len(w.Parts)-1].Tokens)
	}
	return held
}

// gathers reports whether entries gather the work by its first part.
func (w *Work) gathers() bool {
	return w.PromptTokens > 0 && !w.isShort() && len(w.Parts) > 1
}

// home returns the engine at which entries gather prompts with the same first
// part to be read; nil for work without shared parts.
func (s *State) home(w *Work) *server {
	if w.Stage == Decode {
		return nil
	}
	return s.gathering(w, fleet.Prefill)
}

// keeper returns the decode engine at which entries prefer to answer prompts with
// the same first part. It keeps the KV cache that it fetched, so that the home can
// copy from it what it no longer holds; nil for work without shared parts.
func (s *State) keeper(w *Work) *server { return s.gathering(w, fleet.Decode) }

// gathering chooses among the engines of a role by rendezvous hashing.
func (s *State) gathering(w *Work, role fleet.Role) *server {
	if !w.gathers() {
		return nil
	}
	var best *server
	var bestScore uint64
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(w, &c) || srv.Role != role {
			continue
		}
		if score := rendezvous(w.Parts[0].Hash, srv.ID); best == nil || score > bestScore {
			best, bestScore = srv, score
		}
	}
	return best
}

func rendezvous(key uint64, server string) uint64 {
	h := xxhash.NewWithSeed(key)
	// Writes to a hash don't fail.
	_, _ = h.WriteString(server)
	return h.Sum64()
}
