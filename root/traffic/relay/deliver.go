package relay

import (
	"errors"
	"io"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/engine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/placement"
)

// deliver moves a reply to the caller.
func (r *run) deliver(lease *placement.Lease, reply Reply, watch *watch) (placement.Outcome, error) {
	head := reply.Head()
	server := lease.Server().ID
	if head.NotRun {
		r.exclude = append(r.exclude, server)
		err := fault.New(fault.BackendFailed, part, "%s refused with status %d", server, head.Status)
		return placement.Refused, err.WithRan(fault.RanNo)
	}
	r.ran = fault.RanYes
	if head.Stream {
		return r.stream(lease, reply, watch)
	}
	if r.headSent {
		return placement.Errored, fault.New(fault.StreamCut, part, "%s did not resume the stream", server)
	}
	body, err := reply.Body()
	if err != nil {
		r.exclude = append(r.exclude, server)
		return placement.Lost, err
	}
	lease.MarkFirstOutput()
	if head.Status < failedStatus {
		return placement.Answered, gone(r.sink.Whole(head, body))
	}
	if r.route.Idempotent() && r.attemptsLeft() {
		r.exclude = append(r.exclude, server)
		return placement.Errored, fault.New(fault.BackendFailed, part, "%s answered status %d", server, head.Status)
	}
	return placement.Errored, gone(r.sink.Whole(head, body))
}

// failedStatus is the first status by which a server says that it failed.
const failedStatus = 500

// stream moves events to the caller until the stream ends or breaks.
func (r *run) stream(lease *placement.Lease, reply Reply, watch *watch) (placement.Outcome, error) {
	for {
		ev, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return placement.Answered, r.endStream(reply)
		}
		if err != nil {
			r.exclude = append(r.exclude, lease.Server().ID)
			return placement.Lost, err
		}
		lease.MarkFirstOutput()
		watch.begun()
		if ev.ID > 0 && ev.ID <= r.after {
			continue
		}
		if err := r.pass(reply, ev); err != nil {
			return placement.Abandoned, err
		}
	}
}

// pass hands one event to the caller, after the head of the first server.
func (r *run) pass(reply Reply, ev engine.VerbatimEvent) error {
	if !r.headSent {
		r.headSent = true
		if err := r.sink.Head(reply.Head()); err != nil {
			return gone(err)
		}
	}
	if ev.ID > 0 {
		r.after = ev.ID
	}
	return gone(r.sink.Event(ev))
}

// endStream ends a whole stream. One without events still has a head.
func (r *run) endStream(reply Reply) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	return gone(r.sink.Head(reply.Head()))
}
