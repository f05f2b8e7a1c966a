package consensus_test

import (
	"fmt"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// The example runs a cluster of one voter. The caller processes the output of each call,
// applies committed entries and calls Tick at the time that NextWake returns. With more
// voters it also sets Seed to a value that differs between starts.
func Example() {
	cfg := consensus.Config{
		ID:                "a",
		ElectionTimeout:   time.Second,
		HeartbeatInterval: 100 * time.Millisecond,
		MaxClockDrift:     0.01,
		MaxBatchBytes:     1 << 20,
	}
	core, err := consensus.New(cfg, consensus.DurableState{}, consensus.Members{Voters: []consensus.ReplicaID{"a"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Now()
	processOutput := func() {
		for out := core.Output(); ; out = core.Output() {
			for _, e := range out.Committed {
				if e.Kind == consensus.EntryCommand {
					fmt.Printf("applied %d: %s\n", e.Index, e.Data)
				}
			}
			for _, r := range out.Reads {
				fmt.Printf("read %d at index %d\n", r.ID, r.Index)
			}
			if out.Persist == nil {
				return
			}
			// A real caller writes the batch to disk first.
			core.Persisted(now, out.Persist.Seq)
		}
	}
	core.Tick(now)
	for !core.Status().IsLeader {
		now = core.NextWake()
		core.Tick(now)
		processOutput()
	}
	index, err := core.Propose(now, []byte("set x=1"))
	fmt.Println("proposed", index, err)
	processOutput()
	core.Read(now, 7)
	processOutput()
	// Output:
	// proposed 2 <nil>
	// applied 2: set x=1
	// read 7 at index 2
}
