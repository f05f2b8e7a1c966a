package peers

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
)

// startMesh starts a mesh that accepts sessions, and returns it with the messages that it
// receives.
func startMesh(t *testing.T, vm string, ln net.Listener) (*Mesh, chan machine.Message) {
	received := make(chan machine.Message, 64)
	m := New(codec.Hello{VM: vm, Incarnation: 1, Cluster: "test"}, PlainDialer,
		func(_ context.Context, _ string, msg machine.Message) { received <- msg }, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = m.Acceptor(ln, 64, func() {}).Serve(ctx) }()
	return m, received
}

func dial(t *testing.T, m *Mesh, peer string, ln net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = m.Link(Peer{ID: peer, Address: ln.Addr().String()}).Serve(ctx) }()
}

func expect[M machine.Message](c *qt.C, received chan machine.Message) {
	select {
	case msg := <-received:
		_, ok := msg.(M)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%T", msg))
	case <-time.After(5 * time.Second):
		c.Fatal("timed out waiting for a message")
	}
}

func expectNone(c *qt.C, received chan machine.Message) {
	select {
	case msg := <-received:
		c.Fatalf("received %T", msg)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestHeartbeatsPassTheMessagesOfAFleet guards against a leader that loses its quorum
// because its heartbeats wait behind the views and renewals of hundreds of VMs.
func TestHeartbeatsPassTheMessagesOfAFleet(t *testing.T) {
	c := qt.New(t)
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		listeners[i] = ln
	}
	leader, atLeader := startMesh(t, "leader", listeners[0])
	_, atReplica := startMesh(t, "replica", listeners[1])
	_, atEntry := startMesh(t, "entry", listeners[2])
	dial(t, leader, "replica", listeners[1])
	dial(t, leader, "entry", listeners[2])
	heartbeat := machine.ConsensusMessage{Message: consensus.Message{Kind: consensus.MsgAppend, From: "leader/1", To: "replica/1", Term: 1}}
	leader.Send("replica", heartbeat)
	expect[machine.ConsensusMessage](c, atReplica)
	leader.Send("entry", machine.NotLeader{})
	expect[machine.NotLeader](c, atEntry)

	for range cap(leader.codecs) {
		leader.codecs.enter()
	}
	leader.Send("entry", machine.NotLeader{})
	expectNone(c, atEntry)
	leader.Send("replica", heartbeat)
	expect[machine.ConsensusMessage](c, atReplica)
	for range cap(leader.codecs) {
		leader.codecs.leave()
	}
	expect[machine.NotLeader](c, atEntry)
	expectNone(c, atLeader)
}

// TestConnectionsWaitForAHandshake guards against connections that are not accepted while
// sessions are set up: a full queue of the listener drops them for a second or more.
func TestConnectionsWaitForAHandshake(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server, atServer := startMesh(t, "server", ln)
	for range maxHandshakes {
		server.handshakes.enter()
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	client, _ := startMesh(t, "client", other)
	dial(t, client, "server", ln)
	client.Send("server", machine.NotLeader{})
	expectNone(c, atServer)
	server.handshakes.leave()
	expect[machine.NotLeader](c, atServer)
}

// TestStalledHandshakesDelayNoSession guards against sessions that wait for peers that lost
// power while theirs were set up.
func TestStalledHandshakesDelayNoSession(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	_, atServer := startMesh(t, "server", ln)
	for range 2 * maxHandshakes {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	client, _ := startMesh(t, "client", other)
	began := time.Now()
	dial(t, client, "server", ln)
	client.Send("server", machine.NotLeader{})
	expect[machine.NotLeader](c, atServer)
	c.Assert(time.Since(began) < helloTimeout/2, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}
