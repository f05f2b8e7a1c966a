package codec

import (
	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

func fromTenants(list []routes.Tenant) []*api.LogTenant {
	out := make([]*api.LogTenant, 0, len(list))
	for i := range list {
		t := &list[i]
		m := &api.LogTenant{Name: t.Name, Priority: int64(t.Priority)}
		for _, digest := range t.Keys {
			m.KeyDigests = append(m.KeyDigests, digest[:]...)
		}
		out = append(out, m)
	}
	return out
}

func toTenants(list []*api.LogTenant) ([]routes.Tenant, error) {
	const size = len(routes.KeyDigest{})
	var out []routes.Tenant
	for _, m := range list {
		if len(m.KeyDigests)%size != 0 {
			return nil, corrupt("%d bytes of key digests", len(m.KeyDigests))
		}
		t := routes.Tenant{Name: m.Name, Priority: int(m.Priority)}
		for rest := m.KeyDigests; len(rest) > 0; rest = rest[size:] {
			t.Keys = append(t.Keys, routes.KeyDigest(rest[:size]))
		}
		out = append(out, t)
	}
	return out, nil
}
