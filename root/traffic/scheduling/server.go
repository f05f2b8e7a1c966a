package scheduling

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// reportTimeConstant is the time constant with which the weight of a load report
// decays.
const reportTimeConstant = 2 * time.Second

// server is a backend server with this entry's own load and observations.
type server struct {
	fleet.Server
	// ownRunning counts this entry's requests on the server, ownLongRunning the long
	// ones among them.
	ownRunning, ownLongRunning int
	// ownTokens estimates the prompt and output tokens left of this entry's requests.
	ownTokens float64
	// ownRunningAtReport is ownRunning when the current load report arrived.
	ownRunningAtReport int
	// begun counts the requests that this entry ever began on the server,
	// begunAtReport those before the current load report.
	begun, begunAtReport int
	prefixCache          *prefixCache
	speed                speed
}

// update applies the announced state and load report.
func (s *server) update(next fleet.Server) {
	if !next.Load.AnnouncedAt.Equal(s.Load.AnnouncedAt) {
		s.ownRunningAtReport = s.ownRunning
		s.begunAtReport = s.begun
	}
	restarted := next.Incarnation != s.Incarnation
	if s.prefixCache == nil || restarted || next.CacheTokens != s.CacheTokens {
		s.prefixCache = newPrefixCache(next.CacheTokens)
	}
	if restarted {
		s.speed = speed{streams: s.speed.streams}
	}
	s.Server = next
}

func (s *server) reported() bool { return !s.Load.AnnouncedAt.IsZero() }

func (s *server) reportAge(now time.Time) time.Duration {
	return max(0, now.Sub(s.Load.AnnouncedAt))
}

// reportedPeers returns the number of running requests in the last report that
// belong to other entries.
func (s *server) reportedPeers() float64 {
	return math.Max(0, float64(s.Load.Running-s.ownRunningAtReport))
}

// reportWeight returns the weight of a load report of the given age, 1 for a new
// one.
func reportWeight(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / reportTimeConstant.Seconds())
}
