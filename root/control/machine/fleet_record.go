package machine

import (
	"slices"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/fleet"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// recordRetryInterval is the time after which an uncommitted fleet record is
// proposed again. It is longer than a commit takes.
const recordRetryInterval = 2 * time.Second

// maxRecordBytes bounds the texts in one record, so that it fits into a consensus batch
// (1 MiB): the core would reject a larger one, which would then be proposed again every
// recordRetryInterval.
const maxRecordBytes = 256 << 10

// recordedBytes is a bound on the size of a server in a record without its texts.
const recordedBytes = 100

// recordFleet keeps the backend servers in the log, for a leader that starts without a view
// after all processes were down. Servers announce themselves about once a second; without
// the record, the first few to do so would receive all the work. Servers that left stay in
// the record for as long as the leader remembers them, so that a late announcement is not
// mistaken for that of a new server.
func (l *leader) recordFleet() {
	if l.m.now.Before(l.nextFleetRecord) {
		return
	}
	recorded := l.r.state.Fleet()
	known := l.fleet.Records()
	cmd := replicated.RecordFleet{Servers: serversToRecord(known, recorded), Removed: serversToRemove(known, recorded)}
	if len(cmd.Servers) == 0 && len(cmd.Removed) == 0 {
		return
	}
	l.nextFleetRecord = l.m.now.Add(recordRetryInterval)
	l.propose(cmd, proposer{})
}

// serversToRecord returns the new and changed servers that can be recorded.
// Servers that the replicated state would reject are skipped, since they would be
// proposed again and again.
func serversToRecord(current []fleet.Server, recorded map[string]fleet.Server) []fleet.Server {
	var out []fleet.Server
	count, size := len(recorded), 0
	for _, s := range current {
		old, known := recorded[s.ID]
		if s.SameRegistration(old) || !replicated.HasValidID(s) || !known && count == authority.MaxServers {
			continue
		}
		size += textBytes(s) + recordedBytes
		if size > maxRecordBytes && len(out) > 0 {
			break
		}
		if !known {
			count++
		}
		out = append(out, s)
	}
	return out
}

// textBytes returns the size of the texts of a server.
func textBytes(s fleet.Server) int {
	n := len(s.ID) + len(s.Address) + len(s.FailureDomain)
	for _, target := range s.Targets {
		n += len(target)
	}
	return n
}

// serversToRemove returns the ids of recorded servers that are unknown or suspected now.
func serversToRemove(current []fleet.Server, recorded map[string]fleet.Server) []string {
	keep := make(map[string]bool, len(current))
	for _, s := range current {
		keep[s.ID] = true
	}
	return slices.DeleteFunc(sortedKeys(recorded), func(id string) bool { return keep[id] })
}

// recordedServers returns the servers recorded in the log, sorted by id.
func recordedServers(state *replicated.State) []fleet.Server {
	var out []fleet.Server
	for _, id := range sortedKeys(state.Fleet()) {
		out = append(out, state.Fleet()[id])
	}
	return out
}
