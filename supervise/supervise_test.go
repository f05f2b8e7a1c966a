package supervise_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

type serveFunc func(ctx context.Context) error

func (f serveFunc) Serve(ctx context.Context) error { return f(ctx) }

func TestFailedChildIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		root := supervise.NewRoot(logr.Discard())
		failures := 2
		root.Supervisor("control").Service("loop", serveFunc(func(ctx context.Context) error {
			if failures > 0 {
				failures--
				return errors.New("broken")
			}
			<-ctx.Done()
			return ctx.Err()
		}))
		done := make(chan error, 1)
		go func() { done <- root.Serve(ctx) }()
		time.Sleep(time.Second)
		loop := root.Info().Children[0].Children[0]
		c.Assert(loop.Path, qt.Equals, "control/loop")
		c.Assert(loop.Restarts, qt.Equals, int64(2))
		c.Assert(loop.State, qt.Equals, supervise.Running)
		cancel()
		<-done
		c.Assert(root.Info().State, qt.Equals, supervise.Stopped)
	})
}

func TestCorruptStateStopsTree(t *testing.T) {
	c := qt.New(t)
	root := supervise.NewRoot(logr.Discard())
	root.Supervisor("storage").Service("wal", serveFunc(func(context.Context) error {
		return fault.New(fault.Corrupt, "storage/wal", "bad checksum")
	}))
	err := root.Serve(t.Context())
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
}
