package consensus

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCommit measures a leader and two followers in memory, with different
// numbers of proposals per batch. steps/entry is the number of calls into the three
// cores, without Compact, for each committed entry.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			c := newBenchCluster(b)
			start, commit := c.steps, c.cores[c.leaderID].commit
			data := make([]byte, 200)
			for b.Loop() {
				for range batch {
					c.steps++
					if _, err := c.cores[c.leaderID].Propose(c.now, data); err != nil {
						b.Fatal(err)
					}
				}
				c.runUntilIdle()
				// Compact about every 4096 entries.
				if core := c.cores[c.leaderID]; core.applied%4096 < uint64(batch) {
					if err := core.Compact(core.applied, nil); err != nil {
						b.Fatal(err)
					}
				}
			}
			entries := float64(c.cores[c.leaderID].commit - commit)
			b.ReportMetric(float64(c.steps-start)/entries, "steps/entry")
			b.ReportMetric(entries/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

type benchCluster struct {
	cores    map[ReplicaID]*Core
	leaderID ReplicaID
	now      time.Time
	steps    int
}

func newBenchCluster(b *testing.B) *benchCluster {
	ids := []ReplicaID{"a", "b", "c"}
	c := &benchCluster{cores: map[ReplicaID]*Core{}, now: time.Now()}
	for _, id := range ids {
		cfg := testConfig(id, 1)
		cfg.MaxBatchBytes = 1 << 20
		core, err := New(cfg, DurableState{}, Members{Voters: ids})
		if err != nil {
			b.Fatal(err)
		}
		c.cores[id] = core
	}
	for c.leaderID == "" {
		c.now = c.now.Add(heartbeatInterval)
		for _, id := range ids {
			c.cores[id].Tick(c.now)
		}
		c.runUntilIdle()
		for _, id := range ids {
			if c.cores[id].role == leader {
				c.leaderID = id
			}
		}
	}
	return c
}

// runUntilIdle delivers messages and completes writes until no work is left.
func (c *benchCluster) runUntilIdle() {
	for busy := true; busy; {
		busy = false
		for _, id := range []ReplicaID{"a", "b", "c"} {
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
