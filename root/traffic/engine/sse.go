package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// doneData is the data of the event that ends a complete stream.
const doneData = "[DONE]"

// parsedEvent holds the fields of one server-sent event that this package uses.
type parsedEvent struct {
	id   string
	data []byte
}

// eventReader parses a stream of server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	scanner.Split(splitLine)
	return &eventReader{scanner: scanner}
}

// splitLine is a bufio.SplitFunc for lines that end with LF or CRLF. Unlike
// bufio.ScanLines it rejects a last line without a line end as truncated.
func splitLine(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte{'\r'}), nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// next returns the next event with a data field; comments and other events are
// skipped. The end of the stream is io.ErrUnexpectedEOF, since no event is read
// after the one that ends a complete stream.
func (r *eventReader) next() (parsedEvent, error) {
	var ev parsedEvent
	dataLines, size := 0, 0
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if dataLines > 0 {
				return ev, nil
			}
			ev, size = parsedEvent{}, 0
			continue
		}
		size += len(line)
		if size > maxEventBytes {
			return parsedEvent{}, fault.New(fault.TooLarge, part, "event exceeds %d bytes", maxEventBytes)
		}
		name, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			if dataLines > 0 {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			dataLines++
		case "id":
			ev.id = value
		}
	}
	if err := r.scanner.Err(); err != nil {
		return parsedEvent{}, err
	}
	return parsedEvent{}, io.ErrUnexpectedEOF
}

// DoneData returns the data of the event that ends a complete stream.
func DoneData() []byte { return []byte(doneData) }

// AppendEvent appends an event to b in the wire format of server-sent events.
func AppendEvent(b *bytes.Buffer, ev Event) {
	for line := range bytes.SplitSeq(ev.Data, []byte{'\n'}) {
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
}

func isDone(data []byte) bool { return string(data) == doneData }

// splitEventID splits an event id of the form "request-id/number".
func splitEventID(id string) (requestID string, n int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(id[i+1:])
	return id[:i], n, err == nil && n > 0
}
