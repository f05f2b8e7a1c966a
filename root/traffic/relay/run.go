package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/tenancy"
)

// extraAttempts is the number of attempts that a request may make beyond the route's
// MaxAttempts because some of them failed before anything was sent.
const extraAttempts = 4

// requestRun is the state of one request across its attempts.
//
// Invariants: a request that is not idempotent is sent again only if no byte of it
// was sent or the server stated that it did not run it; ran never returns to RanNo.
type requestRun struct {
	*Relay
	id string
	// req and sink are nil once serve has returned: the check of a server may use the run
	// for longer, and must not keep the bodies of requests that have ended.
	req   *Request
	sink  Sink
	route *routes.Route
	// routesVersion is the version of the routes that matched the request.
	routesVersion uint64
	service       *routes.Service
	// decision is the last one about the request's keys, by document.
	decision tenancy.Decision
	document *routes.Document
	// keyRefused is set once a key that admitted the request has been removed.
	keyRefused bool
	deadline   time.Time
	// transmissions counts the transmissions of which a server may have received a
	// part, including failed prefill calls but not successful ones.
	transmissions int
	// position is the position of the caller in a stream.
	position streamPosition
	// headSent is set once the head of a stream is written to the caller.
	headSent bool
	// exclude lists the servers that failed this request.
	exclude []string
	// segments are the segments of the prompt with chained hashes.
	segments []placement.Segment
	// held are the shared segments of the prompt; see heldSegments.
	held []quarantine.Segment
	// engineEnded is set once an engine has ended under the request.
	engineEnded atomic.Bool
	// cache is a prefilled KV cache that no engine has fetched yet. prefills counts the
	// prefill calls.
	cache    *CacheHandle
	prefills int
	// probe is the probe as which the request is sent, or for whose permission it waits; nil
	// for none. probeSent is set once it may have reached an engine.
	probe     *segments.Probe
	probeSent bool
	// survival is the clock of the stream of the current attempt.
	survival survivalClock
	// waited is the time for which the request has waited for suspects.
	waited time.Duration
	// retryReserved is set when the watchdog has taken a retry from the retry budget,
	// and cleared when send uses it.
	retryReserved atomic.Bool
	// requiredServer is the id of the only server that may run the request; empty for
	// any.
	requiredServer string
	// ran is RanNo while no server can have run the request. Afterwards it describes the
	// last transmission that may have run it: RanYes if a response began, RanUnknown if
	// none did, even if an earlier transmission had a response.
	ran fault.Ran
}

func (r *requestRun) serve(ctx context.Context) error {
	defer func() { r.req, r.sink = nil, nil }()
	defer r.releaseCache()
	defer func() { r.endProbe(probeNoResult) }()
	var last *fault.Error
	for range extraAttempts + r.route.MaxAttempts {
		done, err := r.attempt(ctx)
		if err == nil || done {
			return err
		}
		last = fault.From(err)
		if errors.Is(err, errSuspect) {
			// This attempt sent nothing, so another one repeats no work.
			continue
		}
		if !r.mayRetry(ctx, last) {
			break
		}
	}
	return r.finalError(ctx, last)
}

// attempt sends the request to one server. If done is set, the error is final.
//
// An attempt without a response ends as placement.Lost. It ends as placement.Abandoned,
// which says nothing about the server, if ctx has ended or the retry budget does not
// permit sending the request.
func (r *requestRun) attempt(ctx context.Context) (done bool, err error) {
	if err := r.awaitSuspects(ctx); err != nil {
		return true, r.finalError(ctx, err)
	}
	if err := r.prefill(ctx); errors.Is(err, errSuspect) {
		return false, err
	} else if err != nil {
		return true, r.finalError(ctx, fault.From(err))
	}
	lease, err := r.Placer.Place(ctx, r.placementRequest())
	if err != nil {
		return true, r.finalError(ctx, fault.From(err))
	}
	outcome := placement.Lost
	defer func() { r.endAttempt(lease, outcome, err) }()
	watch := r.newWatchdog(ctx)
	defer watch.stop()
	r.survival = survivalClock{}
	resp, err := r.send(watch.ctx, lease)
	if err == nil {
		defer resp.Close()
		outcome, err = r.deliver(lease, resp, watch)
	}
	call := endedCall{
		lease: lease, probe: r.takeProbe(), answered: outcome == placement.Answered && err == nil, err: err,
		timedOut: timedOut(ctx, watch.ctx), abandoned: ctx.Err() != nil, outputTime: r.survival.outputTime(),
	}
	if resp != nil {
		call.head = resp.Head()
	}
	r.observe(call)
	if err != nil && (ctx.Err() != nil || errors.Is(err, errBudgetExhausted) || fault.Is(err, fault.Quarantined) || r.keyRefused) {
		outcome = placement.Abandoned
	}
	if err != nil && r.probeSent {
		return true, r.finalError(ctx, fault.From(err))
	}
	return fault.Is(err, fault.Cancelled), err
}

// endAttempt releases the lease, and counts and logs the attempt. Attempts that
// succeeded in time are sampled in the log.
func (r *requestRun) endAttempt(lease *placement.Lease, outcome placement.Outcome, err error) {
	lease.End(outcome)
	r.Observer.ObserveAttempt(lease.Decision().Stage.String(), outcome.String(), lease.TimeToFirstOutput())
	if r.succeededInTime(outcome, err) && !r.successLog.allow(time.Now()) {
		return
	}
	decision := lease.Decision()
	fields := []any{
		"request", r.id, "route", r.route.Name, "server", lease.Server().ID, "stage", decision.Stage.String(),
		"outcome", outcome.String(), "first_ms", lease.TimeToFirstOutput().Milliseconds(), "age_ms", time.Since(r.req.Arrived).Milliseconds(),
		"running", decision.Running, "queued", int(decision.QueuedTokens), "missing", int(decision.UncachedTokens),
		"home", decision.PrefillHome, "copy_from", decision.CopyFrom, "predicted_ms", decision.PrefillTime.Milliseconds(), "slowness", decision.Slowness,
		"candidates", decision.Candidates, "report_age_ms", decision.ReportAge.Milliseconds(),
		"view", fmt.Sprintf("%d/%d", decision.ViewTerm, decision.ViewSeq), "routes", r.routesVersion,
	}
	if r.decision.Tenant != "" {
		fields = append(fields, "tenant", r.decision.Tenant)
	}
	if err != nil {
		fields = append(fields, "reason", err.Error())
	}
	if outcome == placement.Lost && r.service.Engine != nil {
		fields = append(fields, "segments", r.segmentNames())
	}
	r.Log.Info("attempt ended", fields...)
}

// succeededInTime reports whether an attempt succeeded and ended within the route's
// latency objective after the request arrived. A stream ends with its last event.
func (r *requestRun) succeededInTime(outcome placement.Outcome, err error) bool {
	late := r.route.LatencyObjective > 0 && time.Since(r.req.Arrived) > r.route.LatencyObjective
	return outcome == placement.Answered && err == nil && !late
}

// placementRequest returns the part of the request that placement depends on.
func (r *requestRun) placementRequest() placement.Request {
	req := placement.Request{
		Service:            r.service.Name,
		PromptTokens:       r.req.Prompt.Tokens,
		Segments:           r.segments,
		Exclude:            r.exclude,
		RequiredServer:     r.requiredServer,
		FirstOutputTimeout: r.firstOutputTimeout(),
		Objective:          r.route.LatencyObjective,
	}
	if r.cache != nil {
		req.Stage = placement.Decode
	}
	return req
}

// The caller of a stream is assumed to wait for the first output for the longest of
// minStreamTimeout, latencyObjectiveFactor times the latency objective, and
// gapObjectiveFactor times the objective for the gap between events.
const (
	minStreamTimeout       = 2 * time.Second
	latencyObjectiveFactor = 4
	gapObjectiveFactor     = 8
)

// firstOutputTimeout returns how much longer the caller waits for the first output. For
// a stream the wait counts from the arrival of the request; the result is negative once
// it is over. A caller that already has events and is still connected waits for the
// rest until the deadline.
func (r *requestRun) firstOutputTimeout() time.Duration {
	left := time.Until(r.deadline)
	if r.route.Kind != routes.Stream || r.headSent {
		return left
	}
	timeout := max(minStreamTimeout, latencyObjectiveFactor*r.route.LatencyObjective, gapObjectiveFactor*r.route.GapObjective)
	return min(left, timeout-time.Since(r.req.Arrived))
}

// send transmits the request to the leased server. If transmissions were counted
// before, it needs a retry from the retry budget.
func (r *requestRun) send(ctx context.Context, lease *placement.Lease) (Response, error) {
	server := lease.Server()
	if err := r.checkSuspects(); err != nil {
		return nil, err
	}
	if err := r.checkTenant(); err != nil {
		return nil, err
	}
	if r.transmissions > 0 && !r.retryReserved.Swap(false) && !r.RetryBudget.Take(r.service.Name, time.Now()) {
		return nil, r.errRetryBudget()
	}
	copyFrom := lease.Decision().CopyFrom
	if r.probe != nil {
		// A probe reaches one engine only.
		copyFrom = ""
	}
	resp, err := r.Backend.Send(ctx, server, r.transmission(copyFrom))
	r.probeSent = r.probe != nil && !notSent(err)
	if err == nil {
		r.observeNotice(lease, resp.Head())
		r.transmissions++
		r.cache = nil
		return resp, nil
	}
	return nil, r.sendFailed(server.ID, err)
}

// observeNotice passes on what a server says in the head of a response about further
// requests, and logs what is new.
func (r *requestRun) observeNotice(lease *placement.Lease, h engine.Head) {
	notice := placement.Notice{
		Leaving: h.Leaving, RetryAfter: h.RetryAfter, LimitPerSecond: h.LimitPerSecond,
		NamesNoLimit: h.LimitPerSecond == 0 && h.Status/100 == 2,
	}
	if lease.Observe(notice) {
		r.Log.Info("server wants other requests", "request", r.id, "server", lease.Server().ID,
			"leaving", h.Leaving, "retry_after", h.RetryAfter.String(), "limit_per_second", h.LimitPerSecond)
	}
}

// transmission returns the parameters of the next transmission.
func (r *requestRun) transmission(copyFrom string) Transmission {
	return Transmission{
		Request:        r.req,
		Deadline:       r.deadline,
		LastEventID:    r.position.lastID,
		Priority:       r.decision.Rank,
		Tenant:         r.decision.Tenant,
		Cache:          r.cache,
		CopyFrom:       copyFrom,
		MaxConnections: r.maxConnections(),
	}
}

// minConnections is the number of connections to one server that each entry may have,
// even if its share of the service's limit is smaller.
const minConnections = 4

// maxConnections returns this entry's share of the service's limit on connections to
// one server; 0 for no limit.
func (r *requestRun) maxConnections() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, r.service.MaxConnections/r.Placer.Entries())
}

// sendFailed records a failed call of Send and returns its error. The call counts as a
// transmission unless nothing was sent.
func (r *requestRun) sendFailed(server string, err error) *fault.Error {
	r.exclude = append(r.exclude, server)
	failed := fault.Wrap(err, fault.BackendFailed, part, "request to server %s failed", server)
	if notSent(err) {
		return failed.WithRan(fault.RanNo)
	}
	r.transmissions++
	r.cache = nil
	r.ran = fault.RanUnknown
	return failed.WithRan(fault.RanUnknown)
}

// notSent reports whether an error of a Backend shows that nothing of the request was sent.
func notSent(err error) bool {
	var send *engine.SendError
	return errors.As(err, &send) && send.NotSent
}

func (r *requestRun) attemptsLeft() bool { return r.transmissions < max(1, r.route.MaxAttempts) }

// mayRetry reports whether the request may be sent to another server after a failure.
func (r *requestRun) mayRetry(ctx context.Context, failed *fault.Error) bool {
	refused := fault.Is(failed, fault.Overloaded) || fault.Is(failed, fault.Quarantined) || r.keyRefused
	if refused || ctx.Err() != nil || !r.attemptsLeft() || !r.position.resumable() || r.mayCrashAnother() {
		return false
	}
	return r.route.Idempotent() || (failed.Ran == fault.RanNo && r.ran == fault.RanNo)
}

// finalError returns the error for the caller after the last attempt. It reports a
// passed deadline as such, and whether any attempt may have run the request. If none
// has, the error suggests a delay before a retry: at least until a server wants requests.
func (r *requestRun) finalError(ctx context.Context, failed *fault.Error) *fault.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failed = fault.Wrap(failed, fault.DeadlineExceeded, part, "deadline exceeded").WithRan(failed.Ran)
	case r.ending.reached.Err() != nil:
		failed = fault.Wrap(failed, fault.DeadlineExceeded, part, "this entry stops").WithRan(failed.Ran)
	}
	if r.ran != fault.RanNo {
		return failed.WithRan(r.ran)
	}
	if failed.RetryAfter == 0 {
		return failed.WithRetryAfter(max(defaultRetry, r.Placer.HeldFor(r.placementRequest())))
	}
	return failed
}
