package table_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

const (
	header  = "class,weight,place,concurrency,rate_per_second,queue,tokens,deadline_ms,targets,idempotent\n"
	goodRow = "summaries,3,1,8,2.5,16,40000,60000,assistant archive,yes\n"
)

// noError is the typed nil that Result.Err holds for an accepted change.
var noError *fault.Error

func TestParseCSVReportsInvalidCells(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name, in string
		want     []string
	}{
		{"no header", "", []string{"row 1: missing header"}},
		{"missing column", strings.Replace(header, ",queue", "", 1), []string{"row 1, column queue: missing column"}},
		{"unknown column", strings.Replace(header, "class", "klass", 1), []string{`column "klass": unknown column`, "column class"}},
		{"column twice", strings.Replace(header, "queue", "tokens", 1), []string{"column tokens: duplicate column"}},
		{"no class", header, []string{"row 2, column class: the table must have at least one class"}},
		{"bad numbers", header + "a,x,1,0,NaN,-1,0,0,m,maybe\n", []string{
			`row 2, column weight: "x" is not an integer`, "row 2, column concurrency: 0",
			"row 2, column rate_per_second: NaN", "row 2, column queue: -1",
			"row 2, column deadline_ms: 0s", `row 2, column idempotent: "maybe"`,
		}},
		{"later row", header + goodRow + "b,1,1,1,1,1,1,99999999999,m,no\n", []string{"row 3, column deadline_ms"}},
		{"after empty lines", "\n" + header + "\n" + goodRow + "\n\nb,1,1,1,1,1,1,99999999999,m,no\n", []string{"row 7, column deadline_ms"}},
		{"class twice after an empty line", header + goodRow + "\n" + goodRow, []string{`row 4, column class: "summaries" is already defined in row 2`}},
		{"after a cell of two lines", header + strings.Replace(goodRow, ",yes", ",\"y\nes\"", 1) + "b,1,1,1,1,1,1,99999999999,m,no\n", []string{"row 3, column deadline_ms"}},
		{"header after an empty line", "\n" + strings.Replace(header, ",queue", "", 1), []string{"row 2, column queue: missing column"}},
		{"class twice", header + goodRow + goodRow, []string{`row 3, column class: "summaries" is already defined in row 2`}},
		{"short row", header + "a,1\n", []string{"row 2, column place: missing cell"}},
		{"long row", header + strings.Replace(goodRow, "yes", "yes,1", 1), []string{"row 2, column 11: cell without a column"}},
		{"target twice", header + strings.Replace(goodRow, "archive", "assistant", 1), []string{`column targets: "assistant" is listed twice`}},
		{"more errors than reported", header + strings.Repeat(",0,-1,0,0,-1,-1,0,,x\n", 3), []string{"and 20 more"}},
		{"not CSV", header + "\"a\n", []string{"read table as CSV"}},
	} {
		c.Run(test.name, func(c *qt.C) {
			classes, err := table.ParseCSV(strings.NewReader(test.in))
			c.Assert(classes, qt.IsNil)
			c.Assert(fault.KindOf(err), qt.Equals, fault.Invalid)
			for _, want := range test.want {
				c.Check(err.Error(), qt.Contains, want)
			}
		})
	}
}

func TestParseCSVLimitsInputSize(t *testing.T) {
	c := qt.New(t)
	full := header + strings.Repeat("\n", table.MaxCSVBytes-len(header)-len(goodRow)) + goodRow
	_, err := table.ParseCSV(strings.NewReader(full))
	c.Assert(err, qt.IsNil)
	_, err = table.ParseCSV(strings.NewReader(full + goodRow))
	c.Assert(fault.KindOf(err), qt.Equals, fault.TooLarge)
}

func FuzzParseCSV(f *testing.F) {
	f.Add([]byte(header + goodRow))
	f.Add([]byte("\ufeff" + strings.Replace(header, "class,weight", "weight,class", 1) + "2,b,0,1,1e3,0,0,1,m:7b,no\n"))
	f.Add([]byte(header + "\"a\"\"b\",1,1,1,1,1,1,1,m,no\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		c := qt.New(t)
		classes, err := table.ParseCSV(bytes.NewReader(in))
		if err != nil {
			c.Assert(classes, qt.IsNil)
			c.Assert(len(err.Error()) < 8<<10, qt.IsTrue)
			return
		}
		var out bytes.Buffer
		c.Assert(table.Validate(classes), qt.IsNil)
		c.Assert(table.WriteCSV(&out, classes), qt.IsNil)
		again, err := table.ParseCSV(&out)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, classes)
	})
}

func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	classes, err := table.ParseCSV(strings.NewReader(header + goodRow))
	c.Assert(err, qt.IsNil)
	var s table.State
	first := table.Change{ID: "id-0", Classes: classes}
	for i := range table.MaxAnswers {
		change := table.Change{ID: fmt.Sprintf("id-%d", i), Base: uint64(i), Classes: classes}
		c.Assert(s.Apply(change).Err, qt.Equals, noError)
	}
	c.Assert(s.Apply(first).Version, qt.Equals, uint64(1))
	c.Assert(s.Apply(table.Change{ID: "last", Base: table.MaxAnswers, Classes: classes}).Err, qt.Equals, noError)
	c.Assert(s.History(), qt.HasLen, table.MaxHistory)
	evicted := s.Apply(first)
	c.Assert(evicted.Err.Kind, qt.Equals, fault.Conflict)
	c.Assert(evicted.Version, qt.Equals, s.Table().Version)
}
