package scenario_test

import (
	"bytes"
	"io"
	"net"
	"regexp"
	"sync"

	qt "github.com/frankban/quicktest"
)

// front takes the sessions that are dialled to a VM of a fleet, and carries each by the relay
// of the VM that dialled.
type front struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	relays map[string]*relay
}

// addFront puts a front before a VM that does not run yet.
func (f *fleet) addFront(v *fleetVM) {
	ln, err := net.Listen("tcp", f.address(v, f.peersPort))
	qt.Assert(f.t, err, qt.IsNil)
	fr := &front{ln: ln, target: f.address(v, f.hiddenPort), relays: map[string]*relay{}}
	f.mu.Lock()
	f.fronts[v.ip] = fr
	f.mu.Unlock()
	go fr.serve()
}

func (fr *front) serve() {
	for {
		conn, err := fr.ln.Accept()
		if err != nil {
			return
		}
		go fr.carry(conn)
	}
}

// sniffedConn is a connection whose first bytes have been read already.
type sniffedConn struct {
	net.Conn
	r io.Reader
}

func (c *sniffedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

var vmInHello = regexp.MustCompile(`127\.\d+\.\d+\.\d+`)

// maxHelloBytes bounds the bytes in which a session names the VM that dialled.
const maxHelloBytes = 4 << 10

func (fr *front) carry(conn net.Conn) {
	var seen []byte
	buf := make([]byte, maxHelloBytes)
	for len(seen) < maxHelloBytes {
		n, err := conn.Read(buf)
		if err != nil {
			conn.Close()
			return
		}
		seen = append(seen, buf[:n]...)
		if vm := vmInHello.Find(seen); vm != nil {
			fr.relay(string(vm)).carry(&sniffedConn{conn, io.MultiReader(bytes.NewReader(seen), conn)})
			return
		}
	}
	conn.Close()
}

// relay returns the relay of the sessions that a VM dials.
func (fr *front) relay(from string) *relay {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	r := fr.relays[from]
	if r == nil {
		r = &relay{ln: fr.ln, target: fr.target, conns: map[net.Conn]bool{}}
		fr.relays[from] = r
	}
	return r
}

func (fr *front) close() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.ln.Close()
	for _, r := range fr.relays {
		r.close()
	}
}

// linksOf returns the relays between a VM and all replicas.
func (f *fleet) linksOf(v *fleetVM) []*relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*relay
	for _, r := range f.replicas {
		out = append(out, f.fronts[r.ip].relay(v.ip), f.fronts[v.ip].relay(r.ip))
	}
	return out
}
