package frontdoor

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-chi/chi/v5"

	"github.com/wagtaildyke/wagtaildyke/clock"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
)

// anonymousCaller stands for all callers that send no CallerHeader: they share
// length estimates and idempotency keys.
const anonymousCaller = "anonymous"

// forwardedHeaders are forwarded from callers to backend servers.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", IdempotencyHeader, "Openai-Beta"}

// completion handles an OpenAI-style completion request.
func (h *Handler) completion(w http.ResponseWriter, r *http.Request) {
	id := h.NewID()
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, id, "", err)
		return
	}
	defer body.Release()
	c, err := parseCompletion(body.Bytes)
	if err != nil {
		h.writeError(w, id, "", err)
		return
	}
	req := forward.Request{
		Dispatch: dispatch.Request{
			Target:          c.Model,
			PromptTokens:    c.promptTokens(),
			MaxOutputTokens: c.maxOutputTokens(),
			Prefix:          c.prefixHashes(),
		},
		Call: engine.Call{RequestTarget: r.URL.RequestURI(), Body: body.Bytes, Stream: c.Stream},
	}
	h.serve(w, r, id, req)
}

// service handles a call to a plain service.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	id := h.NewID()
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, id, "", err)
		return
	}
	defer body.Release()
	name := chi.URLParam(r, "service")
	// If r.URL.RawPath is empty, chi returns a name such as a%20b unescaped: the prefix
	// does not match, and the backend server receives the whole path.
	path := strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/"+name)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req := forward.Request{
		Dispatch: dispatch.Request{Target: name, PromptTokens: 1, MaxOutputTokens: 1},
		Call:     engine.Call{RequestTarget: path, Body: body.Bytes},
	}
	h.serve(w, r, id, req)
}

// serve sets the remaining fields of req, forwards the request and writes the
// response. The deadline and the timing count from the call of serve, after the body
// was read.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, id string, req forward.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	bodyReadAt := time.Now()
	class, err := h.setCommonFields(r, id, bodyReadAt, &req)
	if err != nil {
		h.writeError(w, id, r.Header.Get(ClassHeader), err)
		return
	}
	sink := newSink(w, id, h.Limits.WriteTimeout)
	sink.noRetry = !req.Idempotent
	err = h.Forwarder.Serve(r.Context(), req, sink)
	switch {
	case err == nil:
		h.OnServed(class.Name, sink.timing(bodyReadAt))
		h.Log.V(1).Info("request served", "request", id, "class", class.Name)
	case sink.started:
		h.OnError(class.Name, fault.KindOf(err))
		h.Log.Info("response aborted", "request", id, "class", class.Name, "reason", err.Error())
		sink.writeErrorEvent(fault.From(err))
		// Closes the connection, so that the caller detects the truncated body.
		panic(http.ErrAbortHandler)
	default:
		h.writeError(w, id, class.Name, err)
	}
}

// setCommonFields sets the fields of req that completions and service calls share,
// and returns the class. It is an error if the process is stopping or has no valid
// view.
func (h *Handler) setCommonFields(r *http.Request, id string, bodyReadAt time.Time, req *forward.Request) (table.Class, error) {
	v := h.Views.Load()
	if !v.Ready(clock.Now()) {
		return table.Class{}, errNotReady()
	}
	class, err := selectClass(&v.Table, r.Header.Get(ClassHeader), req.Dispatch.Target)
	if err != nil {
		return table.Class{}, err
	}
	req.Dispatch.Deadline, err = requestDeadline(r.Header.Get(DeadlineHeader), bodyReadAt, class)
	if err != nil {
		return table.Class{}, err
	}
	req.Dispatch.ID = id
	req.Dispatch.Class = class.Name
	req.Dispatch.Arrived = bodyReadAt
	req.Dispatch.Caller = r.Header.Get(CallerHeader)
	if req.Dispatch.Caller == "" {
		req.Dispatch.Caller = anonymousCaller
	}
	req.Key = r.Header.Get(IdempotencyHeader)
	if len(req.Dispatch.Caller) > ledger.MaxCallerBytes || len(req.Key) > ledger.MaxKeyBytes {
		return table.Class{}, fault.New(fault.Invalid, part, "caller or idempotency key is too long")
	}
	if !utf8.ValidString(req.Dispatch.Caller) || !utf8.ValidString(req.Key) {
		return table.Class{}, fault.New(fault.Invalid, part, "caller or idempotency key is not valid UTF-8")
	}
	req.Idempotent = class.Idempotent
	req.Call.RequestID = id
	req.Call.Method = r.Method
	req.Call.Headers = selectHeaders(r.Header)
	return class, nil
}

// selectClass returns the named class. Without a name it returns the first class
// in the table that allows the target.
func selectClass(t *table.Table, name, target string) (table.Class, error) {
	if name != "" {
		class, ok := t.Class(name)
		if !ok {
			return table.Class{}, fault.New(fault.NotFound, part, "class %q does not exist", name)
		}
		if !class.Allows(target) {
			return table.Class{}, fault.New(fault.NotFound, part, "class %q does not allow model or service %q", name, target)
		}
		return class, nil
	}
	i := slices.IndexFunc(t.Classes, func(c table.Class) bool { return c.Allows(target) })
	if i < 0 {
		return table.Class{}, fault.New(fault.NotFound, part, "no class allows %q", target)
	}
	return t.Classes[i], nil
}

// requestDeadline returns the earlier of the deadlines of the class and of the
// caller. Both count from the time at which the body had been read.
func requestDeadline(header string, bodyReadAt time.Time, class table.Class) (time.Time, error) {
	limit := class.Deadline
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, fault.New(fault.Invalid, part, "%s must be a positive number of milliseconds", DeadlineHeader)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return bodyReadAt.Add(limit), nil
}

// selectHeaders returns the fields that are forwarded to backend servers.
func selectHeaders(header http.Header) []engine.Header {
	var selected []engine.Header
	for _, name := range forwardedHeaders {
		for _, value := range header.Values(name) {
			selected = append(selected, engine.Header{Name: name, Value: value})
		}
	}
	return selected
}
