//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// load runs functions at a steady rate, each call in a goroutine of its own.
type load struct {
	done chan struct{}
	wg   sync.WaitGroup
}

func newLoad() *load { return &load{done: make(chan struct{})} }

func (l *load) every(interval time.Duration, f func(n int)) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.done:
				return
			case <-tick.C:
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				f(n)
			}()
		}
	}()
}

// stop ends the load and waits for the calls that run.
func (l *load) stop() {
	close(l.done)
	l.wg.Wait()
}

// tally counts results.
type tally struct {
	mu                            sync.Mutex
	ok, refused, failed, unopened int
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.unconnected:
		t.unopened++
	case r.status/100 == 2 && r.err == nil:
		t.ok++
	case r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421:
		t.refused++
	default:
		t.failed++
	}
}

func (t *tally) total() int { return t.ok + t.refused + t.failed + t.unopened }

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d served, %d refused, %d failed, %d without a channel", t.ok, t.refused, t.failed, t.unopened)
}
