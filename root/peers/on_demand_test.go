package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
)

// onDemandMesh is a mesh that dials peers on demand.
type onDemandMesh struct {
	mesh     *peers.Mesh
	received chan machine.Message
}

func startOnDemandMesh(t *testing.T, name string, ln net.Listener, addresses map[string]string) *onDemandMesh {
	p := &onDemandMesh{received: make(chan machine.Message, 64)}
	p.mesh = peers.New(codec.Hello{VM: name, Incarnation: 1, Cluster: "test"}, peers.PlainDialer,
		func(_ context.Context, _ string, m machine.Message) { p.received <- m }, logr.Discard())
	links := p.mesh.OnDemandLinks(func(vm string) string { return addresses[vm] })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = p.mesh.Acceptor(ln, 64, func() {}).Serve(ctx) }()
	go func() { _ = links.Serve(ctx) }()
	return p
}

func (p *onDemandMesh) await(t *testing.T) machine.Message {
	select {
	case m := <-p.received:
		return m
	case <-time.After(3 * time.Second):
		t.Fatal("timed out waiting for a message")
		return nil
	}
}

// TestSimultaneousDialsLeaveOneSession starts two processes without a session that send
// to each other, so that both dial at the same time. The messages must arrive and a
// single session must remain.
func TestSimultaneousDialsLeaveOneSession(t *testing.T) {
	c := qt.New(t)
	addresses := map[string]string{}
	listeners := map[string]net.Listener{}
	for _, name := range []string{"a", "b"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		listeners[name] = ln
		addresses[name] = ln.Addr().String()
	}
	a := startOnDemandMesh(t, "a", listeners["a"], addresses)
	b := startOnDemandMesh(t, "b", listeners["b"], addresses)
	for i := range 20 {
		a.mesh.Send("b", machine.NotLeader{Proposal: uint64(i + 1)})
		b.mesh.Send("a", machine.NotLeader{Proposal: uint64(i + 1)})
		time.Sleep(20 * time.Millisecond)
	}
	a.await(t)
	b.await(t)
	deadline := time.Now().Add(3 * time.Second)
	for a.mesh.Stats().Sessions != 1 || b.mesh.Stats().Sessions != 1 {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%+v %+v", a.mesh.Stats(), b.mesh.Stats()))
		time.Sleep(5 * time.Millisecond)
	}
}

// TestUnreachablePeerIsRedialed sends to an address before the peer listens on it.
func TestUnreachablePeerIsRedialed(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := ln.Addr().String()
	ln.Close()
	addresses := map[string]string{"b": address}
	a := startOnDemandMesh(t, "a", own, addresses)
	a.mesh.Send("b", machine.NotLeader{Proposal: 1})
	time.Sleep(100 * time.Millisecond)
	ln, err = net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	b := startOnDemandMesh(t, "b", ln, addresses)
	for range 20 {
		a.mesh.Send("b", machine.NotLeader{Proposal: 2})
		time.Sleep(50 * time.Millisecond)
	}
	b.await(t)
}
