package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// SlotsPerWindow is the number of slots that a window rotates through. A window
// covers between its length less one slot and its length.
const SlotsPerWindow = 12

// windowLengths are the windows of the report. Slots of a longer window are
// whole multiples of those of a shorter one.
var windowLengths = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// liveWidth is the span that is recorded before it is added to the windows.
const liveWidth = 5 * time.Minute / SlotsPerWindow

// slot holds the outcomes of one span that starts at a multiple of its width.
type slot struct {
	start  time.Time
	counts Counts
}

// window is a bounded row of slots, oldest first.
type window struct {
	length time.Duration
	slots  []slot
}

func (w *window) width() time.Duration { return w.length / SlotsPerWindow }

// add merges counts into the slot of their time. A clock that went back adds to
// the newest slot.
func (w *window) add(c *Counts, at time.Time) {
	start := at.Truncate(w.width())
	if n := len(w.slots); n == 0 || w.slots[n-1].start.Before(start) {
		w.slots = append(w.slots, slot{start: start})
	}
	w.slots[len(w.slots)-1].counts.Merge(c)
	w.expire(at)
}

// expire drops the slots before the window that ends with the slot of now.
func (w *window) expire(now time.Time) {
	oldest := now.Truncate(w.width()).Add(w.width() - w.length)
	kept := w.slots[:0]
	for _, s := range w.slots {
		if !s.start.Before(oldest) {
			kept = append(kept, s)
		}
	}
	clear(w.slots[len(kept):])
	w.slots = kept
}

// windows are all windows of one series.
type windows []window

func newWindows() windows {
	out := make(windows, len(windowLengths))
	for i, length := range windowLengths {
		out[i].length = length
	}
	return out
}

func (ws windows) add(c *Counts, at time.Time) {
	for i := range ws {
		ws[i].add(c, at)
	}
}

func (ws windows) empty(now time.Time) bool {
	for i := range ws {
		ws[i].expire(now)
		if len(ws[i].slots) > 0 {
			return false
		}
	}
	return true
}

// live is the span being recorded. Its histograms are made when first needed.
type live struct {
	counts                         Counts
	whole, queue, firstToken, rest *hdrhistogram.Histogram
	used                           bool
}

func (l *live) answered(t Timing, within bool) {
	l.used = true
	if within {
		l.counts.Within++
	} else {
		l.counts.Late++
	}
	observe(&l.whole, t.Whole)
	observe(&l.queue, t.Queue)
	if t.FirstToken > 0 {
		observe(&l.firstToken, t.FirstToken)
		observe(&l.rest, t.Whole-t.FirstToken)
	}
}

func (l *live) refused(kind fault.Kind) {
	l.used = true
	l.counts.addRefused(kind.String(), 1)
}

// observe records d unless it is zero, which means not measured.
func observe(h **hdrhistogram.Histogram, d time.Duration) {
	if d <= 0 {
		return
	}
	if *h == nil {
		*h = newHistogram()
	}
	units := max(1, min(d.Microseconds()/unitMicros, maxUnits))
	// The value is within the geometry.
	_ = (*h).RecordValue(units)
}

// take returns what was recorded and starts anew.
func (l *live) take() Counts {
	out := l.counts
	out.Whole = bucketsOf(l.whole)
	out.Queue = bucketsOf(l.queue)
	out.FirstToken = bucketsOf(l.firstToken)
	out.Rest = bucketsOf(l.rest)
	*l = live{}
	return out
}
