package relay_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCheckHoldsNoBody guards against bodies of up to 4 MB that stay in memory after their
// requests while the dial to a lost server hangs: up to 256 requests wait for one check.
func TestCheckHoldsNoBody(t *testing.T) {
	var freed atomic.Bool
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		h.checkHangs = true
		go h.relay.Checks().Serve(ctx)
		func() {
			h.script = []scriptedResponse{{noResponse: true}}
			req := promptRequest("/stream/")
			body := make([]byte, 4<<20)
			runtime.AddCleanup(&body[0], func(int) { freed.Store(true) }, 0)
			req.Body = body
			h.serve(req)
		}()
		synctest.Wait()
		for range 5 {
			runtime.GC()
			time.Sleep(time.Millisecond)
		}
		c.Check(freed.Load(), qt.IsTrue)
	})
}
