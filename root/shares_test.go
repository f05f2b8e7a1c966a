package root

import (
	"testing"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

// TestServerSharesNeedNoPlacer guards against a Grant with shares of servers' limits, which
// ended a process of the product's own front.
func TestServerSharesNeedNoPlacer(*testing.T) {
	(&Process{}).setServerShares([]fleet.ServerShare{{Server: "engine-1", LimitPerSecond: 1, Fraction: 1}})
}
