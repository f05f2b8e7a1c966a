package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

const (
	// decodeReserve is the part of the first-output timeout that is reserved for what
	// follows prefill: the transfer of the KV cache and the first event.
	decodeReserve = 400 * time.Millisecond
	// maxPrefills bounds the prefill calls of one request.
	maxPrefills = 2
	// releaseTimeout bounds the call that releases an unused KV cache.
	releaseTimeout = 500 * time.Millisecond
)

// prefill runs the prompt on a prefill engine if placement plans that. It does nothing
// if an earlier attempt left an unused KV cache, from which a decode engine continues.
// Without a KV cache, also after a failed prefill call or if the last prefill engine went
// away while the request was queued, one server runs the whole request. An error means
// that placement refused the prefill or that ctx ended; it is final.
//
// A failed prefill call is reported to placement as Lost, or as Abandoned if ctx has
// ended. A refusal by the engine is reported as Lost too, so placement avoids the engine
// as after a failure.
func (r *requestRun) prefill(ctx context.Context) (err error) {
	if r.segments == nil {
		r.segments = hashSegments(r.req.Prompt)
	}
	r.requiredServer = ""
	if r.probe != nil {
		// A probe runs whole on one engine.
		r.releaseCache()
		r.cache = nil
		return nil
	}
	if r.cache != nil || r.service.Engine == nil || r.prefills >= maxPrefills {
		return nil
	}
	plan := r.Placer.PlanPrefill(r.placementRequest())
	if !plan.Disaggregated {
		r.requiredServer = plan.Server
		return nil
	}
	if r.prefills > 0 && !r.RetryBudget.Take(r.service.Name, time.Now()) {
		return nil
	}
	req := r.placementRequest()
	req.Stage = placement.Prefill
	req.FirstOutputTimeout = max(1, req.FirstOutputTimeout-decodeReserve)
	lease, err := r.Placer.Place(ctx, req)
	if fault.Is(err, fault.NoBackend) {
		return nil
	}
	if err != nil {
		return err
	}
	outcome := placement.Lost
	defer func() { r.endAttempt(lease, outcome, err) }()
	if err := r.checkSuspects(); err != nil {
		outcome = placement.Abandoned
		return err
	}
	if err := r.checkTenant(); err != nil {
		outcome = placement.Abandoned
		return err
	}
	head, handle, err := r.Backend.Prefill(ctx, lease.Server(), r.transmission(lease.Decision().CopyFrom))
	r.prefills++
	if head.Status != 0 {
		r.observeNotice(lease, head)
	}
	if err == nil {
		lease.MarkFirstOutput()
		outcome = placement.Answered
		r.cache = &handle
		return nil
	}
	r.observe(endedCall{lease: lease, head: head, err: err, timedOut: timedOut(ctx, ctx)})
	if ctx.Err() != nil {
		outcome = placement.Abandoned
		return fault.From(err)
	}
	r.prefillFailed(lease.Server().ID, err)
	return nil
}

// prefillFailed records a prefill call that returned no handle. The call counts as a
// transmission unless nothing was sent. The reason is logged here only, because the
// attempt ends without an error.
func (r *requestRun) prefillFailed(server string, err error) {
	r.exclude = append(r.exclude, server)
	r.Log.V(1).Info("prefill failed", "request", r.id, "server", server, "reason", err.Error())
	if notSent(err) {
		return
	}
	r.transmissions++
}

// hashSegments returns the segments with chained hashes: a cached segment is usable
// only if all segments before it are cached too.
func hashSegments(p Prompt) []placement.Segment {
	h := xxhash.New()
	// Writes to a hash don't fail.
	_, _ = h.WriteString(p.Model)
	out := make([]placement.Segment, 0, len(p.Segments))
	for _, segment := range p.Segments {
		_, _ = h.WriteString("\x00" + segment.ID)
		out = append(out, placement.Segment{Hash: h.Sum64(), Tokens: segment.Tokens})
	}
	return out
}

// releaseCache releases a prefilled KV cache that no engine has fetched.
func (r *requestRun) releaseCache() {
	if r.cache == nil {
		return
	}
	handle := *r.cache
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := supervise.Catch(part, func() error { return r.Backend.Release(ctx, handle) }); err != nil {
			r.Log.V(1).Info("failed to release KV cache; it will expire", "request", r.id,
				"server", handle.Server.ID, "reason", err.Error())
		}
	}()
}
