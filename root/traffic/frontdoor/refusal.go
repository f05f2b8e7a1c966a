package frontdoor

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
	// Type and Code repeat the kind under the names that OpenAI clients read.
	Type string `json:"type"`
	Code string `json:"code"`
}

func encodeRefusal(id string, e *fault.Error) []byte {
	name := e.Kind.String()
	data, err := json.Marshal(refusalBody{refusalError{
		Kind:         name,
		Ran:          e.Ran.String(),
		Message:      e.Error(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    id,
		Type:         name,
		Code:         name,
	}})
	if err != nil {
		return []byte(`{"error":{"kind":"internal","ran":"unknown"}}`)
	}
	return data
}

// refuse answers with the table row of the error's kind.
func (h *Handler) refuse(w http.ResponseWriter, id, class string, err error) {
	e := fault.From(err)
	answer := e.Kind.Answer()
	h.Refused(class, e.Kind)
	h.Log.V(1).Info("refused a request", "request", id, "class", class, "kind", answer.Name, "reason", e.Error())
	head := w.Header()
	head.Set("Content-Type", "application/json")
	head.Set(requestIDHeader, id)
	head.Set(retryHeader, strconv.FormatBool(answer.Retry && e.Ran == fault.RanNo))
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		head.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(answer.HTTPStatus)
	// A caller that has gone can't be told.
	_, _ = w.Write(encodeRefusal(id, e))
}
