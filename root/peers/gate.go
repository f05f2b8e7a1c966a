package peers

import "runtime"

// maxHandshakes is the number of incoming sessions that are set up at the same time.
// Further connections are accepted and wait.
const maxHandshakes = 16

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
