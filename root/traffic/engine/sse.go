package engine

import (
	"bytes"
	"io"
	"strconv"
	"strings"
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
type eventReader struct{ events *VerbatimReader }

// next returns the next event with a data field; comments and other events are
// skipped. The end of the stream is io.ErrUnexpectedEOF, since no event is read
// after the one that ends a complete stream.
func (r *eventReader) next() (parsedEvent, error) {
	for {
		raw, err := r.events.Next()
		if err == io.EOF {
			return parsedEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return parsedEvent{}, err
		}
		if ev, ok := parseEvent(raw.Bytes); ok {
			return ev, nil
		}
	}
}

// parseEvent parses the lines of one event, which end with LF or CRLF. It reports whether
// the event has a data field.
func parseEvent(text []byte) (ev parsedEvent, hasData bool) {
	for line := range bytes.Lines(text) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		name, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			if hasData {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			hasData = true
		case "id":
			ev.id = value
		}
	}
	return ev, hasData
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
