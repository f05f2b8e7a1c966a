package machine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/consensus"
	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
)

// openSimulation is a simulation with open membership. The settings name three
// replicas and two more join. Any replica may lose its disk or be replaced, one at
// a time.
type openSimulation struct {
	*simulation
	// reusesIdentity makes a node keep its identity after a disk loss, as a faulty
	// deployment might.
	reusesIdentity bool
	// pending holds the proposed versions by proposal id. Ids are unique per node
	// only, so a later proposal of another node may replace an entry. An answer to the
	// replaced proposal then counts as one to the later proposal. ackedVersion is the
	// highest acknowledged version.
	pending      map[uint64]uint64
	lastVersion  uint64
	ackedVersion uint64
	// nextFault is the earliest time of the next fault.
	nextFault time.Time
}

func newOpenSimulation(seed uint64, disabled machine.SafetyRule) *openSimulation {
	return newOpenCore(seed, disabled, 2)
}

// newOpenCore is newOpenSimulation with another number of joining replicas.
func newOpenCore(seed uint64, disabled machine.SafetyRule, joining int) *openSimulation {
	sim := &openSimulation{simulation: newSimulation(seed, disabled), pending: map[uint64]uint64{}}
	sim.open = true
	for range joining {
		sim.addReplica()
	}
	// Restart with empty disks: newSimulation started the nodes before open was set
	// and the replicas were added.
	for _, n := range sim.nodes {
		n.crash()
		n.disk = consensus.DurableState{}
		n.start()
	}
	sim.waitForLeader()
	sim.nextFault = sim.now.Add(rejoinTime)
	return sim
}

// rejoinTime is enough for a replica that lost its disk to become a voter again.
const rejoinTime = 8 * time.Second

// addReplica adds a replica that the settings don't name. Nodes that start later
// read settings that name three live replicas.
func (sim *openSimulation) addReplica() *node {
	n := sim.addNode(false)
	n.replica = true
	named := 0
	for _, o := range sim.nodes {
		o.namedInSettings = o.replica && o != n && !o.down && named < replicas
		if o.namedInSettings {
			named++
		}
	}
	return n
}

// injectFault wipes a disk, replaces a replica, cuts the power of all nodes or
// partitions two of them.
func (sim *openSimulation) injectFault() {
	if sim.now.Before(sim.nextFault) {
		return
	}
	sim.nextFault = sim.now.Add(rejoinTime)
	up := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n.down || !n.replica })
	n := up[sim.rng.IntN(len(up))]
	switch sim.rng.IntN(5) {
	case 0, 1:
		sim.loseDisk(n)
		n.start()
	case 2:
		if len(up) > 3 {
			// The node never returns. Its identity counts towards the quorum until
			// it is removed.
			sim.loseDisk(n)
			sim.nextFault = sim.nextFault.Add(n.m.Timing().ReplicaRemoveAfter)
			sim.addReplica().start()
		}
	case 3:
		sim.powerFailure(sim.isDown)
	case 4:
		sim.partition(n, up[sim.rng.IntN(len(up))])
	}
}

func (sim *openSimulation) loseDisk(n *node) {
	n.crash()
	n.disk = consensus.DurableState{}
	n.bootstrapped = false
	if !sim.reusesIdentity {
		n.identity = ""
	}
}

func (sim *openSimulation) isDown(n *node) bool { return n.down }

// proposeRoutes proposes the next version of the routes.
func (sim *openSimulation) proposeRoutes() {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if n.down {
		return
	}
	sim.lastVersion++
	sim.submitRoutes(n, sim.lastVersion)
}

// submitRoutes proposes a version of the routes at a node.
func (sim *openSimulation) submitRoutes(n *node, version uint64) {
	n.nextID++
	sim.pending[n.nextID] = version
	n.step(machine.Submit{ID: n.nextID, Command: replicated.ReplaceRoutes{Document: &routes.Document{Version: version}}})
}

// runOpenMembership runs changes and faults, and checks at the end that
// acknowledged changes are present.
func runOpenMembership(seed uint64, disabled machine.SafetyRule, reuses bool) *openSimulation {
	sim := newOpenSimulation(seed, disabled)
	sim.reusesIdentity = reuses
	sim.trackAcks()
	for end := sim.now.Add(70 * time.Second); sim.now.Before(end) && sim.violation == ""; {
		sim.runFor(100 * time.Millisecond)
		sim.proposeRoutes()
		sim.injectFault()
		if sim.rng.IntN(20) == 0 {
			clear(sim.blocked)
		}
	}
	clear(sim.blocked)
	sim.runFor(30 * time.Second)
	sim.checkFinalState()
	return sim
}

// trackAcks records acknowledged versions.
func (sim *openSimulation) trackAcks() {
	sim.onAnswer = func(_ *node, a machine.Answer) {
		if version := sim.pending[a.ID]; a.Result.Err == nil {
			sim.ackedVersion = max(sim.ackedVersion, version)
		}
	}
}

// checkFinalState checks the cluster long after the last fault.
func (sim *openSimulation) checkFinalState() {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return !n.down && n.m.Leads() })
	if i < 0 {
		sim.fail("no leader at the end")
		return
	}
	leader := sim.nodes[i]
	if have := leader.m.RoutesVersion(); have < sim.ackedVersion {
		sim.fail("version %d was acknowledged, but leader %s has version %d", sim.ackedVersion, leader.id, have)
	}
	members := leader.m.Members()
	for _, n := range sim.nodes {
		if n.replica && !n.down && !slices.Contains(members.Voters, n.identity) {
			sim.fail("%s is not a voter as %s", n.id, n.identity)
		}
	}
	before := sim.ackedVersion
	for range 20 {
		sim.proposeRoutes()
		sim.runFor(200 * time.Millisecond)
	}
	if sim.ackedVersion == before {
		sim.fail("no change was acknowledged after the faults ended")
	}
}

func TestOpenMembershipKeepsAcknowledgedChanges(t *testing.T) {
	c := qt.New(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs)/2; seed++ {
		sim := runOpenMembership(seed, machine.RuleNone, false)
		c.Assert(sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Assert(sim.ackedVersion > 100, qt.IsTrue, qt.Commentf("seed %d: only %d versions", seed, sim.ackedVersion))
	}
}

// partitionThenDiskLoss isolates one of three replicas for longer than
// ReplicaRemoveAfter and then wipes the disk of another.
func partitionThenDiskLoss(seed uint64, disabled machine.SafetyRule, reuses bool) *openSimulation {
	sim := newOpenSimulation(seed, disabled)
	sim.reusesIdentity = reuses
	sim.trackAcks()
	for _, n := range sim.nodes[replicas+entryOnlyNodes:] {
		n.crash()
	}
	leader := sim.waitForLiveLeader()
	sim.runFor(2 * leader.m.Timing().ReplicaRemoveAfter)
	leader = sim.waitForLiveLeader()
	others := slices.DeleteFunc(slices.Clone(sim.nodes[:replicas]), func(n *node) bool { return n == leader })
	silent, lost := others[0], others[1]
	silent.isolated = true
	sim.proposeRoutes()
	sim.runFor(leader.m.Timing().ReplicaRemoveAfter + 3*time.Second)
	silent.isolated = false
	sim.loseDisk(lost)
	lost.start()
	sim.runFor(20 * time.Second)
	sim.checkFinalState()
	return sim
}

// waitForLiveLeader runs until one of the nodes that are up leads.
func (sim *openSimulation) waitForLiveLeader() *node {
	for range 4000 {
		sim.advance()
		for _, n := range sim.nodes {
			if !n.down && n.m.Leads() {
				return n
			}
		}
	}
	sim.fail("no leader was elected")
	return sim.nodes[0]
}

// TestUnsafeOpenMembershipIsDetected checks that reusing the identity of a lost
// disk, or removing unresponsive voters from the last three, loses acknowledged
// changes or the quorum.
func TestUnsafeOpenMembershipIsDetected(t *testing.T) {
	const maxSeeds = 40
	for _, test := range []struct {
		name     string
		disabled machine.SafetyRule
		reuses   bool
		// seed is the first seed to try. Lower ones violate no invariant.
		seed     uint64
		scenario func(seed uint64, disabled machine.SafetyRule, reuses bool) *openSimulation
	}{
		{"identity ends with its disk", machine.RuleNone, true, 24, runOpenMembership},
		{"keep three voters", machine.RuleMinVoters, false, 1, partitionThenDiskLoss},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := test.seed; seed < test.seed+maxSeeds; seed++ {
				sim := test.scenario(seed, test.disabled, test.reuses)
				if sim.violation == "" {
					continue
				}
				t.Logf("seed %d: %s", seed, sim.violation)
				qt.Assert(t, test.scenario(seed, machine.RuleNone, false).violation, qt.Equals, "")
				return
			}
			t.Fatalf("no seed up to %d violated an invariant", test.seed+maxSeeds-1)
		})
	}
}
