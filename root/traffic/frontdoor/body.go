package frontdoor

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// readBody reads the whole request body within MaxBodyBytes and BodyTimeout.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if limit := h.Limits.MaxBodyBytes; r.ContentLength > limit && r.Header.Get("Expect") != "" {
		// The caller waits for 100 Continue before it sends the body. Without Expect
		// the body is read up to the limit: the caller is already sending it, and
		// would not see the error response otherwise.
		return nil, fault.New(fault.TooLarge, part, "request body exceeds %d bytes", limit)
	}
	controller := http.NewResponseController(w)
	// A connection without support for deadlines is read without one.
	_ = controller.SetReadDeadline(time.Now().Add(h.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.Limits.MaxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, part, "request body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.Invalid, part, "request body not received within %s", h.Limits.BodyTimeout)
	default:
		return nil, fault.New(fault.Invalid, part, "read request body: %v", err)
	}
}
