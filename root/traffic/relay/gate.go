package relay

import (
	"context"
	"errors"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

const (
	// maxSuspectWait bounds the time that a request waits for its suspects, and
	// suspectWaitShare is the share of its remaining time that it may wait.
	maxSuspectWait   = time.Second
	suspectWaitShare = 0.25
	// suspectRetry is the suggested delay before a retry of a request that was refused for
	// a suspect.
	suspectRetry = time.Second
	// maxGrantAge is how long after its arrival a grant may be used to send a probe.
	// The leader lets another process probe the same segments 3 s after it gave it.
	maxGrantAge = time.Second
)

// probeResult is how a probe ended.
type probeResult string

// The results of a probe. A probe without a result was not placed, or its end says nothing
// about the engine.
const (
	probeCompleted probeResult = "completed"
	probeFailed    probeResult = "failed"
	probeNoResult  probeResult = "no_result"
)

// errSuspect is the cause of the errors for requests that were held back because of a
// suspect.
var errSuspect = errors.New("engines may crash on a segment of the prompt")

// errHeldBack is the error of an attempt that was given up before its transmission because a
// segment of the prompt has become a suspect. The next attempt waits for it.
func (r *requestRun) errHeldBack() *fault.Error {
	err := fault.Wrap(errSuspect, fault.Quarantined, part, "service %q", r.service.Name)
	return err.WithRetryAfter(suspectRetry)
}

// suspects returns the segments of the prompt that keep the request from engines unless it
// is sent as a probe.
func (r *requestRun) suspects() []quarantine.Segment {
	list := r.Views.Load().Segments
	if len(list.Suspects) == 0 {
		return nil
	}
	var out []quarantine.Segment
	for _, s := range r.heldSegments() {
		if suspect, found := list.Suspect(s); found && !r.Segments.Survives(suspect) {
			out = append(out, s)
		}
	}
	return out
}

// awaitSuspects returns nil once the request may be placed: no segment of its prompt is a
// suspect, or it may be sent as a probe, which is then r.probe. It waits for that, for at most
// the time that suspectWait returns.
func (r *requestRun) awaitSuspects(ctx context.Context) *fault.Error {
	if err := r.checkQuarantine(); err != nil {
		return err
	}
	if r.mayBePlaced() {
		return nil
	}
	began := time.Now()
	defer func() { r.waited += time.Since(began) }()
	timer := time.NewTimer(r.suspectWait())
	defer timer.Stop()
	for {
		changed := r.Views.Changed()
		if err := r.checkQuarantine(); err != nil {
			return err
		}
		if r.mayBePlaced() {
			r.logGrant()
			return nil
		}
		select {
		case <-changed:
		case <-r.probe.Granted():
		case <-timer.C:
			r.Observer.ObserveSuspectRefusal()
			return r.errHeldBack()
		case <-ctx.Done():
			return fault.From(ctx.Err()).WithRan(r.ran)
		}
	}
}

// suspectWait returns how long the request may wait for its suspects now.
func (r *requestRun) suspectWait() time.Duration {
	share := time.Duration(suspectWaitShare * float64(time.Until(r.deadline)))
	return min(maxSuspectWait-r.waited, share)
}

// mayBePlaced reports whether no suspect holds the request back, or it may be sent as a
// probe. Otherwise r.probe asks for that.
func (r *requestRun) mayBePlaced() bool {
	suspects := r.suspects()
	if len(suspects) == 0 {
		r.endProbe(probeNoResult)
		return true
	}
	if r.probe != nil && r.probe.Covers(suspects) {
		if _, granted := r.probe.GrantedAt(); !granted {
			return false
		}
		if r.mayUseGrant() {
			return true
		}
	}
	r.endProbe(probeNoResult)
	r.probe = r.Segments.RequestProbe(suspects)
	return false
}

// mayUseGrant reports whether the permission for the probe is certainly in force: a process
// that was suspended or cut off can't know that.
func (r *requestRun) mayUseGrant() bool {
	now := r.LeaseNow()
	at, granted := r.probe.GrantedAt()
	return granted && now.Sub(at) < maxGrantAge && r.Views.Load().Fresh(now)
}

// checkSuspects returns an error if the request must not be transmitted now. Other entries
// may have found a segment while the request was being placed.
func (r *requestRun) checkSuspects() *fault.Error {
	if err := r.checkQuarantine(); err != nil {
		return err
	}
	suspects := r.suspects()
	if len(suspects) == 0 || r.probe != nil && r.probe.Covers(suspects) && r.mayUseGrant() {
		return nil
	}
	return r.errHeldBack()
}

// endProbe ends the probe, if there is one, or the wait for its permission.
func (r *requestRun) endProbe(result probeResult) {
	if r.probe == nil {
		return
	}
	probe := r.probe
	r.probe = nil
	if _, granted := probe.GrantedAt(); granted {
		r.logProbe(probe, result, "")
	}
	r.Segments.EndProbe(probe)
}

func (r *requestRun) logGrant() {
	if r.probe != nil {
		r.Log.Info("probe granted", "request", r.id, "suspects", segmentKeys(r.probe))
	}
}

// logProbe counts and logs the end of a probe that was granted.
func (r *requestRun) logProbe(p *segments.Probe, result probeResult, server string) {
	r.Observer.ObserveProbe(string(result))
	r.Log.Info("probe ended", "request", r.id, "server", server, "result", string(result), "suspects", segmentKeys(p))
}

func segmentKeys(p *segments.Probe) []string {
	var out []string
	for _, s := range p.Suspects() {
		out = append(out, s.String())
	}
	return out
}
