package main

import (
	"bufio"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDemoProcessEndsWithZeroOnSIGTERM(t *testing.T) {
	c := qt.New(t)
	demo := exec.Command("wagtaildyke", "demo", "--data", t.TempDir())
	out, err := demo.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(demo.Start(), qt.IsNil)
	defer demo.Process.Kill()
	var words []string
	for lines := bufio.NewScanner(out); lines.Scan(); {
		word, _, _ := strings.Cut(lines.Text(), " ")
		words = append(words, word)
		if word == "try:" {
			// The second signal must not cut the stop short.
			c.Assert(demo.Process.Signal(syscall.SIGTERM), qt.IsNil)
			c.Assert(demo.Process.Signal(syscall.SIGTERM), qt.IsNil)
		}
	}
	c.Assert(len(words) > 4, qt.IsTrue, qt.Commentf("%v", words))
	c.Check(words[:4], qt.DeepEquals, []string{"entry", "entry", "entry", "ready"})
	c.Check(demo.Wait(), qt.IsNil)
}
