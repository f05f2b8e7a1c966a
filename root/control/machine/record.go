package machine

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// recordRetry is the time after which a record of the fleet that did not come back
// from the log is made again: longer than a commit takes.
const recordRetry = 2 * time.Second

// recordAtOnce bounds the servers in one record: at some 110 bytes each it stays well
// within a batch of the log.
const recordAtOnce = 1000

// recordFleet keeps in the log which backend servers there are, for a leader that
// starts without a view after all processes were down. Servers announce themselves
// once a second or so, and few of them would have to do until then.
func (l *leader) recordFleet() {
	if l.m.now.Before(l.recordAgainAt) {
		return
	}
	cmd := replicated.RecordFleet{}
	recorded := l.r.state.Fleet()
	announced := l.fleet.Announced()
	known := make(map[string]bool, len(announced))
	for _, s := range announced {
		known[s.ID] = true
		if len(cmd.Servers) < recordAtOnce && !s.AnnouncesLike(recorded[s.ID]) {
			cmd.Servers = append(cmd.Servers, s)
		}
	}
	for _, id := range sortedKeys(recorded) {
		if !known[id] {
			cmd.Removed = append(cmd.Removed, id)
		}
	}
	if len(cmd.Servers) == 0 && len(cmd.Removed) == 0 {
		return
	}
	l.recordAgainAt = l.m.now.Add(recordRetry)
	l.commit(cmd, proposer{})
}

// recordedServers returns what the log holds, in order.
func recordedServers(state *replicated.State) []fleet.Server {
	var out []fleet.Server
	for _, id := range sortedKeys(state.Fleet()) {
		out = append(out, state.Fleet()[id])
	}
	return out
}
