package consensus

import (
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	runs = flag.Int("consensus.runs", 120, "number of runs of TestCluster")
	seed = flag.Uint64("consensus.seed", 1, "first seed of the tests that simulate a cluster")
)

const actionsPerRun = 40

// mutant is a deliberately broken safety rule.
type mutant int

const (
	none mutant = iota
	hardStateNotWritten
	ackedBeforeDurable
	commitOfEarlierTerm
	quorumOffByOne
	leaseFromReplyTime
	driftIgnored
	voteDuringLease
	voteAfterRestart
	readWithoutRound
	identityReused
	leaseKeptInTransfer
	coldStartByMajority
)

// apply replaces the field of rules that the mutant breaks. The simulation applies the
// other mutants.
func (m mutant) apply(c *Core) {
	switch m {
	case commitOfEarlierTerm:
		c.rules.mayCommit = func(uint64, uint64) bool { return true }
	case quorumOffByOne:
		c.rules.quorum = func(voters int) int { return max(1, voters/2) }
	case driftIgnored:
		c.rules.leaseFraction = func(float64) float64 { return 1 }
	case coldStartByMajority:
		c.rules.coldStartGranted = func(voters []ReplicaID, granted map[ReplicaID]bool) bool {
			return len(granted) >= majority(len(voters))
		}
	}
}

// clusterProperty returns a property that runs random actions on a simulated cluster
// and checks the invariants of history after every step.
func clusterProperty(m mutant) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(t, m)
		sim.run(60, 50*time.Millisecond)
		actions := sim.actions()
		for range actionsPerRun {
			choose(sim, actions)()
			sim.runForRandomTime()
		}
		sim.checkProgress()
	}
}

// actions returns the actions that a run draws from. An action that is listed several
// times is drawn more often.
func (sim *simulation) actions() []func() {
	isLeader := func(n *node) bool { return n.isLeader() && n.running() }
	onNode := func(ok func(*node) bool, do func(*node)) func() {
		return func() {
			if n := sim.pickNode(ok); n != nil {
				do(n)
			}
		}
	}
	onPacket := func(do func(Message), keep bool) func() {
		return func() {
			if len(sim.net) == 0 {
				return
			}
			p := choose(sim, sim.net)
			if i := slices.IndexFunc(sim.net, func(x packet) bool { return x.id == p.id }); !keep {
				sim.net = slices.Delete(sim.net, i, i+1)
			}
			do(*p.message)
		}
	}
	return []func(){
		onNode(isLeader, sim.propose),
		onPacket(sim.receive, false),
		onPacket(sim.receive, true),
		onPacket(func(Message) {}, false),
		onNode(isLeader, sim.propose),
		onNode(isLeader, sim.read),
		onNode((*node).running, sim.finishWrite),
		onNode((*node).running, sim.crash),
		onNode(isLeader, sim.crash),
		onNode((*node).running, func(n *node) { sim.crash(n); n.restart(sim) }),
		onNode(func(n *node) bool { return n.core == nil && !n.lost }, func(n *node) { n.restart(sim) }),
		onNode((*node).running, func(n *node) { n.paused = true }),
		onNode(func(n *node) bool { return n.paused }, func(n *node) { n.paused = false }),
		onNode(isLeader, sim.isolate),
		onNode((*node).running, sim.isolate),
		onNode(isLeader, sim.changeMembers),
		onNode(func(n *node) bool { return n.running() && sim.noVoterLost() }, sim.loseDisk),
		func() { clear(sim.blocked) },
		onNode((*node).running, sim.changeLinks),
		sim.isolateNewLeaders, sim.isolateNewLeaders, sim.isolateFollowerThenLeader, sim.restartAll, sim.restartAllButOne, sim.restartAllButOne,
		onNode((*node).running, func(n *node) { n.slowDisk = true }),
		onNode((*node).running, func(n *node) { n.slowDisk = true }),
		onNode(isLeader, sim.delayThenBlockLeader),
		onNode(func(n *node) bool { return len(sim.nodes) < 9 }, sim.replaceVoter),
		onNode(isLeader, sim.changeMembers),
		sim.heal, sim.heal, sim.heal, sim.heal, sim.heal,
		sim.heal,
		onNode((*node).running, func(n *node) {
			n.setRate(sim.now, choose(sim, []float64{1 - clockDrift, 1, 1 + clockDrift}))
		}),
		onNode(func(n *node) bool { return n.running() && n.applied > 0 }, func(n *node) {
			if n.core.Compact(n.applied, binary.LittleEndian.AppendUint64(nil, n.state)) == nil {
				sim.processOutput(n)
			}
		}),
		onNode(isLeader, func(n *node) {
			to := sim.pickNode(func(x *node) bool { return x != n && n.core.members().isVoter(x.id) })
			if to != nil && n.core.TransferLeadership(n.localTime(sim.now), to.id) == nil {
				sim.processOutput(n)
			}
		}),
	}
}

// checkProperty runs a property count times, the first time with firstSeed, and reports
// its failures to tb. It restores the flags of rapid afterwards.
func checkProperty(t *testing.T, tb rapid.TB, firstSeed uint64, count int, prop func(*rapid.T)) {
	set := map[string]string{
		"rapid.seed": strconv.FormatUint(firstSeed, 10), "rapid.checks": strconv.Itoa(count),
		"rapid.shrinktime": "0s", "rapid.nofailfile": "true",
	}
	for name, value := range set {
		f := flag.Lookup(name)
		before := f.Value.String()
		if err := f.Value.Set(value); err != nil {
			t.Fatal(err)
		}
		defer f.Value.Set(before)
	}
	rapid.Check(tb, prop)
}

// TestCluster draws random message deliveries and losses, crashes, pauses, clock
// drift, membership changes, lost disks, compactions and leadership transfers, and
// checks the invariants of history after every step. A failure prints its seed; to
// replay it, run
//
//	go test ./root/control/consensus -run TestCluster -consensus.seed=SEED -consensus.runs=1
func TestCluster(t *testing.T) { checkProperty(t, t, *seed, *runs, clusterProperty(none)) }

// failureRecorder records the first failure of a property that is expected to fail, so
// that the failure does not fail the test.
type failureRecorder struct {
	*testing.T
	report string
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	if r.report == "" {
		r.report = fmt.Sprintf(format, args...)
	}
}
func (r *failureRecorder) Logf(string, ...any) {}
func (r *failureRecorder) Log(...any)          {}
func (r *failureRecorder) Failed() bool        { return false }

// TestMutants verifies that the invariant checks detect each broken safety rule.
func TestMutants(t *testing.T) {
	const maxRuns = 3000
	for _, tc := range []struct {
		name   string
		mutant mutant
		// firstSeed is the first seed if -consensus.seed is 1, the default. In general, the
		// first seed is firstSeed + -consensus.seed - 1.
		firstSeed uint64
		// wantAny lists the violations that show the broken rule; one of them suffices.
		wantAny []string
	}{
		{"hard state not written", hardStateNotWritten, 31, []string{"two leaders"}},
		{"acknowledged before durable", ackedBeforeDurable, 7, []string{"leader completeness", "committed entries differ"}},
		{"entry of an earlier term committed by counting replicas", commitOfEarlierTerm, 2, []string{"leader completeness", "committed entries differ"}},
		{"quorum off by one", quorumOffByOne, 1, []string{"two leaders", "leader completeness", "committed entries differ", "two leases"}},
		{"lease measured from the reply", leaseFromReplyTime, 1, []string{"two leases"}},
		{"clock drift ignored", driftIgnored, 2, []string{"two leases"}},
		{"vote during a lease", voteDuringLease, 1, []string{"two leases"}},
		{"vote right after a restart", voteAfterRestart, 1, []string{"two leases"}},
		{"read without a heartbeat round", readWithoutRound, 1, []string{"stale read"}},
		{"lease kept during a transfer", leaseKeptInTransfer, 9, []string{"two leases"}},
		{"cold start with a majority", coldStartByMajority, 1, []string{"two leases"}},
		{"identity reused after a lost disk", identityReused, 1, []string{"two leaders", "leader completeness", "committed entries differ"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &failureRecorder{T: t}
			checkProperty(t, r, tc.firstSeed+*seed-1, maxRuns, clusterProperty(tc.mutant))
			for _, failure := range tc.wantAny {
				if strings.Contains(r.report, failure) {
					t.Log(strings.SplitN(r.report, "\n", 2)[0])
					return
				}
			}
			t.Errorf("violation not detected, recorded failure: %q", r.report)
		})
	}
}
