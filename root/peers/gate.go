package peers

import (
	"runtime"
	"sync"
	"time"
)

const (
	// maxHandshakes is the number of incoming sessions that are set up at the same time.
	// Further connections are accepted and wait.
	maxHandshakes = 16
	// maxHandshakeTurn is how long a session that is being set up counts as one of them. A
	// peer that lost power takes much longer to be noticed.
	maxHandshakeTurn = 200 * time.Millisecond
)

// gate bounds the goroutines that do something at the same time. The others wait outside
// of the scheduler's run queue, in which the goroutines of consensus messages would have
// to wait behind them: hundreds of VMs that follow a new leader at once would cost it its
// quorum.
type gate chan struct{}

func newGate(size int) gate { return make(gate, size) }

// newProcessorGate returns a gate for work that only takes processor time.
func newProcessorGate() gate { return newGate(runtime.GOMAXPROCS(0)) }

func (g gate) enter() { g <- struct{}{} }

func (g gate) leave() { <-g }

// enterFor enters and returns the function that leaves, which is called after the given
// time at the latest.
func (g gate) enterFor(limit time.Duration) (leave func()) {
	g.enter()
	leaveOnce := sync.OnceFunc(g.leave)
	timer := time.AfterFunc(limit, leaveOnce)
	return func() {
		timer.Stop()
		leaveOnce()
	}
}
