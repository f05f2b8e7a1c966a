package codec

import (
	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
)

func fromRecordedServers(servers []fleet.Server) []*api.LogRecordedServer {
	var out []*api.LogRecordedServer
	for _, s := range servers {
		out = append(out, &api.LogRecordedServer{
			Id:            s.ID,
			Incarnation:   s.Incarnation,
			Address:       s.Address,
			FailureDomain: s.FailureDomain,
			Kind:          uint32(s.Kind),
			Role:          uint32(s.Role),
			Targets:       s.Targets,
			Slots:         int64(s.Slots),
			CacheTokens:   int64(s.CacheTokens),
			State:         uint32(s.State),
			Sequence:      s.Sequence,
		})
	}
	return out
}

func toRecordedServers(servers []*api.LogRecordedServer) ([]fleet.Server, error) {
	var out []fleet.Server
	for _, s := range servers {
		kind, err := narrow[fleet.ServerKind](s.Kind)
		if err != nil {
			return nil, err
		}
		role, err := narrow[fleet.Role](s.Role)
		if err != nil {
			return nil, err
		}
		state, err := narrow[fleet.State](s.State)
		if err != nil {
			return nil, err
		}
		out = append(out, fleet.Server{
			ID:            s.Id,
			Incarnation:   s.Incarnation,
			Address:       s.Address,
			FailureDomain: s.FailureDomain,
			Kind:          kind,
			Role:          role,
			Targets:       s.Targets,
			Slots:         int(s.Slots),
			CacheTokens:   int(s.CacheTokens),
			State:         state,
			Sequence:      s.Sequence,
		})
	}
	return out, nil
}
