package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// uncachedTokens estimates the prompt tokens that the server's KV cache lacks. With
// assumeShared, every segment but the last counts as cached. For a request with a
// prefill home, it is set for that engine, which has seen the shared segments, and
// for engines for whole requests, which copy them (see copyFrom). Other prefill
// engines may copy them too, but the estimate does not rely on it.
func (srv *server) uncachedTokens(req *Request, assumeShared bool) int {
	if req.PromptTokens == 0 {
		return 0
	}
	uncached := srv.cache.uncachedTokens(req.Segments, req.PromptTokens)
	if assumeShared && len(req.Segments) > 1 {
		return min(uncached, req.Segments[len(req.Segments)-1].Tokens)
	}
	return uncached
}

// hasHome reports whether the request has a prefill home and a decode home: its
// prompt is long and shares segments with others.
func (req *Request) hasHome() bool {
	return req.PromptTokens > 0 && !req.isShort() && len(req.Segments) > 1
}

// prefillHome returns the prefill engine that entries prefer for prompts with the
// same first segment; nil for decoding, for requests without a home and if the
// service has no active prefill engine.
func (s *State) prefillHome(req *Request) *server {
	if req.Stage == Decode {
		return nil
	}
	return s.homeEngine(req, fleet.Prefill)
}

// decodeHome returns the decode engine that entries prefer for prompts with the
// same first segment; nil for requests without a home and if the service has no
// active decode engine. The decode home keeps the KV cache that it fetches, and the
// prefill home can copy segments from there after evicting its own.
func (s *State) decodeHome(req *Request) *server { return s.homeEngine(req, fleet.Decode) }

// homeEngine selects an active engine of a role by rendezvous hashing of the first
// segment; nil if there is none.
func (s *State) homeEngine(req *Request, role fleet.Role) *server {
	if !req.hasHome() {
		return nil
	}
	var best *server
	var bestScore uint64
	for _, srv := range s.servers {
		c := Candidate{Server: &srv.Server}
		if !(ServiceFilter{}).Keep(req, &c) || srv.Role != role {
			continue
		}
		if score := rendezvousScore(req.Segments[0].Hash, srv.ID); best == nil || score > bestScore {
			best, bestScore = srv, score
		}
	}
	return best
}

func rendezvousScore(key uint64, server string) uint64 {
	h := xxhash.NewWithSeed(key)
	// Writes to a hash don't fail.
	_, _ = h.WriteString(server)
	return h.Sum64()
}
