package burn

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Snapshot is what one process knows. Snapshots of several processes add up.
type Snapshot struct {
	VM      string    `json:"vm"`
	At      time.Time `json:"at"`
	Started time.Time `json:"started"`
	// Entries are the VMs that take callers' requests, as this process sees them.
	Entries []string        `json:"entries"`
	Classes []ClassSnapshot `json:"classes"`
	// RoleChanges are counted over the whole fleet, so they don't add up.
	RoleChanges []WindowCounts `json:"role_changes"`
}

// ClassSnapshot holds the outcomes of one class.
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

// Snapshot returns the outcomes in all windows.
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
	for name, s := range r.allSeries() {
		c, _ := r.class(name)
		out.Classes = append(out.Classes, ClassSnapshot{
			Class: name, DeadlineMillis: c.Deadline.Milliseconds(), Windows: s.snapshot(now),
		})
	}
	slices.SortFunc(out.Classes, func(a, b ClassSnapshot) int { return strings.Compare(a.Class, b.Class) })
	r.roleMu.Lock()
	defer r.roleMu.Unlock()
	out.RoleChanges = r.moves.snapshot(now)
	return out
}

// Totals returns the counters of each class since the start.
func (r *Recorder) Totals() map[string]Totals {
	out := map[string]Totals{}
	for name, s := range r.allSeries() {
		out[name] = s.totals()
	}
	return out
}

func (r *Recorder) allSeries() map[string]*series {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.series)
}
