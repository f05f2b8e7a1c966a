package scenario_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// quiet tells how long nothing has disturbed the replicas, or an entry.
type quiet struct {
	mu      sync.Mutex
	ongoing int
	last    time.Time
}

func (q *quiet) disturbed(during func()) {
	q.mu.Lock()
	q.ongoing++
	q.mu.Unlock()
	during()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ongoing--
	q.last = time.Now()
}

func (q *quiet) calm(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ongoing == 0 && now.Sub(q.last) >= fleetContact
}

// moment is a version and when something happened to it.
type moment struct {
	version int
	at      time.Time
}

// playedEntry is what is known of an entry since its last start.
type playedEntry struct {
	quiet
	boot int
	seen []moment
}

// playedRequest is a request that was sent to an entry. inContact is set if neither the entry
// nor the replicas were disturbed before it was sent.
type playedRequest struct {
	entry     *fleetVM
	boot      int
	sent      time.Time
	inContact bool
}

// routePlay changes one route all the time, and holds what requests obeyed against what was
// acknowledged.
type routePlay struct {
	f       *fleet
	rng     *rand.Rand
	core    quiet
	entries map[*fleetVM]*playedEntry

	mu         sync.Mutex
	sent       []time.Time
	acked      []moment
	requests   map[string]playedRequest
	ran        int
	violations []violation
	// judged is the number of requests that ran in contact.
	judged int
	// stale is the longest time after an acknowledgement at which a request was sent that
	// obeyed an older version, and staleInContact that of requests in contact.
	stale, staleInContact time.Duration
	lastDisk              time.Time
	successors            int
}

func newRoutePlay(f *fleet, seed uint64) *routePlay {
	p := &routePlay{f: f, rng: rand.New(rand.NewPCG(seed, 1)), entries: map[*fleetVM]*playedEntry{}, requests: map[string]playedRequest{}}
	for _, v := range f.entries {
		p.entries[v] = &playedEntry{}
	}
	return p
}

func (p *routePlay) fail(since time.Time, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failLocked(nil, since, format, args...)
}

func (p *routePlay) failLocked(entry *fleetVM, since time.Time, format string, args ...any) {
	p.violations = append(p.violations, violation{entry, since.Add(-fleetContact), time.Now(), fmt.Sprintf(format, args...)})
}

func (p *routePlay) nextVersion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, time.Now())
	return len(p.sent)
}

func (p *routePlay) noteAck(version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acked = append(p.acked, moment{version, time.Now()})
}

// ackedBefore returns the newest version that was acknowledged before a moment.
func (p *routePlay) ackedBefore(at time.Time) (version int, ackedAt time.Time) {
	for _, a := range slices.Backward(p.acked) {
		if a.at.Before(at) {
			return a.version, a.at
		}
	}
	return 0, time.Time{}
}

func (p *routePlay) newRequest(v *fleetVM) (id string) {
	now := time.Now()
	e := p.entries[v]
	calm := p.core.calm(now) && e.calm(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	id = fmt.Sprintf("%016x", rand.Uint64())
	p.requests[id] = playedRequest{entry: v, boot: e.boot, sent: now, inContact: calm}
	return id
}

// observe judges a request that a server runs.
func (p *routePlay) observe(service string, r *http.Request) {
	now := time.Now()
	calm := p.core.calm(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	q, known := p.requests[r.Header.Get("Wagtaildyke-Request-Id")]
	if !known {
		return
	}
	e := p.entries[q.entry]
	version := p.obeyed(service)
	p.ran++
	inContact := q.inContact && calm && e.calm(now)
	if inContact {
		p.judged++
	}
	for _, a := range p.acked {
		if a.version > version && a.at.Before(q.sent) {
			age := q.sent.Sub(a.at)
			p.stale = max(p.stale, age)
			if !inContact {
				break
			}
			p.staleInContact = max(p.staleInContact, age)
			if age > applyTime {
				p.failLocked(q.entry, q.sent, "%s obeys version %d %s after the acknowledgement of %d", q.entry.name, version, age, a.version)
			}
			break
		}
	}
	if q.boot != e.boot {
		return
	}
	for _, s := range e.seen {
		if s.version > version && q.sent.Sub(s.at) > rollbackSlack {
			p.failLocked(q.entry, s.at, "%s obeys version %d %s after version %d", q.entry.name, version, q.sent.Sub(s.at), s.version)
			break
		}
	}
	if len(e.seen) == 0 || e.seen[len(e.seen)-1].version < version {
		e.seen = append(e.seen, moment{version, now})
	}
}

// obeyed returns the newest version that sends the route to a service.
func (p *routePlay) obeyed(service string) int {
	version := len(p.sent)
	for version > 0 && serviceOf(version) != service {
		version--
	}
	return version
}

// hit kinds. Those of replicas follow an acknowledgement at once.
const (
	hitKillAcker = iota
	hitKillLeader
	hitKillLeaderAndAcker
	hitFreezeLeader
	hitWipeLeader
	hitReplaceLeader
	hitNextLeaderToo
	hitKillAll
	hitTermInSeries
	hitFreezeEntry
	hitRestartEntry
	hitCutThenKillLeader
	hitCutThenKillAll
	hitCutThenNoQuorum
	hitCutsInSeries
	hits
)

// seriesLength is the number of replicas that are replaced in a series.
const seriesLength = 3

// diskInterval is the time between two losses of a disk.
const diskInterval = 6 * time.Second

// hit changes the routes and disturbs replicas or an entry around it.
func (p *routePlay) hit() {
	kind := p.rng.IntN(hits)
	if *obeyedHit >= 0 {
		kind = *obeyedHit
	}
	entry := p.f.entries[p.rng.IntN(len(p.f.entries))]
	pause := time.Duration(500+p.rng.IntN(3000)) * time.Millisecond
	switch kind {
	case hitFreezeEntry:
		p.f.t.Logf("%s freeze %s for %s", time.Now().Format("05.000"), entry.name, pause)
		p.entries[entry].disturbed(func() {
			p.check(entry.pause())
			p.change()
			time.Sleep(pause)
			p.check(entry.resume())
		})
	case hitRestartEntry:
		p.f.t.Logf("%s restart %s", time.Now().Format("05.000"), entry.name)
		p.entries[entry].disturbed(func() {
			p.check(entry.kill())
			p.change()
			p.mu.Lock()
			p.entries[entry].boot++
			p.entries[entry].seen = nil
			p.mu.Unlock()
			p.f.start(entry, false)
		})
	case hitCutsInSeries:
		for range seriesLength {
			p.awaitDisks()
			p.cutOffDuring(entry, hitReplaceLeader, pause)
		}
		p.awaitDisks()
		last := []int{hitCutThenKillAll, hitReplaceLeader}[p.rng.IntN(2)]
		p.cutOffDuring(entry, last, pause)
	case hitCutThenKillLeader, hitCutThenKillAll, hitCutThenNoQuorum:
		p.cutOffDuring(entry, kind, pause)
	default:
		p.hitReplicas(kind, pause)
	}
}

// cutOffDuring cuts an entry off from the replicas while these are hit.
func (p *routePlay) cutOffDuring(entry *fleetVM, kind int, pause time.Duration) {
	p.entries[entry].disturbed(func() {
		for _, r := range p.f.linksOf(entry) {
			r.cut()
		}
		p.hitReplicas(kind, pause)
		for _, r := range p.f.linksOf(entry) {
			r.heal()
		}
	})
}

// hitReplicas changes the routes and disturbs replicas right after the acknowledgement.
func (p *routePlay) hitReplicas(kind int, pause time.Duration) {
	if kind == hitWipeLeader || kind == hitReplaceLeader {
		p.awaitDisks()
	}
	leader := p.leader()
	acker := p.change()
	if acker == nil {
		acker = leader
	}
	time.Sleep(time.Duration(p.rng.IntN(2)*p.rng.IntN(30)) * time.Millisecond)
	p.f.t.Logf("%s hit %d, leader %s, acknowledged by %s, pause %s", time.Now().Format("05.000"), kind, leader.name, acker.name, pause)
	replicas := p.f.currentReplicas()
	p.core.disturbed(func() {
		switch kind {
		case hitKillAcker:
			p.check(p.f.restart([]*fleetVM{acker}, false))
		case hitKillLeader, hitCutThenKillLeader:
			p.check(p.f.restart([]*fleetVM{leader}, false))
		case hitKillLeaderAndAcker:
			p.check(p.f.restart(slices.Compact([]*fleetVM{leader, acker}), false))
		case hitFreezeLeader:
			p.freeze([]*fleetVM{leader}, pause)
		case hitWipeLeader:
			p.check(p.f.restart([]*fleetVM{leader}, true))
			p.lastDisk = time.Now()
		case hitReplaceLeader:
			p.replace(leader)
			p.lastDisk = time.Now()
		case hitNextLeaderToo:
			p.check(leader.kill())
			time.Sleep(pause / 2)
			if next := p.leader(); next != leader {
				p.freeze([]*fleetVM{next}, pause)
			}
			p.f.start(leader, false)
		case hitKillAll, hitCutThenKillAll:
			p.check(p.f.restart(replicas, false))
		case hitTermInSeries:
			for range 2 {
				v := p.leader()
				p.check(v.term())
				_, err := v.wait(10 * time.Second)
				p.check(err)
				p.f.start(v, false)
				time.Sleep(pause / 2)
			}
		case hitCutThenNoQuorum:
			victims := slices.DeleteFunc(replicas, func(v *fleetVM) bool { return v == leader })[:2]
			p.freeze(append(victims, leader), 2*pause)
		}
	})
}

// awaitDisks waits until a disk may be lost again.
func (p *routePlay) awaitDisks() { time.Sleep(diskInterval - time.Since(p.lastDisk)) }

func (p *routePlay) check(err error) { qt.Check(p.f.t, err, qt.IsNil) }

func (p *routePlay) freeze(vms []*fleetVM, pause time.Duration) {
	for _, v := range vms {
		p.check(v.pause())
	}
	time.Sleep(pause)
	for _, v := range vms {
		p.check(v.resume())
	}
}

// replace ends a replica for good and starts an empty one at another address.
func (p *routePlay) replace(v *fleetVM) {
	p.check(v.kill())
	p.f.fronts[v.ip].close()
	p.successors++
	next := p.f.newVM(20+p.successors, true)
	p.f.addFront(next)
	time.Sleep(fleetRestart)
	p.f.mu.Lock()
	p.f.replicas = append(slices.DeleteFunc(slices.Clone(p.f.replicas), func(r *fleetVM) bool { return r == v }), next)
	p.f.mu.Unlock()
	p.f.start(next, false)
}

// leader returns the replica that said last that it was elected.
func (p *routePlay) leader() *fleetVM {
	replicas := p.f.currentReplicas()
	leader, latest := replicas[0], ""
	for _, v := range replicas {
		data, err := os.ReadFile(v.log)
		p.check(err)
		for line := range bytes.Lines(data) {
			if at, elected := electedAt(line); elected && at > latest {
				leader, latest = v, at
			}
		}
	}
	return leader
}

// electedAt returns the time of a log line by which a replica was elected.
func electedAt(line []byte) (string, bool) {
	if !bytes.Contains(line, []byte(`"reason":"elected"`)) {
		return "", false
	}
	_, after, _ := bytes.Cut(line, []byte(`"time":"`))
	at, _, _ := bytes.Cut(after, []byte(`"`))
	return string(at), true
}
