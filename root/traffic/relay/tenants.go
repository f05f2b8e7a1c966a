package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/tenancy"
)

// refusedKeyLogInterval is the least time between two log lines about refused keys, so
// that a caller without a key can't fill the log.
const refusedKeyLogInterval = time.Second

// tenantIndex holds the index of the last document that a request was matched with.
type tenantIndex struct {
	current atomic.Pointer[tenancy.Index]
	// mu is held while an index is made, so that each document is indexed once.
	mu sync.Mutex
}

// of returns the index of a document.
func (t *tenantIndex) of(d *routes.Document) *tenancy.Index {
	if x := t.current.Load(); x != nil && x.Document() == d {
		return x
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.current.Load()
	if x != nil && x.Document() == d {
		return x
	}
	next := tenancy.NewIndex(d)
	// A request that loaded its view before the last change must not displace a newer index.
	if x == nil || d.Version >= x.Document().Version {
		t.current.Store(next)
	}
	return next
}

// refusedKeys counts the requests refused for their keys and limits the log lines about
// them.
type refusedKeys struct {
	total atomic.Uint64
	// logged is when the last line was written, in nanoseconds since the Unix epoch.
	logged atomic.Int64
}

// count counts a request and reports whether it may be logged.
func (k *refusedKeys) count(now time.Time) bool {
	k.total.Add(1)
	last := k.logged.Load()
	return now.UnixNano()-last >= int64(refusedKeyLogInterval) && k.logged.CompareAndSwap(last, now.UnixNano())
}

// RefusedKeys returns the number of requests refused with fault.Unauthorized.
func (r *Relay) RefusedKeys() uint64 { return r.refusedKeys.total.Load() }

// admit decides by the keys of a request whether the request is admitted to the route.
func (r *Relay) admit(v *view.View, route *routes.Route, req *Request) (tenancy.Decision, *fault.Error) {
	decision := r.tenants.of(v.Routes).Decide(route, req.Keys)
	now := r.LeaseNow()
	err := decision.Err(v.Fresh(now))
	switch {
	case err == nil:
		return decision, nil
	case err.Kind == fault.NotReady:
		err = fault.Wrap(err, fault.NotReady, part, "version %d of the routes, view %d/%d, lease left %s",
			v.Routes.Version, v.Term, v.Seq, v.LeaseUntil.Sub(now).Round(time.Millisecond))
		return decision, err.WithRetryAfter(noRoutesRetry)
	case r.refusedKeys.count(time.Now()):
		r.Log.Info("key refused", "request", req.ID, "route", route.Name, "routes", v.Routes.Version,
			"reason", decision.Verdict.String(), "total", r.RefusedKeys())
	}
	return decision, err
}

// checkTenant decides on the request's keys again if the routing document has changed
// since the last decision. It is called before each transmission, so that a removed key
// ends requests that wait. A request whose response to the caller has begun is running and
// is not affected.
func (r *requestRun) checkTenant() *fault.Error {
	v := r.Views.Load()
	if v.Routes == r.document || r.headSent {
		return nil
	}
	route := *r.route
	if match, found := v.Routes.Match(r.req.Host, r.req.Path); found {
		route.Public = match.Public
	}
	decision, err := r.admit(v, &route, r.req)
	if err != nil {
		r.keyRefused = true
		return err
	}
	r.decision, r.document = decision, v.Routes
	return nil
}
