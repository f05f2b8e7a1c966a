package engine

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Limits on response bodies that are read as a whole.
const (
	// maxResponseBytes bounds one body.
	maxResponseBytes = 8 << 20
	// maxBodiesBytes bounds the bodies and events that are being read at the same time, so
	// that servers that send without end can't use up the memory of the process.
	maxBodiesBytes = 32 << 20
	// smallBodyBytes of each body or event don't count, so that ordinary responses are read
	// while large ones use up the limit.
	smallBodyBytes = 64 << 10
)

var errBodiesTooLarge = errors.New("the response bodies being read take too much memory")

// readMemory counts the bytes of what is being read from servers, up to limit.
type readMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve adds n bytes unless that exceeds the limit.
func (m *readMemory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// ReadBody reads a whole body. A truncated body, one of more than maxResponseBytes, and
// one for which there is no memory left are errors.
func (t *Transport) ReadBody(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	var reserved int64
	defer func() { t.bodies.used.Add(-reserved) }()
	for {
		// The next piece is as large as the body so far, within the limits.
		piece := min(max(int64(body.Len()), smallBodyBytes), maxResponseBytes+1-int64(body.Len()))
		if body.Len() > 0 {
			if !t.bodies.reserve(piece) {
				return nil, bodyError(errBodiesTooLarge)
			}
			reserved += piece
		}
		_, err := io.CopyN(&body, r, piece)
		switch {
		case err == io.EOF:
			return body.Bytes(), nil
		case err != nil:
			return nil, bodyError(err)
		case body.Len() > maxResponseBytes:
			return nil, fault.New(fault.BackendFailed, part, "response body exceeds %d bytes", maxResponseBytes).WithRan(fault.RanYes)
		}
	}
}

func bodyError(err error) error {
	return fault.Wrap(err, fault.BackendFailed, part, "read response body").WithRan(fault.RanYes)
}
