package root

import (
	"runtime"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
	"github.com/wagtaildyke/wagtaildyke/root/traffic"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// buildFrontends adds the components that serve callers and operators.
func (p *Process) buildFrontends() error {
	recorder := burn.New(burn.Options{VM: p.settings.VM, Views: p.views})
	p.burnRecorder.Store(recorder)
	if p.settings.Platform != nil {
		p.buildPlatform()
	} else {
		p.tree.Passive("gateway")
	}
	if p.settings.Entry != nil {
		p.traffic = traffic.New(p.trafficOptions(recorder))
	}
	options, err := p.operatorOptions()
	if err != nil {
		return err
	}
	options.Burn = recorder
	if p.settings.Replica != nil {
		options.Reader = p.loop
	}
	node := p.tree.Service("operator", operator.New(options))
	node.Passive("burn")
	return nil
}

func (p *Process) trafficOptions(recorder *burn.Recorder) traffic.Options {
	limits := p.settings.Limits
	return traffic.Options{
		Parent:      p.tree,
		Listener:    p.listeners.Entry,
		Views:       p.views,
		Loop:        p.loop,
		Dispatcher:  p.dispatcher,
		Applied:     p.applied.Load,
		VM:          p.settings.VM,
		Incarnation: p.incarnation,
		Bodies:      p.untrusted.bodies,
		Limits: frontdoor.Limits{
			MaxBodyBytes: limits.MaxBodyBytes,
			BodyTimeout:  settings.Millis(limits.BodyTimeoutMillis),
			WriteTimeout: settings.Millis(limits.WriteTimeoutMillis),
		},
		Server:          p.serverOptions(mainListener),
		AddressLifetime: p.settings.Entry.AddressLifetime(),
		NewID:           randomID,
		OnServed: func(class string, t frontdoor.Timing) {
			recorder.RecordResponse(class, burn.Timing{FirstToken: t.FirstToken, Total: t.Total})
		},
		OnError: recorder.RecordError,
	}
}

// debugVars is the response body of /debug/vars.
type debugVars struct {
	VM            string         `json:"vm"`
	Incarnation   uint64         `json:"incarnation"`
	UptimeSeconds int64          `json:"uptime_seconds"`
	Goroutines    int            `json:"goroutines"`
	View          viewVars       `json:"view"`
	Control       loop.Stats     `json:"control"`
	Peers         peers.Stats    `json:"peers"`
	Dispatch      dispatch.Stats `json:"dispatch"`
	Engine        engine.Stats   `json:"engine"`
	InFlight      int            `json:"in_flight"`
	// Refusals counts by kind what was refused or closed to stay within the limits.
	Refusals map[string]uint64 `json:"refusals"`

	Transport engine.TransportStats `json:"transport"`
}

// viewOrEmpty returns the current view, or an empty one before the first view.
func (p *Process) viewOrEmpty() *view.View {
	if v := p.views.Load(); v != nil {
		return v
	}
	return &view.View{}
}

// viewVars describes the current view of this process.
type viewVars struct {
	Term         uint64 `json:"term"`
	Seq          uint64 `json:"seq"`
	TableVersion uint64 `json:"table_version"`
	Ready        bool   `json:"ready"`
	// LeaseMillis is the remaining time of the view lease, negative after its expiry.
	LeaseMillis int64          `json:"lease_ms"`
	VMs         map[string]int `json:"vms_by_state"`
	Servers     map[string]int `json:"backend_servers_by_state"`
}

func (p *Process) collectDebugVars() any {
	out := debugVars{
		VM:            p.settings.VM,
		Incarnation:   p.incarnation,
		UptimeSeconds: int64(time.Since(time.Unix(0, int64(p.incarnation))) / time.Second),
		Goroutines:    runtime.NumGoroutine(),
		View:          collectViewVars(p.views.Load(), time.Now()),
		Control:       p.loop.Stats(),
		Peers:         p.mesh.Stats(),
		Dispatch:      p.dispatcher.Stats(),
		Refusals:      p.untrusted.refusals.totals(),
	}
	if p.traffic != nil {
		out.Engine = p.traffic.Client.Stats()
		out.InFlight = p.traffic.Handler.InFlight()
	}
	if p.routed != nil {
		out.Transport = p.routed.Transport.Stats()
		out.InFlight = p.routed.InFlight()
	}
	return out
}

func collectViewVars(v *view.View, now time.Time) viewVars {
	out := viewVars{VMs: map[string]int{}, Servers: map[string]int{}}
	if v == nil {
		return out
	}
	out.Term, out.Seq, out.TableVersion = v.Term, v.Seq, v.Table.Version
	out.Ready = v.Ready(now)
	out.LeaseMillis = v.LeaseUntil.Sub(now).Milliseconds()
	for _, vm := range v.VMs {
		out.VMs[vm.State.String()]++
	}
	for _, s := range v.Servers {
		out.Servers[s.State.String()]++
	}
	return out
}

// Ready reports whether this process may accept new work and knows at least the
// given number of backend servers.
func (p *Process) Ready(servers int) bool {
	v := p.views.Load()
	return v.Ready(time.Now()) && len(v.Servers) >= servers
}
