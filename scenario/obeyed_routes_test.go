package scenario_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	obeyedSeed   = flag.Uint64("obeyed.seed", 37, "first seed")
	obeyedSeeds  = flag.Int("obeyed.seeds", 1, "number of seeds")
	obeyedLength = flag.Duration("obeyed.length", 10*time.Second, "length of a run")
	obeyedHit    = flag.Int("obeyed.hit", -1, "the only hit of a run, or -1 to draw them")
)

// The bounds of changes of the routes.
const (
	// applyTime is the time after the acknowledgement of a version from which requests must
	// obey it.
	applyTime = 2 * time.Second
	// rollbackSlack is the time after a request that obeyed a version from which requests at
	// the same entry must not obey an older one.
	rollbackSlack = 250 * time.Millisecond
	// controlTime is the time in which a read and a change succeed.
	controlTime = 4 * time.Second
	// routedServices is the number of services to which the versions send the route in turn.
	// An entry must not be that many versions behind, or the version is mistaken.
	routedServices = 24
)

// TestAcknowledgedRoutesAreObeyed guards against entries that serve by older routes long
// after newer ones were acknowledged, while replicas are lost or frozen right after the
// acknowledgement and entries are frozen, restarted or cut off.
func TestAcknowledgedRoutesAreObeyed(t *testing.T) {
	for seed := *obeyedSeed; seed < *obeyedSeed+uint64(*obeyedSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runObeyedRoutes(t, seed) })
	}
}

func runObeyedRoutes(t *testing.T, seed uint64) {
	c := qt.New(t)
	f := newFleet(t, 5, 3)
	f.fronts = map[string]*front{}
	for _, v := range append(f.currentReplicas(), f.entries...) {
		f.addFront(v)
	}
	p := newRoutePlay(f, seed)
	// Hits are drawn apart from pauses, whose number depends on time.
	pauses := rand.New(rand.NewPCG(seed, 2))
	f.startAll()
	p.change()
	f.awaitEntries()
	for i := range routedServices {
		f.addServerOf(serviceOf(i), p.observe)
	}
	time.Sleep(fleetContact + 2*fleetHeartbeat)
	p.sendRequests(50 * time.Millisecond)
	f.sendingClients.Go(p.readRoutes)
	for end := time.Now().Add(*obeyedLength); time.Now().Before(end); {
		p.hit()
		for until := time.Now().Add(fleetContact + time.Duration(pauses.IntN(2500))*time.Millisecond); time.Now().Before(until); {
			time.Sleep(time.Duration(300+pauses.IntN(600)) * time.Millisecond)
			p.change()
		}
	}
	time.Sleep(fleetContact)
	p.change()
	p.readOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("seed %d: %d versions, %d acknowledged, %d requests ran, %d in contact, longest after a newer acknowledgement: %s in contact, %s in all",
		seed, len(p.sent), len(p.acked), p.ran, p.judged, p.staleInContact, p.stale)
	p.reportViolations()
	c.Check(p.ran > 0 && len(p.acked) > 0, qt.IsTrue)
}

func serviceOf(version int) string { return fmt.Sprintf("s%d", version%routedServices) }

// change sends the next version to replicas until one acknowledges it, and returns that one;
// nil if none does.
func (p *routePlay) change() *fleetVM {
	version := p.nextVersion()
	services := make([]map[string]any, routedServices)
	for i := range services {
		services[i] = map[string]any{"Name": serviceOf(i), "MaxConnections": 100}
	}
	body, err := json.Marshal(map[string]any{
		"Version": version, "Services": services, "Limits": map[string]any{},
		"Routes": []map[string]any{{
			"Name": "r", "Host": "h.example", "PathPrefix": "/a/", "Kind": "safe", "TimeoutMs": 1500, "Service": serviceOf(version), "MaxAttempts": 2,
		}},
	})
	qt.Assert(p.f.t, err, qt.IsNil)
	v, _ := p.control("change", http.MethodPost, "Config.Replace", body)
	if v != nil {
		p.noteAck(version)
	}
	return v
}

// readOnce reads the routes from the replicas until one answers.
func (p *routePlay) readOnce() {
	since := time.Now()
	v, data := p.control("read", http.MethodGet, "Config.Get", nil)
	if v == nil {
		return
	}
	var document struct{ Version int }
	if err := json.Unmarshal(data, &document); err != nil {
		p.fail(since, "%s answers a read by %q", v.name, data)
		return
	}
	p.mu.Lock()
	newest, _ := p.ackedBefore(since.Add(-applyTime))
	p.mu.Unlock()
	if document.Version < newest {
		p.fail(since, "%s reads version %d, %d was acknowledged", v.name, document.Version, newest)
	}
}

func (p *routePlay) readRoutes() {
	for {
		select {
		case <-p.f.done:
			return
		case <-time.After(400 * time.Millisecond):
			p.readOnce()
		}
	}
}

// control calls one replica after the other until one answers with 200. It fails the play if
// none does in time while nothing disturbs the replicas.
func (p *routePlay) control(name, method, call string, body []byte) (*fleetVM, []byte) {
	client := &http.Client{Timeout: 1200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	calm := p.core.calm(began)
	replicas := p.f.currentReplicas()
	for i := rand.IntN(len(replicas)); ; i++ {
		v := replicas[i%len(replicas)]
		if data, err := p.callOnce(client, v, method, call, body); err == nil {
			return v, data
		}
		if now := time.Now(); now.Sub(began) >= controlTime {
			if calm && p.core.calm(now) {
				p.fail(began, "a %s is not answered for %s", name, now.Sub(began))
			}
			return nil, nil
		}
		select {
		case <-p.f.done:
			return nil, nil
		case <-time.After(20 * time.Millisecond):
		}
		replicas = p.f.currentReplicas()
	}
}

func (p *routePlay) callOnce(client *http.Client, v *fleetVM, method, call string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+p.f.address(v, p.f.controlPort)+"/wagtaildyke/"+call, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return data, err
}

// sendRequests sends requests to all entries at a steady rate, on kept connections.
func (p *routePlay) sendRequests(interval time.Duration) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for _, v := range p.f.entries {
		p.f.sendingClients.Go(func() {
			for {
				select {
				case <-p.f.done:
					return
				case <-time.After(interval):
				}
				p.f.sendingClients.Go(func() { p.sendOne(client, v) })
			}
		})
	}
}

// sendOne sends one request. Servers tell which version it obeyed.
func (p *routePlay) sendOne(client *http.Client, v *fleetVM) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.f.address(v, p.f.frontendPort)+"/a/x", http.NoBody)
	if err != nil {
		return
	}
	req.Host = "h.example"
	req.Header.Set("Wagtaildyke-Request-Id", p.newRequest(v))
	req.Header.Set("Wagtaildyke-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}
