package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// Report is the merged report over the entries that answered.
type Report struct {
	At time.Time `json:"at"`
	// Objective is the share of requests that must be answered whole within
	// their deadline, such as 0.99.
	Objective float64  `json:"objective"`
	Coverage  Coverage `json:"coverage"`
	Windows   []Window `json:"windows"`
}

// Coverage says whose outcomes the report holds.
type Coverage struct {
	// Answered are the VMs whose outcomes are in the report.
	Answered []string `json:"answered"`
	// Silent are the daemons that were asked and gave no answer.
	Silent []Silent `json:"silent"`
	// Missing are the entries of the fleet whose outcomes are not in the report.
	Missing []string `json:"missing"`
	// Young are VMs that started within the longest window and so know less.
	Young []string `json:"young"`
}

// Whole reports whether the report holds the outcomes of every known entry.
func (c Coverage) Whole() bool { return len(c.Silent) == 0 && len(c.Missing) == 0 }

// Silent is a daemon that gave no answer.
type Silent struct {
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Window is the report over one window.
type Window struct {
	LengthSeconds int           `json:"length_seconds"`
	RoleChanges   uint64        `json:"role_changes"`
	Classes       []ClassReport `json:"classes"`
}

// Length is the length of the window.
func (w Window) Length() time.Duration { return time.Duration(w.LengthSeconds) * time.Second }

// ClassReport is the report on one class in one window.
type ClassReport struct {
	Class          string `json:"class"`
	DeadlineMillis int64  `json:"deadline_ms"`
	Within         uint64 `json:"within"`
	Late           uint64 `json:"late"`
	// Refused counts refusals and cut answers by kind.
	Refused map[string]uint64 `json:"refused"`
	// Spent counts the requests that spent error budget: late answers, and
	// refusals of a kind that is not the caller's own doing. Counted is Spent
	// and the answers within the deadline.
	Spent   uint64 `json:"spent"`
	Counted uint64 `json:"counted"`
	// BurnRate is 1 when the budget is spent exactly as fast as the objective
	// allows. BudgetLeft is the rest of this window's budget, 1 for all of it;
	// it is negative when more was spent.
	BurnRate   float64 `json:"burn_rate"`
	BudgetLeft float64 `json:"budget_left"`
	Whole      Latency `json:"whole"`
	Queue      Latency `json:"queue"`
	FirstToken Latency `json:"first_token"`
	Rest       Latency `json:"rest"`
	Points     []Point `json:"points"`
}

// Latency summarises one histogram in milliseconds. Count is 0 when the time
// was not measured.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// Point is one slot of a window.
type Point struct {
	Start  time.Time `json:"start"`
	Within uint64    `json:"within"`
	Late   uint64    `json:"late"`
	// Refused counts the refusals that spend error budget.
	Refused uint64 `json:"refused"`
}

// callersOwn are the kinds of refusal that spend no error budget: the request
// was wrong, went past the caller's own limit, or was given up by the caller.
var callersOwn = []fault.Kind{
	fault.Invalid, fault.Unauthorized, fault.NotFound, fault.MethodNotAllowed,
	fault.TooLarge, fault.Conflict, fault.RateLimited, fault.Cancelled,
	fault.InProgress, fault.KeyReused, fault.KeyExpired,
}

// Spends reports whether a refusal of this kind spends error budget. A kind
// that this program does not know does.
func Spends(kind string) bool {
	k, known := fault.ParseKind(kind)
	return !known || !slices.Contains(callersOwn, k)
}

// Merge adds up the snapshots of the daemons that answered. objective is more
// than 0 and less than 1.
func Merge(at time.Time, objective float64, snaps []Snapshot, silent []Silent) Report {
	out := Report{At: at, Objective: objective, Coverage: cover(at, snaps, silent)}
	for i, length := range windowLengths {
		w := Window{LengthSeconds: int(length / time.Second), Classes: []ClassReport{}}
		for _, s := range snaps {
			w.RoleChanges = max(w.RoleChanges, roleChanges(s, i))
		}
		for _, sum := range sumClasses(snaps, i) {
			w.Classes = append(w.Classes, sum.report(objective))
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

func cover(at time.Time, snaps []Snapshot, silent []Silent) Coverage {
	out := Coverage{Answered: []string{}, Silent: silent, Missing: []string{}, Young: []string{}}
	if out.Silent == nil {
		out.Silent = []Silent{}
	}
	for _, s := range snaps {
		out.Answered = append(out.Answered, s.VM)
		if at.Sub(s.Started) < windowLengths[len(windowLengths)-1] {
			out.Young = append(out.Young, s.VM)
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
	slices.Sort(out.Young)
	return out
}

func roleChanges(s Snapshot, window int) uint64 {
	if window >= len(s.RoleChanges) {
		return 0
	}
	var total uint64
	for _, slot := range s.RoleChanges[window].Slots {
		total += slot.Counts.RoleChanges
	}
	return total
}

// classSum adds up one class in one window.
type classSum struct {
	class    string
	deadline int64
	total    Counts
	points   map[int64]*Point
}

func sumClasses(snaps []Snapshot, window int) []*classSum {
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
		s.total.Merge(&slot.Counts)
		at := slot.Start.Unix()
		p := s.points[at]
		if p == nil {
			p = &Point{Start: slot.Start.UTC()}
			s.points[at] = p
		}
		p.Within += slot.Counts.Within
		p.Late += slot.Counts.Late
		p.Refused += spentBy(slot.Counts.Refused)
	}
}

func spentBy(refused map[string]uint64) uint64 {
	var total uint64
	for kind, n := range refused {
		if Spends(kind) {
			total += n
		}
	}
	return total
}

func (s *classSum) report(objective float64) ClassReport {
	out := ClassReport{
		Class: s.class, DeadlineMillis: s.deadline,
		Within: s.total.Within, Late: s.total.Late, Refused: s.total.Refused,
		Whole:      summarise(s.total.Whole),
		Queue:      summarise(s.total.Queue),
		FirstToken: summarise(s.total.FirstToken),
		Rest:       summarise(s.total.Rest),
		Points:     []Point{},
		BudgetLeft: 1,
	}
	if out.Refused == nil {
		out.Refused = map[string]uint64{}
	}
	out.Spent = s.total.Late + spentBy(s.total.Refused)
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

func summarise(b Buckets) Latency {
	if len(b) == 0 {
		return Latency{}
	}
	h := b.histogram()
	return Latency{
		Count:  h.TotalCount(),
		MeanMS: h.Mean() * unitMicros / 1000,
		P50MS:  quantile(h, 50),
		P95MS:  quantile(h, 95),
		P99MS:  quantile(h, 99),
		MaxMS:  float64(h.Max()) * unitMicros / 1000,
	}
}

// quantile returns a percentile in milliseconds.
func quantile(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) * unitMicros / 1000
}
