package scenario_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/wagtaildyke/wagtaildyke/root/orders"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

// journalHas: id name=count... where a name is total, key.K, ended.E or resumed.
func journalHas(c *cluster, args []string) error {
	var entries []standin.JournalEntry
	if err := getJSON(c.backends[args[0]].address+"/standin/journal", &entries); err != nil {
		return err
	}
	_, named := fields(args[1:])
	for name, want := range named {
		n := 0
		for _, e := range entries {
			if journalMatches(e, name) {
				n++
			}
		}
		if strconv.Itoa(n) != want {
			return fmt.Errorf("journal of %s: %s is %d, want %s: %+v", args[0], name, n, want, entries)
		}
	}
	return nil
}

func journalMatches(e standin.JournalEntry, name string) bool {
	how, value, _ := strings.Cut(name, ".")
	switch how {
	case "total":
		return true
	case "key":
		return e.IdempotencyKey == value
	case "ended":
		return e.Ended == value
	case "resumed":
		return e.Resumed > 0
	default:
		return false
	}
}

// isHonest: backend key call... holds the answers to one key against what ran:
// nothing ran twice, and nothing ran that all answers say did not run.
func isHonest(c *cluster, args []string) error {
	var entries []standin.JournalEntry
	if err := getJSON(c.backends[args[0]].address+"/standin/journal", &entries); err != nil {
		return err
	}
	runs := 0
	for _, e := range entries {
		if e.IdempotencyKey == args[1] {
			runs++
		}
	}
	denied := 0
	for _, name := range args[2:] {
		k := c.calls[name]
		if k.field("status") == "200" && runs != 1 {
			return fmt.Errorf("%s has an answer, and %d ran", name, runs)
		}
		if k.field("ran") == "no" {
			denied++
		}
	}
	if runs > 1 || (runs > 0 && denied == len(args)-2) {
		return fmt.Errorf("%d ran, and %d answers say that none did", runs, denied)
	}
	return nil
}

// resentIs: vm key body kind, says how a resend of an order is refused.
func resentIs(c *cluster, args []string) error {
	k, err := c.newCall([]string{
		args[0], http.MethodPost, "/v1/services/stock/orders",
		"class=order", "key=" + args[1], "body=" + args[2],
	})
	if err != nil {
		return err
	}
	k.run()
	if got := k.field("kind"); got != args[3] {
		return fmt.Errorf("the resend is answered with %q: %s", got, k.masked())
	}
	return nil
}

// ordersDone: backend total=n value=count... says which orders had an effect.
// Fencing numbers must grow from order to order.
func ordersDone(c *cluster, args []string) error {
	var state orders.State
	if err := getJSON(c.backends[args[0]].address+"/v1/state", &state); err != nil {
		return err
	}
	counts := map[string]int{}
	fence := uint64(0)
	for _, o := range state.Done {
		if o.Fence <= fence {
			return fmt.Errorf("fencing number %d came after %d: %+v", o.Fence, fence, state.Done)
		}
		fence = o.Fence
		counts["total"]++
		counts[o.Model+o.Adapter+o.Version+o.Role]++
	}
	_, named := fields(args[1:])
	for name, want := range named {
		if strconv.Itoa(counts[name]) != want {
			return fmt.Errorf("orders of %s: %s is %d, want %s: %+v", args[0], name, counts[name], want, state.Done)
		}
	}
	return nil
}
