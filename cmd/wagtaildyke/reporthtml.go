package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
)

//go:embed report.html
var reportHTML string

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent, "span": span, "refused": refusedTotal, "where": whereText,
	"millis": millis, "deadline": deadlineText, "join": strings.Join, "kinds": refusedByKind,
}).Parse(reportHTML))

// Sizes of plots in pixels.
const (
	plotWidth  = 640.0
	labelWidth = 150.0
	rowHeight  = 22.0
	barHeight  = 14.0
	plotHeight = 120.0
)

// bar is one rectangle of a plot.
type bar struct {
	X, Y, W, H float64
	Fill       string
	Title      string
}

// label is one line of text in a plot.
type label struct {
	X, Y float64
	Text string
}

// line is one upright line of a plot.
type line struct {
	X, Y1, Y2 float64
	Title     string
}

// plot is one drawing.
type plot struct {
	Name   string
	W, H   float64
	Bars   []bar
	Labels []label
	Lines  []line
}

// page is what the template shows.
type page struct {
	burn.Report
	At       string
	Coverage []string
	Partial  bool
	Windows  []pageWindow
}

type pageWindow struct {
	burn.Window
	Burn, Latency, Where plot
	Outcomes             []plot
}

// writeHTML prints the report as one page without outside resources.
func writeHTML(out io.Writer, r burn.Report) error {
	p := page{
		Report:   r,
		At:       r.At.Format(time.RFC3339),
		Coverage: coverageLines(r.Coverage),
		Partial:  !r.Coverage.Complete(),
	}
	for _, w := range r.Windows {
		p.Windows = append(p.Windows, drawWindow(w, r.At))
	}
	if err := reportPage.Execute(out, p); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "can't write the page")
	}
	return nil
}

func drawWindow(w burn.Window, at time.Time) pageWindow {
	out := pageWindow{Window: w, Burn: drawBurn(w), Latency: drawLatency(w), Where: drawWhere(w)}
	for _, c := range w.Classes {
		out.Outcomes = append(out.Outcomes, drawOutcomes(c, w.Length(), at))
	}
	return out
}

// Colours that also differ in brightness.
const (
	colourGood  = "#1b7837"
	colourLate  = "#e08214"
	colourBad   = "#b2182b"
	colourQueue = "#762a83"
	colourFirst = "#4393c3"
)

// newRows returns a plot with a row per class.
func newRows(name string, w burn.Window) plot {
	p := plot{Name: name, W: labelWidth + plotWidth + 90, H: rowHeight*float64(len(w.Classes)) + 8}
	for i, c := range w.Classes {
		p.Labels = append(p.Labels, label{X: 0, Y: rowY(i) + barHeight - 3, Text: c.Class})
	}
	return p
}

func rowY(i int) float64 { return 4 + rowHeight*float64(i) }

// drawBurn draws a bar per class; the line is the rate that the objective allows.
func drawBurn(w burn.Window) plot {
	p := newRows("Burn rate", w)
	most := 2.0
	for _, c := range w.Classes {
		most = max(most, c.BurnRate)
	}
	for i, c := range w.Classes {
		fill := colourGood
		if c.BurnRate > 1 {
			fill = colourBad
		}
		width := plotWidth * c.BurnRate / most
		p.Bars = append(p.Bars, bar{labelWidth, rowY(i), width, barHeight, fill, fmt.Sprintf("%s: %.2f", c.Class, c.BurnRate)})
		p.Labels = append(p.Labels, label{labelWidth + width + 4, rowY(i) + barHeight - 3, fmt.Sprintf("%.2f", c.BurnRate)})
	}
	p.Lines = append(p.Lines, line{labelWidth + plotWidth/most, 0, p.H, "burn rate 1"})
	return p
}

// drawLatency draws 50th, 95th and 99th percentile on a log scale from 1 ms,
// with a line at the deadline.
func drawLatency(w burn.Window) plot {
	p := newRows("Time to the whole answer: p50, p95, p99 and the deadline, log scale from 1 ms", w)
	most := 10.0
	for _, c := range w.Classes {
		most = max(most, c.Total.P99MS, float64(c.DeadlineMillis))
	}
	x := func(ms float64) float64 { return plotWidth * math.Log10(max(1, ms)) / math.Log10(most) }
	for i, c := range w.Classes {
		if c.Total.Count > 0 {
			title := fmt.Sprintf("%s: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms", c.Class, c.Total.P50MS, c.Total.P95MS, c.Total.P99MS)
			p.Bars = append(p.Bars,
				bar{labelWidth, rowY(i), x(c.Total.P99MS), barHeight, "#d1e5f0", title},
				bar{labelWidth, rowY(i), x(c.Total.P95MS), barHeight, "#92c5de", title},
				bar{labelWidth, rowY(i), x(c.Total.P50MS), barHeight, colourFirst, title})
			p.Labels = append(p.Labels, label{labelWidth + x(c.Total.P99MS) + 4, rowY(i) + barHeight - 3, millis(c.Total, c.Total.P99MS)})
		}
		if c.DeadlineMillis > 0 {
			at := labelWidth + x(float64(c.DeadlineMillis))
			p.Lines = append(p.Lines, line{at, rowY(i), rowY(i) + barHeight, "deadline " + deadlineText(c)})
		}
	}
	return p
}

// drawWhere splits the mean time of a whole answer.
func drawWhere(w burn.Window) plot {
	p := newRows("Where the time went, mean: queue, to first token, rest", w)
	fills := map[string]string{"queue": colourQueue, "to first token": colourFirst, "rest": colourGood}
	most := 1.0
	for _, c := range w.Classes {
		most = max(most, totalMS(stages(c)))
	}
	for i, c := range w.Classes {
		x := labelWidth
		for _, s := range stages(c) {
			width := plotWidth * s.MS / most
			p.Bars = append(p.Bars, bar{x, rowY(i), width, barHeight, fills[s.Name], fmt.Sprintf("%s %.1f ms", s.Name, s.MS)})
			x += width
		}
		if len(stages(c)) == 0 {
			p.Labels = append(p.Labels, label{x, rowY(i) + barHeight - 3, "not measured"})
		}
	}
	return p
}

func totalMS(all []stage) float64 {
	total := 0.0
	for _, s := range all {
		total += s.MS
	}
	return total
}

// drawOutcomes stacks the outcomes of each slot, the newest slot on the right.
func drawOutcomes(c burn.ClassReport, length time.Duration, at time.Time) plot {
	p := plot{Name: c.Class + ": whole answers within the deadline, late ones, refusals", W: plotWidth, H: plotHeight + 18}
	var most uint64 = 1
	for _, pt := range c.Points {
		most = max(most, pt.Within+pt.Late+pt.Refused)
	}
	step := plotWidth / burn.SlotsPerWindow
	newest := at.Truncate(length / burn.SlotsPerWindow)
	for _, pt := range c.Points {
		back := newest.Sub(pt.Start) / (length / burn.SlotsPerWindow)
		// Clocks of VMs differ a little.
		back = min(max(back, 0), burn.SlotsPerWindow-1)
		x := plotWidth - step*float64(back+1)
		y := plotHeight
		for _, kind := range []struct {
			n    uint64
			fill string
			name string
		}{{pt.Within, colourGood, "within"}, {pt.Late, colourLate, "late"}, {pt.Refused, colourBad, "refused"}} {
			h := plotHeight * float64(kind.n) / float64(most)
			y -= h
			title := fmt.Sprintf("%s: %s %d", pt.Start.Format("15:04:05"), kind.name, kind.n)
			p.Bars = append(p.Bars, bar{x + 1, y, step - 2, h, kind.fill, title})
		}
	}
	p.Labels = []label{{0, p.H - 4, span(length) + " ago"}, {plotWidth - 30, p.H - 4, "now"}, {0, 10, fmt.Sprintf("most %d", most)}}
	return p
}
