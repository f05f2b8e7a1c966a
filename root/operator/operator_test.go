package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/budget"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/intake"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// fakeControl records submitted commands and returns fixed results.
type fakeControl struct {
	commands []replicated.Command
	result   replicated.Result
	history  []table.Record
}

func (f *fakeControl) Submit(_ context.Context, cmd replicated.Command) (replicated.Result, error) {
	f.commands = append(f.commands, cmd)
	return f.result, nil
}

func (f *fakeControl) History(context.Context) ([]table.Record, error) { return f.history, nil }

// testServer is an operator server that stops when the test ends.
type testServer struct {
	c       *qt.C
	url     string
	control *fakeControl
}

// startServer starts a server whose options change may modify.
func startServer(c *qt.C, change func(*operator.Options)) *testServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	srv := &testServer{c: c, url: "http://" + ln.Addr().String(), control: &fakeControl{}}
	views := &view.Store{}
	views.Publish(&view.View{Term: 1, VMs: []fleet.VM{
		{ID: "vm-1", Incarnation: 10, State: fleet.Active},
		{ID: "vm-2", Incarnation: 20, State: fleet.Suspected},
	}})
	o := operator.Options{
		Bodies: intake.New(intake.Options{
			Budget:          budget.New(budget.Options{Small: 1 << 20, Large: 16 << 20, SmallClaim: 64 << 10}),
			ProgressTimeout: time.Second,
			OnRefused:       func(intake.Reason) {},
		}),
		Listener: ln, VM: "vm-1", Views: views, Submitter: srv.control, Reader: srv.control,
		Burn:    burn.New(burn.Options{VM: "vm-1", Views: views}),
		Tree:    func() supervise.Info { return supervise.Info{} },
		Metrics: func() any { return 1 },
		Log:     logr.Discard(),
	}
	change(&o)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		operator.New(o).Serve(ctx)
	}()
	c.Cleanup(func() { cancel(); <-stopped })
	return srv
}

func (srv *testServer) request(method, path, body string) (int, string) {
	req, err := http.NewRequest(method, srv.url+path, strings.NewReader(body))
	srv.c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	srv.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	srv.c.Assert(err, qt.IsNil)
	srv.c.Check(json.Valid(text), qt.IsTrue, qt.Commentf("%s", text))
	return resp.StatusCode, string(text)
}

func TestRequestsSubmitCommands(t *testing.T) {
	dead := replicated.ConfirmDead{ConfirmDead: authority.ConfirmDead{VM: "vm-2", Incarnation: 20, Operator: "me", Statement: "off"}}
	deadEarlier := dead
	deadEarlier.VM, deadEarlier.Incarnation = "vm-1", 9
	tests := []struct {
		method, path, body string
		want               replicated.Command
		status             int
		text               string
	}{
		{"POST", "/v1/confirmations", `{"vm":"vm-2","incarnation":20,"statement":"off","by":"me"}`, dead, 200, `"vm-2"`},
		{"POST", "/v1/confirmations", `{"vm":"vm-1","incarnation":9,"statement":"off","by":"me"}`, deadEarlier, 200, `"vm-1"`},
		{"POST", "/v1/confirmations", `{"vm":"vm-1","incarnation":10,"statement":"off","by":"me"}`, nil, 409, "is alive"},
		{"PUT", "/v1/fencing", `{"server":"e1","checks":true,"by":"me"}`, replicated.SetFencing{Server: "e1", Checks: true, Operator: "me"}, 200, "e1"},
		{"POST", "/v1/drains", `{"id":"e1","draining":true,"by":"me"}`, replicated.SetDrain{ID: "e1", Draining: true, Operator: "me"}, 200, "e1"},
		{"POST", "/v1/drains", `{"id":"e1","drainin":true}`, nil, 400, "unknown field"},
		{"PUT", "/v1/table", `class`, nil, 400, "must be the version"},
		{"GET", "/v1/nothing", ``, nil, 404, "no such path"},
		{"PUT", "/v1/tree", ``, nil, 405, "not allowed"},
	}
	for _, test := range tests {
		t.Run(test.body, func(t *testing.T) {
			c := qt.New(t)
			srv := startServer(c, func(*operator.Options) {})
			status, text := srv.request(test.method, test.path, test.body)
			c.Check(status, qt.Equals, test.status)
			c.Check(text, qt.Contains, test.text)
			if test.want == nil {
				c.Check(len(srv.control.commands), qt.Equals, 0)
				return
			}
			c.Check(srv.control.commands, qt.DeepEquals, []replicated.Command{test.want})
		})
	}
}

func TestCommandErrorIsReturned(t *testing.T) {
	c := qt.New(t)
	srv := startServer(c, func(*operator.Options) {})
	srv.control.result = replicated.Result{Err: fault.New(fault.NoQuorum, "x", "no leader").WithRan(fault.RanUnknown)}
	status, text := srv.request("POST", "/v1/drains", `{"id":"e1"}`)
	c.Check(status, qt.Equals, 503)
	c.Check(text, qt.Contains, `"ran": "unknown"`)
}

func TestHistory(t *testing.T) {
	c := qt.New(t)
	srv := startServer(c, func(*operator.Options) {})
	srv.control.history = []table.Record{{Version: 1, ID: "a", Author: "me", At: 1000, Classes: []table.Class{{Name: "kiosk"}}}}
	status, text := srv.request("GET", "/v1/table/history", "")
	c.Check(status, qt.Equals, 200)
	c.Check(text, qt.Contains, "kiosk,0,0,0,0,0,0,0,,no")
	c.Check(text, qt.Contains, `"at": "1970-01-01T00:00:01Z"`)
	withoutReader := startServer(c, func(o *operator.Options) { o.Reader = nil })
	status, text = withoutReader.request("GET", "/v1/table/history", "")
	c.Check(status, qt.Equals, 503)
	c.Check(text, qt.Contains, "ask a daemon with a replica")
}

func TestEveryPathRequiresToken(t *testing.T) {
	c := qt.New(t)
	srv := startServer(c, func(o *operator.Options) { o.Token = "secret" })
	for _, path := range []string{"/v1/tree", "/v1/fleet", "/v1/table", "/v1/table/history", "/v1/report", "/debug/vars", "/nothing"} {
		status, text := srv.request("GET", path, "")
		c.Check(status, qt.Equals, 401, qt.Commentf("%s", path))
		c.Check(text, qt.Contains, `"unauthorized"`)
	}
}

func TestVarsSections(t *testing.T) {
	c := qt.New(t)
	srv := startServer(c, func(o *operator.Options) { o.Burn.RecordError("x", fault.NotFound) })
	_, text := srv.request("GET", "/debug/vars", "")
	for _, want := range []string{`"wagtaildyke": 1`, `"not_found": 1`, `"tree"`, `"memstats"`, `"cmdline"`} {
		c.Check(text, qt.Contains, want)
	}
}

// TestTableChangeWithUnreadableAuthorIsRefused guards against an id or author that no
// message to the leader can carry.
func TestTableChangeWithUnreadableAuthorIsRefused(t *testing.T) {
	c := qt.New(t)
	srv := startServer(c, func(*operator.Options) {})
	for _, header := range []string{operator.ChangeIDHeader, operator.AuthorHeader} {
		req, err := http.NewRequest("PUT", srv.url+"/v1/table", strings.NewReader("class,weight,place,concurrency,rate_per_second,queue,tokens,deadline_ms,targets,idempotent\na,1,0,1,1,1,0,1000,m,yes\n"))
		c.Assert(err, qt.IsNil)
		req.Header.Set(operator.VersionHeader, "1")
		req.Header.Set(operator.ChangeIDHeader, "c-1")
		req.Header.Set(header, "c\xff")
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", header))
	}
	c.Check(srv.control.commands, qt.HasLen, 0)
}
