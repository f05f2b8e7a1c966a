package relay

import (
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/traffic/admission"
)

// Retries is this entry's part of the retry budget of every service.
type Retries struct {
	// Ratio is the number of further arrivals allowed for each request.
	Ratio float64
	// Extra is the number allowed besides over the whole fleet.
	Extra int
	// Window is the time over which both count.
	Window time.Duration
	// Entries returns the number of entries that share Extra.
	Entries func() int

	mu       sync.Mutex
	services map[string]*admission.WindowBudget
}

// First counts the first transmission of a request.
func (r *Retries) First(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).First(now)
}

// Take takes one further transmission from the budget, or reports that it is
// used up.
func (r *Retries) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	extra := r.Extra / max(1, r.Entries())
	return r.budget(service).Take(now, extra)
}

func (r *Retries) budget(service string) *admission.WindowBudget {
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
