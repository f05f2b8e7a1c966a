package roles

import (
	"fmt"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "control/roles"

// Demand is the expected demand over the horizon, in tokens per second.
type Demand struct {
	Prefill, Decode float64
}

func (d Demand) total() float64 { return d.Prefill + d.Decode }

// Capacity is the throughput of one engine, in tokens per second.
type Capacity struct {
	// Prefill is the throughput in the prefill role, Decode in the decode role.
	Prefill, Decode float64
	// MixedFraction, 0 to 1, scales both in the mixed role, where the two stages
	// share the engine's time.
	MixedFraction float64
}

// Engine is the state of one engine that the planner takes into account.
type Engine struct {
	ID string
	// Role is the current role, or the next one while Changing is set.
	Role     fleet.Role
	Changing bool
	// TimeInRole is how long the engine has been in its role.
	TimeInRole time.Duration
	// Requests counts the requests in flight that must finish before a change.
	Requests int
	Capacity Capacity
}

// Config sets the conditions of a role change. All values are required.
type Config struct {
	// Horizon is how long the demand is expected to last.
	Horizon time.Duration
	// ChangeTime is how long an engine without requests in flight is unavailable
	// during a change.
	ChangeTime time.Duration
	// DrainTimePerRequest is the additional time for each request in flight.
	DrainTimePerRequest time.Duration
	// MinTimeInRole is how long an engine must have been in its role before a change.
	MinTimeInRole time.Duration
	// MinGainRatio is the ratio of gain to loss, above 1, that a change must exceed.
	MinGainRatio float64
	// Utilization is the fraction of its capacity that an engine should use, 0 to
	// 1.
	Utilization float64
	// MaxConcurrentChanges limits the changes in progress at the same time.
	MaxConcurrentChanges int
}

// Validate checks the configuration. The error is of kind fault.Invalid.
func (c Config) Validate() error {
	switch {
	case c.Horizon <= c.ChangeTime || c.ChangeTime < 0 || c.DrainTimePerRequest < 0 || c.MinTimeInRole < 0:
		return fault.New(fault.Invalid, part, "the horizon must be longer than a change, and no duration may be negative")
	case c.MinGainRatio <= 1:
		return fault.New(fault.Invalid, part, "the minimum ratio of gain to loss must be above 1")
	case c.Utilization <= 0 || c.Utilization > 1:
		return fault.New(fault.Invalid, part, "the utilization must be above 0 and at most 1")
	case c.MaxConcurrentChanges < 1:
		return fault.New(fault.Invalid, part, "the limit on concurrent changes must be at least 1")
	}
	return nil
}

// Reason holds the figures that justify a change.
type Reason struct {
	// ServedBefore and ServedAfter are the fractions of the demand, 0 to 1, that the
	// engines can serve at Config.Utilization without and with the change.
	ServedBefore, ServedAfter float64
	// GainTokens counts the additional tokens expected over the horizon, LossTokens
	// those that the engine doesn't process during the change.
	GainTokens, LossTokens float64
}

// String describes the change to operators.
func (r Reason) String() string {
	return fmt.Sprintf("serves %.0f%% of the demand at the target utilization instead of %.0f%%: gains %.0f tokens, loses %.0f",
		100*r.ServedAfter, 100*r.ServedBefore, r.GainTokens, r.LossTokens)
}

// Change is a planned role change.
type Change struct {
	Engine   string
	From, To fleet.Role
	Reason   Reason
}
