package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Report is the merged report of the daemons that responded.
type Report struct {
	At time.Time `json:"at"`
	// Objective is the fraction of requests that must complete within their
	// deadline, such as 0.99.
	Objective float64  `json:"objective"`
	Coverage  Coverage `json:"coverage"`
	Windows   []Window `json:"windows"`
}

// Coverage lists the processes whose outcomes are included in the report and those
// whose outcomes are not.
type Coverage struct {
	// Answered lists the VMs whose outcomes are included.
	Answered []string `json:"answered"`
	// FetchErrors lists the daemons whose outcomes could not be fetched.
	FetchErrors []FetchError `json:"silent"`
	// Missing lists the entries known to the included daemons whose outcomes are not
	// included.
	Missing []string `json:"missing"`
	// RecentlyStarted lists the included VMs that started within the longest window,
	// so that their outcomes cover only part of it.
	RecentlyStarted []string `json:"young"`
}

// Complete reports whether the report includes every daemon that was queried and
// every entry that is known to those daemons.
func (c Coverage) Complete() bool { return len(c.FetchErrors) == 0 && len(c.Missing) == 0 }

// FetchError describes a daemon whose outcomes could not be fetched.
type FetchError struct {
	// Operator is the base URL of the daemon's operator listener.
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Window is the report on one time window.
type Window struct {
	LengthSeconds int           `json:"length_seconds"`
	RoleChanges   uint64        `json:"role_changes"`
	Classes       []ClassReport `json:"classes"`
}

// Length returns the length of the window.
func (w Window) Length() time.Duration { return time.Duration(w.LengthSeconds) * time.Second }

// ClassReport is the report on one class in one window.
type ClassReport struct {
	Class          string `json:"class"`
	DeadlineMillis int64  `json:"deadline_ms"`
	Within         uint64 `json:"within"`
	Late           uint64 `json:"late"`
	// Refused counts the requests that ended with an error by kind.
	Refused map[string]uint64 `json:"refused"`
	// Spent counts the requests that consumed error budget: late responses, and
	// errors that the caller did not cause. Counted is Spent plus the responses
	// within the deadline.
	Spent   uint64 `json:"spent"`
	Counted uint64 `json:"counted"`
	// BurnRate is 1 when the error budget is consumed exactly as fast as the
	// objective allows. BudgetLeft is the remaining fraction of this window's
	// budget; it is negative when the budget is exceeded.
	BurnRate        float64 `json:"burn_rate"`
	BudgetLeft      float64 `json:"budget_left"`
	Total           Latency `json:"whole"`
	Queue           Latency `json:"queue"`
	FirstToken      Latency `json:"first_token"`
	AfterFirstToken Latency `json:"rest"`
	Points          []Point `json:"points"`
}

// Latency summarizes one histogram in milliseconds. Count is 0 when the duration
// was not measured.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Point holds the outcomes of one slot of a window, for plotting.
type Point struct {
	Start  time.Time `json:"start"`
	Within uint64    `json:"within"`
	Late   uint64    `json:"late"`
	// Refused counts the errors that consume error budget.
	Refused uint64 `json:"refused"`
}

// callerErrors lists the error kinds that consume no error budget: the request was
// invalid, exceeded the caller's own limit, or was cancelled by the caller.
var callerErrors = []fault.Kind{
	fault.Invalid, fault.Unauthorized, fault.NotFound, fault.MethodNotAllowed,
	fault.TooLarge, fault.Conflict, fault.RateLimited, fault.Cancelled,
	fault.InProgress, fault.KeyReused, fault.KeyExpired,
}

// SpendsBudget reports whether an error of this kind consumes error budget. Kinds
// that this version does not know do.
func SpendsBudget(kind string) bool {
	k, known := fault.ParseKind(kind)
	return !known || !slices.Contains(callerErrors, k)
}

// Merge computes the report from the snapshots of the daemons that responded. The
// objective must be greater than 0 and less than 1. Role changes are observed by
// every daemon, so the report has the largest of their counts and not the sum.
func Merge(at time.Time, objective float64, snaps []Snapshot, silent []FetchError) Report {
	out := Report{At: at, Objective: objective, Coverage: coverage(at, snaps, silent)}
	for i, length := range windowLengths {
		w := Window{LengthSeconds: int(length / time.Second), Classes: []ClassReport{}}
		for _, s := range snaps {
			w.RoleChanges = max(w.RoleChanges, sumRoleChanges(s, i))
		}
		for _, sum := range mergeClasses(snaps, i) {
			w.Classes = append(w.Classes, sum.report(objective))
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

func coverage(at time.Time, snaps []Snapshot, silent []FetchError) Coverage {
	out := Coverage{Answered: []string{}, FetchErrors: silent, Missing: []string{}, RecentlyStarted: []string{}}
	if out.FetchErrors == nil {
		out.FetchErrors = []FetchError{}
	}
	for _, s := range snaps {
		out.Answered = append(out.Answered, s.VM)
		if at.Sub(s.Started) < windowLengths[len(windowLengths)-1] {
			out.RecentlyStarted = append(out.RecentlyStarted, s.VM)
		}
	}
	for _, s := range snaps {
		for _, vm := range s.Entries {
			if !slices.Contains(out.Answered, vm) && !slices.Contains(out.Missing, vm) {
				out.Missing = append(out.Missing, vm)
			}
		}
	}
	slices.Sort(out.Answered)
	slices.Sort(out.Missing)
	slices.Sort(out.RecentlyStarted)
	return out
}

func sumRoleChanges(s Snapshot, window int) uint64 {
	if window >= len(s.RoleChanges) {
		return 0
	}
	var total uint64
	for _, slot := range s.RoleChanges[window].Slots {
		total += slot.Counts.RoleChanges
	}
	return total
}

// classSum accumulates the counts of one class in one window over all snapshots.
type classSum struct {
	class    string
	deadline int64
	counts   Counts
	points   map[int64]*Point
}

func mergeClasses(snaps []Snapshot, window int) []*classSum {
	byName := map[string]*classSum{}
	var out []*classSum
	for _, s := range snaps {
		for _, c := range s.Classes {
			if window >= len(c.Windows) {
				continue
			}
			sum := byName[c.Class]
			if sum == nil {
				sum = &classSum{class: c.Class, points: map[int64]*Point{}}
				byName[c.Class] = sum
				out = append(out, sum)
			}
			sum.add(c, window)
		}
	}
	slices.SortFunc(out, func(a, b *classSum) int { return strings.Compare(a.class, b.class) })
	return out
}

func (s *classSum) add(c ClassSnapshot, window int) {
	s.deadline = max(s.deadline, c.DeadlineMillis)
	for _, slot := range c.Windows[window].Slots {
		s.counts.Merge(&slot.Counts)
		at := slot.Start.Unix()
		p := s.points[at]
		if p == nil {
			p = &Point{Start: slot.Start.UTC()}
			s.points[at] = p
		}
		p.Within += slot.Counts.Within
		p.Late += slot.Counts.Late
		p.Refused += budgetSpent(slot.Counts.Refused)
	}
}

func budgetSpent(refused map[string]uint64) uint64 {
	var total uint64
	for kind, n := range refused {
		if SpendsBudget(kind) {
			total += n
		}
	}
	return total
}

func (s *classSum) report(objective float64) ClassReport {
	out := ClassReport{
		Class: s.class, DeadlineMillis: s.deadline,
		Within: s.counts.Within, Late: s.counts.Late, Refused: s.counts.Refused,
		Total:           newLatency(s.counts.Total),
		Queue:           newLatency(s.counts.Queue),
		FirstToken:      newLatency(s.counts.FirstToken),
		AfterFirstToken: newLatency(s.counts.AfterFirstToken),
		Points:          []Point{},
		BudgetLeft:      1,
	}
	if out.Refused == nil {
		out.Refused = map[string]uint64{}
	}
	out.Spent = s.counts.Late + budgetSpent(s.counts.Refused)
	out.Counted = out.Spent + out.Within
	if out.Counted > 0 {
		out.BurnRate = float64(out.Spent) / float64(out.Counted) / (1 - objective)
		out.BudgetLeft = 1 - out.BurnRate
	}
	for _, p := range s.points {
		out.Points = append(out.Points, *p)
	}
	slices.SortFunc(out.Points, func(a, b Point) int { return a.Start.Compare(b.Start) })
	return out
}

func newLatency(b Buckets) Latency {
	if len(b) == 0 {
		return Latency{}
	}
	h := b.histogram()
	return Latency{
		Count:  h.TotalCount(),
		MeanMS: h.Mean() * unitMicros / 1000,
		P50MS:  percentileMillis(h, 50),
		P95MS:  percentileMillis(h, 95),
		P99MS:  percentileMillis(h, 99),
		MaxMS:  float64(h.Max()) * unitMicros / 1000,
	}
}

// percentileMillis returns the value at a percentile in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) * unitMicros / 1000
}
