package machine

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// onDepartures handles servers that have said at some process that they are draining or
// leaving. All views show it at once. p is answered once the log has it, so that the next
// leader knows it too, also one that starts after all processes were killed, and the
// entries have confirmed it.
func (l *leader) onDepartures(p proposer, servers []fleet.Server) {
	var record []fleet.Server
	changed := false
	for _, s := range servers {
		if known, ok := l.fleet.Server(s.ID); ok && s.Incarnation == 0 {
			s.Incarnation = known.Incarnation
		}
		changed = l.fleet.ObserveServer(s, l.m.now) || changed
		if known, ok := l.fleet.Server(s.ID); ok {
			if known.Incarnation != s.Incarnation || !known.Departing() {
				// A later start or a later announcement of the server has replaced s.
				continue
			}
			s = known
		}
		if s = s.Record(); !s.SameRegistration(l.r.state.Fleet()[s.ID]) {
			record = append(record, s)
		}
	}
	if changed {
		l.onFleetChange()
	}
	if len(record) == 0 {
		l.acks.addDepartures(p, replicated.Result{}, servers)
		return
	}
	l.propose(replicated.RecordFleet{Servers: record}, p)
}

// identifyDepartures returns the command with the incarnations that departures in it don't
// name, as this process knows them. A departure that reaches the leader late must not apply
// to a later start of the server.
func (c *leaseClient) identifyDepartures(cmd replicated.Command) replicated.Command {
	record, ok := cmd.(replicated.RecordFleet)
	if !ok {
		return cmd
	}
	record.Servers = slices.Clone(record.Servers)
	for i := range record.Servers {
		if s := &record.Servers[i]; s.Incarnation == 0 {
			s.Incarnation = c.knownServer(s.ID).Incarnation
		}
	}
	return record
}

// recordedDepartures returns the recorded servers that are draining or have left.
func recordedDepartures(state *replicated.State) []fleet.Server {
	var out []fleet.Server
	for _, s := range recordedServers(state) {
		if s.Departing() {
			out = append(out, s)
		}
	}
	return out
}
