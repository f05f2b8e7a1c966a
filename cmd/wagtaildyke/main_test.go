package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"wagtaildyke": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Cmds: scriptCommands, UpdateScripts: *update})
}

// use runs one command in this process.
func use(args ...string) (code int, out, problems string) {
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"wagtaildyke"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestEveryRefusalEndsWithTheExitCodeOfItsKind(t *testing.T) {
	c := qt.New(t)
	var kind fault.Kind
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(kind.Attributes().HTTPStatus)
		json.NewEncoder(w).Encode(map[string]operator.ErrorBody{"error": {Kind: kind.String(), Ran: "unknown", Message: "why"}})
	}))
	defer daemon.Close()
	for _, kind = range fault.Kinds() {
		code, out, problems := use("fleet", "--operator", daemon.URL)
		c.Check(code, qt.Equals, kind.Attributes().ExitCode, qt.Commentf("%s", kind))
		c.Check(out, qt.Equals, "")
		c.Check(problems, qt.Equals, fmt.Sprintf("wagtaildyke: %s: why (ran: unknown)\n", kind))
	}
}

// counted is a snapshot of one daemon for golden files.
func counted(vm string, at time.Time) burn.Snapshot {
	counts := burn.Counts{
		Within: 90, Late: 2, Refused: map[string]uint64{"overloaded": 8, "invalid": 5},
		Total:           burn.Buckets{{Index: 100, Count: 80}, {Index: 140, Count: 12}},
		Queue:           burn.Buckets{{Index: 50, Count: 92}},
		FirstToken:      burn.Buckets{{Index: 88, Count: 92}},
		AfterFirstToken: burn.Buckets{{Index: 92, Count: 92}},
	}
	snap := burn.Snapshot{VM: vm, At: at, Started: at.Add(-time.Hour), Entries: []string{"vm-1", "vm-2", "vm-3", "vm-4"}}
	kiosk := burn.ClassSnapshot{Class: "kiosk<&>", DeadlineMillis: 6000}
	for _, length := range []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour} {
		start := at.Truncate(length / burn.SlotsPerWindow)
		kiosk.Windows = append(kiosk.Windows, burn.WindowCounts{
			LengthSeconds: int(length / time.Second),
			Slots:         []burn.SlotCounts{{Start: start, Counts: counts}},
		})
	}
	snap.Classes = []burn.ClassSnapshot{kiosk, {Class: "stock", DeadlineMillis: 3000, Windows: make([]burn.WindowCounts, 3)}}
	return snap
}

func TestReportIsReadableWhenHalfTheFleetIsSilent(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	r := burn.Merge(at, 0.99, []burn.Snapshot{counted("vm-1", at), counted("vm-2", at)},
		[]burn.FetchError{{Operator: "http://vm-3:7490", Reason: "no answer in time"}})
	c.Check(r.Coverage.Missing, qt.DeepEquals, []string{"vm-3", "vm-4"})
	var text, page bytes.Buffer
	c.Assert(writeText(&text, r), qt.IsNil)
	c.Assert(writeHTML(&page, r), qt.IsNil)
	golden(c, "report.txt", text.Bytes())
	golden(c, "report.html", page.Bytes())
}

func golden(c *qt.C, name string, got []byte) {
	file := filepath.Join("testdata", "golden", name)
	if *update {
		c.Assert(os.WriteFile(file, got, 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, string(want))
}

func TestReportCountsEachDaemonOnce(t *testing.T) {
	c := qt.New(t)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(counted("vm-1", time.Now()))
	}))
	defer daemon.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	code, out, problems := use("report", "--json", "--operator", daemon.URL, "--operator", daemon.URL, "--operator", gone.URL)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", problems))
	var r burn.Report
	c.Assert(json.Unmarshal([]byte(out), &r), qt.IsNil)
	c.Check(r.Coverage.Answered, qt.DeepEquals, []string{"vm-1"})
	c.Check(r.Coverage.FetchErrors[0].Operator, qt.Equals, gone.URL)
	c.Check(r.Windows[0].Classes[0].Within, qt.Equals, uint64(90))
	code, out, _ = use("report", "--operator", gone.URL)
	c.Check(code, qt.Equals, fault.Unavailable.Attributes().ExitCode)
	c.Check(out, qt.Equals, "")
}

func TestLogLinesStartWithTheirPart(t *testing.T) {
	tests := map[string]string{
		"text": `msg="traffic/frontdoor: an answer was cut" daemon=vm-1 request=r1`,
		"json": `"msg":"an answer was cut","daemon":"vm-1","part":"traffic/frontdoor","request":"r1"`,
	}
	for format, want := range tests {
		c := qt.New(t)
		var out bytes.Buffer
		log := newLogger(&out, settings.Log{Format: format, Level: "info"}).WithValues("daemon", "vm-1")
		log.WithName("traffic").WithName("frontdoor").Info("an answer was cut", "request", "r1")
		c.Check(out.String(), qt.Contains, want)
		out.Reset()
		log.Info("serving")
		c.Check(out.String(), qt.Contains, map[string]string{"text": `msg="root: serving"`, "json": `"part":"root"`}[format])
	}
}
