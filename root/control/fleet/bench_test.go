package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkObserveServer measures a report that announces every server.
func BenchmarkObserveServer(b *testing.B) {
	for _, n := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := NewTracker(Timing{SuspectAfter: time.Second, RemoveAfter: time.Minute})
			now := time.Unix(1000, 0)
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				for i := range n {
					id := fmt.Sprintf("i-%d", i)
					t.ObserveServer(Server{ID: id, Incarnation: 1, Sequence: sequence, Address: "http://" + id}, now)
				}
			}
		})
	}
}
