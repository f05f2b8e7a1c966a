// Package tenancy decides which tenant a request belongs to, whether its key admits it,
// and with which rank it is sent to engines. It knows no front end. It does no I/O, reads
// no clock and starts no goroutines.
package tenancy

import (
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

const part = "traffic/tenancy"

// Verdict says whether a request's keys admit it.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	NoKey
	SeveralKeys
	UnknownKey
)

// String describes the verdict in errors and log lines.
func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "admitted"
	case NoKey:
		return "the request has no key"
	case SeveralKeys:
		return "the request has several keys"
	default:
		return "no tenant has the request's key"
	}
}

// Decision is the result of Index.Decide.
type Decision struct {
	Verdict Verdict
	// Tenant is the name of the tenant whose key the request carries; empty for none.
	Tenant string
	// Rank is the request's rank in the queue of an engine; 0 is the most urgent.
	Rank int
}

// Err returns the error for a request that is not admitted, and nil for one that is. Only
// a fresh view shows that a key is unknown: a later document may contain it.
func (d Decision) Err(fresh bool) *fault.Error {
	if d.Verdict == Admitted {
		return nil
	}
	kind := fault.Unauthorized
	if !fresh {
		kind = fault.NotReady
	}
	return fault.New(kind, part, "%s", d.Verdict)
}

// Index finds the tenants of one document by the digests of their keys. It is immutable.
type Index struct {
	document *routes.Document
	byDigest map[routes.KeyDigest]*routes.Tenant
	ranks    ranks
}

// NewIndex returns the index of a document.
func NewIndex(d *routes.Document) *Index {
	x := &Index{document: d, ranks: newRanks(d), byDigest: map[routes.KeyDigest]*routes.Tenant{}}
	for i := range d.Tenants {
		for _, digest := range d.Tenants[i].Keys {
			x.byDigest[digest] = &d.Tenants[i]
		}
	}
	return x
}

// Document returns the document that the index was made from.
func (x *Index) Document() *routes.Document { return x.document }

// Decide decides on a request of a route that carries keys with the given digests. The
// digests are looked up, so that the time taken says nothing about the keys that exist.
func (x *Index) Decide(route *routes.Route, keys []routes.KeyDigest) Decision {
	if len(x.document.Tenants) == 0 {
		return Decision{Rank: route.Priority}
	}
	tenant, verdict := x.find(keys)
	switch {
	case tenant != nil:
		return Decision{Tenant: tenant.Name, Rank: x.ranks.of(tenant.Priority, route.Priority)}
	case route.Public:
		return Decision{Rank: x.ranks.withoutTenant(route.Priority)}
	default:
		return Decision{Verdict: verdict}
	}
}

// find returns the tenant of a request, or nil and why there is none.
func (x *Index) find(keys []routes.KeyDigest) (*routes.Tenant, Verdict) {
	switch len(keys) {
	case 0:
		return nil, NoKey
	case 1:
		if tenant := x.byDigest[keys[0]]; tenant != nil {
			return tenant, Admitted
		}
		return nil, UnknownKey
	default:
		return nil, SeveralKeys
	}
}
