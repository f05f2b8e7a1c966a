package replicated_test

import (
	"fmt"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

// tableModel follows operators who race and resend.
type tableModel struct {
	version uint64
	sent    []table.Change
	// answers holds the first answer per change id and content.
	answers map[string]string
	// winners holds the change id that won each base.
	winners map[uint64]string
}

func classNamed(name string) table.Class {
	return table.Class{
		Name: name, Weight: 1, Concurrency: 1, RatePerSecond: 1,
		Deadline: time.Second, Targets: []string{"m"},
	}
}

// changeTable sends a change from a recent version; some reuse an id.
func (w *world) changeTable(s step) {
	base := w.table.version - min(w.table.version, uint64(s.a%2))
	c := table.Change{ID: fmt.Sprintf("change-%d", len(w.table.sent)), Base: base}
	if s.b%8 == 0 {
		c.ID = "change-0"
	}
	c.Classes = []table.Class{classNamed(fmt.Sprintf("class-%d", s.b))}
	if s.b%16 == 1 {
		c.Classes[0].Weight = 0
	}
	w.table.sent = append(w.table.sent, c)
	w.propose(s, replicated.ChangeTable{Change: c}, nil)
}

func (w *world) resendChange(s step) {
	if len(w.table.sent) > 0 {
		w.propose(s, replicated.ChangeTable{Change: w.table.sent[s.a%len(w.table.sent)]}, nil)
	}
}

func (w *world) checkTable(c replicated.Command, r replicated.Result) {
	m := &w.table
	current := w.state.Table().Version
	if current < m.version {
		w.fail("the table went back from version %d to %d", m.version, current)
	}
	m.version = current
	change, ok := c.(replicated.ChangeTable)
	if !ok {
		return
	}
	if m.answers == nil {
		m.answers = make(map[string]string)
		m.winners = make(map[uint64]string)
	}
	content := fmt.Sprint(change.ID, change.Base, change.Classes)
	answer := fmt.Sprint(r.Version, r.Err == nil)
	reused := r.Err != nil && r.Err.Kind.String() == "key_reused"
	if first, seen := m.answers[content]; seen && first != answer && !reused {
		w.fail("change %s was answered %s, then %s", change.ID, first, answer)
	}
	m.answers[content] = answer
	if r.Err != nil {
		return
	}
	if winner, taken := m.winners[change.Base]; taken && winner != content || r.Version != change.Base+1 {
		w.fail("two changes won from version %d", change.Base)
	}
	m.winners[change.Base] = content
}
