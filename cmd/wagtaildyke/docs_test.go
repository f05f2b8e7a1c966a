package main

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

func TestOperatorsPageHasTheTableOfKinds(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	c.Assert(err, qt.IsNil)
	for _, kind := range fault.Kinds() {
		a := kind.Attributes()
		c.Check(string(page), qt.Contains, fmt.Sprintf("| `%s` | %d | %d | %s | ", a.Name, a.HTTPStatus, a.ExitCode, a.Ran))
	}
}
