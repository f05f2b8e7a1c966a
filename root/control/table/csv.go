package table

import (
	"bufio"
	"encoding/csv"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// columns are the column names in the order in which WriteCSV writes them.
var columns = []string{
	columnClass, columnWeight, columnPriority, columnConcurrency, columnRate,
	columnQueue, columnTokens, columnDeadline, columnTargets, columnIdempotent,
}

// Values of the idempotent column.
const (
	valueYes = "yes"
	valueNo  = "no"
)

// byteOrderMark is written by some spreadsheets at the start of a file.
const byteOrderMark = "\ufeff"

// ParseCSV reads and validates a table. The columns may be in any order. Empty lines
// are skipped, but count as rows in errors, as in a spreadsheet. Reading stops at
// malformed CSV, after a header with invalid columns and after MaxClasses+1 rows.
//
// The error has kind fault.TooLarge if more than MaxCSVBytes had to be read, unless
// reading stopped at a header with invalid columns. Otherwise it has kind
// fault.Invalid, also if r fails. If the input is well-formed CSV with a header, it
// lists invalid cells like that of Validate.
func ParseCSV(r io.Reader) ([]Class, error) {
	in := newBoundedReader(r)
	rows := csv.NewReader(in)
	rows.FieldsPerRecord = -1
	header, err := rows.Read()
	if err != nil {
		return nil, in.readError(err)
	}
	p := &parser{rows: rows}
	if err := p.readHeader(header); err != nil {
		return nil, err
	}
	if err := p.readRows(); err != nil || in.exceeded {
		return nil, in.readError(err)
	}
	p.errs.checkTable(p.classes)
	if err := p.errs.err(); err != nil {
		return nil, err
	}
	return p.classes, nil
}

// WriteCSV writes the table with a header row. ParseCSV reads the same classes back.
func WriteCSV(w io.Writer, classes []Class) error {
	out := csv.NewWriter(w)
	_ = out.Write(columns)
	for _, c := range classes {
		_ = out.Write(formatRow(c))
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "write table as CSV")
	}
	return nil
}

func formatRow(c Class) []string {
	idempotent := valueNo
	if c.Idempotent {
		idempotent = valueYes
	}
	return []string{
		c.Name,
		strconv.Itoa(c.Weight),
		strconv.Itoa(c.Priority),
		strconv.Itoa(c.Concurrency),
		strconv.FormatFloat(c.RatePerSecond, 'f', -1, 64),
		strconv.Itoa(c.Queue),
		strconv.Itoa(c.Tokens),
		strconv.FormatInt(c.Deadline.Milliseconds(), 10),
		strings.Join(c.Targets, " "),
		idempotent,
	}
}

// parser parses rows into classes and collects cell errors.
type parser struct {
	rows *csv.Reader
	// lineBreaks counts the line breaks within the cells read so far.
	lineBreaks int
	// header holds the column name of each field.
	header  []string
	classes []Class
	errs    cellErrors
}

// rowNumber returns the number of the row that was just read, as a spreadsheet shows it.
func (p *parser) rowNumber(fields []string) int {
	line, _ := p.rows.FieldPos(0)
	row := line - p.lineBreaks
	for _, field := range fields {
		p.lineBreaks += strings.Count(field, "\n")
	}
	return row
}

func (p *parser) readHeader(fields []string) error {
	row := p.rowNumber(fields)
	fields[0] = strings.TrimPrefix(fields[0], byteOrderMark)
	seen := make(map[string]bool, len(columns))
	for _, field := range fields {
		name := strings.TrimSpace(field)
		switch {
		case !isColumn(name):
			p.errs.add(row, quote(name), "unknown column")
		case seen[name]:
			p.errs.add(row, name, "duplicate column")
		}
		seen[name] = true
		p.header = append(p.header, name)
	}
	for _, name := range columns {
		if !seen[name] {
			p.errs.add(row, name, "missing column")
		}
	}
	return p.errs.err()
}

func isColumn(name string) bool {
	for _, c := range columns {
		if c == name {
			return true
		}
	}
	return false
}

func (p *parser) readRows() error {
	for len(p.classes) <= MaxClasses {
		fields, err := p.rows.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		p.readRow(fields)
	}
	return nil
}

func (p *parser) readRow(fields []string) {
	row := p.rowNumber(fields)
	p.errs.rows = append(p.errs.rows, row)
	var c Class
	for i, name := range p.header {
		if i >= len(fields) {
			p.errs.add(row, name, "missing cell")
			continue
		}
		p.readCell(&c, row, name, strings.TrimSpace(fields[i]))
	}
	if len(fields) > len(p.header) {
		p.errs.add(row, strconv.Itoa(len(p.header)+1), "cell without a column")
	}
	p.classes = append(p.classes, c)
}

func (p *parser) readCell(c *Class, row int, column, text string) {
	switch column {
	case columnClass:
		c.Name = text
	case columnWeight:
		c.Weight = p.readInt(row, column, text)
	case columnPriority:
		c.Priority = p.readInt(row, column, text)
	case columnConcurrency:
		c.Concurrency = p.readInt(row, column, text)
	case columnRate:
		c.RatePerSecond = p.readFloat(row, column, text)
	case columnQueue:
		c.Queue = p.readInt(row, column, text)
	case columnTokens:
		c.Tokens = p.readInt(row, column, text)
	case columnDeadline:
		c.Deadline = p.readMilliseconds(row, column, text)
	case columnTargets:
		c.Targets = strings.Fields(text)
	case columnIdempotent:
		c.Idempotent = p.readYesNo(row, column, text)
	}
}

func (p *parser) readInt(row int, column, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		p.errs.add(row, column, "%s is not an integer or is out of range", quote(text))
	}
	return n
}

func (p *parser) readFloat(row int, column, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.errs.add(row, column, "%s is not a number or is out of range", quote(text))
	}
	return n
}

// readMilliseconds checks the range before the conversion, which could overflow. 0
// is reported by checkClass.
func (p *parser) readMilliseconds(row int, column, text string) time.Duration {
	ms := p.readInt(row, column, text)
	if ms < 0 || ms > int(MaxDeadline.Milliseconds()) {
		p.errs.add(row, column, "%d is not between 1 and %d", ms, MaxDeadline.Milliseconds())
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (p *parser) readYesNo(row int, column, text string) bool {
	if text != valueYes && text != valueNo {
		p.errs.add(row, column, "%s must be %s or %s", quote(text), valueYes, valueNo)
	}
	return text == valueYes
}

// boundedReader reads at most MaxCSVBytes and records whether the input is longer.
type boundedReader struct {
	in        *bufio.Reader
	remaining int
	exceeded  bool
}

func newBoundedReader(r io.Reader) *boundedReader {
	return &boundedReader{in: bufio.NewReader(r), remaining: MaxCSVBytes}
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		_, err := b.in.Peek(1)
		b.exceeded = err == nil
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// readError returns the fault for an error of the CSV reader.
func (b *boundedReader) readError(err error) error {
	if b.exceeded {
		return fault.New(fault.TooLarge, part, "table is larger than %d bytes", MaxCSVBytes)
	}
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, part, "row %d: missing header", headerRow)
	}
	return fault.Wrap(err, fault.Invalid, part, "read table as CSV")
}
