// Package intake reads the bodies of requests into memory that it has reserved from a budget
// before. It knows no front end: a body is a reader whose reads have a deadline.
package intake

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
)

const part = "traffic/intake"

const (
	// firstStep is the memory that is reserved first for a body of unknown length.
	firstStep = 4 << 10
	// largeStep is the first reservation for a body with a known length above it. Each
	// further step doubles the buffer, up to that length.
	largeStep = 64 << 10
	// progressBytes is the number of bytes whose arrival counts as progress. A body that may
	// take BodyTimeout has several of them in each budget.Options.MinStall, unless it is so
	// small that it is in the small reserve.
	progressBytes = 16 << 10
	// retryAfter is how long a caller should wait whose body found no memory.
	retryAfter = time.Second
	// refusedDrainTime is how long the rest of a refused body may be read and discarded, so
	// that the caller gets the response.
	refusedDrainTime = 250 * time.Millisecond
)

// longAgo is a deadline that has expired on every clock.
var longAgo = time.Unix(1, 0)

// Options configure a Reader.
type Options struct {
	Budget *budget.Budget
	// ProgressTimeout is how long a body may go without a byte.
	ProgressTimeout time.Duration
	// OnRefused is called for each body that is refused or evicted for lack of memory, or
	// that makes no progress. It must not block.
	OnRefused func(reason Reason)
}

// Reason says why a body was not read.
type Reason string

// The reasons.
const (
	NoMemory Reason = "body_no_memory"
	Evicted  Reason = "body_evicted"
	Stalled  Reason = "body_stalled"
)

// Reader reads request bodies.
type Reader struct{ Options }

// New returns a Reader.
func New(o Options) *Reader { return &Reader{o} }

// Source is a request body that is being received.
type Source struct {
	io.Reader
	// Length is the stated length, or negative if none is stated.
	Length int64
	// Limit is the maximum length, after which reads fail.
	Limit int64
	// Timeout is the time in which the whole body must arrive.
	Timeout time.Duration
	// SetDeadline sets the deadline of reads. A zero time means none. It may be called
	// during a read.
	SetDeadline func(time.Time)
}

// Body is a complete request body.
type Body struct {
	Bytes []byte
	claim *budget.Claim
}

// Release gives back the memory of the body, which must not be needed any more.
func (b *Body) Release() {
	if b.claim != nil {
		b.claim.Release()
	}
}

// Read reads a body to its end. An error of kind fault.Overloaded or fault.RequestTimeout
// says that the body was refused; the connection should then be closed. Other errors are
// those of the source, as they are.
func (r *Reader) Read(src Source) (*Body, error) {
	if src.Length == 0 {
		return &Body{Bytes: []byte{}}, nil
	}
	now := time.Now()
	in := &reading{Reader: r, src: src, started: now}
	in.claim = r.Budget.Open(now, func() { src.SetDeadline(longAgo) })
	body, err := in.run()
	if err == nil {
		return body, nil
	}
	in.claim.Release()
	return nil, err
}

// reading is a body that is being read.
type reading struct {
	*Reader
	src     Source
	claim   *budget.Claim
	started time.Time
	buffer  []byte
	// unmarked is the number of bytes since the last progress. deadlineSet is when the
	// deadline of reads was set last.
	unmarked    int
	deadlineSet time.Time
}

func (in *reading) run() (*Body, error) {
	first := int64(firstStep)
	if in.src.Length > 0 {
		first = min(in.src.Length, largeStep)
	}
	if err := in.grow(first); err != nil {
		return nil, err
	}
	in.extendDeadline(in.started)
	for {
		err := in.fill()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, in.refusal(err)
		}
	}
	if !in.claim.Settle() {
		return nil, in.evicted()
	}
	in.src.SetDeadline(time.Time{})
	return &Body{Bytes: in.buffer, claim: in.claim}, nil
}

// fill makes one read, after it has made space for that.
func (in *reading) fill() error {
	if len(in.buffer) == cap(in.buffer) {
		if done, err := in.makeSpace(); done || err != nil {
			return err
		}
	}
	n, err := in.src.Read(in.buffer[len(in.buffer):cap(in.buffer)])
	in.buffer = in.buffer[:len(in.buffer)+n]
	if n == 0 || err != nil {
		return err
	}
	now := time.Now()
	if in.unmarked += n; in.unmarked >= progressBytes {
		in.unmarked = 0
		in.claim.Progress(now)
	}
	in.extendDeadline(now)
	return nil
}

// makeSpace grows a full buffer. A body that has its stated length is done if nothing
// follows; a source that has more than it states is read on.
func (in *reading) makeSpace() (done bool, err error) {
	size := int64(cap(in.buffer))
	if size == in.src.Length {
		var extra [1]byte
		n, err := in.src.Read(extra[:])
		if n == 0 {
			return err != nil, err
		}
		if err := in.grow(size + firstStep); err != nil {
			return false, err
		}
		in.buffer = append(in.buffer, extra[0])
		return true, err
	}
	// A body of the maximum length has space for one more byte, whose read ends it.
	next := min(max(2*size, firstStep), max(in.src.Limit, size)+1)
	if in.src.Length > size {
		next = min(next, in.src.Length)
	}
	return false, in.grow(next)
}

// grow reserves a buffer of the given size and moves the body there.
func (in *reading) grow(size int64) error {
	if !in.claim.Resize(size, time.Now()) {
		if in.claim.Evicted() {
			return in.evicted()
		}
		in.OnRefused(NoMemory)
		in.src.SetDeadline(time.Now().Add(refusedDrainTime))
		return fault.New(fault.Overloaded, part, "no memory for the request body").WithRetryAfter(retryAfter)
	}
	buffer := make([]byte, len(in.buffer), size)
	copy(buffer, in.buffer)
	in.buffer = buffer
	return nil
}

// extendDeadline lets the next read take until the end of ProgressTimeout or Timeout.
func (in *reading) extendDeadline(now time.Time) {
	// The deadline need not be exact, and each change of it costs.
	if now.Sub(in.deadlineSet) < in.ProgressTimeout/16 {
		return
	}
	in.deadlineSet = now
	until := now.Add(in.ProgressTimeout)
	if end := in.started.Add(in.src.Timeout); end.Before(until) {
		until = end
	}
	in.src.SetDeadline(until)
	if in.claim.Evicted() {
		// The eviction may have set its deadline before this one.
		in.src.SetDeadline(longAgo)
	}
}

// refusal returns the error for a failed read.
func (in *reading) refusal(err error) error {
	if in.claim.Evicted() {
		return in.evicted()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(in.started) < in.src.Timeout {
		in.OnRefused(Stalled)
		return fault.New(fault.RequestTimeout, part, "no byte of the request body arrived within %s", in.ProgressTimeout)
	}
	return err
}

func (in *reading) evicted() error {
	in.OnRefused(Evicted)
	return fault.New(fault.RequestTimeout, part, "the request body made no progress while others needed its memory")
}
