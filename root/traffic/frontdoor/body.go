package frontdoor

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// readBody reads a whole request body within the limits on size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if limit := h.Limits.MaxBodyBytes; r.ContentLength > limit && r.Header.Get("Expect") != "" {
		// The caller waits to be asked for the body. A caller that sends it anyway
		// is read up to the limit, or it would not see the refusal.
		return nil, fault.New(fault.TooLarge, part, "the body is larger than %d bytes", limit)
	}
	control := http.NewResponseController(w)
	// A listener without deadlines, such as in a test, reads without one.
	_ = control.SetReadDeadline(time.Now().Add(h.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.Limits.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, part, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.Invalid, part, "the body took longer than %s", h.Limits.BodyTimeout)
	default:
		return nil, fault.New(fault.Invalid, part, "the body can't be read: %v", err)
	}
}
