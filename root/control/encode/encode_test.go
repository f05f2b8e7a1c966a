package encode_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/encode"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// TestPanicIsAResult panics in the encoding of a snapshot. Without a result the control
// thread would wait for it and never compact its log again.
func TestPanicIsAResult(t *testing.T) {
	c := qt.New(t)
	results := make(chan machine.SnapshotEncoded, 1)
	e := encode.New(
		func(replicated.Snapshot) ([]byte, error) { panic("broken record") },
		func(_ context.Context, done machine.SnapshotEncoded) { results <- done },
	)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = recover() }()
		_ = e.Serve(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-ended
	})
	e.Submit(machine.EncodeSnapshot{Index: 7})
	select {
	case done := <-results:
		c.Assert(done.Index, qt.Equals, uint64(7))
		c.Assert(done.Err, qt.ErrorMatches, "(?s).*broken record.*")
	case <-time.After(5 * time.Second):
		t.Fatal("the encoder gave no result")
	}
}
