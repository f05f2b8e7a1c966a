package scenario_test

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay carries the sessions that one VM dials to another. A cut relay holds
// all bytes back, as a network partition does; healing it closes the sessions
// that were held, and lets new ones through.
type relay struct {
	ln     net.Listener
	target string
	bytes  atomic.Int64

	mu    sync.Mutex
	isCut chan struct{}
	conns map[net.Conn]bool
	ended bool
}

func newRelay(ip, target string) (*relay, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) address() string { return r.ln.Addr().String() }

func (r *relay) serve() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(conn)
	}
}

func (r *relay) carry(from net.Conn) {
	defer from.Close()
	if !r.track(from) || !r.pass() {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !r.track(to) {
		return
	}
	both := make(chan struct{}, 2)
	go r.move(to, from, both)
	go r.move(from, to, both)
	<-both
}

func (r *relay) move(to, from net.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.pass() {
				return
			}
			r.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits while the relay is cut. It reports false when bytes were held: the
// session is of no use any more.
func (r *relay) pass() bool {
	r.mu.Lock()
	held := r.isCut
	r.mu.Unlock()
	if held == nil {
		return true
	}
	<-held
	return false
}

func (r *relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut == nil {
		r.isCut = make(chan struct{})
	}
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut == nil {
		return
	}
	close(r.isCut)
	r.isCut = nil
	r.closeAll()
}

func (r *relay) closeAll() {
	for conn := range r.conns {
		conn.Close()
	}
	r.conns = map[net.Conn]bool{}
}

func (r *relay) close() {
	r.heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.ln.Close()
	r.closeAll()
}
