package routes

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const (
	// maxTenantValueBytes limits the name of a tenant and each of its keys, which are
	// values of headers.
	maxTenantValueBytes = 256
	// MaxKeys limits the keys of one document. A digest is larger than a short key, so a
	// document of legal size could otherwise have a typed form too large for the log.
	MaxKeys = 1 << 16
)

// KeyDigest is the SHA-256 digest of a tenant's key. Keys themselves are only in the
// source of a document.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a customer of the operator. Its requests carry one of its keys.
type Tenant struct {
	Name string
	// Keys are the digests of the tenant's keys, each once.
	Keys []KeyDigest
	// Priority takes precedence over the priority of a route; 0 is the most urgent.
	Priority int
}

// TenantSource is a tenant with its keys, as the operator sent it.
type TenantSource struct {
	Name     string
	Keys     []string
	Priority int
}

// NewTenants returns the tenants with the digests of their keys. The error is of kind
// fault.Invalid if a key can't be the value of a header. It contains no key.
func NewTenants(sources []TenantSource) ([]Tenant, *fault.Error) {
	var out []Tenant
	// tenant and key are the positions of the first key that is not valid, from 1.
	tenant, key := 0, 0
	for i, source := range sources {
		t := Tenant{Name: source.Name, Priority: source.Priority}
		listed := make(map[KeyDigest]bool, len(source.Keys))
		for j, text := range source.Keys {
			if !isHeaderValue(text) && tenant == 0 {
				tenant, key = i+1, j+1
			}
			if digest := DigestKey(text); !listed[digest] {
				listed[digest] = true
				t.Keys = append(t.Keys, digest)
			}
		}
		out = append(out, t)
	}
	if tenant > 0 {
		owners := keyOwners(out)
		return nil, invalid("key %d of %s is empty or can't be the value of a header", key, describeTenant(out, tenant-1, owners))
	}
	return out, nil
}

// keyOwners returns the positions of the first tenants that have each key.
func keyOwners(tenants []Tenant) map[KeyDigest]int {
	owners := map[KeyDigest]int{}
	for i := range tenants {
		for _, digest := range tenants[i].Keys {
			if _, used := owners[digest]; !used {
				owners[digest] = i
			}
		}
	}
	return owners
}

// describeTenant names a tenant in an error, by its position alone if its name is also a
// key or too long.
func describeTenant(tenants []Tenant, i int, owners map[KeyDigest]int) string {
	name := tenants[i].Name
	if _, isKey := owners[DigestKey(name)]; isKey || len(name) > maxTenantValueBytes {
		return fmt.Sprintf("tenant %d", i+1)
	}
	return fmt.Sprintf("tenant %d (%q)", i+1, name)
}

// validateTenants returns the first error in the tenants. It contains no key.
func validateTenants(tenants []Tenant) *fault.Error {
	total := 0
	for i := range tenants {
		total += len(tenants[i].Keys)
	}
	if total > MaxKeys {
		return fault.New(fault.TooLarge, part, "the tenants have %d keys; the limit is %d", total, MaxKeys)
	}
	owners := keyOwners(tenants)
	names := make(map[string]int, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		if !isHeaderValue(t.Name) {
			return invalid("the name of %s is empty or can't be the value of a header", describeTenant(tenants, i, owners))
		}
		if other, used := names[t.Name]; used {
			return invalid("%s has the same name as tenant %d", describeTenant(tenants, i, owners), other+1)
		}
		names[t.Name] = i
		// Backend servers are told the names of tenants and must not learn keys.
		if _, isKey := owners[DigestKey(t.Name)]; isKey {
			return invalid("the name of tenant %d is a tenant's key", i+1)
		}
		for _, digest := range t.Keys {
			if owner := owners[digest]; owner != i {
				return invalid("%s shares a key with %s", describeTenant(tenants, i, owners), describeTenant(tenants, owner, owners))
			}
		}
	}
	return nil
}

// isHeaderValue reports whether a text can be the value of a header: visible ASCII
// without spaces at its ends, and not too long.
func isHeaderValue(text string) bool {
	if text == "" || len(text) > maxTenantValueBytes || text != strings.Trim(text, " ") {
		return false
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// diffTenants returns the tenants that are new or changed in the later list, and the
// names of those that it lacks.
func diffTenants(from, to []Tenant) (set []Tenant, removed []string) {
	unmatched := make(map[string]*Tenant, len(from))
	for i := range from {
		unmatched[from[i].Name] = &from[i]
	}
	for _, t := range to {
		previous := unmatched[t.Name]
		delete(unmatched, t.Name)
		if previous == nil || previous.Priority != t.Priority || !slices.Equal(previous.Keys, t.Keys) {
			set = append(set, t)
		}
	}
	for i := range from {
		if _, gone := unmatched[from[i].Name]; gone {
			removed = append(removed, from[i].Name)
		}
	}
	return set, removed
}

// applyTenants returns the tenants after the changes; their order is unspecified.
func applyTenants(from, set []Tenant, removed []string) []Tenant {
	if len(set) == 0 && len(removed) == 0 {
		return from
	}
	replaced := make(map[string]bool, len(set)+len(removed))
	for i := range set {
		replaced[set[i].Name] = true
	}
	for _, name := range removed {
		replaced[name] = true
	}
	var out []Tenant
	for _, t := range from {
		if !replaced[t.Name] {
			out = append(out, t)
		}
	}
	return append(out, set...)
}
