package frontdoor

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// errorBody is the JSON body of an error response or error event.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
	// Type and Code repeat Kind under the names that OpenAI client libraries read.
	Type string `json:"type"`
	Code string `json:"code"`
}

// encodeError returns the JSON body that reports e for a request.
func encodeError(requestID string, e *fault.Error) []byte {
	name := e.Kind.String()
	data, err := json.Marshal(errorBody{errorDetail{
		Kind:         name,
		Ran:          e.Ran.String(),
		Message:      e.Error(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
		Type:         name,
		Code:         name,
	}})
	if err != nil {
		return []byte(`{"error":{"kind":"internal","ran":"unknown"}}`)
	}
	return data
}

// writeError sends the error response for the kind of err.
func (h *Handler) writeError(w http.ResponseWriter, id, class string, err error) {
	e := fault.From(err)
	answer := e.Kind.Attributes()
	h.OnError(class, e.Kind)
	h.Log.V(1).Info("request failed", "request", id, "class", class, "kind", answer.Name, "reason", e.Error())
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(requestIDHeader, id)
	header.Set(retryHeader, strconv.FormatBool(answer.Retryable && e.Ran == fault.RanNo))
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(answer.HTTPStatus)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(encodeError(id, e))
}
