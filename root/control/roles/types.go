package roles

import (
	"fmt"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

const part = "control/roles"

// Demand is the expected work over the horizon, in tokens a second.
type Demand struct {
	Prefill, Decode float64
}

func (d Demand) total() float64 { return d.Prefill + d.Decode }

// Capacity is what one engine does, in tokens a second.
type Capacity struct {
	// Prefill is reached in the prefill role, Decode in the decode role.
	Prefill, Decode float64
	// Mixed is the share of each that is left when the engine does both, 0 to 1.
	Mixed float64
}

// Engine is one engine as the planner sees it.
type Engine struct {
	ID string
	// Role is the present role, or the next one while Changing is set.
	Role     fleet.Role
	Changing bool
	// InRole is how long the engine has been in its role.
	InRole time.Duration
	// Streams counts the streams in flight that a change has to wait for.
	Streams  int
	Capacity Capacity
}

// Config sets when a change is worthwhile. All values are required.
type Config struct {
	// Horizon is how long the demand is expected to last.
	Horizon time.Duration
	// ChangeTime is how long a change takes an engine away.
	ChangeTime time.Duration
	// StreamTime is how much longer for each stream in flight.
	StreamTime time.Duration
	// MinDwell is the shortest time between two changes of one engine.
	MinDwell time.Duration
	// MinGainRatio is the least ratio of gain to loss, above 1.
	MinGainRatio float64
	// Utilization is the share of its capacity that an engine should use, 0 to 1.
	Utilization float64
	// MaxInFlight bounds the changes under way at once.
	MaxInFlight int
}

// Validate checks the configuration. The error is of kind fault.Invalid.
func (c Config) Validate() error {
	switch {
	case c.Horizon <= c.ChangeTime || c.ChangeTime < 0 || c.StreamTime < 0 || c.MinDwell < 0:
		return fault.New(fault.Invalid, part, "the horizon must be longer than a change, and no time negative")
	case c.MinGainRatio <= 1:
		return fault.New(fault.Invalid, part, "the least ratio of gain to loss must be above 1")
	case c.Utilization <= 0 || c.Utilization > 1:
		return fault.New(fault.Invalid, part, "the utilization must be above 0 and at most 1")
	case c.MaxInFlight < 1:
		return fault.New(fault.Invalid, part, "at least one change must be allowed in flight")
	}
	return nil
}

// Reason says why a change is worthwhile.
type Reason struct {
	// ServedBefore and ServedAfter are shares of the demand, 0 to 1.
	ServedBefore, ServedAfter float64
	// GainTokens is the expected gain over the horizon, LossTokens what the
	// change costs.
	GainTokens, LossTokens float64
}

// String describes the reason for operators.
func (r Reason) String() string {
	return fmt.Sprintf("serves %.0f%% of the demand instead of %.0f%%; gains %.0f tokens for %.0f",
		100*r.ServedAfter, 100*r.ServedBefore, r.GainTokens, r.LossTokens)
}

// Change is one planned change of role.
type Change struct {
	Engine   string
	From, To fleet.Role
	Reason   Reason
}
