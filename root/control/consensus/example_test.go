package consensus_test

import (
	"fmt"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// A cluster of one voter: the caller makes writes durable, applies what is
// committed and calls Tick when NextWake says so.
func Example() {
	cfg := consensus.Config{
		ID:                "a",
		ElectionTimeout:   time.Second,
		HeartbeatInterval: 100 * time.Millisecond,
		MaxClockDrift:     0.01,
		MaxBatchBytes:     1 << 20,
	}
	core, err := consensus.New(cfg, consensus.Restored{}, consensus.Members{Voters: []consensus.NodeID{"a"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Now()
	carryOut := func() {
		for out := core.Output(); ; out = core.Output() {
			for _, e := range out.Committed {
				if e.Kind == consensus.EntryCommand {
					fmt.Printf("applied %d: %s\n", e.Index, e.Data)
				}
			}
			for _, r := range out.Reads {
				fmt.Printf("read %d sees index %d\n", r.ID, r.Index)
			}
			if out.Persist == nil {
				return
			}
			core.Persisted(now, out.Persist.Seq) // after the write is durable
		}
	}
	core.Tick(now)
	for !core.Status().IsLeader {
		now = core.NextWake()
		core.Tick(now)
		carryOut()
	}
	index, err := core.Propose(now, []byte("open the stall"))
	fmt.Println("proposed", index, err)
	carryOut()
	core.Read(now, 7)
	carryOut()
	// Output:
	// proposed 2 <nil>
	// applied 2: open the stall
	// read 7 sees index 2
}
