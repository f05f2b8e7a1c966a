package engine_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// TestMalformedHeadIsNoResponse guards against heads that net/http accepts although their
// status, the names of their fields or the framing of their body has no certain meaning. Most
// are followed by a body or by a second head that would pass for a response. The error tells
// what is wrong, without bytes of the server.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody"
	for head, want := range map[string]string{
		"HTTP/1.1 000 OK\r\n\r\n" + second:                                                                            ".* status that .*",
		"HTTP/1.1 000 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                                 ".* status that .*",
		"HTTP/1.1 099 OK\r\n\r\n" + second:                                                                            ".* status that .*",
		"HTTP/1.1 +20 OK\r\n\r\n" + second:                                                                            ".* status that .*",
		"HTTP/1.1 600 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                                 ".* status that .*",
		"HTTP/1.1 101 Switch\r\nUpgrade: text\r\n\r\n" + second:                                                       ".* switches to a protocol .*",
		"HTTP/2.0 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                                 ".* status line",
		"HTTP/0.9 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                                 ".* status line",
		"HTTP/1.1 200 O\x00K\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                             ".* status line",
		"HTTP/1.1 200 O\rK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                               ".* status line",
		"HTTP/1.1 200 OK\r\nId: one\r\ntext x: y\r\nContent-Length: 4\r\n\r\nbody":                                    ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\ntext : y\r\nContent-Length: 4\r\n\r\nbody":                                     ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\ntext\t: y\r\nContent-Length: 4\r\n\r\nbody":                                    ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\nte\x01xt: y\r\nContent-Length: 4\r\n\r\nbody":                                  ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\nte\rxt: y\r\nContent-Length: 4\r\n\r\nbody":                                    ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\nt\xe9xt: y\r\nContent-Length: 4\r\n\r\nbody":                                   ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\n: y\r\nContent-Length: 4\r\n\r\nbody":                                          ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\nContent-Length : 4\r\n\r\nbody and more":                                       ".* field name",
		"HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody":                                  ".* field name",
		"HTTP/1.1 103 Hints\r\ntext x: y\r\n\r\n" + second:                                                            ".* field name",
		"HTTP/1.1 103 Hints\r\nContent-Length: 80\r\n\r\n" + second:                                                   ".* framing fields .*",
		"HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + second:                                           ".* framing fields .*",
		"HTTP/1.1 204 No Content\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":                                         ".* framing fields .*",
		"HTTP/1.1 204 No Content\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n":              ".* framing fields .*",
		"HTTP/1.0 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n":                               ".* framing fields .*",
		"HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n": ".* framing fields .*",
		"HTTP/1.1 200 OK\r\nId: one\r\ntext: a\x01b\r\nContent-Length: 4\r\n\r\nbody":                                 ".* malformed",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			c := qt.New(t)
			address, _ := listen(t, respondInTurn(head))
			body, err := fetch(t, engine.NewTransport(), address, identified("one"))
			c.Assert(err, qt.ErrorMatches, "response head .*", qt.Commentf("%q", body))
			c.Assert(err, qt.ErrorMatches, want)
			c.Assert(err.Error(), qt.Not(qt.Contains), "text")
		})
	}
}

// TestLengthOfZeroWithoutABodyIsSound covers responses without a body that say so twice.
func TestLengthOfZeroWithoutABodyIsSound(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 204 No Content\r\nId: one\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No Content\r\nId: one\r\n\r\n",
	} {
		c := qt.New(t)
		address, _ := listen(t, respondInTurn(text))
		body, err := fetch(t, engine.NewTransport(), address, identified("one"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "")
	}
}

// TestMalformedTrailerIsAnError guards against names in a trailer that net/http accepts.
func TestMalformedTrailerIsAnError(t *testing.T) {
	for _, trailer := range []string{"text x: y", "text : y", "te\x01xt: y"} {
		t.Run(fmt.Sprintf("%q", trailer), func(t *testing.T) {
			c := qt.New(t)
			address, _ := listen(t, respondInTurn("HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n\r\n"))
			_, err := fetch(t, engine.NewTransport(), address, identified("one"))
			c.Assert(err, qt.ErrorMatches, ".*trailer of the response is malformed")
		})
	}
}

// TestSecondHeadOnAReusedConnectionIsChecked sends a malformed head after a sound response.
func TestSecondHeadOnAReusedConnectionIsChecked(t *testing.T) {
	c := qt.New(t)
	malformed := strings.Replace(response("two", "second"), "Content-Length:", "Content-Length :", 1)
	address, count := listen(t, respondInTurn(response("one", "first"), malformed))
	tr := engine.NewTransport()
	body, err := fetch(t, tr, address, identified("one"))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "first")
	_, err = fetch(t, tr, address, identified("two"))
	c.Assert(err, qt.ErrorMatches, ".* field name")
	c.Assert(count(), qt.Equals, 1)
}
