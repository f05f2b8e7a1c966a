package scenario_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// callLimit bounds one call.
const callLimit = 40 * time.Second

// call is one caller's request and what came back.
type call struct {
	req    *http.Request
	cancel context.CancelFunc
	done   chan struct{}
	// read holds the reader of events after so many, until the call is aborted.
	holdAfter int

	mu     sync.Mutex
	status int
	head   http.Header
	body   bytes.Buffer
	events int
	whole  bool
	failed string
	cut    refusal
	err    error
}

// refusal is what a refusal says.
type refusal struct {
	Error struct {
		Kind string `json:"kind"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// newCall makes a call from its arguments: vm method path [name=value...].
//
// Names are class, key, caller, deadline (ms), body, size (bytes of the body),
// hold (events after which the caller stops reading), on (operator, for that
// listener) and header.X. A chat completion is made from prompt, tokens and
// stream (yes).
func (c *cluster) newCall(args []string) (*call, error) {
	words := args[:3]
	_, named := fields(args[3:])
	v, err := c.vm(words[0])
	if err != nil {
		return nil, err
	}
	body, err := bodyOf(named)
	if err != nil {
		return nil, err
	}
	hold, err := number(named, "hold", 0)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	host := v.entry
	if named["on"] == "operator" {
		host = v.operator
	}
	req, err := http.NewRequestWithContext(ctx, words[1], "http://"+host+words[2], strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	setHeaders(req.Header, named)
	return &call{req: req, cancel: cancel, done: make(chan struct{}), holdAfter: hold}, nil
}

func bodyOf(named map[string]string) (string, error) {
	size, err := number(named, "size", 0)
	if err != nil {
		return "", err
	}
	if size > 0 {
		return strings.Repeat("x", size), nil
	}
	prompt, ok := named["prompt"]
	if !ok {
		return named["body"], nil
	}
	tokens, err := number(named, "tokens", 8)
	if err != nil {
		return "", err
	}
	data, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": named["stream"] == "yes", "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(data), err
}

var headerNames = map[string]string{
	"class": "Wagtaildyke-Class", "key": "Idempotency-Key",
	"caller": "Wagtaildyke-Caller", "deadline": "Wagtaildyke-Deadline-Ms",
}

func setHeaders(head http.Header, named map[string]string) {
	for name, value := range named {
		if known, ok := headerNames[name]; ok {
			head.Set(known, value)
		}
		if other, ok := strings.CutPrefix(name, "header."); ok {
			head.Set(other, value)
		}
		if name == "headersize" {
			n, _ := strconv.Atoi(value)
			head.Set("X-Padding", strings.Repeat("p", n))
		}
	}
}

// run sends the call on a connection of its own and reads the answer.
func (c *call) run() {
	defer close(c.done)
	defer c.cancel()
	transport := &http.Transport{DisableKeepAlives: true, ReadBufferSize: 1 << 10}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(c.req)
	if err != nil {
		c.end(err)
		return
	}
	defer resp.Body.Close()
	c.mu.Lock()
	c.status, c.head = resp.StatusCode, resp.Header
	c.mu.Unlock()
	c.end(c.read(resp.Body))
}

func (c *call) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	if !c.whole && c.err == nil && !c.isStream() {
		c.whole = true
	}
	// A body that is no refusal leaves the kind empty.
	_ = json.Unmarshal(c.body.Bytes(), &c.cut)
}

func (c *call) isStream() bool {
	return strings.HasPrefix(c.head.Get("Content-Type"), "text/event-stream")
}

func (c *call) read(body io.Reader) error {
	if !c.isStream() {
		data, err := io.ReadAll(body)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.body.Write(data)
		return err
	}
	scan := bufio.NewScanner(body)
	isError := false
	for scan.Scan() {
		isError = c.line(scan.Text(), isError)
		if c.holdAfter > 0 && c.events >= c.holdAfter {
			<-c.req.Context().Done()
		}
	}
	return scan.Err()
}

// line takes one line of a stream and reports whether an error event goes on.
func (c *call) line(text string, isError bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, isData := strings.CutPrefix(text, "data: ")
	switch {
	case text == "event: error":
		return true
	case isError && isData:
		_ = json.Unmarshal([]byte(data), &c.cut)
		c.failed = data
		return false
	case isData:
		c.events++
		c.whole = c.whole || data == "[DONE]"
		c.body.WriteString(text + "\n\n")
	}
	return isError
}

// field returns one property of the answer by its name.
func (c *call) field(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch name {
	case "status":
		return strconv.Itoa(c.status)
	case "kind":
		return c.cut.Error.Kind
	case "ran":
		return c.cut.Error.Ran
	case "retry":
		return c.head.Get("X-Should-Retry")
	case "events":
		return strconv.Itoa(c.events)
	case "whole":
		return yesNo(c.whole && c.err == nil)
	case "error":
		return yesNo(c.err != nil)
	case "number":
		var a struct{ Number int }
		_ = json.Unmarshal(c.body.Bytes(), &a)
		return strconv.Itoa(a.Number)
	default:
		return "unknown field " + name
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// volatile are the parts of an answer that differ from run to run, by name.
var volatile = []struct {
	name    string
	pattern *regexp.Regexp
}{
	{"request-id", regexp.MustCompile(`\b[0-9a-f]{16}\b`)},
	{"address", regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`)},
	{"retry-after", regexp.MustCompile(`"retry_after_ms":[1-9]\d*`)},
}

func mask(text string) string {
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, "<"+v.name+">")
	}
	return text
}

func (c *call) masked() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mask(c.body.String())
}

// cmdCall sends a call and waits for its end; want looks at the answer.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "call vm method path [name=value...]")
	c := clusterOf(ts)
	k, err := c.newCall(args)
	fail(ts, err)
	k.run()
	c.last = k
}

// cmdStart sends a call under a name and goes on: start name vm method path ...
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, "start name vm method path [name=value...]")
	c := clusterOf(ts)
	k, err := c.newCall(args[1:])
	fail(ts, err)
	c.calls[args[0]] = k
	go k.run()
}

// cmdJoin waits for a started call: join name limit.
func cmdJoin(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "join name limit")
	c := clusterOf(ts)
	limit, err := time.ParseDuration(args[1])
	fail(ts, err)
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-c.calls[args[0]].done:
		c.last = c.calls[args[0]]
	case <-t.C:
		fail(ts, fmt.Errorf("call %s did not end within %s", args[0], limit))
	}
}

// cmdAbort makes a caller go away.
func cmdAbort(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "abort name")
	k := clusterOf(ts).calls[args[0]]
	k.cancel()
	<-k.done
}

// cmdWant checks the last answer: want name=value|other... Besides the fields,
// same=NAME compares it to the answer of another call, byte by byte, and
// saveas=NAME keeps it.
func cmdWant(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "want name=value|other...")
	c := clusterOf(ts)
	_, named := fields(args)
	for name, want := range named {
		switch name {
		case "saveas":
			c.calls[want] = c.last
		case "same":
			if got, other := c.last.masked(), c.calls[want].masked(); got != other {
				fail(ts, fmt.Errorf("the answer differs from that of %s:\n%s\n%s", want, got, other))
			}
		default:
			got := c.last.field(name)
			if !slices.Contains(strings.Split(want, "|"), got) {
				fail(ts, fmt.Errorf("%s is %q, want %q; err %v; answer:\n%s%s",
					name, got, want, c.last.err, c.last.masked(), c.last.failed))
			}
		}
	}
}

// shownHeaders are the headers that a golden file holds.
var shownHeaders = []string{"Content-Type", "Retry-After", "X-Should-Retry", "X-Request-Id"}

// cmdShow writes the last answer to standard output with volatile parts masked.
func cmdShow(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "show")
	k := clusterOf(ts).last
	fmt.Fprintf(ts.Stdout(), "HTTP %d\n", k.status)
	for _, name := range shownHeaders {
		if value := k.head.Get(name); value != "" {
			fmt.Fprintf(ts.Stdout(), "%s: %s\n", name, mask(value))
		}
	}
	fmt.Fprintf(ts.Stdout(), "\n%s\n", strings.TrimSpace(k.masked()+mask(k.failed)))
}
