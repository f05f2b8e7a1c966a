package main

import (
	"errors"
	"os/exec"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptCommands are the commands of the scripts beside the library's own.
var scriptCommands = map[string]func(*testscript.TestScript, bool, []string){
	// exits CODE ARG... runs wagtaildyke and wants this exit code and no stdout.
	"exits": func(ts *testscript.TestScript, _ bool, args []string) { exits(ts, args[0], args[1:]) },
	// wrong ARG... wants the exit code of wrong use.
	"wrong": func(ts *testscript.TestScript, _ bool, args []string) { exits(ts, "2", args) },
}

func exits(ts *testscript.TestScript, want string, args []string) {
	err := ts.Exec("wagtaildyke", args...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != want {
		ts.Fatalf("ended with %v, want exit code %s", err, want)
	}
	if out := ts.ReadFile("stdout"); out != "" {
		ts.Fatalf("stdout of a failure: %q", out)
	}
}
