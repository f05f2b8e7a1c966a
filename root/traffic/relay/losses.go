package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

// beginningTime is how long after its first output a response counts as one that begins.
// An engine may take 160 ms from its first event to its crash.
const beginningTime = 250 * time.Millisecond

// evidence is what an ended attempt shows about the shared segments of its prompt.
type evidence uint8

// The kinds of evidence.
const (
	noEvidence evidence = iota
	// survived means that the engine completed the response.
	survived
	// survivedIfAccepting means that the response ended with its connection. It is
	// complete only if the engine has not ended.
	survivedIfAccepting
	// lost means that the engine ended as the response began.
	lost
	// lostIfGone means that there was no response, no output or only its beginning, and that
	// the engine may have ended. Otherwise it had no room for the connection or took too long.
	lostIfGone
)

// endedCall is one call of an engine that has ended.
type endedCall struct {
	lease *placement.Lease
	// probe is the probe as which the call was sent; nil for none.
	probe *segments.Probe
	// head is that of the response; its status is 0 without a response.
	head engine.Head
	// answered is set if the response was delivered completely.
	answered bool
	err      error
	// timedOut is set if the deadline or the watchdog ended the call.
	timedOut bool
	// abandoned is set if the end of the request ended the call: its deadline, or the
	// caller left.
	abandoned bool
	// outputTime is the time from the first output to the last; 0 without output.
	outputTime time.Duration
}

// stalled reports whether the call waited for the server when it ended, and the server has
// responded to none since. For a probe it doesn't matter whether the deadline or the caller
// ended it: callers often leave at their deadline, and each probe without a result on an
// engine that hangs costs another engine. Checks of other requests that callers give up
// would be many.
func (e endedCall) stalled() bool {
	return (e.timedOut || e.abandoned && e.probe != nil) && e.lease.Silent()
}

// evidence returns what the call shows. A call that can't have reached the engine shows
// nothing, and neither does an error status: the engine may not have run the prompt.
func (e endedCall) evidence() evidence {
	switch {
	case e.head.Status == 0:
		return e.withoutHead()
	case fault.Is(e.err, fault.Cancelled):
		// The caller's connection failed, with the same errors as an engine's.
		return noEvidence
	case e.answered && e.head.Status/100 != http.StatusOK/100:
		return noEvidence
	case e.answered && e.head.Unframed && e.lease.SinceFirstOutput() < survivalTime:
		return survivedIfAccepting
	case e.answered:
		return survived
	case engine.ClosedByPeer(e.err) && e.lease.SinceFirstOutput() <= beginningTime:
		return lost
	case engine.Unreachable(e.err) && e.lease.TimeToFirstOutput() == 0:
		return lostIfGone
	case !e.answered && e.stalled() && e.outputTime <= beginningTime:
		return lostIfGone
	default:
		return noEvidence
	}
}

// withoutHead returns what a call without a response head shows. A call that took too long
// shows nothing if the server has responded to others meanwhile.
func (e endedCall) withoutHead() evidence {
	var send *engine.SendError
	if !errors.As(e.err, &send) || send.NotSent {
		return noEvidence
	}
	if engine.ClosedByPeer(e.err) || engine.Unreachable(e.err) || e.stalled() {
		return lostIfGone
	}
	return noEvidence
}

// timedOut reports whether the deadline ended ctx, or the watchdog its child.
func timedOut(ctx, watched context.Context) bool {
	if ctx.Err() != nil {
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
	return watched.Err() != nil
}

// takeProbe returns the probe if it has been sent; its result then ends it.
func (r *requestRun) takeProbe() *segments.Probe {
	if !r.probeSent {
		return nil
	}
	probe := r.probe
	r.probe = nil
	return probe
}

// observeSurvival reports that output has lasted long enough to show that the engine
// survives the prompt.
func (r *requestRun) observeSurvival(lease *placement.Lease) {
	r.Segments.Completed(r.heldSegments(), r.LeaseNow())
	if probe := r.takeProbe(); probe != nil {
		r.Segments.EndProbe(probe)
		r.logProbe(probe, probeCompleted, lease.Server().ID)
	}
}

// observe reports what an ended call shows about the shared segments of the prompt. The
// server is checked in the background where that depends on whether it has ended.
func (r *requestRun) observe(e endedCall) {
	if len(r.heldSegments()) == 0 {
		return
	}
	shown, at := e.evidence(), r.LeaseNow()
	if shown != survivedIfAccepting && shown != lostIfGone {
		r.conclude(e, shown, at)
		return
	}
	report := func(result CheckResult, dialErr error) {
		result = withStanding(result, e.lease.Standing())
		r.logCheck(e, shown, result, dialErr)
		switch {
		case result == Gone:
			r.conclude(e, lost, at)
		case result == Accepting && shown == survivedIfAccepting:
			r.conclude(e, survived, at)
		default:
			r.conclude(e, noEvidence, at)
		}
	}
	if !r.checks.request(e.lease.Server(), report) {
		report(Unchecked, nil)
	}
}

// conclude reports what a call has shown at the given time, and ends its probe. It runs
// after the request for calls that needed a check. An engine whose stop was planned is not
// reported as lost.
func (r *requestRun) conclude(e endedCall, shown evidence, at time.Time) {
	server := e.lease.Server()
	if shown == lost && e.lease.Standing() == placement.Departed {
		shown = noEvidence
	}
	result := probeNoResult
	switch shown {
	case survived:
		r.Segments.Completed(r.held, at)
		result = probeCompleted
	case lost:
		r.engineEnded.Store(true)
		r.Segments.Lost(r.held, server, at)
		result = probeFailed
	}
	if e.probe == nil {
		return
	}
	if result == probeFailed {
		r.Segments.FailProbe(e.probe, server, at)
	} else {
		r.Segments.EndProbe(e.probe)
	}
	r.logProbe(e.probe, result, server.ID)
}

// withStanding corrects the result of a check by what the view says of the server: after a
// planned stop it is gone without a loss, and at the address of one that has ended another
// one may accept connections.
func withStanding(result CheckResult, standing placement.Standing) CheckResult {
	switch {
	case result == Gone && standing == placement.Departed:
		return Stopped
	case result == Accepting && standing == placement.Replaced:
		return Gone
	default:
		return result
	}
}

// logCheck counts and logs the result of a check for this request. Complete responses are
// sampled in the log.
func (r *requestRun) logCheck(e endedCall, shown evidence, result CheckResult, dialErr error) {
	r.Observer.ObserveCheck(result.String())
	if shown == survivedIfAccepting && result == Accepting && !r.successLog.allow(time.Now()) {
		return
	}
	reason := "the response ended with its connection"
	if e.err != nil {
		reason = e.err.Error()
	}
	fields := []any{"request", r.id, "server", e.lease.Server().ID, "result", result.String(), "reason", reason}
	if dialErr != nil {
		fields = append(fields, "dial", dialErr.Error())
	}
	r.Log.Info("server checked", fields...)
}
