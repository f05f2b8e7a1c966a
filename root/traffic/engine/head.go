package engine

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// Errors of heads that break the grammar of HTTP/1.1 (RFC 9110, RFC 9112).
var (
	errStatusLine    = errors.New("response head has a malformed status line")
	errStatusRange   = errors.New("response head has a status that is not one of 100 to 599")
	errSwitched      = errors.New("response head switches to a protocol that was not requested")
	errFieldName     = errors.New("response head has a malformed field name")
	errFramingFields = errors.New("response head has framing fields that contradict each other or its status or version")
)

// maxStatus is the highest status of the protocol.
const maxStatus = 599

// checkHead returns an error if the head of a response, which net/http has parsed from the
// given bytes, breaks the grammar in a way that net/http accepts. It accepts any status of
// three digits, does not recognize fields whose name contains a blank, so that a length or
// chunks are lost, and drops one of two framing fields that contradict each other.
func checkHead(resp *http.Response, head []byte) error {
	fields := scanFields(head)
	bodiless := resp.StatusCode < http.StatusOK || resp.StatusCode == http.StatusNoContent
	switch {
	case resp.ProtoMajor != 1 || strings.ContainsFunc(resp.Status, isControl):
		return errStatusLine
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
		return errStatusRange
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errSwitched
	case fields.malformedName:
		return errFieldName
	case fields.encoded && (bodiless || fields.length || !resp.ProtoAtLeast(1, 1)):
		return errFramingFields
	case bodiless && fields.length && resp.Header.Get("Content-Length") != "0":
		return errFramingFields
	default:
		return nil
	}
}

// headFields is what checkHead needs to know of the fields of a head, as sent.
type headFields struct {
	// malformedName is set if the name of a field is not a token.
	malformedName bool
	// length and encoded are set if there is a Content-Length or Transfer-Encoding field.
	length, encoded bool
}

// scanFields reads the fields of a head up to its blank line. A line that begins with a blank
// continues the value before it.
func scanFields(head []byte) headFields {
	var fields headFields
	_, lines, _ := bytes.Cut(head, []byte{'\n'})
	for line := range bytes.Lines(lines) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			continue
		}
		name, _, found := bytes.Cut(line, []byte{':'})
		fields.malformedName = fields.malformedName || !found || !isToken(string(name))
		fields.length = fields.length || bytes.EqualFold(name, []byte("Content-Length"))
		fields.encoded = fields.encoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return fields
}

// validNames reports whether the names of all fields are tokens.
func validNames(fields http.Header) bool {
	for name := range fields {
		if !isToken(name) {
			return false
		}
	}
	return true
}

// isToken reports whether text is a token of HTTP, as the name of a field must be.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		alphanumeric := '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		return !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}

// isControl reports whether r is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
