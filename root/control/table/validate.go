package table

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "control/table"

// Column names.
const (
	columnClass  = "class"
	columnWeight = "weight"
	// columnPriority differs from the name of the field, because operators' files use
	// this name.
	columnPriority    = "place"
	columnConcurrency = "concurrency"
	columnRate        = "rate_per_second"
	columnQueue       = "queue"
	columnTokens      = "tokens"
	columnDeadline    = "deadline_ms"
	columnTargets     = "targets"
	columnIdempotent  = "idempotent"
)

// headerRow is the number of the header row. The first class is in the next row.
const headerRow = 1

// Validate checks the table. Its error has kind fault.Invalid, lists at most 10 invalid
// cells by row and column, and says how many more there are. Rows are numbered as in a
// spreadsheet without empty rows, where the header is row 1.
func Validate(classes []Class) error {
	var errs cellErrors
	errs.checkTable(classes)
	return errs.err()
}

// cell identifies one cell of the spreadsheet.
type cell struct {
	row    int
	column string
}

// cellErrors collects the errors of a table. Each cell is reported once.
type cellErrors struct {
	// rows holds the row of each class; without it, the classes follow the header.
	rows     []int
	seen     map[cell]bool
	messages []string
}

func (e *cellErrors) add(row int, column, format string, args ...any) {
	at := cell{row, column}
	if e.seen[at] {
		return
	}
	if e.seen == nil {
		e.seen = make(map[cell]bool)
	}
	e.seen[at] = true
	if len(e.messages) < maxCellErrors {
		message := fmt.Sprintf(format, args...)
		e.messages = append(e.messages, fmt.Sprintf("row %d, column %s: %s", row, column, message))
	}
}

// err returns nil if all cells are valid.
func (e *cellErrors) err() error {
	if len(e.seen) == 0 {
		return nil
	}
	list := strings.Join(e.messages, "; ")
	if more := len(e.seen) - len(e.messages); more > 0 {
		list += fmt.Sprintf("; and %d more", more)
	}
	return fault.New(fault.Invalid, part, "%s", list)
}

// row returns the row of the i-th class.
func (e *cellErrors) row(i int) int {
	if i < len(e.rows) {
		return e.rows[i]
	}
	return headerRow + 1 + i
}

func (e *cellErrors) checkTable(classes []Class) {
	if len(classes) == 0 {
		e.add(headerRow+1, columnClass, "the table must have at least one class")
	}
	if len(classes) > MaxClasses {
		e.add(e.row(MaxClasses), columnClass, "more than %d classes", MaxClasses)
		return
	}
	firstRow := make(map[string]int, len(classes))
	for i, c := range classes {
		row := e.row(i)
		if other, ok := firstRow[c.Name]; ok {
			e.add(row, columnClass, "%s is already defined in row %d", quote(c.Name), other)
		} else {
			firstRow[c.Name] = row
		}
		e.checkClass(row, c)
	}
}

func (e *cellErrors) checkClass(row int, c Class) {
	if !validName(c.Name, MaxNameBytes) {
		e.add(row, columnClass, "%s must be 1 to %d letters, digits, '-', '_', '.', ':' or '/'", quote(c.Name), MaxNameBytes)
	}
	e.checkRange(row, columnWeight, c.Weight, 1, MaxCount)
	e.checkRange(row, columnPriority, c.Priority, 0, MaxPriority)
	e.checkRange(row, columnConcurrency, c.Concurrency, 1, MaxCount)
	e.checkRange(row, columnQueue, c.Queue, 0, MaxCount)
	e.checkRange(row, columnTokens, c.Tokens, 0, MaxTokens)
	if math.IsNaN(c.RatePerSecond) || c.RatePerSecond <= 0 || c.RatePerSecond > MaxCount {
		e.add(row, columnRate, "%v must be above 0 and at most %d", c.RatePerSecond, MaxCount)
	}
	if c.Deadline < time.Millisecond || c.Deadline > MaxDeadline || c.Deadline%time.Millisecond != 0 {
		e.add(row, columnDeadline, "%v is not a whole number of milliseconds from 1 to %d", c.Deadline, MaxDeadline.Milliseconds())
	}
	e.checkTargets(row, c.Targets)
}

func (e *cellErrors) checkRange(row int, column string, value, lowest, highest int) {
	if value < lowest || value > highest {
		e.add(row, column, "%d is not between %d and %d", value, lowest, highest)
	}
}

func (e *cellErrors) checkTargets(row int, targets []string) {
	if len(targets) == 0 || len(targets) > MaxTargets {
		e.add(row, columnTargets, "%d targets, want 1 to %d", len(targets), MaxTargets)
		return
	}
	seen := make(map[string]bool, len(targets))
	for _, target := range targets {
		if !validName(target, MaxTargetBytes) {
			e.add(row, columnTargets, "%s must be 1 to %d letters, digits, '-', '_', '.', ':' or '/'", quote(target), MaxTargetBytes)
		}
		if seen[target] {
			e.add(row, columnTargets, "%s is listed twice", quote(target))
		}
		seen[target] = true
	}
}

func validName(name string, maxBytes int) bool {
	if name == "" || len(name) > maxBytes {
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

// maxQuotedBytes limits the length of a value quoted in an error.
const maxQuotedBytes = 32

func quote(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return fmt.Sprintf("%q", s)
}
