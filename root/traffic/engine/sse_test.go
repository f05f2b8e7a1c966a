package engine

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzEventReader checks that the events don't depend on how the stream is split
// into reads, that no event exceeds maxEventBytes, and that a truncated last line
// yields no event.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"", "\n\n", "data: a\n\n", "id: r/1\ndata: a\ndata: b\n\n: x\n\ndata:c\r\n\r\n",
		"data: a\n\ndata: cut", "event: error\ndata: {}\n\n", "id\ndata\n\n", "data: [DONE]\n\n", "\xff:\x00\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := readEvents(bytes.NewReader(data))
		split := readEvents(iotest.OneByteReader(bytes.NewReader(data)))
		if len(whole) != len(split) {
			t.Fatalf("%d events from the whole stream, %d byte by byte", len(whole), len(split))
		}
		for i := range whole {
			if whole[i].id != split[i].id || !bytes.Equal(whole[i].data, split[i].data) {
				t.Fatalf("event %d: %+v from the whole stream, %+v byte by byte", i, whole[i], split[i])
			}
			if len(whole[i].data) > maxEventBytes {
				t.Fatalf("event %d has %d bytes", i, len(whole[i].data))
			}
		}
		if i := bytes.LastIndex(data, []byte("\n")); len(readEvents(bytes.NewReader(data[:i+1]))) != len(whole) {
			t.Fatal("removing the truncated last line changed the events")
		}
	})
}

// readEvents returns all events up to the first error.
func readEvents(r io.Reader) []parsedEvent {
	var out []parsedEvent
	events := eventReader{NewVerbatimReader(r)}
	for {
		ev, err := events.next()
		if err != nil {
			return out
		}
		out = append(out, ev)
	}
}
