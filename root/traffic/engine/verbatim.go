package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// VerbatimEvent is one complete server-sent event with its bytes unchanged.
type VerbatimEvent struct {
	// Bytes include the blank line that ends the event.
	Bytes []byte
	// ID is the value of the last id field; 0 if there is none or it is not a number,
	// and the largest uint64 if the number is out of range.
	ID uint64
}

// VerbatimReader splits a stream into events without changing their bytes.
type VerbatimReader struct{ r *bufio.Reader }

// NewVerbatimReader returns a VerbatimReader for the body of a stream.
func NewVerbatimReader(r io.Reader) *VerbatimReader {
	return &VerbatimReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// Next returns the next complete event, and io.EOF when the stream ends between
// two events. A stream that ends within an event or fails otherwise is an error of
// kind fault.StreamCut.
//
// Of a line longer than readBufferSize only the rest after the last full buffer is
// parsed, as if it were a line of its own: an empty rest ends the event early. If an
// event exceeds maxEventBytes within such a line, the error wraps
// bufio.ErrBufferFull and does not state the limit.
func (v *VerbatimReader) Next() (VerbatimEvent, error) {
	var ev VerbatimEvent
	for {
		line, err := v.r.ReadSlice('\n')
		ev.Bytes = append(ev.Bytes, line...)
		switch {
		case err == io.EOF && len(ev.Bytes) == 0:
			return VerbatimEvent{}, io.EOF
		case err == bufio.ErrBufferFull && len(ev.Bytes) <= maxEventBytes:
			continue
		case err != nil:
			return VerbatimEvent{}, fault.Wrap(err, fault.StreamCut, part, "read event stream")
		case len(ev.Bytes) > maxEventBytes:
			return VerbatimEvent{}, fault.New(fault.StreamCut, part, "event exceeds %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			// ParseUint returns the documented value also with an error.
			ev.ID, _ = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		}
	}
}
