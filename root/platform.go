package root

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/platform"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/gateway"
	"github.com/wagtaildyke/wagtaildyke/root/traffic"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
	"github.com/wagtaildyke/wagtaildyke/settings"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// PlatformListeners are the listeners of the platform's front; those that the
// settings don't name are nil.
type PlatformListeners struct {
	Frontend, Readiness, ControlPlane, Directory, Metrics net.Listener
}

func listenPlatform(s *settings.Platform) (l PlatformListeners, err error) {
	for _, one := range []struct {
		field, address string
		to             *net.Listener
	}{
		{"platform.frontend", s.Frontend, &l.Frontend},
		{"platform.readiness", s.Readiness, &l.Readiness},
		{"platform.control_plane", s.ControlPlane, &l.ControlPlane},
		{"platform.directory", s.Directory, &l.Directory},
		{"platform.metrics", s.Metrics, &l.Metrics},
	} {
		if one.address == "" {
			continue
		}
		if *one.to, err = listen(one.field, one.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (l PlatformListeners) all() []net.Listener {
	return []net.Listener{l.Frontend, l.Readiness, l.ControlPlane, l.Directory, l.Metrics}
}

// buildPlatform adds the parts that the platform's callers, workers and
// operator reach.
func (p *Process) buildPlatform() {
	p.counters = newCounters(p)
	if p.listeners.Platform.Frontend != nil {
		p.routed = traffic.NewRouted(p.routedOptions())
	}
	gateway.New(p.tree, p.gatewayListeners(), p.serverOptions())
}

func (p *Process) gatewayListeners() []gateway.Listener {
	var out []gateway.Listener
	s, l := p.settings.Platform, p.listeners.Platform
	if l.Readiness != nil {
		out = append(out, gateway.Listener{Name: "readiness", Net: l.Readiness, Handler: platform.NewReadiness(p.views)})
	}
	if l.Directory != nil {
		lifetime := settings.Millis(s.AddressLifetimeMillis)
		out = append(out, gateway.Listener{Name: "directory", Net: l.Directory, Handler: platform.NewDirectory(p.views, lifetime)})
	}
	if l.ControlPlane != nil {
		out = append(out, gateway.Listener{Name: "controlplane", Net: l.ControlPlane, Handler: p.controlHandler()})
	}
	if l.Metrics != nil {
		out = append(out, gateway.Listener{Name: "metrics", Net: l.Metrics, Handler: p.counters.Handler()})
	}
	return out
}

func (p *Process) controlHandler() http.Handler {
	return platform.NewControl(gateway.NewRegistrar(p.views, p.loop), p.log.WithName("gateway"))
}

func (p *Process) serverOptions() frontdoor.ServerOptions {
	limits := p.settings.Limits
	return frontdoor.ServerOptions{
		MaxHeaderBytes: limits.MaxHeaderBytes,
		HeaderTimeout:  settings.Millis(limits.HeaderTimeoutMillis),
		IdleTimeout:    settings.Millis(limits.IdleTimeoutMillis),
	}
}

func (p *Process) routedOptions() traffic.RoutedOptions {
	s := p.settings.Platform
	return traffic.RoutedOptions{
		Parent:       p.tree,
		Listener:     p.listeners.Platform.Frontend,
		Views:        p.views,
		Loop:         p.loop,
		Placer:       p.placer,
		Applied:      p.applied.Load,
		Server:       p.serverOptions(),
		Backend:      func(t *engine.Transport) relay.Backend { return platform.NewBackend(t) },
		Front:        p.ingress,
		MaxBodyBytes: p.settings.Limits.MaxBodyBytes,
		RetryBudget: &relay.RetryBudget{
			Ratio:   s.RetryRatio,
			Extra:   s.RetryExtra,
			Window:  settings.Seconds(s.RetryWindowSeconds),
			Entries: p.placer.Entries,
		},
		Observer: p.counters,
		Random:   rand.Float64,
		Started:  time.Now(),
	}
}

func (p *Process) ingress(r *relay.Relay, node *supervise.Node) http.Handler {
	return platform.NewIngress(platform.IngressOptions{
		Relay:        r,
		WriteTimeout: settings.Millis(p.settings.Limits.WriteTimeoutMillis),
		Answered:     p.counters.Answered,
		Log:          node.Log().WithName("frontdoor"),
	})
}

// Reload takes over what changed in the settings file: the seeds. Other changes
// need a new start.
func (p *Process) Reload(next *settings.Settings) {
	if next.Discovery == nil || p.settings.Discovery == nil {
		p.log.Info("reloaded the settings: nothing that can change without a new start")
		return
	}
	p.log.Info("reloaded the settings", "seeds", next.Discovery.Seeds)
	p.post(machine.ReplicasChanged{VMs: next.Replicas()})
}

// stopReserve is the time before the platform ends the process by force in
// which requests in flight are finished.
const stopReserve = 2200 * time.Millisecond

// drainPlatform stops within the platform's grace period. The listener stays
// open while callers may still hold the address.
func (p *Process) drainPlatform(ended <-chan struct{}) error {
	p.log.Info("stopping: leaving the directory, no longer ready")
	p.post(machine.Stop{Phase: machine.StopLeaving})
	var err error
	if p.routed != nil {
		grace := settings.Seconds(p.settings.Platform.GracePeriodSeconds)
		wait(max(0, grace-stopReserve), ended, nil)
		err = p.drainRouted(stopReserve - handOverTime - callerSlack)
	}
	p.post(machine.Stop{Phase: machine.StopDone})
	wait(handOverTime, ended, nil)
	return err
}

func (p *Process) drainRouted(limit time.Duration) error {
	p.log.Info("stopping: closing the listener, draining", "in_flight", p.routed.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.routed.Server.Drain(ctx); err != nil {
		left := p.routed.InFlight()
		return fault.New(fault.StreamCut, part, "%d requests were cut at the end of the grace period", left)
	}
	return nil
}
