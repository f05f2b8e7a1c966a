package table

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "control/table"

// The columns of the table.
const (
	columnClass       = "class"
	columnWeight      = "weight"
	columnPlace       = "place"
	columnConcurrency = "concurrency"
	columnRate        = "rate_per_second"
	columnQueue       = "queue"
	columnTokens      = "tokens"
	columnDeadline    = "deadline_ms"
	columnTargets     = "targets"
	columnIdempotent  = "idempotent"
)

// headerRow is the row of the column names; the first class is on the next one.
const headerRow = 1

// Validate checks the whole table. The error is of kind fault.Invalid and names
// the row and column of each bad cell, up to a bound. Rows count from the
// header row, as a spreadsheet shows them.
func Validate(classes []Class) error {
	var bad badCells
	bad.checkTable(classes)
	return bad.err()
}

// cell names one cell of the spreadsheet.
type cell struct {
	row    int
	column string
}

// badCells collects the problems of a table. A cell is reported once.
type badCells struct {
	seen     map[cell]bool
	problems []string
}

func (b *badCells) add(row int, column, format string, args ...any) {
	at := cell{row, column}
	if b.seen[at] {
		return
	}
	if b.seen == nil {
		b.seen = make(map[cell]bool)
	}
	b.seen[at] = true
	if len(b.problems) < maxBadCells {
		problem := fmt.Sprintf(format, args...)
		b.problems = append(b.problems, fmt.Sprintf("row %d, column %s: %s", row, column, problem))
	}
}

// err returns nil when no cell is bad.
func (b *badCells) err() error {
	if len(b.seen) == 0 {
		return nil
	}
	list := strings.Join(b.problems, "; ")
	if more := len(b.seen) - len(b.problems); more > 0 {
		list += fmt.Sprintf("; and %d more", more)
	}
	return fault.New(fault.Invalid, part, "%s", list)
}

func (b *badCells) checkTable(classes []Class) {
	if len(classes) == 0 {
		b.add(headerRow+1, columnClass, "the table needs at least one class")
	}
	if len(classes) > MaxClasses {
		b.add(headerRow+1+MaxClasses, columnClass, "more than %d classes", MaxClasses)
		return
	}
	first := make(map[string]int, len(classes))
	for i, c := range classes {
		row := headerRow + 1 + i
		if other, ok := first[c.Name]; ok {
			b.add(row, columnClass, "%s is already in row %d", quote(c.Name), other)
		} else {
			first[c.Name] = row
		}
		b.checkClass(row, c)
	}
}

func (b *badCells) checkClass(row int, c Class) {
	if !validName(c.Name, MaxNameBytes) {
		b.add(row, columnClass, "%s is not 1 to %d letters, digits, '-', '_', '.', ':' or '/'", quote(c.Name), MaxNameBytes)
	}
	b.checkRange(row, columnWeight, c.Weight, 1, MaxCount)
	b.checkRange(row, columnPlace, c.Place, 0, MaxPlace)
	b.checkRange(row, columnConcurrency, c.Concurrency, 1, MaxCount)
	b.checkRange(row, columnQueue, c.Queue, 0, MaxCount)
	b.checkRange(row, columnTokens, c.Tokens, 0, MaxTokens)
	if math.IsNaN(c.RatePerSecond) || c.RatePerSecond <= 0 || c.RatePerSecond > MaxCount {
		b.add(row, columnRate, "%v is not above 0 and at most %d", c.RatePerSecond, MaxCount)
	}
	if c.Deadline < time.Millisecond || c.Deadline > MaxDeadline || c.Deadline%time.Millisecond != 0 {
		b.add(row, columnDeadline, "%v is not a whole number of milliseconds from 1 to %d", c.Deadline, MaxDeadline.Milliseconds())
	}
	b.checkTargets(row, c.Targets)
}

func (b *badCells) checkRange(row int, column string, value, least, most int) {
	if value < least || value > most {
		b.add(row, column, "%d is not from %d to %d", value, least, most)
	}
}

func (b *badCells) checkTargets(row int, targets []string) {
	if len(targets) == 0 || len(targets) > MaxTargets {
		b.add(row, columnTargets, "%d targets; 1 to %d are allowed", len(targets), MaxTargets)
		return
	}
	seen := make(map[string]bool, len(targets))
	for _, target := range targets {
		if !validName(target, MaxTargetBytes) {
			b.add(row, columnTargets, "%s is not 1 to %d letters, digits, '-', '_', '.', ':' or '/'", quote(target), MaxTargetBytes)
		}
		if seen[target] {
			b.add(row, columnTargets, "%s stands twice", quote(target))
		}
		seen[target] = true
	}
}

func validName(name string, most int) bool {
	if name == "" || len(name) > most {
		return false
	}
	for _, r := range name {
		if !validNameRune(r) {
			return false
		}
	}
	return true
}

func validNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return strings.ContainsRune("-_.:/", r)
}

// maxQuotedBytes bounds a value quoted in an error.
const maxQuotedBytes = 32

func quote(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return fmt.Sprintf("%q", s)
}
