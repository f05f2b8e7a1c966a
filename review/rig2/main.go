//go:build review

// Program rig2 runs the scripted cases of this review: rig2 CASE RECORD. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 a case
// leaves its disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds a case: a script may run for 120 seconds.
const limit = 115 * time.Second

var cases = map[string]func(*Record, bool) (broken bool, err error){
	"channels": leakedChannels,
	"readers":  slowReaders,
	"parts":    manyParts,
	"uploads":  slowUploads,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// The processes that were started end with this one (Pdeathsig).
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		rec.Say("could not run: ended before its result")
		removeFolders()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	var cannot errCannotRun
	switch {
	case errors.As(err, &cannot):
		rec.Say("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		rec.Say("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		rec.Say("result: the rule was broken")
		os.Exit(1)
	}
	rec.Say("result: the rule held")
}
