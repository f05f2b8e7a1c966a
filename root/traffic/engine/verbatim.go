package engine

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// VerbatimEvent is one complete server-sent event with its bytes unchanged.
type VerbatimEvent struct {
	// Bytes include the blank line that ends the event.
	Bytes []byte
	// ID is the value of the last id field; 0 if there is none, or it is not a number or
	// out of range.
	ID uint64
	// Comment is set if all lines are comments or blank.
	Comment bool
}

// VerbatimReader splits a stream into events without changing their bytes.
type VerbatimReader struct {
	r *bufio.Reader
	// memory counts the bytes of large events, of which reserved are those of the current
	// one; nil for no limit.
	memory   *readMemory
	reserved int64
	// needsEvent is set while the end of the stream can't be told from a connection that
	// was closed after the head of the response.
	needsEvent bool
}

// NewVerbatimReader returns a VerbatimReader for a stream whose end is certain.
func NewVerbatimReader(r io.Reader) *VerbatimReader {
	return &VerbatimReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// NewResponseReader returns a VerbatimReader for the body of a response of t, which must be
// closed. If the response has neither a length nor chunks and ends with its connection, it
// is complete only with an event.
func (t *Transport) NewResponseReader(resp *http.Response) *VerbatimReader {
	v := NewVerbatimReader(resp.Body)
	v.memory = &t.bodies
	v.needsEvent = Unframed(resp)
	return v
}

// Next returns the next complete event, and io.EOF when the stream ends between
// two events. A stream that ends within an event, or before one that it needs, or fails
// otherwise is an error of kind fault.StreamCut, which does not wrap io.EOF. Lines may have
// any length, as long as the event has at most maxEventBytes.
func (v *VerbatimReader) Next() (VerbatimEvent, error) {
	v.Close()
	ev := VerbatimEvent{Comment: true}
	lineStart := 0
	for {
		piece, err := v.r.ReadSlice('\n')
		ev.Bytes = append(ev.Bytes, piece...)
		if !v.reserve(int64(cap(ev.Bytes))) {
			return VerbatimEvent{}, fault.Wrap(errBodiesTooLarge, fault.StreamCut, part, "read event stream")
		}
		switch {
		case len(ev.Bytes) > maxEventBytes:
			return VerbatimEvent{}, fault.New(fault.StreamCut, part, "event exceeds %d bytes", maxEventBytes)
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(ev.Bytes) == 0 && !v.needsEvent:
			return VerbatimEvent{}, io.EOF
		case err == io.EOF:
			return VerbatimEvent{}, fault.Wrap(io.ErrUnexpectedEOF, fault.StreamCut, part, "read event stream")
		case err != nil:
			return VerbatimEvent{}, fault.Wrap(err, fault.StreamCut, part, "read event stream")
		}
		line := bytes.TrimRight(ev.Bytes[lineStart:], "\r\n")
		lineStart = len(ev.Bytes)
		if len(line) == 0 {
			v.needsEvent = v.needsEvent && ev.Comment
			return ev, nil
		}
		ev.Comment = ev.Comment && line[0] == ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.ID = parseEventNumber(value)
		}
	}
}

// reserve reserves the memory of an event of this capacity beyond smallBodyBytes.
func (v *VerbatimReader) reserve(capacity int64) bool {
	more := capacity - smallBodyBytes - v.reserved
	if v.memory == nil || more <= 0 {
		return true
	}
	if !v.memory.reserve(more) {
		return false
	}
	v.reserved += more
	return true
}

// Close releases the memory of the last event. It does not close the stream.
func (v *VerbatimReader) Close() {
	if v.memory != nil {
		v.memory.used.Add(-v.reserved)
	}
	v.reserved = 0
}

// parseEventNumber returns the value of an id field; 0 if it is not a number or out of
// range.
func parseEventNumber(value []byte) uint64 {
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
