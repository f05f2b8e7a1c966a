package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
)

// newStore returns a store with n active servers of kind fleet.Engine with two slots
// each.
func newStore(n int, classes ...table.Class) *view.Store {
	v := &view.View{Term: 1, Seq: 1, LeaseUntil: time.Now().Add(time.Hour)}
	v.Table = table.Table{Version: 1, Classes: classes}
	for i := range n {
		v.Servers = append(v.Servers, fleet.Server{
			ID: fmt.Sprintf("engine-%d", i), Targets: []string{"small"}, Slots: 2,
			FailureDomain: fmt.Sprintf("fd-%d", i%2),
		})
	}
	store := &view.Store{}
	store.Publish(v)
	return store
}

// neverSuspended is the clock of a VM that runs all the time, also by simulated time.
func neverSuspended() time.Duration { return 0 }

func questionClass() table.Class {
	return table.Class{
		Name: "question", Weight: 1, Queue: 1000, Deadline: time.Minute,
		Targets: []string{"small"}, Idempotent: true,
	}
}

func TestConcurrentAcquiresHoldConcurrencyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		class := questionClass()
		class.Concurrency = 5
		d := dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: newStore(4, class), Seed: 1, Entries: 1})
		var running, peak, granted, refused atomic.Int64
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(7, uint64(i)))
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(20))*time.Second)
				defer cancel()
				l, err := d.Acquire(ctx, dispatch.Request{Class: "question", Target: "small"})
				if err != nil {
					var typed *fault.Error
					c.Check(errors.As(err, &typed), qt.IsTrue)
					c.Check(typed.Ran, qt.Equals, fault.RanNo)
					refused.Add(1)
					return
				}
				granted.Add(1)
				peak.Store(max(peak.Load(), running.Add(1)))
				time.Sleep(200 * time.Millisecond)
				running.Add(-1)
				l.ObserveTokens(10)
				l.Done(dispatch.Succeeded)
				l.Done(dispatch.Failed)
			})
		}
		wg.Wait()
		c.Check(granted.Load()+refused.Load(), qt.Equals, int64(400))
		c.Check(granted.Load() > 100, qt.IsTrue, qt.Commentf("%d granted", granted.Load()))
		c.Check(peak.Load(), qt.Equals, int64(5))
		c.Check(d.OwnLoads(), qt.HasLen, 0)
		demand := d.ClassDemands()[0]
		c.Check(demand.Running+demand.Waiting, qt.Equals, 0)
	})
}

func TestRefusalKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		class := questionClass()
		class.Queue, class.Deadline, class.RatePerSecond = 1, 10*time.Second, 3
		store := newStore(1, class)
		d := dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: store, Entries: 1})
		// acquire returns the kind of the error. For a grant it returns 255, which is not
		// a kind of package fault.
		acquire := func(r dispatch.Request) fault.Kind {
			if _, err := d.Acquire(t.Context(), r); err != nil {
				c.Check(fault.From(err).Ran, qt.Equals, fault.RanNo)
				return fault.KindOf(err)
			}
			return 255
		}
		request := dispatch.Request{Class: "question", Target: "small"}
		c.Check(acquire(dispatch.Request{Class: "none", Target: "small"}), qt.Equals, fault.NotFound)
		c.Check(acquire(dispatch.Request{Class: "question", Target: "large"}), qt.Equals, fault.NotFound)
		expired := request
		expired.Deadline = time.Now().Add(-time.Second)
		c.Check(acquire(expired), qt.Equals, fault.DeadlineExceeded)
		c.Check(acquire(request), qt.Equals, fault.Kind(255))
		c.Check(acquire(request), qt.Equals, fault.Kind(255))
		go acquire(request)
		synctest.Wait()
		c.Check(acquire(request), qt.Equals, fault.RateLimited)
		time.Sleep(time.Second)
		c.Check(acquire(request), qt.Equals, fault.Overloaded)
		time.Sleep(time.Minute)
		next := *store.Load()
		next.Servers = []fleet.Server{{ID: "engine-0", Targets: []string{"small"}, State: fleet.Draining}}
		store.Publish(&next)
		d.ViewChanged()
		c.Check(acquire(request), qt.Equals, fault.NoBackend)
		time.Sleep(2 * time.Hour)
		c.Check(acquire(request), qt.Equals, fault.NotReady)
	})
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newStore(2, questionClass())
		d := dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: store, Entries: 1})
		request := dispatch.Request{Class: "question", Target: "small"}
		var leases []*dispatch.Lease
		for range 4 {
			l, err := d.Acquire(t.Context(), request)
			c.Assert(err, qt.IsNil)
			leases = append(leases, l)
		}
		waited := make(chan *dispatch.Lease)
		go func() {
			l, _ := d.Acquire(t.Context(), request)
			waited <- l
		}()
		synctest.Wait()
		next := *store.Load()
		next.Servers = append([]fleet.Server(nil), next.Servers...)
		next.Servers[0].State = fleet.Draining
		store.Publish(&next)
		d.ViewChanged()
		for _, l := range leases {
			if l.Server().ID == "engine-0" {
				l.Done(dispatch.Succeeded)
			}
		}
		synctest.Wait()
		c.Assert(waited, qt.HasLen, 0)
		for _, l := range leases {
			l.Done(dispatch.Succeeded)
		}
		c.Check((<-waited).Server().ID, qt.Equals, "engine-1")
	})
}

func TestRetryExcludesServerAndHoldsBudget(t *testing.T) {
	c := qt.New(t)
	nonIdempotent := questionClass()
	nonIdempotent.Name, nonIdempotent.Idempotent = "order", false
	d := dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: newStore(40, questionClass(), nonIdempotent), Entries: 1})
	order := dispatch.Request{Class: "order", Target: "small"}
	l, err := d.Acquire(t.Context(), order)
	c.Assert(err, qt.IsNil)
	_, err = d.Retry(t.Context(), l, order)
	c.Check(fault.KindOf(err), qt.Equals, fault.OutcomeUnknown)
	request := dispatch.Request{Class: "question", Target: "small"}
	first, err := d.Acquire(t.Context(), request)
	c.Assert(err, qt.IsNil)
	retries := 0
	for range 30 {
		again, err := d.Retry(t.Context(), first, request)
		if err != nil {
			c.Check(fault.From(err).Ran, qt.Equals, fault.RanUnknown)
			break
		}
		c.Check(again.Server().ID, qt.Not(qt.Equals), first.Server().ID)
		retries++
	}
	c.Check(retries, qt.Equals, 10)
}

func TestSetSharesScalesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		class := questionClass()
		class.Concurrency, class.Deadline = 16, time.Second
		d := dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: newStore(20, class), Entries: 8})
		// runningAfterRequests starts 20 requests and returns the number that run 5 s later,
		// when those left in the queue have expired.
		runningAfterRequests := func() int {
			for range 20 {
				go d.Acquire(t.Context(), dispatch.Request{Class: "question", Target: "small"})
			}
			time.Sleep(5 * time.Second)
			return d.ClassDemands()[0].Running
		}
		c.Check(runningAfterRequests(), qt.Equals, 2)
		d.SetShares(map[string]float64{"question": 0.25})
		c.Check(runningAfterRequests(), qt.Equals, 4)
		d.SetShares(map[string]float64{"question": 0})
		c.Check(runningAfterRequests(), qt.Equals, 4)
	})
}

func BenchmarkAcquire(b *testing.B) {
	for _, servers := range []int{18, 64} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			d := dispatch.New(dispatch.Options{Suspended: neverSuspended, Views: newStore(servers, questionClass()), Entries: 1})
			b.ReportAllocs()
			for b.Loop() {
				l, err := d.Acquire(b.Context(), dispatch.Request{Class: "question", Target: "small"})
				if err != nil {
					b.Fatal(err)
				}
				l.ObserveTokens(1)
				l.Done(dispatch.Succeeded)
			}
		})
	}
}

// TestSuspendedEntryGrantsByNoExpiredLease guards against a request that starts by an old
// table: a VM's clock stands still while it is suspended, and the lease of its view does
// not.
func TestSuspendedEntryGrantsByNoExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		suspended := time.Duration(0)
		store := newStore(1, questionClass())
		v := *store.Load()
		v.LeaseUntil = time.Now().Add(3 * time.Second)
		store.Publish(&v)
		d := dispatch.New(dispatch.Options{Suspended: func() time.Duration { return suspended }, Views: store, Entries: 1})
		request := dispatch.Request{Class: "question", Target: "small"}
		for range 2 {
			_, err := d.Acquire(t.Context(), request)
			c.Assert(err, qt.IsNil)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		queued := make(chan error, 1)
		go func() {
			_, err := d.Acquire(ctx, request)
			queued <- err
		}()
		synctest.Wait()
		suspended = 5 * time.Second
		_, err := d.Acquire(t.Context(), request)
		c.Assert(fault.Is(err, fault.NotReady), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(<-queued, qt.IsNotNil)
	})
}
