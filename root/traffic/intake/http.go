package intake

import (
	"net/http"
	"time"
)

// FromHTTP returns the body of a request, of which reads fail with *http.MaxBytesError after
// limit bytes.
func FromHTTP(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) Source {
	control := http.NewResponseController(w)
	src := Source{
		Reader:  http.MaxBytesReader(w, r.Body, limit),
		Length:  r.ContentLength,
		Limit:   limit,
		Timeout: timeout,
		// A connection without support for deadlines is read without one.
		SetDeadline: func(at time.Time) { _ = control.SetReadDeadline(at) },
	}
	if src.Length > limit {
		src.Length = -1
	}
	return src
}
