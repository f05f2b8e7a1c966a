package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// clientTimeout bounds one operator's request; a change of the table waits
// until it is in force everywhere.
const clientTimeout = 20 * time.Second

// maxReplyBytes bounds one reply.
const maxReplyBytes = 64 << 20

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "operator", Value: "http://127.0.0.1:9090", Sources: cli.EnvVars("WAGTAILDYKE_OPERATOR"),
			Usage: "base `URL` of a daemon's operator listener",
		},
		tokenFlag(),
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "token-file", Sources: cli.EnvVars("WAGTAILDYKE_TOKEN_FILE"),
		Usage: "`file` with the bearer token",
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

// client talks to one daemon's operator listener.
type client struct {
	base  string
	token string
}

func newClient(c *cli.Command) (*client, error) {
	token, err := readToken(c)
	return &client{base: strings.TrimSuffix(c.String("operator"), "/"), token: token}, err
}

func readToken(c *cli.Command) (string, error) {
	file := c.String("token-file")
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(err, fault.Invalid, part, "token file")
	}
	return strings.TrimSpace(string(data)), nil
}

// call is one request to the operator listener.
type call struct {
	method, path string
	header       map[string]string
	body         []byte
}

// reply is a successful answer.
type reply struct {
	header http.Header
	body   []byte
}

func (cl *client) do(ctx context.Context, q call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, cl.base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return reply{}, fault.Wrap(err, fault.Invalid, part, "the operator URL is wrong")
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	if cl.token != "" {
		req.Header.Set("Authorization", "Bearer "+cl.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, noAnswer(err)
	}
	defer resp.Body.Close()
	if engine.Unframed(resp) {
		// Daemons send a length or chunks, so the head or the connection is broken.
		return reply{}, fault.New(fault.Unavailable, part, "the answer has no length and may be cut")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, fault.Wrap(err, fault.Unavailable, part, "the answer was cut")
	}
	if resp.StatusCode != http.StatusOK {
		return reply{}, refusalFrom(resp.StatusCode, body)
	}
	return reply{header: resp.Header, body: body}, nil
}

// noAnswer maps a failed exchange. A refused connection proves that nothing ran.
func noAnswer(err error) error {
	out := fault.Wrap(err, fault.Unavailable, part, "the daemon did not answer")
	if errors.Is(err, syscall.ECONNREFUSED) {
		return out.WithRan(fault.RanNo)
	}
	return out
}

// refusalFrom turns a refusal's JSON back into its typed error.
func refusalFrom(status int, body []byte) error {
	var r struct {
		Error operator.ErrorBody `json:"error"`
	}
	kind, known := fault.Internal, false
	if json.Unmarshal(body, &r) == nil {
		kind, known = fault.ParseKind(r.Error.Kind)
	}
	if !known {
		return fault.New(fault.Unavailable, part, "the daemon answered status %d", status)
	}
	out := fault.New(kind, part, "%s", r.Error.Message)
	for _, ran := range []fault.Ran{fault.RanNo, fault.RanYes, fault.RanUnknown} {
		if ran.String() == r.Error.Ran {
			out = out.WithRan(ran)
		}
	}
	return out
}

// get fetches JSON into v and also returns it as sent.
func (cl *client) get(ctx context.Context, path string, v any) ([]byte, error) {
	r, err := cl.do(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return nil, fault.Wrap(err, fault.Internal, part, "the answer is not JSON")
	}
	return r.body, nil
}

// show fetches JSON and prints it as it is with --json, or else by print.
func show[T any](ctx context.Context, c *cli.Command, path string, print func(io.Writer, T) error) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var v T
	raw, err := cl.get(ctx, path, &v)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err = stdout(c).Write(raw)
		return err
	}
	return print(stdout(c), v)
}
