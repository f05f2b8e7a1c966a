//go:build review

package main

import (
	"slices"
	"sync"
	"time"
)

// memoryRounds is how often the rule lets no process end by itself, on two machines.
const memoryRounds = 3

// overMemory puts a load on all entries at once, three times. The platform kills a process that
// uses more than the memory of its machine (limits.memory_bytes), and starts it again. The rule is
// broken if it had to do so three times on each machine. load runs until done is closed, or for
// as long as it likes, and says what it did.
func overMemory(rec *Record, c *Cluster, limit time.Duration, load func(entry *VM, done <-chan struct{}) string) (bool, error) {
	kills := make([]int, len(c.Entries))
	for range memoryRounds {
		if err := c.AwaitReady(15 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		for i, entry := range c.Entries {
			wg.Go(func() {
				if watchMemory(rec, entry, int64(c.EntryMemory), limit, load) {
					kills[i]++
				}
			})
		}
		wg.Wait()
		for _, entry := range c.Entries {
			if !entry.Running() {
				if err := entry.Start(false); err != nil {
					return false, err
				}
			}
		}
	}
	rec.Say("killed for their memory: %v times", kills)
	return slices.Min(kills) >= memoryRounds, nil
}

// watchMemory runs the load on an entry and reports whether the entry had to be killed.
func watchMemory(rec *Record, entry *VM, memory int64, limit time.Duration, load func(*VM, <-chan struct{}) string) (killed bool) {
	done := make(chan struct{})
	said := make(chan string, 1)
	go func() { said <- load(entry, done) }()
	most, reported := int64(0), int64(0)
	for began := time.Now(); time.Since(began) < limit && !killed; time.Sleep(20 * time.Millisecond) {
		most = max(most, entry.Resident())
		if most > reported+20e6 {
			reported = most
			rec.Say("%s has %d MB resident of its %d MB", entry.IP, most/1e6, memory/1e6)
		}
		killed = most > memory
	}
	if killed {
		rec.Say("%s uses more than the memory of its machine: the platform kills it", entry.IP)
		entry.Kill()
	}
	close(done)
	rec.Say("%s had at most %d MB resident; %s", entry.IP, most/1e6, <-said)
	return killed
}
