package scenario_test

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"time"
)

// violation is a breach of a bound between two moments, by an entry or, if that is nil, by
// the replicas.
type violation struct {
	entry    *fleetVM
	from, to time.Time
	text     string
}

const (
	// starvedTime is how late a control thread runs on a VM that counts as slowed. An election
	// timeout is 600 ms.
	starvedTime = 200 * time.Millisecond
	// lateLogInterval is the time for which a process sums up its delays in one line.
	lateLogInterval = time.Second
)

// reportViolations fails the test for each violation, without those beside which the machine
// gave a replica or the entry no processor time: the VM was slowed then.
func (p *routePlay) reportViolations() {
	starved := map[*fleetVM][]violation{}
	for _, v := range slices.Concat(p.f.replicas, p.f.entries) {
		starved[v] = v.starvation()
	}
	shown, excused := 0, 0
	for _, b := range p.violations {
		at := b.to.UTC().Format("05.000")
		if v := starvedBeside(starved, b); v != nil {
			if excused++; excused <= maxShown {
				p.f.t.Logf("not counted, %s got no processor time: %s %s", v.name, at, b.text)
			}
			continue
		}
		if shown++; shown <= maxShown {
			p.f.t.Errorf("%s %s", at, b.text)
		}
	}
	if shown+excused > 0 {
		p.f.t.Logf("%d violations, %d not counted", shown, excused)
	}
}

// maxShown bounds the violations that are shown, and those that are not counted.
const maxShown = 20

func starvedBeside(starved map[*fleetVM][]violation, b violation) *fleetVM {
	for v, times := range starved {
		isEntry := v.data == ""
		if isEntry && v != b.entry {
			continue
		}
		if slices.ContainsFunc(times, func(s violation) bool { return s.from.Before(b.to) && s.to.After(b.from) }) {
			return v
		}
	}
	return nil
}

// starvation returns when the control thread of a VM ran late although none of its steps
// took long.
func (v *fleetVM) starvation() []violation {
	data, err := os.ReadFile(v.log)
	if err != nil {
		return nil
	}
	var out []violation
	for line := range bytes.Lines(data) {
		var l struct {
			Time              time.Time
			Msg               string
			LateMillis        int64 `json:"late_ms"`
			LongestStepMillis int64 `json:"longest_step_ms"`
			WaitedMillis      int64 `json:"waited_ms"`
		}
		if json.Unmarshal(line, &l) != nil || l.Msg != "control thread is late" {
			continue
		}
		late := time.Duration(max(l.LateMillis, l.WaitedMillis)) * time.Millisecond
		if late >= starvedTime && 2*l.LongestStepMillis < late.Milliseconds() {
			out = append(out, violation{from: l.Time.Add(-late - lateLogInterval), to: l.Time})
		}
	}
	return out
}
