package intake_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
)

const minStall = 50 * time.Millisecond

type harness struct {
	*intake.Reader
	mu      sync.Mutex
	reasons []intake.Reason
}

func newHarness(large int64) *harness {
	h := &harness{}
	h.Reader = intake.New(intake.Options{
		Budget:          budget.New(budget.Options{Small: 128 << 10, Large: large, SmallClaim: 64 << 10, MinStall: minStall}),
		ProgressTimeout: 10 * time.Second,
		OnRefused: func(reason intake.Reason) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.reasons = append(h.reasons, reason)
		},
	})
	return h
}

func source(r io.Reader, length int) intake.Source {
	return intake.Source{Reader: r, Length: int64(length), Limit: 1 << 20, Timeout: 20 * time.Second, SetDeadline: func(time.Time) {}}
}

// stalled is a body that sends some bytes and then nothing until its deadline has passed.
type stalled struct {
	sent   io.Reader
	waits  chan struct{}
	once   sync.Once
	passed chan struct{}
}

func newStalled(n int) *stalled {
	return &stalled{sent: strings.NewReader(strings.Repeat("x", n)), waits: make(chan struct{}), passed: make(chan struct{}, 1)}
}

func (s *stalled) Read(p []byte) (int, error) {
	if n, err := s.sent.Read(p); err == nil {
		return n, nil
	}
	s.once.Do(func() { close(s.waits) })
	<-s.passed
	return 0, os.ErrDeadlineExceeded
}

func (s *stalled) setDeadline(at time.Time) {
	if !at.IsZero() && at.Before(time.Now()) {
		select {
		case s.passed <- struct{}{}:
		default:
		}
	}
}

// A body must arrive unchanged whatever its length, its stated length and its reads are.
func TestBodiesAreReadUnchanged(t *testing.T) {
	c := qt.New(t)
	h := newHarness(8 << 20)
	for _, n := range []int{0, 1, 4 << 10, 4<<10 + 1, 64 << 10, 64<<10 + 1, 300_000, 1 << 20} {
		data := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
		for _, length := range []int{n, -1} {
			for _, r := range []io.Reader{bytes.NewReader(data), iotest.DataErrReader(bytes.NewReader(data)), iotest.HalfReader(bytes.NewReader(data))} {
				body, err := h.Read(source(r, length))
				c.Assert(err, qt.IsNil)
				c.Assert(bytes.Equal(body.Bytes, data), qt.IsTrue, qt.Commentf("%d bytes, stated %d", n, length))
				body.Release()
			}
		}
	}
	c.Check(h.Budget.Stats(), qt.Equals, budget.Stats{})
}

// A body of the maximum length must not reserve twice that because its length is not stated.
func TestABodyOfTheMaximumLengthFits(t *testing.T) {
	c := qt.New(t)
	h := newHarness(1<<20 + 1)
	body, err := h.Read(source(strings.NewReader(strings.Repeat("x", 1<<20)), -1))
	c.Assert(err, qt.IsNil)
	c.Check(len(body.Bytes), qt.Equals, 1<<20)
	body.Release()
}

// Bodies without space must be refused as not run, with a time to come back.
func TestABodyWithoutMemoryIsRefused(t *testing.T) {
	c := qt.New(t)
	h := newHarness(1 << 20)
	held, err := h.Read(source(strings.NewReader(strings.Repeat("x", 900_000)), 900_000))
	c.Assert(err, qt.IsNil)
	for _, length := range []int{900_000, -1} {
		_, err = h.Read(source(strings.NewReader(strings.Repeat("x", 900_000)), length))
		e := fault.From(err)
		c.Check(e.Kind, qt.Equals, fault.Overloaded)
		c.Check(e.Ran, qt.Equals, fault.RanNo)
		c.Check(e.RetryAfter > 0, qt.IsTrue)
	}
	small, err := h.Read(source(strings.NewReader("small"), 5))
	c.Assert(err, qt.IsNil)
	small.Release()
	held.Release()
	c.Check(h.reasons, qt.DeepEquals, []intake.Reason{intake.NoMemory, intake.NoMemory})
	c.Check(h.Budget.Stats().Used, qt.Equals, int64(0))
}

// A body that has stopped short must make room for one that arrives, and end with 408.
func TestAStalledBodyIsEvicted(t *testing.T) {
	c := qt.New(t)
	h := newHarness(1 << 20)
	s := newStalled(700_000)
	src := source(s, 900_000)
	src.SetDeadline = s.setDeadline
	ended := make(chan error, 1)
	go func() {
		_, err := h.Read(src)
		ended <- err
	}()
	<-s.waits
	time.Sleep(2 * minStall)
	body, err := h.Read(source(strings.NewReader(strings.Repeat("x", 900_000)), 900_000))
	c.Assert(err, qt.IsNil)
	err = <-ended
	c.Check(fault.From(err).Kind, qt.Equals, fault.RequestTimeout)
	c.Check(fault.From(err).Ran, qt.Equals, fault.RanNo)
	c.Check(fault.From(err).Kind.Attributes().HTTPStatus, qt.Equals, 408)
	body.Release()
	c.Check(h.Budget.Stats().Used, qt.Equals, int64(0))
	c.Check(h.reasons, qt.DeepEquals, []intake.Reason{intake.Evicted})
}

// BenchmarkSmallBody reads the body of an ordinary request.
func BenchmarkSmallBody(b *testing.B) {
	h := newHarness(1 << 20)
	data := bytes.Repeat([]byte{'x'}, 2_000)
	r := bytes.NewReader(nil)
	b.ReportAllocs()
	for range b.N {
		r.Reset(data)
		body, err := h.Read(source(r, len(data)))
		if err != nil {
			b.Fatal(err)
		}
		body.Release()
	}
}
