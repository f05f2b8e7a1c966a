package frontdoor_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/forward"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
)

const (
	writeTimeout = 5 * time.Second
	// shortWriteTimeout may pass during a write on a busy machine.
	shortWriteTimeout = 50 * time.Millisecond
)

// testLimits are the limits of a front end, unless a test needs others.
var testLimits = frontdoor.Limits{MaxBodyBytes: 1 << 10, BodyTimeout: time.Second, WriteTimeout: writeTimeout}

// testServer is a front end with one backend server.
type testServer struct {
	*httptest.Server
	views *view.Store
	// announcements are those passed to the control thread.
	announcements []fleet.Server
	// announceErr is the control thread's answer to an announcement.
	announceErr error
	backend     *httptest.Server
	// distinctIDs gives each request an id of its own.
	distinctIDs bool
	requests    atomic.Int64
}

// newTestServer starts a front end whose backend server runs handler backend.
func newTestServer(t *testing.T, backend http.HandlerFunc) *testServer {
	return newTestServerWith(t, backend, testLimits)
}

func newTestServerWith(t *testing.T, backend http.HandlerFunc, limits frontdoor.Limits) *testServer {
	s := &testServer{views: &view.Store{}, backend: httptest.NewServer(backend)}
	t.Cleanup(s.backend.Close)
	s.publish(time.Hour)
	h := frontdoor.New(frontdoor.Options{
		Views: s.views,
		Forwarder: forward.New(forward.Options{
			Dispatcher: dispatch.New(dispatch.Options{Views: s.views, Entries: 1}),
			Client:     engine.NewHTTPClient(),
		}),
		Announce: func(_ context.Context, server fleet.Server) error {
			s.announcements = append(s.announcements, server)
			return s.announceErr
		},
		Bodies: intake.New(intake.Options{
			Budget:          budget.New(budget.Options{Small: 1 << 20, Large: max(1<<20, limits.MaxBodyBytes), SmallClaim: 64 << 10}),
			ProgressTimeout: time.Second,
			OnRefused:       func(intake.Reason) {},
		}),
		Limits:   limits,
		NewID:    s.newID,
		Log:      logr.Discard(),
		OnServed: func(string, frontdoor.Timing) {},
		OnError:  func(string, fault.Kind) {},
	})
	s.Server = httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func (s *testServer) newID() string {
	if s.distinctIDs {
		return fmt.Sprintf("%016x", s.requests.Add(1))
	}
	return "0123456789abcdef"
}

// publish publishes a view whose lease expires after the given time.
func (s *testServer) publish(lease time.Duration) {
	s.views.Publish(&view.View{
		Term: 1, Seq: 1, LeaseUntil: time.Now().Add(lease),
		Table: table.Table{Classes: []table.Class{
			{Name: "short", Weight: 1, Queue: 8, Deadline: time.Minute, Targets: []string{"assistant", "stock"}, Idempotent: true},
		}},
		Servers: []fleet.Server{{
			ID: "server-1", Address: s.backend.URL, Targets: []string{"assistant", "stock"}, Slots: 8,
		}},
	})
}

// send sends a request with pairs of header names and values, and returns the
// response and its body, which must be complete unless it ends with an error event.
func (s *testServer) send(c *qt.C, method, path, body string, headers ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.Client().Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	broken := strings.Contains(string(data), "event: error\n")
	c.Assert(err != nil, qt.Equals, broken, qt.Commentf("%v", err))
	return resp, string(data)
}

// echo responds with the method, URI and body that the backend server received.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
}

func TestRequestDecoding(t *testing.T) {
	server := newTestServer(t, echo)
	tests := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/v1/services/stock/a/b?c=d%20e", "x", 200, "POST /a/b?c=d%20e x"},
		{"DELETE", "/v1/services/stock?c=d", "", 200, "DELETE /?c=d "},
		{"HEAD", "/v1/services/stock/a", "", 200, ""},
		{"TRACE", "/v1/services/stock/a", "", 405, `"kind":"method_not_allowed","ran":"no"`},
		{"POST", "/v1/completions?x=1", `{"model":"assistant"}`, 200, "POST /v1/completions?x=1"},
		{"POST", "/v1/completions", `{"model":"assistant","Model":"other"}`, 200, "POST"},
		{"POST", "/v1/completions", `{"MODEL":"assistant"}`, 400, "model is missing"},
		{"POST", "/v1/completions", `{"model":"assistant"} x`, 400, `"ran":"no"`},
		{"POST", "/v1/completions", `{"model":{}}`, 400, "model is invalid"},
		{"POST", "/v1/completions", `{"model":"assistant","max_tokens":1e9}`, 400, "max_tokens is invalid"},
		{"POST", "/v1/completions", `{"model":"assistant","max_tokens":null,"stream":null}`, 200, "POST"},
		{"POST", "/v1/completions", strings.Repeat("x", 2000), 413, `"kind":"too_large","ran":"no"`},
		{"POST", "/v1/services/other/a", "", 404, `"kind":"not_found","ran":"no"`},
	}
	for _, test := range tests {
		t.Run(test.method+test.path+test.body[:min(40, len(test.body))], func(t *testing.T) {
			c := qt.New(t)
			resp, body := server.send(c, test.method, test.path, test.body)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			c.Check(body, qt.Contains, test.want)
		})
	}
}

func TestWriteDeadlineDoesNotOutliveResponse(t *testing.T) {
	c := qt.New(t)
	limits := testLimits
	limits.WriteTimeout = shortWriteTimeout
	server := newTestServerWith(t, echo, limits)
	server.send(c, "POST", "/v1/services/stock/a", "x")
	timer := time.NewTimer(2 * shortWriteTimeout)
	<-timer.C
	// The client's transport doesn't retry a POST, so a reset connection would show.
	resp, _ := server.send(c, "POST", "/v1/none", "")
	c.Check(resp.StatusCode, qt.Equals, http.StatusNotFound)
}

func TestTooLargeBodyGetsNoContinue(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, echo)
	body := &dummyReader{remaining: 1 << 20}
	req, err := http.NewRequest("POST", server.URL+"/v1/services/stock/a", body)
	c.Assert(err, qt.IsNil)
	req.ContentLength = 1 << 20
	req.Header.Set("Expect", "100-continue")
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Check(body.remaining, qt.Equals, 1<<20)
}

// dummyReader returns bytes of no particular value until remaining is 0.
type dummyReader struct{ remaining int }

func (r *dummyReader) Read(p []byte) (int, error) {
	n := min(len(p), r.remaining)
	r.remaining -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// TestAnnouncementNamesTargetsOfItsKind announces backend servers that list targets of
// the other kind, and would be in the fleet without any target.
func TestAnnouncementNamesTargetsOfItsKind(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, echo)
	for _, targets := range []string{
		`"kind":"service","models":["m"]`, `"kind":"engine","services":["s"]`, `"kind":"service"`,
		`"kind":"service","services":["s"],"models":["m"]`,
	} {
		resp, _ := server.send(c, "POST", "/v1/backend-servers", `{"id":"e","incarnation":1,"address":"http://127.0.0.1:1","slots":1,`+targets+`}`)
		c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", targets))
	}
	c.Check(server.announcements, qt.HasLen, 0)
}

func TestAnnouncementRequiresLease(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, echo)
	body := `{"id":"e","incarnation":1,"address":"http://127.0.0.1:1","kind":"engine","slots":1,"models":["m"]}`
	resp, _ := server.send(c, "POST", "/v1/backend-servers", body)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	server.publish(-time.Second)
	resp, text := server.send(c, "POST", "/v1/backend-servers", body)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(text, qt.Contains, `"kind":"not_ready"`)
	c.Check(server.announcements, qt.HasLen, 1)
}

// TestTextThatCannotBeEncodedIsRefused guards against texts that no message between
// processes can carry: callers waited for a timeout instead of an error.
func TestTextThatCannotBeEncodedIsRefused(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, echo)
	for _, field := range []string{`"id":"e\n"`, `"failure_domain":"` + strings.Repeat("x", 300) + `"`, `"address":"http://` + strings.Repeat("x", 300) + `"`, `"models":["` + strings.Repeat("x", 257) + `"]`} {
		body := `{"id":"e","incarnation":1,"address":"http://127.0.0.1:1","kind":"engine","slots":1,"models":["m"],` + field + `}`
		resp, _ := server.send(c, "POST", "/v1/backend-servers", body)
		c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%.40s", field))
	}
	c.Check(server.announcements, qt.HasLen, 0)
	for _, header := range []string{frontdoor.CallerHeader, frontdoor.IdempotencyHeader} {
		req, err := http.NewRequest("POST", server.URL+"/v1/completions", strings.NewReader(`{"model":"assistant","prompt":"p"}`))
		c.Assert(err, qt.IsNil)
		req.Header.Set(header, "k\xff")
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", header))
	}
}

// TestLeaveIsAnsweredOnceCommitted guards against a backend server that relies on an answer
// to its leave which is then lost.
func TestLeaveIsAnsweredOnceCommitted(t *testing.T) {
	c := qt.New(t)
	server := newTestServer(t, echo)
	server.announceErr = fault.New(fault.NoQuorum, "test", "not committed")
	body := `{"id":"e","incarnation":1,"address":"http://127.0.0.1:1","kind":"engine","slots":1,"models":["m"],"state":"leaving"}`
	resp, text := server.send(c, "POST", "/v1/backend-servers", body)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(text, qt.Contains, `"kind":"no_quorum"`)
}
