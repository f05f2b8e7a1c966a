package consensus

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCommit measures a leader and two followers in memory, with
// proposals made in groups. steps/entry counts the calls into the three cores.
func BenchmarkCommit(b *testing.B) {
	for _, group := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(group), func(b *testing.B) {
			c := newBenchCluster(b)
			start, commit := c.steps, c.cores[c.lead].commit
			data := make([]byte, 200)
			for b.Loop() {
				for range group {
					c.steps++
					if _, err := c.cores[c.lead].Propose(c.now, data); err != nil {
						b.Fatal(err)
					}
				}
				c.settle()
				if core := c.cores[c.lead]; core.applied%4096 < uint64(group) {
					if err := core.Compact(core.applied, nil); err != nil {
						b.Fatal(err)
					}
				}
			}
			entries := float64(c.cores[c.lead].commit - commit)
			b.ReportMetric(float64(c.steps-start)/entries, "steps/entry")
			b.ReportMetric(entries/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

type benchCluster struct {
	cores map[NodeID]*Core
	lead  NodeID
	now   time.Time
	steps int
}

func newBenchCluster(b *testing.B) *benchCluster {
	ids := []NodeID{"a", "b", "c"}
	c := &benchCluster{cores: map[NodeID]*Core{}, now: time.Now()}
	for _, id := range ids {
		cfg := testConfig(id, 1)
		cfg.MaxBatchBytes = 1 << 20
		core, err := New(cfg, Restored{}, Members{Voters: ids})
		if err != nil {
			b.Fatal(err)
		}
		c.cores[id] = core
	}
	for c.lead == "" {
		c.now = c.now.Add(heartbeatInterval)
		for _, id := range ids {
			c.cores[id].Tick(c.now)
		}
		c.settle()
		for _, id := range ids {
			if c.cores[id].role == leader {
				c.lead = id
			}
		}
	}
	return c
}

// settle delivers messages and completes writes until nothing is left to do.
func (c *benchCluster) settle() {
	for busy := true; busy; {
		busy = false
		for _, id := range []NodeID{"a", "b", "c"} {
			out := c.cores[id].Output()
			c.steps++
			for _, m := range out.Messages {
				c.cores[m.To].Receive(c.now, m)
				c.steps++
				busy = true
			}
			if out.Persist != nil {
				c.cores[id].Persisted(c.now, out.Persist.Seq)
				c.steps++
				busy = true
			}
		}
	}
}
