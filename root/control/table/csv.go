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

// columns is the header row of the table in the order of WriteCSV.
var columns = []string{
	columnClass, columnWeight, columnPlace, columnConcurrency, columnRate,
	columnQueue, columnTokens, columnDeadline, columnTargets, columnIdempotent,
}

// The words of the idempotent column.
const (
	wordYes = "yes"
	wordNo  = "no"
)

// byteOrderMark starts the files of some spreadsheets.
const byteOrderMark = "\ufeff"

// ParseCSV reads a whole table and validates it. The header row may have the
// columns in any order. The error is of kind fault.Invalid and names the row
// and column of each bad cell, up to a bound, or of kind fault.TooLarge above
// MaxCSVBytes.
func ParseCSV(r io.Reader) ([]Class, error) {
	in := newBoundedReader(r)
	rows := csv.NewReader(in)
	rows.FieldsPerRecord = -1
	header, err := rows.Read()
	if err != nil {
		return nil, in.explain(err)
	}
	p := &parser{}
	if err := p.readHeader(header); err != nil {
		return nil, err
	}
	if err := p.readRows(rows); err != nil || in.over {
		return nil, in.explain(err)
	}
	p.bad.checkTable(p.classes)
	if err := p.bad.err(); err != nil {
		return nil, err
	}
	return p.classes, nil
}

// WriteCSV writes the table with a header row. ParseCSV reads it back equal.
func WriteCSV(w io.Writer, classes []Class) error {
	out := csv.NewWriter(w)
	_ = out.Write(columns)
	for _, c := range classes {
		_ = out.Write(rowOf(c))
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "can't write the table")
	}
	return nil
}

func rowOf(c Class) []string {
	idempotent := wordNo
	if c.Idempotent {
		idempotent = wordYes
	}
	return []string{
		c.Name,
		strconv.Itoa(c.Weight),
		strconv.Itoa(c.Place),
		strconv.Itoa(c.Concurrency),
		strconv.FormatFloat(c.RatePerSecond, 'f', -1, 64),
		strconv.Itoa(c.Queue),
		strconv.Itoa(c.Tokens),
		strconv.FormatInt(c.Deadline.Milliseconds(), 10),
		strings.Join(c.Targets, " "),
		idempotent,
	}
}

// parser reads rows into classes and collects bad cells.
type parser struct {
	// header is the column name per field.
	header  []string
	classes []Class
	bad     badCells
}

func (p *parser) readHeader(fields []string) error {
	fields[0] = strings.TrimPrefix(fields[0], byteOrderMark)
	seen := make(map[string]bool, len(columns))
	for _, field := range fields {
		name := strings.TrimSpace(field)
		switch {
		case !isColumn(name):
			p.bad.add(headerRow, quote(name), "the table has no such column")
		case seen[name]:
			p.bad.add(headerRow, name, "the column stands twice")
		}
		seen[name] = true
		p.header = append(p.header, name)
	}
	for _, name := range columns {
		if !seen[name] {
			p.bad.add(headerRow, name, "the column is missing")
		}
	}
	return p.bad.err()
}

func isColumn(name string) bool {
	for _, c := range columns {
		if c == name {
			return true
		}
	}
	return false
}

func (p *parser) readRows(rows *csv.Reader) error {
	for len(p.classes) <= MaxClasses {
		fields, err := rows.Read()
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
	row := headerRow + 1 + len(p.classes)
	var c Class
	for i, name := range p.header {
		if i >= len(fields) {
			p.bad.add(row, name, "the cell is missing")
			continue
		}
		p.readCell(&c, row, name, strings.TrimSpace(fields[i]))
	}
	if len(fields) > len(p.header) {
		p.bad.add(row, strconv.Itoa(len(p.header)+1), "the cell has no column")
	}
	p.classes = append(p.classes, c)
}

func (p *parser) readCell(c *Class, row int, column, text string) {
	switch column {
	case columnClass:
		c.Name = text
	case columnWeight:
		c.Weight = p.readInt(row, column, text)
	case columnPlace:
		c.Place = p.readInt(row, column, text)
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
		p.bad.add(row, column, "%s is not a whole number", quote(text))
	}
	return n
}

func (p *parser) readFloat(row int, column, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.bad.add(row, column, "%s is not a number", quote(text))
	}
	return n
}

func (p *parser) readMilliseconds(row int, column, text string) time.Duration {
	ms := p.readInt(row, column, text)
	if ms < 0 || ms > int(MaxDeadline.Milliseconds()) {
		p.bad.add(row, column, "%d is not from 1 to %d", ms, MaxDeadline.Milliseconds())
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (p *parser) readYesNo(row int, column, text string) bool {
	if text != wordYes && text != wordNo {
		p.bad.add(row, column, "%s is neither %s nor %s", quote(text), wordYes, wordNo)
	}
	return text == wordYes
}

// boundedReader refuses input above MaxCSVBytes.
type boundedReader struct {
	in   *bufio.Reader
	left int
	over bool
}

func newBoundedReader(r io.Reader) *boundedReader {
	return &boundedReader{in: bufio.NewReader(r), left: MaxCSVBytes}
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		_, err := b.in.Peek(1)
		b.over = err == nil
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// explain returns the typed error for what ended the reading.
func (b *boundedReader) explain(err error) error {
	if b.over {
		return fault.New(fault.TooLarge, part, "the table has more than %d bytes", MaxCSVBytes)
	}
	if errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, part, "row %d: the header is missing", headerRow)
	}
	return fault.Wrap(err, fault.Invalid, part, "the table is not CSV")
}
