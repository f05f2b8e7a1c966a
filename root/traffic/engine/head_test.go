package engine_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
)

// TestMalformedHeadIsNoResponse guards against heads that net/http accepts although their
// status line has no meaning. They are followed by a body or by a second head that would pass
// for a response. The error tells what is wrong, without bytes of the server.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody"
	for head, want := range map[string]string{
		"HTTP/1.1 000 OK\r\n\r\n" + second:                                ".* status that .*",
		"HTTP/1.1 000 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":     ".* status that .*",
		"HTTP/1.1 099 OK\r\n\r\n" + second:                                ".* status that .*",
		"HTTP/1.1 +20 OK\r\n\r\n" + second:                                ".* status that .*",
		"HTTP/1.1 600 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":     ".* status that .*",
		"HTTP/1.1 101 Switch\r\nUpgrade: text\r\n\r\n" + second:           ".* switches to a protocol .*",
		"HTTP/2.0 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":     ".* status line",
		"HTTP/0.9 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":     ".* status line",
		"HTTP/1.1 200 O\x00K\r\nId: one\r\nContent-Length: 4\r\n\r\nbody": ".* status line",
		"HTTP/1.1 200 O\rK\r\nId: one\r\nContent-Length: 4\r\n\r\nbody":   ".* status line",
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
