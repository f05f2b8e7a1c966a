package loop

import (
	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
)

// logLeadership logs a change of leadership in one line, with what tells apart why there is
// no leader: voters that are gone, that follow a leader, or that have a longer log. Lists
// without a voter are left out.
func logLeadership(log logr.Logger, c consensus.Change) {
	fields := []any{
		"reason", c.Reason.String(), "term", c.Term, "peer", string(c.Peer), "silence_ms", c.Silence.Milliseconds(),
		"last_index", c.LastIndex, "commit", c.Commit, "voters", c.Voters, "quorum", c.Quorum,
	}
	list := func(name string, voters []consensus.ReplicaID) {
		if len(voters) > 0 {
			fields = append(fields, name, voters)
		}
	}
	if c.Reason != consensus.LeaderSilent {
		fields = append(fields, "elected_ms", c.SinceElection.Milliseconds())
		list("unanswered", c.SilentVoters)
	} else if c.Ballot.Asked() {
		fields = append(fields, "ballot", ballotName(c.Ballot.Kind))
		list("granted", c.Ballot.Granted)
		list("refused", c.Ballot.Refused)
		list("longer_log", c.Ballot.LongerLog)
		list("later_term", c.Ballot.LaterTerm)
		list("unanswered", c.Ballot.Unanswered)
	}
	log.Info("leadership changed", fields...)
}

func ballotName(kind consensus.MessageKind) string {
	if kind == consensus.MsgVote {
		return "vote"
	}
	return "pre-vote"
}
