package frontdoor

import (
	"errors"
	"net/http"
	"os"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
)

// readBody reads the whole request body within MaxBodyBytes and BodyTimeout.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (*intake.Body, error) {
	if limit := h.Limits.MaxBodyBytes; r.ContentLength > limit && r.Header.Get("Expect") != "" {
		// The caller waits for 100 Continue before it sends the body. Without Expect
		// the body is read up to the limit: the caller is already sending it, and
		// would not see the error response otherwise.
		return nil, fault.New(fault.TooLarge, part, "request body exceeds %d bytes", limit)
	}
	body, err := h.Bodies.Read(intake.FromHTTP(w, r, h.Limits.MaxBodyBytes, h.Limits.BodyTimeout))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.RequestTimeout):
		w.Header().Set("Connection", "close")
		return nil, err
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, part, "request body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.Invalid, part, "request body not received within %s", h.Limits.BodyTimeout)
	default:
		return nil, fault.New(fault.Invalid, part, "read request body: %v", err)
	}
}
