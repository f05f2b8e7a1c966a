package root

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// defaultMemory is assumed for a process whose settings and system name no limit.
const defaultMemory = 1 << 30

// Shares of the memory of a process. What is left is for the process itself, for responses
// and for the garbage collector.
const (
	smallBodiesShare = 0.08
	largeHeadsShare  = 0.04
	smallHeadsShare  = 0.08
	connectionsShare = 0.22
	// collectorShare is where the garbage collector works harder to stay below the memory.
	collectorShare = 0.80
)

const (
	// smallBody is the size up to which bodies are in the reserve for small ones.
	smallBody = 64 << 10
	// smallHead is the estimated memory up to which heads are in the reserve for small ones.
	// A head of 4 KB in 50 lines takes 25 KB.
	smallHead = 32 << 10
	// connectionMemory is what net/http and the runtime hold for a connection without a
	// request: two buffers of 4 KB, the stack of its goroutine and its structures.
	connectionMemory = 20 << 10
	// minBodyStall is how long a body must have made no progress before it is evicted. A
	// body that arrives at a steady 32 KB a second is never evicted.
	minBodyStall = 500 * time.Millisecond
)

// untrusted bounds what callers make this process hold.
type untrusted struct {
	memory int64
	bodies *intake.Reader
	heads  *budget.Budget
	// connections holds the bound of each kind of listener.
	connections map[listenerKind]int64
	refusals    *refusals
}

func newUntrusted(s *settings.Settings, log logr.Logger) *untrusted {
	limits := s.Limits
	u := &untrusted{memory: processMemory(limits), refusals: newRefusals(log)}
	u.connections = connectionBounds(s, openFiles(), u.share(connectionsShare)/connectionMemory)
	u.heads = budget.New(budget.Options{Small: u.share(smallHeadsShare), Large: u.share(largeHeadsShare), SmallClaim: smallHead})
	u.bodies = intake.New(intake.Options{
		Budget: budget.New(budget.Options{
			Small: u.share(smallBodiesShare), Large: u.share(settings.LargeBodiesShare), SmallClaim: smallBody, MinStall: minBodyStall,
		}),
		ProgressTimeout: settings.Millis(limits.BodyProgressTimeoutMillis),
		OnRefused:       func(reason intake.Reason) { u.refusals.count(string(reason)) },
	})
	return u
}

func (u *untrusted) share(fraction float64) int64 { return int64(fraction * float64(u.memory)) }

// processMemory returns the memory that this process may use.
func processMemory(limits settings.Limits) int64 {
	if limits.MemoryBytes > 0 {
		return int64(limits.MemoryBytes)
	}
	if reported := systemMemory(); reported >= settings.MinMemoryBytes {
		return reported
	}
	return defaultMemory
}

// systemMemory returns the lowest limit on the memory of this process that the system
// reports, or 0 if it reports none.
func systemMemory() int64 {
	lowest := int64(math.MaxInt64)
	for _, file := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// "max" is no number and means no limit.
		if n, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil && n > 0 {
			lowest = min(lowest, n)
		}
	}
	// Without a limit the kernel reports nearly the largest number.
	if lowest > math.MaxInt64/2 {
		return 0
	}
	return lowest
}

// LimitMemory makes the garbage collector stay below the memory that the settings or the
// system name. A lower limit, such as that of GOMEMLIMIT, stays in force.
func LimitMemory(limits settings.Limits) {
	if limits.MemoryBytes == 0 && systemMemory() < settings.MinMemoryBytes {
		return
	}
	limit := int64(collectorShare * float64(processMemory(limits)))
	if limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}
