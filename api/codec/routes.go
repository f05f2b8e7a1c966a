package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

func fromPlainRoutes(d *routes.Document) *api.LogRoutes {
	return &api.LogRoutes{
		Version:  d.Version,
		Source:   d.Source,
		Limits:   fromCallerLimits(d.Limits),
		Routes:   fromRouteList(d.Routes),
		Services: fromServices(d.Services),
		Tenants:  fromTenants(d.Tenants),
	}
}

func fromPlainDelta(d *routes.Delta) *api.RoutesDelta {
	out := &api.RoutesDelta{
		From:     d.From,
		Version:  d.Version,
		Set:      fromRouteList(d.Set),
		Services: fromServices(d.Services),
		Limits:   fromCallerLimits(d.Limits),

		SetTenants:     fromTenants(d.SetTenants),
		RemovedTenants: d.RemovedTenants,
	}
	for _, p := range d.Removed {
		out.Removed = append(out.Removed, &api.RoutePlace{Host: p.Host, Prefix: p.Prefix})
	}
	return out
}

func fromCallerLimits(l routes.Limits) *api.LogCallerLimits {
	return &api.LogCallerLimits{
		MaxHeaderBytes:     int64(l.MaxHeaderBytes),
		MaxBodyBytes:       int64(l.MaxBodyBytes),
		HeaderTimeoutNanos: int64(l.HeaderTimeout),
		IdleTimeoutNanos:   int64(l.IdleTimeout),
	}
}

func fromRouteList(list []routes.Route) []*api.LogRoute {
	out := make([]*api.LogRoute, 0, len(list))
	for i := range list {
		out = append(out, fromRoute(&list[i]))
	}
	return out
}

func fromServices(list []routes.Service) []*api.LogService {
	out := make([]*api.LogService, 0, len(list))
	for _, s := range list {
		out = append(out, &api.LogService{
			Name:           s.Name,
			HealthPath:     s.HealthPath,
			MaxConnections: int64(s.MaxConnections),
			Engine:         fromEngine(s.Engine),
		})
	}
	return out
}

func fromRoute(r *routes.Route) *api.LogRoute {
	out := &api.LogRoute{
		Name:           r.Name,
		Host:           r.Host,
		Prefix:         r.Prefix,
		Kind:           uint32(r.Kind),
		TimeoutNanos:   int64(r.Timeout),
		ObjectiveNanos: int64(r.LatencyObjective),
		MaxGapNanos:    int64(r.GapObjective),
		Priority:       int64(r.Priority),
		MaxAttempts:    int64(r.MaxAttempts),
		Prompt:         r.DescribesPrompt,
		Resumable:      r.Resumable,
		Public:         r.Public,
	}
	for _, s := range r.Split {
		out.Split = append(out.Split, &api.LogSplit{Service: s.Service, Weight: int64(s.Weight)})
	}
	return out
}

func fromEngine(e *routes.Engine) *api.LogEngine {
	if e == nil {
		return nil
	}
	return &api.LogEngine{
		Slots:               int64(e.Slots),
		CacheTokens:         int64(e.CacheTokens),
		CacheTokenBytes:     int64(e.CacheTokenBytes),
		LinkMbps:            e.LinkMbps,
		Moves:               e.SupportsMove,
		Backups:             e.SupportsBackup,
		TokensPerEvent:      int64(e.TokensPerEvent),
		HandleLifetimeNanos: int64(e.HandleLifetime),
		RoleChangeNanos:     int64(e.RoleChangeTime),
	}
}

func toPlainRoutes(m *api.LogRoutes) (*routes.Document, error) {
	list, err := toRouteList(m.Routes)
	if err != nil {
		return nil, err
	}
	tenants, err := toTenants(m.Tenants)
	if err != nil {
		return nil, err
	}
	return &routes.Document{
		Version:  m.Version,
		Source:   m.Source,
		Limits:   toCallerLimits(m.Limits),
		Routes:   list,
		Services: toServices(m.Services),
		Tenants:  tenants,
	}, nil
}

func toPlainDelta(m *api.RoutesDelta) (*routes.Delta, error) {
	set, err := toRouteList(m.Set)
	if err != nil {
		return nil, err
	}
	tenants, err := toTenants(m.SetTenants)
	if err != nil {
		return nil, err
	}
	out := &routes.Delta{
		From:     m.From,
		Version:  m.Version,
		Set:      set,
		Services: toServices(m.Services),
		Limits:   toCallerLimits(m.Limits),

		SetTenants:     tenants,
		RemovedTenants: m.RemovedTenants,
	}
	for _, p := range m.Removed {
		out.Removed = append(out.Removed, routes.Key{Host: p.GetHost(), Prefix: p.GetPrefix()})
	}
	return out, nil
}

func toCallerLimits(m *api.LogCallerLimits) routes.Limits {
	return routes.Limits{
		MaxHeaderBytes: int(m.GetMaxHeaderBytes()),
		MaxBodyBytes:   int(m.GetMaxBodyBytes()),
		HeaderTimeout:  time.Duration(m.GetHeaderTimeoutNanos()),
		IdleTimeout:    time.Duration(m.GetIdleTimeoutNanos()),
	}
}

func toRouteList(list []*api.LogRoute) ([]routes.Route, error) {
	var out []routes.Route
	for _, m := range list {
		r, err := toRoute(m)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func toServices(list []*api.LogService) []routes.Service {
	var out []routes.Service
	for _, m := range list {
		out = append(out, routes.Service{
			Name:           m.Name,
			HealthPath:     m.HealthPath,
			MaxConnections: int(m.MaxConnections),
			Engine:         toEngine(m.Engine),
		})
	}
	return out
}

func toRoute(m *api.LogRoute) (routes.Route, error) {
	kind, err := narrow[routes.Kind](m.Kind)
	if err != nil || kind > routes.Stream {
		return routes.Route{}, corrupt("an unknown kind of route %d", m.Kind)
	}
	out := routes.Route{
		Name:             m.Name,
		Host:             m.Host,
		Prefix:           m.Prefix,
		Kind:             kind,
		Timeout:          time.Duration(m.TimeoutNanos),
		LatencyObjective: time.Duration(m.ObjectiveNanos),
		GapObjective:     time.Duration(m.MaxGapNanos),
		Priority:         int(m.Priority),
		MaxAttempts:      int(m.MaxAttempts),
		DescribesPrompt:  m.Prompt,
		Resumable:        m.Resumable,
		Public:           m.Public,
	}
	for _, s := range m.Split {
		out.Split = append(out.Split, routes.WeightedService{Service: s.Service, Weight: int(s.Weight)})
	}
	return out, nil
}

func toEngine(m *api.LogEngine) *routes.Engine {
	if m == nil {
		return nil
	}
	return &routes.Engine{
		Slots:           int(m.Slots),
		CacheTokens:     int(m.CacheTokens),
		CacheTokenBytes: int(m.CacheTokenBytes),
		LinkMbps:        m.LinkMbps,
		SupportsMove:    m.Moves,
		SupportsBackup:  m.Backups,
		TokensPerEvent:  int(m.TokensPerEvent),
		HandleLifetime:  time.Duration(m.HandleLifetimeNanos),
		RoleChangeTime:  time.Duration(m.RoleChangeNanos),
	}
}
