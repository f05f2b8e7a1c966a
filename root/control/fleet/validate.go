package fleet

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "control/fleet"

// Limits on the texts of a server, in bytes. All VMs share them in messages and in the
// log, where one that is too long or can't be encoded would keep out those of the others.
const (
	MaxIDBytes      = 128
	MaxAddressBytes = 256
	MaxTargetBytes  = 256
)

// ValidateID checks the id of a backend server. The error is of kind fault.Invalid.
func ValidateID(id string) error {
	if id == "" {
		return fault.New(fault.Invalid, part, "the backend server has no id")
	}
	return validateText("id", id, MaxIDBytes)
}

// Validate checks the texts of an announcement. The error is of kind fault.Invalid.
func (s Server) Validate() error {
	if err := ValidateID(s.ID); err != nil {
		return err
	}
	if err := validateText("failure domain", s.FailureDomain, MaxIDBytes); err != nil {
		return err
	}
	if err := validateText("address", s.Address, MaxAddressBytes); err != nil {
		return err
	}
	for _, target := range s.Targets {
		if err := validateText("model or service", target, MaxTargetBytes); err != nil {
			return err
		}
	}
	return nil
}

func validateText(name, text string, limit int) error {
	switch {
	case len(text) > limit:
		return fault.New(fault.Invalid, part, "the %s of the backend server has %d bytes, more than %d", name, len(text), limit)
	case !utf8.ValidString(text):
		return fault.New(fault.Invalid, part, "the %s of the backend server is not valid UTF-8: %q", name, text)
	case strings.ContainsFunc(text, unicode.IsControl):
		return fault.New(fault.Invalid, part, "the %s of the backend server has a control character: %q", name, text)
	default:
		return nil
	}
}
