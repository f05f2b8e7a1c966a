package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
)

// writeText prints the report for a terminal.
func writeText(out io.Writer, r burn.Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level report at %s, objective %s\n", r.At.Format(time.RFC3339), percent(r.Objective))
	for _, line := range coverageLines(r.Coverage) {
		fmt.Fprintln(&b, line)
	}
	for _, w := range r.Windows {
		writeWindow(&b, w)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// coverageLines say whose requests the report counts.
func coverageLines(c burn.Coverage) []string {
	var out []string
	if !c.Complete() {
		out = append(out, "PARTIAL: requests taken by other daemons are not counted here")
	}
	out = append(out, fmt.Sprintf("answered (%d): %s", len(c.Answered), strings.Join(c.Answered, " ")))
	for _, s := range c.FetchErrors {
		out = append(out, fmt.Sprintf("silent: %s: %s", s.Operator, s.Reason))
	}
	if len(c.Missing) > 0 {
		out = append(out, fmt.Sprintf("entries without an answer (%d): %s", len(c.Missing), strings.Join(c.Missing, " ")))
	}
	if len(c.RecentlyStarted) > 0 {
		out = append(out, "started within the longest window, so they know less: "+strings.Join(c.RecentlyStarted, " "))
	}
	return out
}

func writeWindow(b *strings.Builder, w burn.Window) {
	fmt.Fprintf(b, "\nlast %s, role changes %d\n", span(w.Length()), w.RoleChanges)
	if len(w.Classes) == 0 {
		fmt.Fprintln(b, "no request")
		return
	}
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tWITHIN\tLATE\tREFUSED\tBURN\tBUDGET LEFT\tP50\tP99\tDEADLINE\tFIRST TOKEN P95\tWHERE THE TIME WENT")
	for _, c := range w.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\n",
			c.Class, c.Within, c.Late, refusedTotal(c), c.BurnRate, percent(c.BudgetLeft),
			millis(c.Total, c.Total.P50MS), millis(c.Total, c.Total.P99MS), deadlineText(c),
			millis(c.FirstToken, c.FirstToken.P95MS), whereText(c))
	}
	t.Flush()
	for _, c := range w.Classes {
		if len(c.Refused) > 0 {
			fmt.Fprintf(b, "refused %s: %s\n", c.Class, strings.Join(refusedByKind(c), ", "))
		}
	}
}

func refusedTotal(c burn.ClassReport) uint64 {
	var total uint64
	for _, n := range c.Refused {
		total += n
	}
	return total
}

// refusedByKind lists the kinds, the most frequent one first.
func refusedByKind(c burn.ClassReport) []string {
	kinds := make([]string, 0, len(c.Refused))
	for kind := range c.Refused {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		if c.Refused[a] != c.Refused[b] {
			return int(int64(c.Refused[b]) - int64(c.Refused[a]))
		}
		return strings.Compare(a, b)
	})
	for i, kind := range kinds {
		note := ""
		if !burn.SpendsBudget(kind) {
			note = " (not counted)"
		}
		kinds[i] = fmt.Sprintf("%s %d%s", kind, c.Refused[kind], note)
	}
	return kinds
}

// stage is one part of the mean time of a class.
type stage struct {
	Name string
	MS   float64
}

// stages split the mean time of a whole answer as far as it was measured.
func stages(c burn.ClassReport) []stage {
	if c.Queue.Count == 0 && c.FirstToken.Count == 0 {
		return nil
	}
	queue := c.Queue.MeanMS
	if c.FirstToken.Count == 0 {
		return []stage{{"queue", queue}, {"rest", max(0, c.Total.MeanMS-queue)}}
	}
	return []stage{
		{"queue", queue},
		{"to first token", max(0, c.FirstToken.MeanMS-queue)},
		{"rest", c.AfterFirstToken.MeanMS},
	}
}

func whereText(c burn.ClassReport) string {
	all := stages(c)
	if len(all) == 0 {
		return "not measured"
	}
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = fmt.Sprintf("%s %.1f ms", s.Name, s.MS)
	}
	return strings.Join(out, ", ")
}

func millis(l burn.Latency, ms float64) string {
	if l.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", ms)
}

func deadlineText(c burn.ClassReport) string {
	if c.DeadlineMillis == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", c.DeadlineMillis)
}

func percent(share float64) string { return fmt.Sprintf("%.4g%%", share*100) }

// span names the length of a window.
func span(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%d h", d/time.Hour)
	}
	return fmt.Sprintf("%d min", d/time.Minute)
}
