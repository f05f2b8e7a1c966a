package scenario_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

// putLimit bounds one change of the table.
const putLimit = 20 * time.Second

// put is the answer to one change of the table.
type put struct {
	status  int
	kind    string
	message string
	version uint64
}

func (c *cluster) putTable(vm, id string, base uint64, csv string) (put, error) {
	v, err := c.vm(vm)
	if err != nil {
		return put{}, err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+v.operator+"/v1/table", strings.NewReader(csv))
	if err != nil {
		return put{}, err
	}
	req.Header.Set(operator.VersionHeader, strconv.FormatUint(base, 10))
	req.Header.Set(operator.ChangeIDHeader, id)
	resp, err := (&http.Client{Timeout: putLimit}).Do(req)
	if err != nil {
		return put{}, err
	}
	defer resp.Body.Close()
	var a struct {
		Version uint64
		Error   operator.ErrorBody
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return put{}, err
	}
	return put{status: resp.StatusCode, kind: a.Error.Kind, message: a.Error.Message, version: a.Version}, nil
}

// cmdTable puts a table many times: table vm file [base=n] [changes=n]. Each
// change is made from the version that the one before gave.
func cmdTable(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "table vm file [base=n] [changes=n]")
	words, named := fields(args)
	base, err := number(named, "base", 0)
	fail(ts, err)
	changes, err := number(named, "changes", 1)
	fail(ts, err)
	csv := ts.ReadFile(words[1])
	for i := range changes {
		got, err := clusterOf(ts).putTable(words[0], fmt.Sprintf("change-%d", base+i), uint64(base+i), csv)
		fail(ts, err)
		if got.status != http.StatusOK || got.version != uint64(base+i+1) {
			fail(ts, fmt.Errorf("change %d: %+v", i, got))
		}
	}
}

// cmdRace puts two tables with an equal base at once at two VMs:
// race base vm file vm file. One must win; the other must get a conflict that
// names the version in force.
func cmdRace(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 5, "race base vm file vm file")
	base, err := strconv.ParseUint(args[0], 10, 64)
	fail(ts, err)
	type outcome struct {
		put
		err error
	}
	outcomes := make(chan outcome, 2)
	for i := range 2 {
		vm, csv := args[1+2*i], ts.ReadFile(args[2+2*i])
		go func() {
			p, err := clusterOf(ts).putTable(vm, fmt.Sprintf("race-%d", i), base, csv)
			outcomes <- outcome{p, err}
		}()
	}
	a, b := <-outcomes, <-outcomes
	fail(ts, a.err)
	fail(ts, b.err)
	if a.status != http.StatusOK {
		a, b = b, a
	}
	current := strconv.FormatUint(base+1, 10)
	if a.status != http.StatusOK || a.version != base+1 || b.kind != "conflict" || !strings.Contains(b.message, current) {
		fail(ts, fmt.Errorf("the race ended with %+v and %+v", a.put, b.put))
	}
}
