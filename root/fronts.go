package root

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
	"github.com/wagtaildyke/wagtaildyke/root/traffic"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// buildFronts adds the parts that listen for callers and operators.
func (p *Process) buildFronts() error {
	recorder := burn.New(burn.Options{VM: p.settings.VM, Views: p.views})
	if p.settings.Entry != nil {
		p.traffic = traffic.New(p.trafficOptions(recorder))
	}
	options, err := p.operatorOptions()
	if err != nil {
		return err
	}
	options.Burn = recorder
	node := p.tree.Service("operator", operator.New(options))
	node.Passive("burn")
	return nil
}

func (p *Process) trafficOptions(recorder *burn.Recorder) traffic.Options {
	limits := p.settings.Limits
	return traffic.Options{
		Ancestor:    p.tree,
		Listener:    p.listeners.Entry,
		Views:       p.views,
		Loop:        p.loop,
		Dispatcher:  p.dispatcher,
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
		Served: func(class string, took time.Duration) {
			recorder.Answered(class, burn.Timing{Whole: took})
		},
		Refused: recorder.Refused,
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
