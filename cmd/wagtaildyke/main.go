// Command wagtaildyke runs and operates the serving system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

func main() { os.Exit(run(os.Args)) }

// run returns the exit code from the table of error kinds.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal changes nothing: the stop takes the time it needs.
	err := app().Run(ctx, args)
	if err == nil {
		return 0
	}
	e := fault.From(err)
	fmt.Fprintf(os.Stderr, "wagtaildyke: %s: %s (ran: %s)\n", e.Kind, e.Error(), e.Ran)
	return e.Kind.Answer().ExitCode
}

func app() *cli.Command {
	return &cli.Command{
		Name:  "wagtaildyke",
		Usage: "serve callers from a fixed fleet of engines and plain services",
		Commands: []*cli.Command{
			serveCommand(), formatCommand(), standinCommand(), demoCommand(),
			settingsCommand(), tableCommand(), fleetCommand(), drainCommand(),
			addressesCommand(), treeCommand(), orderCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError(err)
		},
	}
}

func usageError(err error) error {
	return fault.Wrap(err, fault.Invalid, part, "wrong use")
}

const part = "cmd"
