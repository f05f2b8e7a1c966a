package scenario_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	departureSeed   = flag.Uint64("departures.seed", 2, "first seed")
	departureSeeds  = flag.Int("departures.seeds", 1, "number of seeds")
	departureLength = flag.Duration("departures.length", 25*time.Second, "length of a run")
)

// fleetServer is a stand-in for a backend server. It announces itself until it departs, and
// serves on.
type fleetServer struct {
	f                    *fleet
	id, service, address string
	born                 int64
	http                 *http.Server
	// observe is called with the service and every request if it is set.
	observe func(string, *http.Request)

	mu       sync.Mutex
	sequence int
	state    string
	silent   bool
	// acked is when its departure was acknowledged; zero before. ackedInTouch is set if the
	// replicas were undisturbed then.
	acked        time.Time
	ackedInTouch bool
	// late are the ages of requests that came too long after that.
	late []time.Duration
}

func (f *fleet) addServer() *fleetServer { return f.addServerOf("s", nil) }

// addServerOf adds a server of a service. observe is called for each of its requests.
func (f *fleet) addServerOf(service string, observe func(string, *http.Request)) *fleetServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.servers) + 1
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.net, 100+n%100))
	qt.Assert(f.t, err, qt.IsNil)
	s := &fleetServer{f: f, id: fmt.Sprintf("i-%d", n), service: service, observe: observe, address: ln.Addr().String(), born: time.Now().UnixMilli(), state: "ready"}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	f.servers = append(f.servers, s)
	f.heartbeat.Go(s.announce)
	return s
}

// ServeHTTP runs a request and counts it if it comes too late. It doesn't say in its answers
// that it leaves, which would end the requests of each entry after one.
func (s *fleetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	calm := s.f.calm(now)
	if s.observe != nil {
		s.observe(s.service, r)
	}
	s.mu.Lock()
	if age := now.Sub(s.acked); s.ackedInTouch && age > fleetDrainTimeout && calm {
		s.late = append(s.late, age)
	}
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Wagtaildyke-Request-Id")
	w.Header().Set("Wagtaildyke-Request-Id", id)
	w.Header().Set("Wagtaildyke-Response-Signature", "sig-"+id)
	_, _ = io.WriteString(w, "done")
}

// announce sends heartbeats until the server falls silent.
func (s *fleetServer) announce() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.call("Instances.Heartbeat")
		select {
		case <-s.f.done:
			return
		case <-time.After(fleetHeartbeat):
		}
	}
}

// call sends a heartbeat or deregistration to one replica after the other until one
// acknowledges it, and returns that one; nil without an acknowledgement.
func (s *fleetServer) call(name string) *fleetVM {
	s.mu.Lock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address, "Zone": "a", "Version": "v1", "Slots": 8, "State": s.state,
		"ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born,
	})
	first := s.sequence
	s.mu.Unlock()
	if err != nil {
		return nil
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	replicas := s.f.currentReplicas()
	for i := range replicas {
		v := replicas[(first+i)%len(replicas)]
		resp, err := client.Post("http://"+s.f.address(v, s.f.controlPort)+"/wagtaildyke/"+name+"/"+s.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return v
		}
	}
	return nil
}

// depart makes the server leave in one of three ways: it deregisters, reports that it is
// draining and falls silent, or keeps reporting that. It returns the replica that
// acknowledged it.
func (s *fleetServer) depart(way int) *fleetVM {
	s.mu.Lock()
	s.silent = way != 2
	if way != 0 {
		s.state = "draining"
	}
	s.mu.Unlock()
	call := "Instances.Heartbeat"
	if way == 0 {
		call = "Instances.Deregister"
	}
	v := s.call(call)
	if v == nil {
		return nil
	}
	now := time.Now()
	calm := s.f.calm(now)
	s.mu.Lock()
	s.acked, s.ackedInTouch = now, calm
	s.mu.Unlock()
	return v
}

// trouble is what happens to replicas right after one of them has acknowledged a departure.
type trouble int

const (
	killAcker trouble = iota
	wipeAcker
	freezeAcker
	stopAcker
	killAll
	troubles
)

// freezeTime is how long a replica is frozen.
const freezeTime = 1500 * time.Millisecond

// disturbAcker carries out a trouble, whose victim or one of whose victims is the replica
// that has just acknowledged a departure.
func (f *fleet) disturbAcker(kind trouble, acker *fleetVM) error {
	f.disturb()
	defer f.disturb()
	switch kind {
	case freezeAcker:
		if err := acker.pause(); err != nil {
			return err
		}
		time.Sleep(freezeTime)
		return acker.resume()
	case stopAcker:
		if err := acker.term(); err != nil {
			return err
		}
		if _, err := acker.wait(10 * time.Second); err != nil {
			return err
		}
		f.start(acker, false)
		return nil
	case killAll:
		return f.restart(f.replicas, false)
	default:
		return f.restart([]*fleetVM{acker}, kind == wipeAcker)
	}
}

// restart kills processes at the same moment and starts them again, with empty disks if
// wiped is set.
func (f *fleet) restart(victims []*fleetVM, wiped bool) error {
	for _, v := range victims {
		if err := v.kill(); err != nil {
			return err
		}
	}
	time.Sleep(fleetRestart)
	for _, v := range victims {
		if wiped {
			if err := os.RemoveAll(v.data); err != nil {
				return err
			}
		}
		f.start(v, false)
	}
	return nil
}

// TestDepartingServersGetNoRequests guards against requests to servers whose departure was
// acknowledged, while the replica that did so is killed, loses its disk, freezes or is
// stopped right after it, or all replicas are killed.
func TestDepartingServersGetNoRequests(t *testing.T) {
	for seed := *departureSeed; seed < *departureSeed+uint64(*departureSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runDepartures(t, seed) })
	}
}

func runDepartures(t *testing.T, seed uint64) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	f := startFleet(t, 3, 3)
	for range 5 {
		f.addServer()
	}
	time.Sleep(fleetContact + time.Second)
	f.send(30 * time.Millisecond)
	leaver := 0
	for end := time.Now().Add(*departureLength); time.Now().Before(end); {
		f.addServer()
		time.Sleep(fleetContact + time.Duration(rng.IntN(500))*time.Millisecond)
		way, kind := rng.IntN(3), trouble(rng.IntN(int(troubles)))
		delay := time.Duration(rng.IntN(3)) * time.Duration(rng.IntN(50)) * time.Millisecond
		s := f.servers[leaver]
		leaver++
		acker := s.depart(way)
		if acker == nil {
			continue
		}
		time.Sleep(delay)
		t.Logf("%s departs by way %d, trouble %d %s after the acknowledgement by %s", s.id, way, kind, delay, acker.name)
		c.Assert(f.disturbAcker(kind, acker), qt.IsNil)
		time.Sleep(fleetContact)
	}
	time.Sleep(2 * fleetContact)
	departed := 0
	for _, s := range f.servers {
		s.mu.Lock()
		if !s.acked.IsZero() {
			departed++
		}
		c.Check(s.late, qt.HasLen, 0, qt.Commentf("%s", s.id))
		s.mu.Unlock()
	}
	c.Check(departed > 0, qt.IsTrue)
}
