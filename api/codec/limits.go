package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

func fromServerDemands(demands []fleet.ServerDemand) []*api.ServerDemand {
	var out []*api.ServerDemand
	for _, d := range demands {
		out = append(out, &api.ServerDemand{
			Server: d.Server, Incarnation: d.Incarnation, LimitPerSecond: d.LimitPerSecond,
			AgeNanos: int64(d.Age), RatePerSecond: d.RatePerSecond,
		})
	}
	return out
}

func toServerDemands(demands []*api.ServerDemand) []fleet.ServerDemand {
	var out []fleet.ServerDemand
	for _, d := range demands {
		out = append(out, fleet.ServerDemand{
			Server: d.GetServer(), Incarnation: d.GetIncarnation(), LimitPerSecond: d.GetLimitPerSecond(),
			Age: time.Duration(d.GetAgeNanos()), RatePerSecond: d.GetRatePerSecond(),
		})
	}
	return out
}

func fromServerShares(shares []fleet.ServerShare) []*api.ServerShare {
	var out []*api.ServerShare
	for _, s := range shares {
		out = append(out, &api.ServerShare{
			Server: s.Server, Incarnation: s.Incarnation, LimitPerSecond: s.LimitPerSecond,
			AgeNanos: int64(s.Age), Fraction: s.Fraction,
		})
	}
	return out
}

func toServerShares(shares []*api.ServerShare) []fleet.ServerShare {
	var out []fleet.ServerShare
	for _, s := range shares {
		out = append(out, fleet.ServerShare{
			Server: s.GetServer(), Incarnation: s.GetIncarnation(), LimitPerSecond: s.GetLimitPerSecond(),
			Age: time.Duration(s.GetAgeNanos()), Fraction: s.GetFraction(),
		})
	}
	return out
}
