package loop

import (
	"context"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// departureTimeout bounds the wait until a departure is committed. It is below one second,
// the time after which a backend server announces itself to another VM.
const departureTimeout = 900 * time.Millisecond

// Control is the interface of the control thread that announcements need.
type Control interface {
	Post(ctx context.Context, ev machine.Event) error
	Submit(ctx context.Context, cmd replicated.Command) (replicated.Result, error)
}

// Announce passes the announcement of a backend server to the control thread. If the server
// is draining or leaving, it returns only once that is committed and the entries in contact
// have confirmed it: the server relies on the answer, stops announcing itself and may not be
// asked again. The error is of kind fault.Unavailable if the control thread did not accept
// the announcement, and otherwise, for example fault.NoQuorum, says why the departure is not
// known to be committed.
func Announce(ctx context.Context, c Control, s fleet.Server) error {
	if err := post(ctx, c, machine.Announced{Server: s}); err != nil {
		return err
	}
	if !s.Departing() {
		return nil
	}
	return commitDeparture(ctx, c, s)
}

// Deregister passes the deregistration of a backend server to the control thread and
// returns once it is committed. Incarnation 0 means the known one. The errors are those of
// Announce.
func Deregister(ctx context.Context, c Control, server string, incarnation uint64) error {
	if err := post(ctx, c, machine.Deregistered{Server: server, Incarnation: incarnation}); err != nil {
		return err
	}
	return commitDeparture(ctx, c, fleet.Leave(server, incarnation))
}

func post(ctx context.Context, c Control, ev machine.Event) error {
	if err := c.Post(ctx, ev); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "the control thread did not accept the event")
	}
	return nil
}

func commitDeparture(ctx context.Context, c Control, s fleet.Server) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	res, err := c.Submit(ctx, replicated.RecordFleet{Servers: []fleet.Server{s}})
	if err == nil && res.Err != nil {
		return res.Err
	}
	return err
}
