package peers_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/wagtaildyke/wagtaildyke/api/codec"
	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/peers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// delivery is a message that a mesh has delivered.
type delivery struct {
	from string
	msg  machine.Message
}

// testMesh is a mesh that records its deliveries.
type testMesh struct {
	mesh      *peers.Mesh
	delivered chan delivery
}

func newTestMesh(vm, cluster string, dialer peers.Dialer) *testMesh {
	s := &testMesh{delivered: make(chan delivery, 16)}
	deliver := func(_ context.Context, from string, msg machine.Message) { s.delivered <- delivery{from, msg} }
	s.mesh = peers.New(codec.Hello{VM: vm, Incarnation: 1, Cluster: cluster}, dialer, deliver, logr.Discard())
	return s
}

// serve runs a service until the test ends, and then waits until it has stopped.
func serve(t *testing.T, s interface{ Serve(context.Context) error }) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return ln
}

// sendUntilDelivered sends msg repeatedly until it is delivered, because messages may
// be lost before the session is established.
func sendUntilDelivered(t *testing.T, from *testMesh, to string, at *testMesh, msg machine.Message) delivery {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	for {
		select {
		case d := <-at.delivered:
			return d
		case <-tick.C:
			from.mesh.Send(to, msg)
		case <-limit.C:
			t.Fatal("timed out waiting for the message")
		}
	}
}

func TestSessionIsBidirectional(t *testing.T) {
	c := qt.New(t)
	a, b := newTestMesh("vm-1", "x", peers.PlainDialer), newTestMesh("vm-2", "x", peers.PlainDialer)
	ln := listen(t)
	serve(t, a.mesh.Acceptor(ln, 64, func() {}))
	serve(t, b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}))
	d := sendUntilDelivered(t, b, "vm-1", a, machine.NotLeader{Leader: "vm-3"})
	c.Assert(d, qt.Equals, delivery{"vm-2", machine.NotLeader{Leader: "vm-3"}})
	big := machine.ConsensusMessage{Message: consensus.Message{To: "vm-2/first", Snapshot: &consensus.Snapshot{Index: 1, Data: make([]byte, 3<<20)}}}
	d = sendUntilDelivered(t, a, "vm-2", b, big)
	c.Assert(len(d.msg.(machine.ConsensusMessage).Snapshot.Data), qt.Equals, 3<<20)
	c.Assert(a.mesh.Stats().Sessions, qt.Equals, 1)
}

func TestOtherClusterIsRejected(t *testing.T) {
	c := qt.New(t)
	a, b := newTestMesh("vm-1", "x", peers.PlainDialer), newTestMesh("vm-2", "y", peers.PlainDialer)
	accepted := make(chan struct{}, 16)
	ln := &countingListener{Listener: listen(t), accepted: accepted}
	serve(t, a.mesh.Acceptor(ln, 64, func() {}))
	serve(t, b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}))
	// A third connection proves that two earlier sessions were attempted and failed.
	for range 3 {
		<-accepted
	}
	c.Assert(a.mesh.Stats().Sessions, qt.Equals, 0)
	c.Assert(b.mesh.Stats().Sessions, qt.Equals, 0)
}

type countingListener struct {
	net.Listener
	accepted chan struct{}
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		select {
		case l.accepted <- struct{}{}:
		default:
		}
	}
	return conn, err
}

func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ca := newAuthority(t)
	credentials := ca.credentials(t)
	a := newTestMesh("vm-1", "x", credentials.Dial)
	ln := listen(t)
	serve(t, a.mesh.Acceptor(credentials.Listener(ln), 64, func() {}))
	b := newTestMesh("vm-2", "x", ca.credentials(t).Dial)
	serve(t, b.mesh.Link(peers.Peer{ID: "vm-1", Address: ln.Addr().String()}))
	d := sendUntilDelivered(t, b, "vm-1", a, machine.NotLeader{Leader: "vm-2"})
	c.Assert(d.from, qt.Equals, "vm-2")

	otherCA := newAuthority(t).credentials(t)
	conn, err := otherCA.Dial(t.Context(), ln.Addr().String())
	if err == nil {
		// With TLS 1.3, the client learns of its rejected certificate at the first read.
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	c.Assert(err, qt.IsNotNil)
}

// authority is a certificate authority for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	return &authority{cert: cert, key: key}
}

func (a *authority) credentials(t *testing.T) *peers.Credentials {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	qt.Assert(t, err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	dir := t.TempDir()
	files := peers.TLSFiles{
		Cert: writePEM(t, dir, "cert.pem", "CERTIFICATE", der),
		Key:  writePEM(t, dir, "key.pem", "PRIVATE KEY", private),
		CA:   writePEM(t, dir, "ca.pem", "CERTIFICATE", a.cert.Raw),
	}
	credentials, err := peers.LoadCredentials(files)
	qt.Assert(t, err, qt.IsNil)
	return credentials
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	path := filepath.Join(dir, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	return path
}
