package settings

import (
	"fmt"
	"math"
)

func (s *Settings) checkDiscovery(src *source) error {
	d := s.Discovery
	if d == nil {
		return nil
	}
	if len(d.Seeds) == 0 {
		return src.fieldError("/discovery/seeds", "must name at least one VM")
	}
	for i, seed := range d.Seeds {
		if err := checkAddress(src, fmt.Sprintf("/discovery/seeds/%d", i), seed); err != nil {
			return err
		}
	}
	if d.PeersPort < 1 || d.PeersPort > maxPort {
		return src.fieldError("/discovery/peers_port", "must be 1 to %d", maxPort)
	}
	return nil
}

func (s *Settings) checkPlatform(src *source) error {
	p := s.Platform
	if p == nil {
		return nil
	}
	if s.Entry != nil {
		return src.fieldError("/platform", "can't be combined with entry: a VM has one front end")
	}
	if s.Discovery == nil {
		return src.fieldError("/platform", "needs discovery")
	}
	listeners := []struct{ field, address string }{
		{"frontend", p.Frontend}, {"readiness", p.Readiness},
		{"control_plane", p.ControlPlane}, {"directory", p.Directory}, {"metrics", p.Metrics},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		if err := checkListen(src, "/platform/"+l.field, l.address); err != nil {
			return err
		}
	}
	return p.checkRanges(src)
}

// checkRanges checks that the numbers of the section are in their ranges.
func (p *Platform) checkRanges(src *source) error {
	ranges := []struct {
		field           string
		value, min, max float64
	}{
		{"address_lifetime_ms", float64(p.AddressLifetimeMillis), 1, hourMillis},
		{"heartbeat_ms", p.HeartbeatMillis, 1, hourMillis},
		{"grace_period_seconds", p.GracePeriodSeconds, 1, daySeconds},
		{"retry_ratio", p.RetryRatio, 0, math.MaxFloat64},
		{"retry_extra", p.RetryExtra, 0, math.MaxFloat64},
		{"retry_window_seconds", p.RetryWindowSeconds, 1, daySeconds},
	}
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return src.fieldError("/platform/"+r.field, "must be %g to %g", r.min, r.max)
		}
	}
	return nil
}
