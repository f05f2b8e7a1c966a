// Command wagtaildyke runs and operates the serving system.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "cmd"

func main() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) }

// run returns the exit code from the table of error kinds. Answers, and the log
// of serve, go to stdout; everything else goes to stderr.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal changes nothing: the stop takes the time it needs.
	err := app(stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	e := typed(err)
	fmt.Fprintf(stderr, "wagtaildyke: %s: %s (ran: %s)\n", e.Kind, e.Error(), e.Ran)
	return e.Kind.Attributes().ExitCode
}

// typed maps the library's own errors, such as an unknown help topic, to wrong use.
func typed(err error) *fault.Error {
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return wrongUse("%s", err)
	}
	return fault.From(err)
}

func app(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:        "wagtaildyke",
		Usage:       "serve callers from a fixed fleet of engines and plain services",
		Description: "Example: wagtaildyke demo",
		Commands: []*cli.Command{
			serveCommand(), formatCommand(), standinCommand(), demoCommand(),
			settingsCommand(), tableCommand(), fleetCommand(), drainCommand(),
			addressesCommand(), treeCommand(), reportCommand(),
			orderCommand(), confirmDeadCommand(), fencingCommand(),
		},
		Writer:         stdout,
		ErrWriter:      stderr,
		HideVersion:    true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	checkUse(root)
	return root
}
