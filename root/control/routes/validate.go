package routes

import (
	"strings"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "control/routes"

// MaxDocumentBytes limits the source of one document.
const MaxDocumentBytes = 4 << 20

// Validate returns the first error in the document, of kind fault.Invalid or
// fault.TooLarge, or nil if it is valid.
func (d *Document) Validate() *fault.Error {
	if len(d.Source) > MaxDocumentBytes {
		return fault.New(fault.TooLarge, part, "the document has %d bytes; the limit is %d", len(d.Source), MaxDocumentBytes)
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service name %q is empty or not unique", s.Name)
		}
		services[s.Name] = true
	}
	keys := make(map[Key]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := r.Key()
		if keys[key] {
			return invalid("route %q has the same host and prefix as another route", r.Name)
		}
		keys[key] = true
	}
	return validateTenants(d.Tenants)
}

func (r *Route) validate(services map[string]bool) *fault.Error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q needs a host, and a prefix that starts and ends with a slash", r.Name)
	}
	if r.Timeout <= 0 {
		return invalid("route %q needs a timeout above 0", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid("route %q refers to unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q must add up to more than 0", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, part, format, args...)
}
