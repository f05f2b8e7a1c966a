package relay_test

import (
	"context"
	"slices"
	"sync"

	"github.com/wagtaildyke/wagtaildyke/root/control/machine"
	"github.com/wagtaildyke/wagtaildyke/root/control/quarantine"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/segments"
)

// fakeControl stands in for the control thread. It grants probes while grants is set.
type fakeControl struct {
	observer *segments.Observer
	mu       sync.Mutex
	grants   bool
	probes   []quarantine.ProbeRequest
	failed   []quarantine.FailedProbe
	cleared  []quarantine.Segment
}

func (f *fakeControl) Post(_ context.Context, ev machine.Event) error {
	report := ev.(machine.SegmentReport)
	f.mu.Lock()
	if report.ProbesChanged {
		f.probes = report.Probes
	}
	f.failed = append(f.failed, report.FailedProbes...)
	for _, done := range report.Completed {
		f.cleared = append(f.cleared, done.Segment)
	}
	f.mu.Unlock()
	f.grant()
	return nil
}

// grant grants the first probe of the list if grants is set.
func (f *fakeControl) grant() {
	f.mu.Lock()
	var ids []uint64
	if f.grants && len(f.probes) > 0 {
		ids = append(ids, f.probes[0].ID)
	}
	f.mu.Unlock()
	f.observer.GrantProbes(ids)
}

// allow sets grants while the relay runs.
func (f *fakeControl) allow() {
	f.mu.Lock()
	f.grants = true
	f.mu.Unlock()
	f.grant()
}

func (f *fakeControl) listed() []quarantine.ProbeRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.probes)
}

func (f *fakeControl) failures() []quarantine.FailedProbe {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.failed)
}
