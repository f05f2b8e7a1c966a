package replicated_test

import (
	"fmt"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// tableModel models operators who make concurrent changes and resend them.
type tableModel struct {
	version uint64
	sent    []table.Change
	// answers holds the answer to each change by its id and content.
	answers map[string]string
	// accepted holds the content of the change that was accepted for each base version.
	accepted map[uint64]string
}

func classNamed(name string) table.Class {
	return table.Class{
		Name: name, Weight: 1, Concurrency: 1, RatePerSecond: 1,
		Deadline: time.Second, Targets: []string{"m"},
	}
}

// changeTable sends a change based on a recent version. Some changes reuse an id
// or are invalid.
func (sim *simulation) changeTable(s step) {
	base := sim.table.version - min(sim.table.version, uint64(s.a%2))
	c := table.Change{ID: fmt.Sprintf("change-%d", len(sim.table.sent)), Base: base}
	if s.b%8 == 0 {
		c.ID = "change-0"
	}
	c.Classes = []table.Class{classNamed(fmt.Sprintf("class-%d", s.b))}
	if s.b%16 == 1 {
		c.Classes[0].Weight = 0
	}
	sim.table.sent = append(sim.table.sent, c)
	sim.propose(s, replicated.ChangeTable{Change: c}, nil)
}

func (sim *simulation) resendChange(s step) {
	if len(sim.table.sent) > 0 {
		sim.propose(s, replicated.ChangeTable{Change: sim.table.sent[s.a%len(sim.table.sent)]}, nil)
	}
}

func (sim *simulation) checkTable(c replicated.Command, r replicated.Result) {
	m := &sim.table
	current := sim.state.Table().Version
	if current < m.version {
		sim.fail("the table went back from version %d to %d", m.version, current)
	}
	m.version = current
	change, ok := c.(replicated.ChangeTable)
	if !ok {
		return
	}
	if m.answers == nil {
		m.answers = make(map[string]string)
		m.accepted = make(map[uint64]string)
	}
	content := fmt.Sprint(change.ID, change.Base, change.Classes)
	answer := fmt.Sprint(r.Version, r.Err == nil)
	// A rejection with fault.KeyReused carries the current version, so that it may
	// differ between deliveries of one change.
	reused := r.Err != nil && r.Err.Kind.String() == "key_reused"
	if first, seen := m.answers[content]; seen && first != answer && !reused {
		sim.fail("change %s was answered %s, then %s", change.ID, first, answer)
	}
	m.answers[content] = answer
	if r.Err != nil {
		return
	}
	if other, found := m.accepted[change.Base]; found && other != content || r.Version != change.Base+1 {
		sim.fail("two changes were accepted for base version %d, or a change did not create the next version", change.Base)
	}
	m.accepted[change.Base] = content
}
