package engine_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// refusal returns a response that refuses the request with the given id.
func refusal(idField, id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=5\r\n%s: %s\r\n%s: no\r\nContent-Length: 0\r\n\r\n",
		idField, id, engine.RanHeader)
}

// refuseThenRepeat refuses the first request of all connections. Before the response to
// any later request on the same connection it writes that refusal once more.
func refuseThenRepeat(idField, id, answer string) func(int, net.Conn) {
	return func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		late := ""
		for first := n == 1; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			text := late + answer
			if first {
				late = refusal(idField, id)
				text = late
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func TestRefusalWrittenAgainIsNotTakenForTheResponseToARepeatedRequest(t *testing.T) {
	c := qt.New(t)
	address, count := listen(t, refuseThenRepeat("Id", "one", response("one", "answer")))
	tr := engine.NewTransport()
	for _, want := range []string{"", "answer"} {
		body, err := fetch(t, tr, address, identified("one"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, want)
	}
	c.Assert(count(), qt.Equals, 2)
}

func TestClientOfTheOwnFrontTakesNoRefusalWrittenAgain(t *testing.T) {
	c := qt.New(t)
	answer := strings.Replace(response("one", "answer"), "Id: ", engine.RequestIDHeader+": ", 1)
	address, _ := listen(t, refuseThenRepeat(engine.RequestIDHeader, "one", answer))
	client := engine.NewHTTPClient()
	c.Cleanup(client.Close)
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		resp, err := client.Do(t.Context(), fleet.Server{ID: "e", Address: "http://" + address}, engine.Call{
			RequestID: "one", Method: http.MethodPost, RequestTarget: "/x", Body: []byte("{}"),
		})
		c.Assert(err, qt.IsNil)
		_, err = resp.Body()
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Head().Status, qt.Equals, want)
		resp.Close()
	}
}

func TestRepeatedRequestFindsAConnectionWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	address, count := listen(t, respondAll(response("one", "answer")))
	tr := engine.NewTransport()
	for range 3 {
		resp, err := tr.Do(t.Context(), address, 1, identified("one"))
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "answer")
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	c.Assert(count(), qt.Equals, 3)
}

func TestResponseToARequestWithoutAnIDReachesNoRequestWithOne(t *testing.T) {
	c := qt.New(t)
	address, count := listen(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		late := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := strings.TrimPrefix(req.URL.Path, "/")
			if id == "none" {
				id = ""
			}
			if _, err := io.WriteString(conn, late+response(id, req.URL.Path)); err != nil {
				return
			}
			late = response(id, "late copy")
		}
	})
	tr := engine.NewTransport()
	requests := []engine.RawRequest{identified("one"), get("/none"), identified("two"), identified("three")}
	for _, req := range requests {
		body, err := fetch(t, tr, address, req)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, req.RequestTarget)
	}
	c.Assert(count(), qt.Equals, 2)
}

func TestRefusalWithoutAnIDOnAKeptConnectionSaysNothing(t *testing.T) {
	c := qt.New(t)
	unidentified := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	address, _ := listen(t, respondInTurn(response("one", "first"), unidentified+response("two", "second")))
	tr := engine.NewTransport()
	_, err := fetch(t, tr, address, identified("one"))
	c.Assert(err, qt.IsNil)
	_, err = fetch(t, tr, address, identified("two"))
	var failed *engine.SendError
	c.Assert(errors.As(err, &failed) && !failed.NotSent && fault.Is(err, fault.OutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
}
