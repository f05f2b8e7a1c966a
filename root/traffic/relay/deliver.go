package relay

import (
	"io"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// deliver relays a response to the caller and returns how the attempt ended.
func (r *requestRun) deliver(lease *placement.Lease, resp Response, watch *watchdog) (placement.Outcome, error) {
	head := resp.Head()
	server := lease.Server().ID
	if head.NotRun {
		r.exclude = append(r.exclude, server)
		err := fault.New(fault.BackendFailed, part, "server %s refused the request with status %d", server, head.Status)
		return placement.Refused, err.WithRan(fault.RanNo)
	}
	r.ran = fault.RanYes
	if head.Stream {
		return r.streamEvents(lease, resp, watch)
	}
	if r.headSent {
		r.exclude = append(r.exclude, server)
		return placement.Errored, fault.New(fault.StreamCut, part, "server %s did not resume the stream", server)
	}
	body, err := resp.Body()
	if err != nil {
		r.exclude = append(r.exclude, server)
		return placement.Lost, err
	}
	lease.MarkFirstOutput()
	if head.Status < minFailureStatus {
		return placement.Answered, sinkError(r.sink.WriteResponse(head, body))
	}
	if r.route.Idempotent() && r.attemptsLeft() {
		r.exclude = append(r.exclude, server)
		return placement.Errored, fault.New(fault.BackendFailed, part, "server %s responded with status %d", server, head.Status)
	}
	return placement.Errored, sinkError(r.sink.WriteResponse(head, body))
}

// minFailureStatus is the lowest status that reports a failure of the server.
const minFailureStatus = 500

// streamEvents relays events until the stream ends or fails. A resumed stream may
// repeat events; those that the caller has are skipped. It fails if it does not continue
// what the caller has.
func (r *requestRun) streamEvents(lease *placement.Lease, resp Response, watch *watchdog) (placement.Outcome, error) {
	r.position.begin()
	for {
		ev, err := resp.Next()
		// An error that wraps io.EOF is a stream that was cut.
		if err == io.EOF {
			if err := r.position.end(); err != nil {
				return r.streamFailed(lease, err)
			}
			return placement.Answered, r.finishStream(resp)
		}
		if err != nil {
			return r.streamFailed(lease, err)
		}
		lease.MarkFirstOutput()
		watch.disarm()
		if r.survival.due(time.Now()) {
			r.observeSurvival(lease)
		}
		send, err := r.position.accept(ev)
		if err != nil {
			return r.streamFailed(lease, err)
		}
		if !send {
			continue
		}
		if err := r.sendEvent(resp, ev); err != nil {
			return placement.Abandoned, err
		}
	}
}

func (r *requestRun) streamFailed(lease *placement.Lease, err error) (placement.Outcome, error) {
	r.exclude = append(r.exclude, lease.Server().ID)
	return placement.Lost, err
}

// sendEvent writes one event to the caller, and before the first event the head of
// the response.
func (r *requestRun) sendEvent(resp Response, ev engine.VerbatimEvent) error {
	if !r.headSent {
		r.headSent = true
		if err := r.sink.WriteHead(resp.Head()); err != nil {
			return sinkError(err)
		}
	}
	return sinkError(r.sink.WriteEvent(ev))
}

// finishStream ends a complete stream. If it had no events, the head is still to be
// written.
func (r *requestRun) finishStream(resp Response) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	return sinkError(r.sink.WriteHead(resp.Head()))
}
