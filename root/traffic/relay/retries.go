package relay

import (
	"math"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

// RetryBudget holds this entry's share of each service's retry budget.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request to the service.
	Ratio float64
	// Extra is the number of additional retries that the whole fleet is allowed per
	// service. It may be a fraction.
	Extra float64
	// Window is the length of the sliding window to which both limits apply.
	Window time.Duration
	// Entries returns the number of entries, which share Extra evenly; each rounds its
	// share down.
	Entries func() int

	mu       sync.Mutex
	services map[string]*admission.WindowBudget
}

// CountRequest counts one request to the service, whether or not it is sent.
func (r *RetryBudget) CountRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).CountRequest(now)
}

// Take takes one retry from the budget of the service and reports whether the budget
// permitted it.
func (r *RetryBudget) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	extra := math.Floor(r.Extra / float64(max(1, r.Entries())))
	return r.budget(service).Take(now, extra)
}

func (r *RetryBudget) budget(service string) *admission.WindowBudget {
	b := r.services[service]
	if b == nil {
		if r.services == nil {
			r.services = map[string]*admission.WindowBudget{}
		}
		b = admission.NewWindowBudget(r.Ratio, r.Window)
		r.services[service] = b
	}
	return b
}
