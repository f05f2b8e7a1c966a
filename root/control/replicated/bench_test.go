package replicated_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// doWork applies a Begin and a Finish for key n.
func doWork(s *replicated.State, n int, body []byte) {
	for _, c := range workCommands(n, body) {
		s.Apply(s.Index()+1, c)
	}
}

func workCommands(n int, body []byte) [2]replicated.Command {
	b := ledger.Begin{Key: ledger.Key{Caller: "caller", ID: fmt.Sprintf("key-%032d", n)}, Attempt: fmt.Sprintf("%026d", n)}
	b.Entry, b.Incarnation = "vm-1", 1
	f := ledger.Finish{Key: b.Key, Attempt: b.Attempt, Response: ledger.Response{Status: 200, Body: body}}
	return [2]replicated.Command{replicated.BeginWork{Begin: b}, replicated.FinishWork{Finish: f}}
}

// logBytes returns the encoded size of a Begin and a Finish.
func logBytes() (total int) {
	for _, c := range workCommands(1, make([]byte, benchBodyBytes)) {
		data, _ := codec.EncodeCommand(c)
		total += len(data)
	}
	return total
}

// benchBodyBytes is the size of a response body: 100,000 of them stay within the
// default MaxTotalResponseBytes. BenchmarkBeginAndFinish adds more and can reach it.
const benchBodyBytes = 200

func stateWith(records int) *replicated.State {
	ledgerLimits := ledger.DefaultLimits()
	ledgerLimits.MaxKeys = 1 << 30
	s, _ := replicated.NewWithLimits(ledgerLimits)
	for i := range records {
		doWork(s, i, make([]byte, benchBodyBytes))
	}
	return s
}

func BenchmarkBeginAndFinish(b *testing.B) {
	for _, records := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			s := stateWith(records)
			body := make([]byte, benchBodyBytes)
			n := records
			b.ReportAllocs()
			for b.Loop() {
				doWork(s, n, body)
				n++
			}
			b.ReportMetric(float64(logBytes()), "logB/op")
		})
	}
}

// BenchmarkWorkAfterSnapshot measures the cost of copy-on-write after a snapshot.
func BenchmarkWorkAfterSnapshot(b *testing.B) {
	const records, pairs = 100_000, 1_000
	s := stateWith(records)
	n := records
	for b.Loop() {
		s.Snapshot()
		for range pairs {
			doWork(s, n, nil)
			n++
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n-records), "ns/pair")
}

// BenchmarkRecordMemory measures the heap per record with an empty response.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		before := heapBytes()
		ledgerLimits := ledger.DefaultLimits()
		s, _ := replicated.NewWithLimits(ledgerLimits)
		for i := range records {
			doWork(s, i, nil)
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "heapB/record")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkSnapshot(b *testing.B) {
	const records = 100_000
	s := stateWith(records)
	data, err := codec.EncodeSnapshot(s.Snapshot())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			s.Snapshot()
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = codec.EncodeSnapshot(s.Snapshot())
		}
		b.ReportMetric(float64(len(data))/records, "encodedB/record")
	})
	b.Run("decode and restore", func(b *testing.B) {
		for b.Loop() {
			snap, _ := codec.DecodeSnapshot(data)
			_, _ = replicated.Restore(snap)
		}
	})
}
