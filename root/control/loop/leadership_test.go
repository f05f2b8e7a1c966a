package loop

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// TestLeadershipLinesNameTheVoters checks that a line names the voters that kept this
// replica from leading, and leaves empty lists out.
func TestLeadershipLinesNameTheVoters(t *testing.T) {
	c := qt.New(t)
	var line string
	log := funcr.New(func(_, args string) { line = args }, funcr.Options{})
	logLeadership(log, consensus.Change{
		Reason: consensus.LeaderSilent, Term: 4, Silence: 2 * time.Second, LastIndex: 9, Commit: 8, Voters: 5, Quorum: 3,
		Ballot: consensus.Ballot{Kind: consensus.MsgPreVote, Granted: []consensus.ReplicaID{"a"}, Unanswered: []consensus.ReplicaID{"b", "x"}},
	})
	c.Assert(line, qt.Equals, `"level"=0 "msg"="leadership changed" "reason"="leader silent" "term"=4 "peer"="" "silence_ms"=2000 `+
		`"last_index"=9 "commit"=8 "voters"=5 "quorum"=3 "ballot"="pre-vote" "granted"=["a"] "unanswered"=["b" "x"]`)
	logLeadership(log, consensus.Change{Reason: consensus.QuorumSilent, SinceElection: time.Second, SilentVoters: []consensus.ReplicaID{"b"}})
	c.Assert(line, qt.Contains, `"reason"="quorum silent"`)
	c.Assert(line, qt.Contains, `"elected_ms"=1000 "unanswered"=["b"]`)
	logLeadership(log, consensus.Change{Reason: consensus.FirstCommit, SinceElection: 20 * time.Millisecond, LastIndex: 7})
	c.Assert(line, qt.Contains, `"reason"="first entry committed"`)
	c.Assert(line, qt.Contains, `"last_index"=7`)
	c.Assert(line, qt.Contains, `"elected_ms"=20`)
}
