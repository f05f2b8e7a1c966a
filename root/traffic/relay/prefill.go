package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

const (
	// decodeReserve is kept from the caller's patience for what follows the reading
	// of a prompt: the transfer and the first event.
	decodeReserve = 400 * time.Millisecond
	// maxPrefills bounds the prefill calls of one request.
	maxPrefills = 2
	// releaseTimeout bounds the call that frees KV cache without a taker.
	releaseTimeout = 500 * time.Millisecond
)

// prepare has the prompt read apart where that is better. Otherwise, or after a
// failure, the request goes whole to one server.
func (r *run) prepare(ctx context.Context) (err error) {
	if r.parts == nil {
		r.parts = hashParts(r.req.Prompt)
	}
	r.only = ""
	if r.cache != nil || r.service.Engine == nil || r.prefills >= maxPrefills {
		return nil
	}
	way := r.Placer.PlanPrefill(r.work())
	if !way.Disaggregated {
		r.only = way.Server
		return nil
	}
	if r.prefills > 0 && !r.Retries.Take(r.service.Name, time.Now()) {
		return nil
	}
	w := r.work()
	w.Stage = placement.Prefill
	w.FirstOutputTimeout = max(1, w.FirstOutputTimeout-decodeReserve)
	lease, err := r.Placer.Place(ctx, w)
	if err != nil {
		return err
	}
	outcome := placement.Lost
	defer func() { r.ended(lease, outcome, err) }()
	handle, err := r.Backend.Prefill(ctx, lease.Server(), r.transmission(lease.Decision().CopyFrom))
	r.prefills++
	if err == nil {
		lease.MarkFirstOutput()
		outcome = placement.Answered
		r.cache = &handle
		return nil
	}
	if ctx.Err() != nil {
		outcome = placement.Abandoned
		return fault.From(err)
	}
	r.prefillFailed(lease.Server().ID, err)
	return nil
}

// prefillFailed notes a prefill call without a handle. One that reached the
// server counts as an attempt.
func (r *run) prefillFailed(server string, err error) {
	r.exclude = append(r.exclude, server)
	r.Log.V(1).Info("a prefill failed", "request", r.req.ID, "server", server, "reason", err.Error())
	var send *engine.SendError
	if errors.As(err, &send) && send.NotSent {
		return
	}
	r.sends++
}

// hashParts chains the parts, since a cached part counts only after those before it.
func hashParts(p Prompt) []placement.Segment {
	h := xxhash.New()
	// Writes to a hash don't fail.
	_, _ = h.WriteString(p.Model)
	out := make([]placement.Segment, 0, len(p.Parts))
	for _, part := range p.Parts {
		_, _ = h.WriteString("\x00" + part.ID)
		out = append(out, placement.Segment{Hash: h.Sum64(), Tokens: part.Tokens})
	}
	return out
}

// releaseCache frees KV cache that was read and not taken.
func (r *run) releaseCache() {
	if r.cache == nil {
		return
	}
	handle := *r.cache
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.Backend.Release(ctx, handle); err != nil {
			r.Log.V(1).Info("KV cache was not freed; it lapses by itself", "request", r.req.ID,
				"server", handle.Server.ID, "reason", err.Error())
		}
	}()
}
