package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

func fromPlainRoutes(d *routes.Document) *api.LogRoutes {
	out := &api.LogRoutes{
		Version: d.Version,
		Source:  d.Source,
		Limits: &api.LogCallerLimits{
			MaxHeaderBytes:     int64(d.Limits.MaxHeaderBytes),
			MaxBodyBytes:       int64(d.Limits.MaxBodyBytes),
			HeaderTimeoutNanos: int64(d.Limits.HeaderTimeout),
			IdleTimeoutNanos:   int64(d.Limits.IdleTimeout),
		},
	}
	for i := range d.Routes {
		out.Routes = append(out.Routes, fromRoute(&d.Routes[i]))
	}
	for _, s := range d.Services {
		out.Services = append(out.Services, &api.LogService{
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
		ObjectiveNanos: int64(r.Objective),
		MaxGapNanos:    int64(r.MaxGap),
		Priority:       int64(r.Priority),
		MaxAttempts:    int64(r.MaxAttempts),
		Prompt:         r.Prompt,
		Resumable:      r.Resumable,
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
		Moves:               e.Moves,
		Backups:             e.Backups,
		TokensPerEvent:      int64(e.TokensPerEvent),
		HandleLifetimeNanos: int64(e.HandleLifetime),
		RoleChangeNanos:     int64(e.RoleChange),
	}
}

func toPlainRoutes(m *api.LogRoutes) (*routes.Document, error) {
	out := &routes.Document{
		Version: m.Version,
		Source:  m.Source,
		Limits: routes.Limits{
			MaxHeaderBytes: int(m.Limits.GetMaxHeaderBytes()),
			MaxBodyBytes:   int(m.Limits.GetMaxBodyBytes()),
			HeaderTimeout:  time.Duration(m.Limits.GetHeaderTimeoutNanos()),
			IdleTimeout:    time.Duration(m.Limits.GetIdleTimeoutNanos()),
		},
	}
	for _, r := range m.Routes {
		route, err := toRoute(r)
		if err != nil {
			return nil, err
		}
		out.Routes = append(out.Routes, route)
	}
	for _, s := range m.Services {
		out.Services = append(out.Services, routes.Service{
			Name:           s.Name,
			HealthPath:     s.HealthPath,
			MaxConnections: int(s.MaxConnections),
			Engine:         toEngine(s.Engine),
		})
	}
	return out, nil
}

func toRoute(m *api.LogRoute) (routes.Route, error) {
	kind, err := narrow[routes.Kind](m.Kind)
	if err != nil || kind > routes.Stream {
		return routes.Route{}, corrupt("an unknown kind of route %d", m.Kind)
	}
	out := routes.Route{
		Name:        m.Name,
		Host:        m.Host,
		Prefix:      m.Prefix,
		Kind:        kind,
		Timeout:     time.Duration(m.TimeoutNanos),
		Objective:   time.Duration(m.ObjectiveNanos),
		MaxGap:      time.Duration(m.MaxGapNanos),
		Priority:    int(m.Priority),
		MaxAttempts: int(m.MaxAttempts),
		Prompt:      m.Prompt,
		Resumable:   m.Resumable,
	}
	for _, s := range m.Split {
		out.Split = append(out.Split, routes.Share{Service: s.Service, Weight: int(s.Weight)})
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
		Moves:           m.Moves,
		Backups:         m.Backups,
		TokensPerEvent:  int(m.TokensPerEvent),
		HandleLifetime:  time.Duration(m.HandleLifetimeNanos),
		RoleChange:      time.Duration(m.RoleChangeNanos),
	}
}
