package engine_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// readVerbatim returns the events before the first error, and that error.
func readVerbatim(r io.Reader) ([]engine.VerbatimEvent, error) {
	var out []engine.VerbatimEvent
	events := engine.NewVerbatimReader(r)
	for {
		ev, err := events.Next()
		if err != nil {
			return out, err
		}
		out = append(out, ev)
	}
}

// TestStreamThatEndsWithinAnEventIsCut reads a stream that a server's crash ended within
// an event. Its error must not look like the end of a complete stream.
func TestStreamThatEndsWithinAnEventIsCut(t *testing.T) {
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 1\ndata: a\n\ni"} {
		c := qt.New(t)
		events, err := readVerbatim(strings.NewReader(stream))
		c.Check(events, qt.HasLen, 1)
		c.Check(fault.Is(err, fault.StreamCut), qt.IsTrue)
		c.Check(errors.Is(err, io.EOF), qt.IsFalse)
	}
}

// TestLongLineIsOneLine reads lines around the sizes of the read buffer, whose rest after
// a full buffer is empty or looks like a field.
func TestLongLineIsOneLine(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{4090, 4095, 4096, 4097, 8192, 100_000} {
		event := "id: 7\ndata: " + strings.Repeat("x", size-len("data: ")-1) + "\n: rest\n\n"
		events, err := readVerbatim(strings.NewReader(event))
		c.Check(err, qt.Equals, io.EOF)
		c.Assert(events, qt.HasLen, 1, qt.Commentf("line of %d bytes", size))
		c.Check(string(events[0].Bytes) == event, qt.IsTrue)
		c.Check(events[0].ID, qt.Equals, uint64(7))
	}
	forged := "data: " + strings.Repeat("x", 4096-len("data: ")) + "id: 9\n\n"
	events, _ := readVerbatim(strings.NewReader(forged))
	c.Assert(events, qt.HasLen, 1)
	c.Check(events[0].ID, qt.Equals, uint64(0))
}

func TestEventIDOutOfRangeIsNone(t *testing.T) {
	c := qt.New(t)
	for _, id := range []string{"18446744073709551616", "-1", "x", ""} {
		events, _ := readVerbatim(strings.NewReader("id: " + id + "\n\n"))
		c.Assert(events, qt.HasLen, 1)
		c.Check(events[0].ID, qt.Equals, uint64(0), qt.Commentf("%q", id))
	}
}

// endlessReader returns the same byte without end and counts what was read.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	r.read += len(p)
	return len(p), nil
}

func TestEndlessEventIsRejected(t *testing.T) {
	c := qt.New(t)
	endless := &endlessReader{}
	_, err := readVerbatim(endless)
	c.Check(fault.Is(err, fault.StreamCut), qt.IsTrue)
	c.Check(endless.read < 2<<20, qt.IsTrue, qt.Commentf("%d bytes read", endless.read))
}

// FuzzVerbatimReader checks that the events don't depend on how the stream is split into
// reads, and that together they are the stream up to the error.
func FuzzVerbatimReader(f *testing.F) {
	for _, seed := range []string{"", "\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b", "data: a\r\n\r\n", "id:\xff\n\n", ": a\n\n"} {
		f.Add([]byte(seed))
	}
	f.Add([]byte("data: " + strings.Repeat("x", 4090) + "\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := readVerbatim(bytes.NewReader(data))
		split, splitErr := readVerbatim(iotest.OneByteReader(bytes.NewReader(data)))
		if len(split) != len(whole) || (splitErr == io.EOF) != (wholeErr == io.EOF) {
			t.Fatalf("%d events and %v from the whole stream, %d and %v byte by byte", len(whole), wholeErr, len(split), splitErr)
		}
		joined := []byte{}
		for i, ev := range whole {
			if split[i].ID != ev.ID || split[i].Comment != ev.Comment || !bytes.Equal(split[i].Bytes, ev.Bytes) {
				t.Fatalf("event %d: %+v from the whole stream, %+v byte by byte", i, ev, split[i])
			}
			joined = append(joined, ev.Bytes...)
		}
		if !bytes.HasPrefix(data, joined) || wholeErr == io.EOF && len(joined) != len(data) {
			t.Fatalf("the events are %d bytes of %d, end %v", len(joined), len(data), wholeErr)
		}
	})
}
