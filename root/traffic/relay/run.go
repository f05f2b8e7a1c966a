package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// maxPlaces bounds the servers that one request tries without reaching them.
const maxPlaces = 4

// run is the progress of one request over its attempts.
//
// Invariants: a request that is not idempotent is sent again only on a server's
// word that it ran nothing, or when no byte went out; ran never gets weaker.
type run struct {
	*Relay
	req   *Request
	route *routes.Route
	// version is that of the routes gone by.
	version  uint64
	service  *routes.Service
	sink     Sink
	deadline time.Time
	// sends counts the transmissions that reached a server.
	sends int
	// after is the number of the last event that the caller has.
	after uint64
	// headSent is set once the caller has the head of a stream.
	headSent bool
	// exclude lists the servers that failed this request.
	exclude []string
	// parts are the parts of the prompt as placement sees them.
	parts []placement.Segment
	// cache is KV cache that waits for its taker; prefills counts the calls for one.
	cache    *CacheHandle
	prefills int
	// reserved is set while a further transmission is taken from the retry budget
	// already.
	reserved atomic.Bool
	// only names the one server that is to take the request whole; empty for any.
	only string
	// ran is the strongest claim about what ran so far.
	ran fault.Ran
}

func (r *run) serve(ctx context.Context) error {
	defer r.releaseCache()
	var last *fault.Error
	for range maxPlaces + r.route.MaxAttempts {
		done, err := r.attempt(ctx)
		if err == nil || done {
			return err
		}
		last = fault.From(err)
		if !r.mayGoOn(ctx, last) {
			break
		}
	}
	return r.refusal(ctx, last)
}

// attempt sends the request to one server. done means that the error is final.
func (r *run) attempt(ctx context.Context) (done bool, err error) {
	if err := r.prepare(ctx); err != nil {
		return true, r.refusal(ctx, fault.From(err))
	}
	lease, err := r.Placer.Place(ctx, r.work())
	if err != nil {
		return true, r.refusal(ctx, fault.From(err))
	}
	outcome := placement.Lost
	defer func() { r.ended(lease, outcome, err) }()
	watch := r.newWatch(ctx)
	defer watch.stop()
	reply, err := r.send(watch.ctx, lease)
	if err == nil {
		defer reply.Close()
		outcome, err = r.deliver(lease, reply, watch)
	}
	if err != nil && ctx.Err() != nil {
		outcome = placement.Abandoned
	}
	return fault.Is(err, fault.Cancelled), err
}

// ended gives a place back and logs how it went. Of attempts that went well and on
// time only a sample is logged.
func (r *run) ended(lease *placement.Lease, outcome placement.Outcome, err error) {
	lease.End(outcome)
	r.Observe.Attempt(lease.Decision().Stage.String(), outcome.String(), lease.TimeToFirstOutput())
	if r.wentWell(outcome, err) && !r.lines.take(time.Now()) {
		return
	}
	chosen := lease.Decision()
	fields := []any{
		"request", r.req.ID, "route", r.route.Name, "server", lease.Server().ID, "stage", chosen.Stage.String(),
		"outcome", outcome.String(), "first_ms", lease.TimeToFirstOutput().Milliseconds(), "age_ms", time.Since(r.req.Arrived).Milliseconds(),
		"running", chosen.Running, "queued", int(chosen.QueuedTokens), "missing", int(chosen.UncachedTokens),
		"home", chosen.PrefillHome, "copy_from", chosen.CopyFrom, "predicted_ms", chosen.PrefillTime.Milliseconds(), "slowness", chosen.Slowness,
		"candidates", chosen.Candidates, "report_age_ms", chosen.ReportAge.Milliseconds(),
		"view", fmt.Sprintf("%d/%d", chosen.ViewTerm, chosen.ViewSeq), "routes", r.version,
	}
	if err != nil {
		fields = append(fields, "reason", err.Error())
	}
	r.Log.Info("an attempt ended", fields...)
}

// wentWell reports whether an attempt was answered while the answer is on time.
func (r *run) wentWell(outcome placement.Outcome, err error) bool {
	late := r.route.LatencyObjective > 0 && time.Since(r.req.Arrived) > r.route.LatencyObjective
	return outcome == placement.Answered && err == nil && !late
}

// work is what placement sees of the request.
func (r *run) work() placement.Request {
	w := placement.Request{
		Service:            r.service.Name,
		PromptTokens:       r.req.Prompt.Tokens,
		Segments:           r.parts,
		Exclude:            r.exclude,
		RequiredServer:     r.only,
		FirstOutputTimeout: r.patience(),
		Objective:          r.route.LatencyObjective,
	}
	if r.cache != nil {
		w.Stage = placement.Decode
	}
	return w
}

// Callers leave a stream that brings nothing for the longest of these.
const (
	callerPatience    = 2 * time.Second
	patienceObjective = 4
	patienceGap       = 8
)

// patience is how long the caller still waits for the first sign of an answer.
func (r *run) patience() time.Duration {
	left := time.Until(r.deadline)
	if r.route.Kind != routes.Stream {
		return left
	}
	waits := max(callerPatience, patienceObjective*r.route.LatencyObjective, patienceGap*r.route.MaxGap)
	return min(left, waits-time.Since(r.req.Arrived))
}

// send transmits the request within the retry budget.
func (r *run) send(ctx context.Context, lease *placement.Lease) (Reply, error) {
	server := lease.Server()
	if r.sends > 0 && !r.reserved.Swap(false) && !r.Retries.Take(r.service.Name, time.Now()) {
		return nil, r.errBudget()
	}
	reply, err := r.Backend.Send(ctx, server, r.transmission(lease.Decision().CopyFrom))
	if err == nil {
		r.sends++
		r.cache = nil
		return reply, nil
	}
	return nil, r.sendFailed(server.ID, err)
}

// transmission describes one transmission of the request.
func (r *run) transmission(copyFrom string) Attempt {
	return Attempt{
		Request:        r.req,
		Deadline:       r.deadline,
		After:          r.after,
		Urgency:        r.route.Priority,
		Cache:          r.cache,
		CopyFrom:       copyFrom,
		MaxConnections: r.maxConnections(),
	}
}

// minConnections is the least number of connections that an entry may have to
// one server, whatever its part of the bound comes to.
const minConnections = 4

// maxConnections is this entry's part of the bound on connections to one server.
func (r *run) maxConnections() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(minConnections, r.service.MaxConnections/r.Placer.Entries())
}

// sendFailed notes a call that brought no answer.
func (r *run) sendFailed(server string, err error) *fault.Error {
	r.exclude = append(r.exclude, server)
	failed := fault.Wrap(err, fault.BackendFailed, part, "%s did not answer", server)
	var send *engine.SendError
	if errors.As(err, &send) && send.NotSent {
		return failed.WithRan(fault.RanNo)
	}
	r.sends++
	r.cache = nil
	r.ran = fault.RanUnknown
	return failed.WithRan(fault.RanUnknown)
}

func (r *run) attemptsLeft() bool { return r.sends < max(1, r.route.MaxAttempts) }

// mayGoOn reports whether another server may be tried after a failure.
func (r *run) mayGoOn(ctx context.Context, failed *fault.Error) bool {
	if ctx.Err() != nil || fault.Is(failed, fault.Overloaded) || !r.attemptsLeft() {
		return false
	}
	return r.route.Idempotent() || (failed.Ran == fault.RanNo && r.ran == fault.RanNo)
}

// refusal is what the caller is told after the last attempt: the strongest claim
// of all attempts, and the deadline when that has passed.
func (r *run) refusal(ctx context.Context, failed *fault.Error) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed = fault.Wrap(failed, fault.DeadlineExceeded, part, "the deadline passed").WithRan(failed.Ran)
	}
	if r.ran != fault.RanNo {
		return failed.WithRan(r.ran)
	}
	if failed.RetryAfter == 0 {
		return failed.WithRetryAfter(refusedRetry)
	}
	return failed
}
