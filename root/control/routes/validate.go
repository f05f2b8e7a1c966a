package routes

import (
	"strings"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "control/routes"

// MaxDocumentBytes bounds the source of one document.
const MaxDocumentBytes = 4 << 20

// Validate reports the first thing wrong with a document, of kind
// fault.Invalid or fault.TooLarge; nil for a good one.
func (d *Document) Validate() *fault.Error {
	if len(d.Source) > MaxDocumentBytes {
		return fault.New(fault.TooLarge, part, "the document has %d bytes; the bound is %d", len(d.Source), MaxDocumentBytes)
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q has no name of its own", s.Name)
		}
		services[s.Name] = true
	}
	places := make(map[Place]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		at := r.Place()
		if places[at] {
			return invalid("route %q shares host and prefix with another one", r.Name)
		}
		places[at] = true
	}
	return nil
}

func (r *Route) validate(services map[string]bool) *fault.Error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q needs a host and a prefix between slashes", r.Name)
	}
	if r.Timeout <= 0 {
		return invalid("route %q needs a timeout", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, part, format, args...)
}
