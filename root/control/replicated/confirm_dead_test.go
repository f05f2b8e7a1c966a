package replicated_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/authority"
	"github.com/wagtaildyke/wagtaildyke/root/control/ledger"
	"github.com/wagtaildyke/wagtaildyke/root/control/replicated"
)

// TestConfirmDeadAppliesWholeOrNotAtAll confirms the death of a VM's process while the
// ledger has reached its limit of dead VMs. A refused confirmation must not release the
// locks of a VM whose open work is not abandoned.
func TestConfirmDeadAppliesWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	s := replicated.New()
	const limit = 4096
	for i := range limit {
		r := s.Apply(uint64(i+1), replicated.AbandonWork{Abandon: ledger.Abandon{Entry: fmt.Sprint("vm-", i), Incarnation: 1}})
		c.Assert(r.Err == nil, qt.IsTrue)
	}
	holder := authority.Holder{VM: "vm-new", Incarnation: 1}
	acquired := s.Apply(limit+1, replicated.AcquireAuthority{Acquire: authority.Acquire{Server: "engine-1", Holder: holder}})
	c.Assert(acquired.Err == nil, qt.IsTrue, qt.Commentf("%v", acquired.Err))
	before := s.Snapshot().Authority
	r := s.Apply(limit+2, replicated.ConfirmDead{ConfirmDead: authority.ConfirmDead{
		VM: "vm-new", Incarnation: 1, Operator: "o", Statement: "powered off",
	}})
	c.Assert(fault.Is(r.Err, fault.Overloaded), qt.IsTrue)
	c.Assert(s.Snapshot().Authority, qt.DeepEquals, before)
}
