package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// recordRetry is the time after which a record of the fleet that did not come back
// from the log is made again: longer than a commit takes.
const recordRetry = 2 * time.Second

// recordAtOnce bounds the servers in one record. One of the platform's is about a
// hundred bytes, so that a record is a tenth of what a batch of the log may have.
const recordAtOnce = 1000

// recordFleet keeps in the log which backend servers there are, for a leader that
// starts without a view after all processes were down. Servers announce themselves
// once a second or so, and few of them would have to do until then.
func (l *leader) recordFleet() {
	if l.m.now.Before(l.recordAgainAt) {
		return
	}
	recorded := l.r.state.Fleet()
	announced := l.fleet.Announced()
	cmd := replicated.RecordFleet{Servers: unrecorded(announced, recorded), Removed: gone(announced, recorded)}
	if len(cmd.Servers) == 0 && len(cmd.Removed) == 0 {
		return
	}
	l.recordAgainAt = l.m.now.Add(recordRetry)
	l.commit(cmd, proposer{})
}

// unrecorded returns servers that are new or changed and can be recorded. A record
// that the log refuses would be made again and again.
func unrecorded(announced []fleet.Server, recorded map[string]fleet.Server) []fleet.Server {
	var out []fleet.Server
	held := len(recorded)
	for _, s := range announced {
		before, known := recorded[s.ID]
		if s.SameAnnouncement(before) || !replicated.HasValidID(s) || !known && held == authority.MaxServers {
			continue
		}
		if len(out) == recordAtOnce {
			break
		}
		if !known {
			held++
		}
		out = append(out, s)
	}
	return out
}

// gone returns the recorded servers that are not announced any more, by id.
func gone(announced []fleet.Server, recorded map[string]fleet.Server) []string {
	known := make(map[string]bool, len(announced))
	for _, s := range announced {
		known[s.ID] = true
	}
	return slices.DeleteFunc(sortedKeys(recorded), func(id string) bool { return known[id] })
}

// recordedServers returns what the log holds, in order.
func recordedServers(state *replicated.State) []fleet.Server {
	var out []fleet.Server
	for _, id := range sortedKeys(state.Fleet()) {
		out = append(out, state.Fleet()[id])
	}
	return out
}
