package engine

import (
	"errors"
	"net/http"
	"strings"
)

// Errors of heads that break the grammar of HTTP/1.1 (RFC 9110, RFC 9112).
var (
	errStatusLine  = errors.New("response head has a malformed status line")
	errStatusRange = errors.New("response head has a status that is not one of 100 to 599")
	errSwitched    = errors.New("response head switches to a protocol that was not requested")
)

// maxStatus is the highest status of the protocol.
const maxStatus = 599

// checkHead returns an error if the head of a response, parsed by net/http, is one that
// net/http accepts although its status line has no meaning.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1 || strings.ContainsFunc(resp.Status, isControl):
		return errStatusLine
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
		return errStatusRange
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errSwitched
	default:
		return nil
	}
}

// isControl reports whether r is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
