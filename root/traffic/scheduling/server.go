package scheduling

import (
	"math"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const (
	// reportMemory is the time constant by which a load report loses weight.
	reportMemory = 2 * time.Second
	// shortRoom is the share of an engine's slots kept for short work.
	shortRoom = 0.125
	// minRoomSlots is the number of slots from which an engine keeps room.
	minRoomSlots = 4
)

// server is a backend server with this entry's own counts and observations.
type server struct {
	fleet.Server
	own, ownLong int
	// ownTokens is the estimated work outstanding, in tokens.
	ownTokens float64
	// ownAtReport is the own count when the present load report arrived.
	ownAtReport int
	// begun counts requests ever begun, begunAtReport those before the report.
	begun, begunAtReport int
	prefixes             *prefixMemory
	speed                speed
}

// update takes over the announced state and load report.
func (s *server) update(next fleet.Server) {
	if !next.Load.ReportedAt.Equal(s.Load.ReportedAt) {
		s.ownAtReport = s.own
		s.begunAtReport = s.begun
	}
	restarted := next.Incarnation != s.Incarnation
	if s.prefixes == nil || restarted || next.CacheTokens != s.CacheTokens {
		s.prefixes = newPrefixMemory(next.CacheTokens)
	}
	if restarted {
		s.speed = speed{streams: s.speed.streams}
	}
	s.Server = next
}

func (s *server) reported() bool { return !s.Load.ReportedAt.IsZero() }

func (s *server) reportAge(now time.Time) time.Duration {
	return max(0, now.Sub(s.Load.ReportedAt))
}

// reportedPeers is the peers' part of the last report.
func (s *server) reportedPeers() float64 {
	return math.Max(0, float64(s.Load.Running-s.ownAtReport))
}

// longSlots returns the slots open to long work; room is kept only while short
// work is about.
func (s *server) longSlots(keepRoom bool) int {
	if !keepRoom || s.Slots < minRoomSlots || s.Kind != fleet.Engine {
		return s.Slots
	}
	room := max(1, int(math.Round(float64(s.Slots)*shortRoom)))
	return s.Slots - room
}

// reportWeight is the trust in a report of the given age, 1 when fresh.
func reportWeight(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / reportMemory.Seconds())
}
