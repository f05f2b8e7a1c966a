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
	"github.com/wagtaildyke/wagtaildyke/root/traffic/relay"
	"github.com/wagtaildyke/wagtaildyke/settings"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

// PlatformListeners are the listeners of a platform deployment. Listeners that the
// settings don't name are nil.
type PlatformListeners struct {
	Frontend, Readiness, ControlPlane, Directory, Metrics net.Listener
}

func listenPlatform(s *settings.Platform) (l PlatformListeners, err error) {
	for _, spec := range []struct {
		field, address string
		listener       *net.Listener
	}{
		{"platform.frontend", s.Frontend, &l.Frontend},
		{"platform.readiness", s.Readiness, &l.Readiness},
		{"platform.control_plane", s.ControlPlane, &l.ControlPlane},
		{"platform.directory", s.Directory, &l.Directory},
		{"platform.metrics", s.Metrics, &l.Metrics},
	} {
		if spec.address == "" {
			continue
		}
		if *spec.listener, err = listen(spec.field, spec.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (l PlatformListeners) all() []net.Listener {
	return []net.Listener{l.Frontend, l.Readiness, l.ControlPlane, l.Directory, l.Metrics}
}

// buildPlatform adds the components that serve callers, backend servers and operators
// in a platform deployment.
func (p *Process) buildPlatform() {
	p.metrics = newMetricSet(p)
	if p.listeners.Platform.Frontend != nil {
		p.routed = traffic.NewRouted(p.routedOptions())
	}
	gateway.New(p.tree, p.gatewayEndpoints())
}

func (p *Process) gatewayEndpoints() []gateway.Endpoint {
	var out []gateway.Endpoint
	s, l := p.settings.Platform, p.listeners.Platform
	if l.Readiness != nil {
		out = append(out, gateway.Endpoint{Name: "readiness", Listener: l.Readiness, Handler: platform.NewReadiness(p.views), Server: p.serverOptions(smallListener)})
	}
	if l.Directory != nil {
		lifetime := settings.Millis(s.AddressLifetimeMillis)
		out = append(out, gateway.Endpoint{Name: "directory", Listener: l.Directory, Handler: platform.NewDirectory(p.views, lifetime), Server: p.serverOptions(directoryListener)})
	}
	if l.ControlPlane != nil {
		out = append(out, gateway.Endpoint{Name: "controlplane", Listener: l.ControlPlane, Handler: p.controlPlaneHandler(), Server: p.serverOptions(mainListener)})
	}
	if l.Metrics != nil {
		out = append(out, gateway.Endpoint{Name: "metrics", Listener: l.Metrics, Handler: p.metrics.Handler(), Server: p.serverOptions(smallListener)})
	}
	return out
}

func (p *Process) controlPlaneHandler() http.Handler {
	return platform.NewControl(gateway.NewRegistrar(p.views, p.loop), p.untrusted.bodies, p.log.WithName("gateway"))
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
		Server:       p.serverOptions(mainListener),
		Backend:      func(t *engine.Transport) relay.Backend { return platform.NewBackend(t) },
		NewHandler:   p.newIngress,
		MaxBodyBytes: p.settings.Limits.MaxBodyBytes,
		RetryBudget: &relay.RetryBudget{
			Ratio:   s.RetryRatio,
			Extra:   s.RetryExtra,
			Window:  settings.Seconds(s.RetryWindowSeconds),
			Entries: p.placer.Entries,
		},
		Observer: p.metrics,
		Random:   rand.Float64,
		Started:  time.Now(),
	}
}

func (p *Process) newIngress(r *relay.Relay, node *supervise.Node) http.Handler {
	return platform.NewIngress(platform.IngressOptions{
		Relay:        r,
		Bodies:       p.untrusted.bodies,
		BodyTimeout:  settings.Millis(p.settings.Limits.BodyTimeoutMillis),
		WriteTimeout: settings.Millis(p.settings.Limits.WriteTimeoutMillis),
		ResponseSent: p.metrics.ObserveResponse,
		Log:          node.Log().WithName("frontdoor"),
	})
}

// Reload applies a changed settings file. Only the discovery seeds can change at run
// time. All other changes need a restart.
func (p *Process) Reload(next *settings.Settings) {
	if next.Discovery == nil || p.settings.Discovery == nil {
		p.log.Info("reloaded the settings: no change takes effect without a restart")
		return
	}
	p.log.Info("reloaded the settings", "seeds", next.Discovery.Seeds)
	p.post(machine.ReplicasChanged{VMs: next.Replicas()})
}

// drainReserve is the length of the last part of the grace period, in which the
// listener is closed and requests in flight finish before the platform kills the
// process.
const drainReserve = 2200 * time.Millisecond

// lastAnswerTime is how long before the connections are closed the last requests are
// answered.
const lastAnswerTime = 200 * time.Millisecond

// drainPlatform takes the process out of service within the platform's grace period.
// The listener stays open until drainReserve before its end, because callers may still
// use a cached address. In the second half of that time responses close their
// connections, so that callers move on, and requests that may last longer than the process
// are refused. The rest takes up to drainReserve less
// addressAgeMargin, which is 1.7 s, also when the grace period is shorter.
func (p *Process) drainPlatform(ended <-chan struct{}) error {
	p.log.Info("stopping: withdrawing from the directory, reporting not ready")
	p.post(machine.Stop{Phase: machine.StopLeaving})
	var err error
	if p.routed != nil {
		grace := settings.Seconds(p.settings.Platform.GracePeriodSeconds)
		open := max(0, grace-drainReserve)
		limit := drainReserve - handoverDelay - addressAgeMargin
		wait(open/2, ended, nil)
		p.routed.EndAt(time.Now().Add(open/2 + limit - lastAnswerTime))
		p.routed.Server.CloseAfterResponses()
		wait(open/2, ended, nil)
		err = p.drainRouted(limit)
	}
	p.post(machine.Stop{Phase: machine.StopDone})
	wait(handoverDelay, ended, nil)
	return err
}

// drainRouted closes the listener and waits for the requests in flight to end. The
// error gives the number of those that remain at the limit. They are aborted when the
// tree stops.
func (p *Process) drainRouted(limit time.Duration) error {
	p.log.Info("stopping: closing the listener, draining requests", "in_flight", p.routed.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.routed.Server.Drain(ctx); err != nil {
		left := p.routed.InFlight()
		return fault.New(fault.StreamCut, part, "%d requests were aborted at the drain limit", left)
	}
	return nil
}
