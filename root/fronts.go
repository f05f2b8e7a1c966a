package root

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
	"github.com/wagtaildyke/wagtaildyke/root/traffic"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// buildFronts adds the parts that listen for callers and operators.
func (p *Process) buildFronts() error {
	if p.settings.Entry != nil {
		p.traffic = traffic.New(p.trafficOptions())
	}
	options, err := p.operatorOptions()
	if err != nil {
		return err
	}
	p.tree.Service("operator", operator.New(options))
	return nil
}

func (p *Process) trafficOptions() traffic.Options {
	limits := p.settings.Limits
	return traffic.Options{
		Ancestor:    p.tree,
		Listener:    p.listeners.Entry,
		Views:       p.views,
		Loop:        p.loop,
		Dispatcher:  p.dispatcher,
		Applied:     p.applied.Load,
		VM:          p.settings.VM,
		Incarnation: p.incarnation,
		Limits: frontdoor.Limits{
			MaxBodyBytes: limits.MaxBodyBytes,
			BodyTimeout:  settings.Millis(limits.BodyTimeoutMillis),
			WriteTimeout: settings.Millis(limits.WriteTimeoutMillis),
		},
		Server: frontdoor.ServerOptions{
			MaxHeaderBytes: limits.MaxHeaderBytes,
			HeaderTimeout:  settings.Millis(limits.HeaderTimeoutMillis),
			IdleTimeout:    settings.Millis(limits.IdleTimeoutMillis),
		},
		AddressLifetime: p.settings.Entry.AddressLifetime(),
		NewID:           randomID,
		Served:          func(string, time.Duration) {},
		Refused:         func(string, fault.Kind) {},
	}
}

// metrics is what this process shows under /debug/vars.
type metrics struct {
	VM       string         `json:"vm"`
	Control  loop.Stats     `json:"control"`
	Peers    peers.Stats    `json:"peers"`
	Dispatch dispatch.Stats `json:"dispatch"`
	Engine   engine.Stats   `json:"engine"`
	InFlight int            `json:"in_flight"`
}

func (p *Process) metrics() any {
	out := metrics{
		VM:       p.settings.VM,
		Control:  p.loop.Stats(),
		Peers:    p.mesh.Stats(),
		Dispatch: p.dispatcher.Stats(),
	}
	if p.traffic != nil {
		out.Engine = p.traffic.Engine.Stats()
		out.InFlight = p.traffic.Handler.InFlight()
	}
	return out
}

// Ready reports whether this process may take new work and sees at least the
// given number of backend servers.
func (p *Process) Ready(servers int) bool {
	v := p.views.Load()
	return v.Ready(time.Now()) && len(v.Servers) >= servers
}
