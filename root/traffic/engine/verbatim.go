package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// VerbatimEvent is one whole event of a stream, byte for byte.
type VerbatimEvent struct {
	// Bytes end with the blank line that ends the event.
	Bytes []byte
	// ID is the event's number; 0 when it has none.
	ID uint64
}

// VerbatimReader reads a stream event by event.
type VerbatimReader struct{ r *bufio.Reader }

// NewVerbatimReader returns a reader of the body of a stream.
func NewVerbatimReader(r io.Reader) *VerbatimReader {
	return &VerbatimReader{r: bufio.NewReaderSize(r, readBuffer)}
}

// Next returns the next whole event; io.EOF ends a whole stream. A stream that
// breaks off, also within an event, is an error of kind fault.StreamCut.
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
			return VerbatimEvent{}, fault.Wrap(err, fault.StreamCut, part, "the stream was cut")
		case len(ev.Bytes) > maxEventBytes:
			return VerbatimEvent{}, fault.New(fault.StreamCut, part, "an event is larger than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			// Without a number the event counts as unnumbered.
			ev.ID, _ = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		}
	}
}
