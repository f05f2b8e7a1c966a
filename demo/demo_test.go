package demo_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/wagtaildyke/wagtaildyke/demo"
)

// testLimit bounds one run of the demo in a test.
const testLimit = 50 * time.Second

// running is a demo in this process.
type running struct {
	entries, operators []string
	stop               context.CancelFunc
	ended              chan error
}

func start(c *qt.C, data string) *running {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	out, in := io.Pipe()
	r := &running{stop: cancel, ended: make(chan error, 1)}
	go func() {
		err := demo.Run(ctx, demo.Options{Listen: "127.0.0.1:0", Data: data, Out: in, Log: logr.Discard()})
		in.Close()
		r.ended <- err
	}()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		word, value, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "entry":
			r.entries = append(r.entries, value)
		case "operator":
			r.operators = append(r.operators, value)
		case "try:":
			go io.Copy(io.Discard, out)
			return r
		}
	}
	c.Fatalf("the demo ended before it was ready: %v", <-r.ended)
	return nil
}

func exchange(c *qt.C, method, url, body string, header ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(text)
}

func TestDemoServesAndStops(t *testing.T) {
	c := qt.New(t)
	r := start(c, "")
	c.Assert(len(r.entries), qt.Equals, 3)
	c.Assert(len(r.operators), qt.Equals, 3)
	for _, entry := range r.entries {
		resp, text := exchange(c, "POST", entry+"/v1/chat/completions",
			`{"model":"assistant","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}`)
		c.Assert(resp.StatusCode, qt.Equals, 200)
		c.Assert(text, qt.Contains, "data: [DONE]")
	}
	_, text := exchange(c, "GET", r.operators[1]+"/v1/report", "")
	c.Assert(text, qt.Contains, `"within": 1`)
	r.stop()
	c.Assert(<-r.ended, qt.IsNil)
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t)
}

func TestDemoKeepsItsTable(t *testing.T) {
	c := qt.New(t)
	data := c.TempDir()
	r := start(c, data)
	_, table := exchange(c, "GET", r.operators[0]+"/v1/table", "")
	resp, text := exchange(c, "PUT", r.operators[0]+"/v1/table", strings.Replace(table, "short,3", "short,5", 1),
		"Wagtaildyke-Table-Version", "1", "Wagtaildyke-Change-Id", "test")
	c.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", text))
	r.stop()
	c.Assert(<-r.ended, qt.IsNil)

	r = start(c, data)
	resp, table = exchange(c, "GET", r.operators[2]+"/v1/table", "")
	c.Assert(resp.Header.Get("Wagtaildyke-Table-Version"), qt.Equals, "2")
	c.Assert(table, qt.Contains, "short,5")
	r.stop()
	c.Assert(<-r.ended, qt.IsNil)
}
