package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// GrantLifetime is how long a granted probe keeps others with the same suspects from
	// being granted. Its entry may be frozen or cut off.
	GrantLifetime = 3 * time.Second
	// grantInterval is the minimum time between two searches for probes to grant, and
	// grantIntervalPerSet is added to it for each distinct set of suspects, to bound the
	// share of the leader's time that searches take. 291 entries may want 18,624 probes with
	// as many sets, with which a search took 30 ms on a busy machine (BenchmarkSearch).
	grantInterval       = 10 * time.Millisecond
	grantIntervalPerSet = 20 * time.Microsecond
)

// Grant is a probe that may run.
type Grant struct {
	VM       string
	ID       uint64
	Segments []Segment
}

// Probes holds the probes that the VMs want or are running. A VM reports the list of all of
// its probes, so that a probe that is not listed has ended. At most one granted probe
// contains a given suspect. It is not safe for concurrent use.
type Probes struct {
	vms map[string]*prober
	// sets holds the waiting probes by their suspects.
	sets map[string]*probeSet
	// granted are the probes granted in the last GrantLifetime.
	granted map[*probe]bool
	// nextGrant is the earliest time of the next search, and pending is set while there may
	// be probes to grant.
	nextGrant time.Time
	pending   bool
}

// prober is one process.
type prober struct {
	incarnation uint64
	// sentAt is the time of the last list, since the start of the process.
	sentAt time.Duration
	probes map[uint64]*probe
}

type probe struct {
	vm       string
	id       uint64
	segments []Segment
	listedAt time.Time
	// grantedAt is zero while the probe waits.
	grantedAt time.Time
	ended     bool
}

// probeSet holds the waiting probes with the same suspects, the oldest first, and ended ones
// until the next search.
type probeSet struct {
	segments []Segment
	waiting  []*probe
}

// NewProbes returns a Probes without probes.
func NewProbes() *Probes {
	return &Probes{vms: map[string]*prober{}, sets: map[string]*probeSet{}, granted: map[*probe]bool{}}
}

// List replaces the probes of a process. sentAt is the time of the report since the start of
// the process: one that is older than the last is ignored. List returns the granted probes
// that have ended, sorted by id.
func (p *Probes) List(vm string, incarnation uint64, sentAt time.Duration, requests []ProbeRequest, now time.Time) []Grant {
	v := p.vms[vm]
	if v != nil && (incarnation < v.incarnation || incarnation == v.incarnation && sentAt < v.sentAt) {
		return nil
	}
	if v == nil && len(requests) == 0 {
		return nil
	}
	if v != nil && v.incarnation != incarnation {
		p.Forget(vm)
		v = nil
	}
	if v == nil {
		v = &prober{incarnation: incarnation, probes: map[uint64]*probe{}}
		p.vms[vm] = v
	}
	v.sentAt = sentAt
	listed := make(map[uint64]bool, len(requests))
	for _, r := range requests[:min(len(requests), MaxProbes)] {
		listed[r.ID] = true
		switch x := v.probes[r.ID]; {
		case x == nil && len(r.Segments) > 0:
			v.probes[r.ID] = p.add(vm, r, now)
		case x != nil && r.GrantedAt.IsZero() && p.hasLapsed(x, now):
			// The grant has not reached the process, which still wants the probe.
			delete(p.granted, x)
			x.grantedAt = time.Time{}
			p.wait(x)
		}
	}
	var ended []Grant
	for id, x := range v.probes {
		if listed[id] {
			continue
		}
		delete(v.probes, id)
		p.end(x)
		if !x.grantedAt.IsZero() {
			ended = append(ended, x.grant())
		}
	}
	slices.SortFunc(ended, func(a, b Grant) int { return cmp.Compare(a.ID, b.ID) })
	return ended
}

// add returns a new probe. One that an earlier leader has granted is running.
func (p *Probes) add(vm string, r ProbeRequest, now time.Time) *probe {
	segments := slices.Compact(slices.Sorted(slices.Values(r.Segments)))
	x := &probe{vm: vm, id: r.ID, segments: segments, listedAt: now, grantedAt: r.GrantedAt}
	if !x.grantedAt.IsZero() {
		p.granted[x] = true
		return x
	}
	p.wait(x)
	return x
}

// wait lets a probe wait for its grant.
func (p *Probes) wait(x *probe) {
	key := setKey(x.segments)
	set := p.sets[key]
	if set == nil {
		set = &probeSet{segments: x.segments}
		p.sets[key] = set
	}
	set.waiting = append(set.waiting, x)
	p.pending = true
}

// hasLapsed reports whether the probe was granted and the grant no longer holds.
func (p *Probes) hasLapsed(x *probe, now time.Time) bool {
	return !x.grantedAt.IsZero() && (!p.granted[x] || now.Sub(x.grantedAt) >= GrantLifetime)
}

func setKey(segments []Segment) string {
	key := make([]byte, 0, 8*len(segments))
	for _, s := range segments {
		key = binary.LittleEndian.AppendUint64(key, uint64(s))
	}
	return string(key)
}

func (p *Probes) end(x *probe) {
	x.ended = true
	if p.granted[x] {
		delete(p.granted, x)
		p.pending = true
	}
}

func (x *probe) grant() Grant { return Grant{VM: x.vm, ID: x.id, Segments: x.segments} }

// Forget drops the probes of a VM that has no lease any more or was started again.
func (p *Probes) Forget(vm string) {
	if v := p.vms[vm]; v != nil {
		for _, x := range v.probes {
			p.end(x)
		}
		delete(p.vms, vm)
	}
}

// Retry lets the next Search look for probes to grant again, after something else than the
// lists has changed.
func (p *Probes) Retry() { p.pending = true }

// Search grants the waiting probes that may run, and returns them. Those with the fewest
// suspects come first, as they show most, then those that have waited longest. live reports
// whether a VM has a lease, and allowed whether a request with these suspects may be sent.
func (p *Probes) Search(now time.Time, live func(vm string) bool, allowed func([]Segment) bool) []Grant {
	if !p.pending || now.Before(p.nextGrant) {
		return nil
	}
	p.pending = false
	busy := map[Segment]bool{}
	for x := range p.granted {
		if now.Sub(x.grantedAt) >= GrantLifetime || !live(x.vm) {
			delete(p.granted, x)
			continue
		}
		x.occupy(busy)
	}
	var out []Grant
	for _, set := range p.waitingSets() {
		if slices.ContainsFunc(set.segments, func(s Segment) bool { return busy[s] }) || !allowed(set.segments) {
			continue
		}
		i := slices.IndexFunc(set.waiting, func(x *probe) bool { return !x.ended && live(x.vm) })
		if i < 0 {
			continue
		}
		x := set.waiting[i]
		set.waiting = slices.Delete(set.waiting, i, i+1)
		x.grantedAt = now
		p.granted[x] = true
		x.occupy(busy)
		out = append(out, x.grant())
	}
	p.nextGrant = now.Add(grantInterval + time.Duration(len(p.sets))*grantIntervalPerSet)
	return out
}

func (x *probe) occupy(busy map[Segment]bool) {
	for _, s := range x.segments {
		busy[s] = true
	}
}

// waitingSets returns the sets with waiting probes in the order in which they are granted,
// and drops those without.
func (p *Probes) waitingSets() []*probeSet {
	out := make([]*probeSet, 0, len(p.sets))
	for key, set := range p.sets {
		set.waiting = slices.DeleteFunc(set.waiting, func(x *probe) bool { return x.ended })
		if len(set.waiting) == 0 {
			delete(p.sets, key)
			continue
		}
		out = append(out, set)
	}
	slices.SortFunc(out, func(a, b *probeSet) int {
		return cmp.Or(cmp.Compare(len(a.segments), len(b.segments)), a.waiting[0].listedAt.Compare(b.waiting[0].listedAt),
			cmp.Compare(a.waiting[0].vm, b.waiting[0].vm), cmp.Compare(a.waiting[0].id, b.waiting[0].id))
	})
	return out
}

// NextSearch returns when Search has something to do; zero if it has not.
func (p *Probes) NextSearch() time.Time {
	if !p.pending {
		return time.Time{}
	}
	return p.nextGrant
}

// Granted returns the ids of the probes of a VM that may run now, sorted; nil if there are
// none.
func (p *Probes) Granted(vm string, now time.Time) []uint64 {
	v := p.vms[vm]
	if v == nil {
		return nil
	}
	var out []uint64
	for id, x := range v.probes {
		if p.granted[x] && now.Sub(x.grantedAt) < GrantLifetime {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// GrantedAt returns when the last probe of the VM with these suspects was granted; zero if
// none was.
func (p *Probes) GrantedAt(vm string, segments []Segment) time.Time {
	v := p.vms[vm]
	if v == nil {
		return time.Time{}
	}
	want := slices.Compact(slices.Sorted(slices.Values(segments)))
	var last time.Time
	for _, x := range v.probes {
		if slices.Equal(x.segments, want) {
			last = later(last, x.grantedAt)
		}
	}
	return last
}
