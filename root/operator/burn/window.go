package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// SlotsPerWindow is the number of slots of a window. The newest slot is incomplete,
// so a window covers a period between its length minus one slot and its length.
const SlotsPerWindow = 12

// windowLengths lists the lengths of the windows in ascending order. The slot width
// of a longer window is a multiple of that of each shorter one.
var windowLengths = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// intervalLength is the time for which outcomes are collected in an interval before
// they are added to the windows. It is the slot width of the shortest window.
const intervalLength = 5 * time.Minute / SlotsPerWindow

// slot holds the counts of one slot of a window. start is a multiple of the width.
type slot struct {
	start  time.Time
	counts Counts
}

// window holds the nonempty slots of a sliding time window, oldest first.
type window struct {
	length time.Duration
	slots  []slot
}

func (w *window) width() time.Duration { return w.length / SlotsPerWindow }

// add merges c into the slot that contains at. If at precedes the newest slot, as
// after the clock was set back, c goes into the newest slot.
func (w *window) add(c *Counts, at time.Time) {
	start := at.Truncate(w.width())
	if n := len(w.slots); n == 0 || w.slots[n-1].start.Before(start) {
		w.slots = append(w.slots, slot{start: start})
	}
	w.slots[len(w.slots)-1].counts.Merge(c)
	w.expire(at)
}

// expire removes the slots that precede the window whose last slot contains now.
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

// windows holds one window for each of windowLengths.
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

func (ws windows) isEmpty(now time.Time) bool {
	for i := range ws {
		ws[i].expire(now)
		if len(ws[i].slots) > 0 {
			return false
		}
	}
	return true
}

// interval collects outcomes until they are added to the windows. Its histograms
// are allocated on first use. recorded says that it holds an outcome.
type interval struct {
	counts                                    Counts
	total, queue, firstToken, afterFirstToken *hdrhistogram.Histogram
	recorded                                  bool
}

func (iv *interval) recordResponse(t Timing, within bool) {
	iv.recorded = true
	if within {
		iv.counts.Within++
	} else {
		iv.counts.Late++
	}
	recordDuration(&iv.total, t.Total)
	recordDuration(&iv.queue, t.Queue)
	if t.FirstToken > 0 {
		recordDuration(&iv.firstToken, t.FirstToken)
		recordDuration(&iv.afterFirstToken, t.Total-t.FirstToken)
	}
}

func (iv *interval) recordError(kind fault.Kind) {
	iv.recorded = true
	iv.counts.addRefused(kind.String(), 1)
}

// recordDuration adds d to the histogram. It ignores a zero duration, which was not
// measured, and a negative one.
func recordDuration(h **hdrhistogram.Histogram, d time.Duration) {
	if d <= 0 {
		return
	}
	if *h == nil {
		*h = newHistogram()
	}
	units := max(1, min(d.Microseconds()/unitMicros, maxUnits))
	// RecordValue fails only for values out of range, and units is in range.
	_ = (*h).RecordValue(units)
}

// reset returns the collected counts and empties the interval.
func (iv *interval) reset() Counts {
	out := iv.counts
	out.Total = exportBuckets(iv.total)
	out.Queue = exportBuckets(iv.queue)
	out.FirstToken = exportBuckets(iv.firstToken)
	out.AfterFirstToken = exportBuckets(iv.afterFirstToken)
	*iv = interval{}
	return out
}
