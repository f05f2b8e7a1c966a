package frontdoor

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
)

// anonymousCaller stands for callers that give no name.
const anonymousCaller = "anonymous"

// passedHeaders cross the system from callers to backend servers.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", IdempotencyHeader, "Openai-Beta"}

// completion serves an OpenAI-style completion.
func (h *Handler) completion(w http.ResponseWriter, r *http.Request) {
	id := h.NewID()
	body, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, id, "", err)
		return
	}
	c, err := parseCompletion(body)
	if err != nil {
		h.refuse(w, id, "", err)
		return
	}
	req := forward.Request{
		Work: dispatch.Request{
			Target:          c.Model,
			PromptTokens:    c.promptTokens(),
			MaxOutputTokens: c.maxOutputTokens(),
			Prefix:          c.prefixHashes(),
		},
		Call: engine.Call{Path: r.URL.RequestURI(), Body: body, Stream: c.Stream},
	}
	h.serve(w, r, id, req)
}

// service serves a call to a plain service.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	id := h.NewID()
	body, err := h.readBody(w, r)
	if err != nil {
		h.refuse(w, id, "", err)
		return
	}
	name := chi.URLParam(r, "service")
	path := strings.TrimPrefix(r.URL.RequestURI(), "/v1/services/"+name)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req := forward.Request{
		Work: dispatch.Request{Target: name, PromptTokens: 1, MaxOutputTokens: 1},
		Call: engine.Call{Path: path, Body: body},
	}
	h.serve(w, r, id, req)
}

// serve fills in what both front ends share and carries the request.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, id string, req forward.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := time.Now()
	class, err := h.complete(r, id, arrived, &req)
	if err != nil {
		h.refuse(w, id, r.Header.Get(ClassHeader), err)
		return
	}
	out := newSink(w, id, h.Limits.WriteTimeout)
	out.once = !req.Idempotent
	err = h.Forwarder.Serve(r.Context(), req, out)
	switch {
	case err == nil:
		h.Served(class.Name, out.timing(arrived))
		h.Log.V(1).Info("answered a request", "request", id, "class", class.Name)
	case out.started:
		h.Refused(class.Name, fault.KindOf(err))
		h.Log.Info("an answer was cut", "request", id, "class", class.Name, "reason", err.Error())
		out.fail(fault.From(err))
		if !out.stream {
			panic(http.ErrAbortHandler)
		}
	default:
		h.refuse(w, id, class.Name, err)
	}
}

// complete takes class, caller, deadline and key from the headers.
func (h *Handler) complete(r *http.Request, id string, arrived time.Time, req *forward.Request) (table.Class, error) {
	v := h.Views.Load()
	if !v.Ready(arrived) {
		return table.Class{}, errNoView()
	}
	class, err := chooseClass(&v.Table, r.Header.Get(ClassHeader), req.Work.Target)
	if err != nil {
		return table.Class{}, err
	}
	req.Work.Deadline, err = deadline(r.Header.Get(DeadlineHeader), arrived, class)
	if err != nil {
		return table.Class{}, err
	}
	req.Work.ID = id
	req.Work.Class = class.Name
	req.Work.Arrived = arrived
	req.Work.Caller = r.Header.Get(CallerHeader)
	if req.Work.Caller == "" {
		req.Work.Caller = anonymousCaller
	}
	req.Key = r.Header.Get(IdempotencyHeader)
	if len(req.Work.Caller) > ledger.MaxCallerBytes || len(req.Key) > ledger.MaxKeyBytes {
		return table.Class{}, fault.New(fault.Invalid, part, "caller or idempotency key is too long")
	}
	req.Idempotent = class.Idempotent
	req.Call.RequestID = id
	req.Call.Method = r.Method
	req.Call.Headers = passed(r.Header)
	return class, nil
}

// chooseClass returns the named class, or without a name the first one in the
// table that allows the target.
func chooseClass(t *table.Table, name, target string) (table.Class, error) {
	if name != "" {
		class, ok := t.Class(name)
		if !ok {
			return table.Class{}, fault.New(fault.NotFound, part, "class %q is not in the table", name)
		}
		if !class.Allows(target) {
			return table.Class{}, fault.New(fault.NotFound, part, "class %q does not allow %q", name, target)
		}
		return class, nil
	}
	i := slices.IndexFunc(t.Classes, func(c table.Class) bool { return c.Allows(target) })
	if i < 0 {
		return table.Class{}, fault.New(fault.NotFound, part, "no class allows %q", target)
	}
	return t.Classes[i], nil
}

// deadline returns the earlier of the class's deadline and the caller's own.
func deadline(header string, arrived time.Time, class table.Class) (time.Time, error) {
	limit := class.Deadline
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, fault.New(fault.Invalid, part, "%s must be a number of milliseconds", DeadlineHeader)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return arrived.Add(limit), nil
}

func passed(head http.Header) []engine.Header {
	var out []engine.Header
	for _, name := range passedHeaders {
		for _, value := range head.Values(name) {
			out = append(out, engine.Header{Name: name, Value: value})
		}
	}
	return out
}
