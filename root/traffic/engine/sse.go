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

// doneData is the payload of the last event of a whole answer.
const doneData = "[DONE]"

// rawEvent is one server-sent event as read.
type rawEvent struct {
	id   string
	data []byte
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	scan *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	scan.Split(splitLine)
	return &eventReader{scan: scan}
}

// splitLine yields whole lines only: a line without its end was cut.
func splitLine(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte{'\r'}), nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// next returns the next event that carries data. The end of the stream is
// io.ErrUnexpectedEOF: a whole answer ends with its last event.
func (r *eventReader) next() (rawEvent, error) {
	var ev rawEvent
	lines, size := 0, 0
	for r.scan.Scan() {
		line := r.scan.Bytes()
		if len(line) == 0 {
			if lines > 0 {
				return ev, nil
			}
			ev, size = rawEvent{}, 0
			continue
		}
		size += len(line)
		if size > maxEventBytes {
			return rawEvent{}, fault.New(fault.TooLarge, part, "event larger than %d bytes", maxEventBytes)
		}
		name, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			if lines > 0 {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
			lines++
		case "id":
			ev.id = value
		}
	}
	if err := r.scan.Err(); err != nil {
		return rawEvent{}, err
	}
	return rawEvent{}, io.ErrUnexpectedEOF
}

// DoneData returns the payload of the last event of a whole answer.
func DoneData() []byte { return []byte(doneData) }

// AppendEvent writes an event in the form in which it travels.
func AppendEvent(b *bytes.Buffer, ev Event) {
	for line := range bytes.SplitSeq(ev.Data, []byte{'\n'}) {
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
}

func isDone(data []byte) bool { return string(data) == doneData }

// splitEventID splits "request-id/number".
func splitEventID(id string) (request string, n int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(id[i+1:])
	return id[:i], n, err == nil && n > 0
}
