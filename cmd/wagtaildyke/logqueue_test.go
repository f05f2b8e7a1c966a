package main

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// blocked is a log reader that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	once    sync.Once
	entered chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.Buffer.Write(p)
}

// TestASlowReaderBlocksNobody fills the queue: routine lines are dropped first,
// refusals keep their room, and what was dropped is counted.
func TestASlowReaderBlocksNobody(t *testing.T) {
	c := qt.New(t)
	out := &blocked{release: make(chan struct{}), entered: make(chan struct{})}
	q := newLogQueue(out)
	log := newQueuedLogger(q, settings.Log{Format: "json", Level: "info"})
	log.Info("first")
	<-out.entered
	for range 3 * queuedLines {
		log.Info("an attempt ended", "outcome", "answered")
	}
	for range queuedLines / 4 {
		log.Info("refused a request", "request", "r", "outcome", "refused")
	}
	close(out.release)
	q.Close()
	text := out.String()
	c.Assert(strings.Count(text, "an attempt ended"), qt.Equals, routineLines)
	c.Assert(strings.Count(text, "refused a request"), qt.Equals, queuedLines/4)
	c.Assert(strings.Contains(text, `"msg":"dropped log lines","part":"root","routine":10240,"others":0`), qt.IsTrue, qt.Commentf("%s", text[len(text)-300:]))
}

func TestLinesKeepTheirOrder(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	q := newLogQueue(&out)
	log := newQueuedLogger(q, settings.Log{Format: "json", Level: "info"}).WithName("part").WithValues("n", 1)
	log.Info("one")
	log.Info("two")
	q.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0], qt.Contains, `"msg":"one","n":1,"part":"part"`)
	c.Assert(lines[1], qt.Contains, `"msg":"two"`)
}
