package burn

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Snapshot holds the outcomes of one process in all windows. Merge combines the
// snapshots of several processes.
type Snapshot struct {
	VM      string    `json:"vm"`
	At      time.Time `json:"at"`
	Started time.Time `json:"started"`
	// Entries lists the VMs that accept callers' requests according to the current
	// view of this process.
	Entries []string        `json:"entries"`
	Classes []ClassSnapshot `json:"classes"`
	// RoleChanges has counts for the whole fleet in each snapshot, so they must not be
	// summed over processes.
	RoleChanges []WindowCounts `json:"role_changes"`
}

// ClassSnapshot holds the outcomes of one class in all windows.
type ClassSnapshot struct {
	Class string `json:"class"`
	// DeadlineMillis is 0 for a class that is not in the table.
	DeadlineMillis int64          `json:"deadline_ms"`
	Windows        []WindowCounts `json:"windows"`
}

// WindowCounts holds the slots of one window, oldest first. Slots without an
// outcome are left out.
type WindowCounts struct {
	LengthSeconds int          `json:"length_seconds"`
	Slots         []SlotCounts `json:"slots,omitempty"`
}

// SlotCounts holds the outcomes of one slot.
type SlotCounts struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// Snapshot returns the outcomes of all classes and windows up to now.
func (r *Recorder) Snapshot() Snapshot {
	v := r.views.Load()
	r.Observe(v)
	now := r.now()
	out := Snapshot{VM: r.vm, At: now, Started: r.started, Entries: []string{}, Classes: []ClassSnapshot{}}
	if v != nil {
		for _, vm := range v.VMs {
			if vm.Address != "" {
				out.Entries = append(out.Entries, vm.ID)
			}
		}
	}
	for name, s := range r.cloneSeries() {
		c, _ := r.lookupClass(name)
		out.Classes = append(out.Classes, ClassSnapshot{
			Class: name, DeadlineMillis: c.Deadline.Milliseconds(), Windows: s.snapshot(now),
		})
	}
	slices.SortFunc(out.Classes, func(a, b ClassSnapshot) int { return strings.Compare(a.Class, b.Class) })
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	out.RoleChanges = r.roleChanges.snapshot(now)
	return out
}

// Totals returns the counters of each class since the start of the process.
func (r *Recorder) Totals() map[string]Totals {
	out := map[string]Totals{}
	for name, s := range r.cloneSeries() {
		out[name] = s.totals()
	}
	return out
}

func (r *Recorder) cloneSeries() map[string]*series {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.series)
}
