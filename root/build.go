package root

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/loop"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
	"github.com/wagtaildyke/wagtaildyke/root/orders"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/dispatch"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

func (p *Process) buildMesh() error {
	hello := codec.Hello{VM: p.settings.VM, Incarnation: p.incarnation, Cluster: p.settings.Cluster}
	dialer := peers.PlainDialer
	if files := p.settings.Peers.TLS; files != nil {
		credentials, err := peers.LoadCredentials(peers.TLSFiles{Cert: files.CertFile, Key: files.KeyFile, CA: files.CAFile})
		if err != nil {
			return err
		}
		dialer = credentials.Dial
		p.listeners.Peers = credentials.Listener(p.listeners.Peers)
	}
	p.mesh = peers.New(hello, dialer, p.deliver, p.log.WithName("peers"))
	return nil
}

func (p *Process) deliver(ctx context.Context, from string, msg machine.Message) {
	// Most messages may be dropped when the inbox is full, because their senders repeat
	// them. For others, Post fails only if ctx ends.
	_ = p.loop.Post(ctx, machine.Received{From: from, Message: msg})
}

func (p *Process) buildControl(replica *control.ReplicaOptions) error {
	s := p.settings
	p.dispatcher = dispatch.New(dispatch.Options{
		Views: p.views, Seed: p.incarnation, Entries: len(s.Members), Self: s.VM,
	})
	if s.Platform != nil {
		p.placer = placement.NewPlacer(placement.NewState(s.VM, s.Self().FailureDomain, p.incarnation))
	}
	cfg := machine.Config{
		Self: fleet.VM{
			ID: s.VM, Incarnation: p.incarnation, Address: p.EntryURL(), FailureDomain: s.Self().FailureDomain,
		},
		Replicas: s.Replicas(),
		Timing:   timingFor(s),
	}
	if s.Discovery != nil {
		cfg.OpenMembership, cfg.LeaseOptional = true, true
	}
	if s.Replica != nil {
		cfg.CompactEvery = uint64(s.Replica.CompactEveryEntries)
	}
	p.orders = orders.New(p.onOrderDone, p.log.WithName("orders"))
	l, err := control.New(control.Options{
		Machine: cfg,
		Replica: replica,
		Handlers: loop.Handlers{
			Send: p.mesh.Send,
			Persist: func(batch consensus.WriteBatch) {
				p.writer.Submit(batch)
			},
			Publish:         p.publish,
			SetShares:       p.setShares,
			SetServerShares: p.setServerShares,
			Issue:           p.orders.Submit,
			Halt:            p.halt,
		},
		Parent: p.tree,
	})
	p.loop = l
	if replica != nil {
		p.tree.Service("orders", p.orders)
	}
	return err
}

func (p *Process) onOrderDone(done machine.OrderDone) {
	// OrderDone is a reliable event: the inbox never drops it, and the loop runs
	// longer than the order sender.
	_ = p.loop.Post(context.Background(), done)
}

func (p *Process) publish(v *view.View) {
	p.logViewChanges(p.views.Load(), v)
	p.views.Publish(v)
	if p.placer != nil {
		p.placer.SetView(v)
	} else {
		p.dispatcher.ViewChanged()
	}
	p.applied.Store(v)
	if v.Left {
		p.leftOnce.Do(func() { close(p.left) })
	}
	if r := p.burnRecorder.Load(); r != nil {
		r.Observe(v)
	}
}

func (p *Process) setShares(shares []fleet.Share) {
	out := make(map[string]float64, len(shares))
	for _, s := range shares {
		out[s.Class] = s.Fraction
	}
	p.dispatcher.SetShares(out)
}

// setServerShares ignores the shares in a process without a placer. A leader may still send
// them to a VM that reported a server's limit before it restarted with other settings.
func (p *Process) setServerShares(shares []fleet.ServerShare) {
	if p.placer != nil {
		p.placer.SetServerShares(shares)
	}
}

// timingFor returns the timing parameters of the control state. In a platform
// deployment, the fleet discovery time and the timeout for backend servers are
// multiples of the interval of the servers' heartbeats.
func timingFor(s *settings.Settings) machine.Timing {
	t := machine.DefaultTiming()
	if s.Platform == nil {
		return t
	}
	heartbeat := settings.Millis(s.Platform.HeartbeatMillis)
	t.FleetDiscoveryTime = 2 * heartbeat
	t.Fleet.SuspectAfter = 4 * heartbeat
	t.Fleet.VMSuspectAfter = 2 * time.Second
	return t
}

// buildPeers adds the acceptor and the outgoing links to peers. With discovery,
// peers are dialed on demand. Otherwise each process dials every replica, and
// between two replicas the one with the smaller VM id dials.
func (p *Process) buildPeers() {
	node := p.tree.Supervisor("peers")
	node.Service("acceptor", p.mesh.Acceptor(p.listeners.Peers, p.untrusted.connections[peersListener], func() {
		p.untrusted.refusals.count("session_evicted")
	}))
	if d := p.settings.Discovery; d != nil {
		node.Service("links", p.mesh.OnDemandLinks(d.PeerAddress))
		return
	}
	self := p.settings.Self()
	for _, m := range p.settings.Members {
		if m.VM == self.VM || !m.Replica || (self.Replica && m.VM < self.VM) {
			continue
		}
		node.Service("link-"+m.VM, p.mesh.Link(peers.Peer{ID: m.VM, Address: m.Address}))
	}
}
