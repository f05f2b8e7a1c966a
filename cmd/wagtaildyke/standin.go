package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/settings"
	"github.com/wagtaildyke/wagtaildyke/standin"
)

// standinStopLimit bounds the graceful stop of a stand-in.
const standinStopLimit = time.Minute

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:        "standin",
		Usage:       "run a stand-in for one backend server",
		Description: "Example: wagtaildyke standin --id engine-1 --model assistant --entry http://127.0.0.1:8080",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true, Usage: "stable `name` of the server"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`address` to listen on"},
			&cli.StringFlag{Name: "failure-domain", Value: "a", Usage: "failure domain `name`"},
			&cli.StringSliceFlag{Name: "model", Usage: "`model` that it offers as an engine"},
			&cli.StringSliceFlag{Name: "service", Usage: "`service` that it offers as a plain service"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests that run at once"},
			&cli.DurationFlag{Name: "token-interval", Value: 5 * time.Millisecond, Usage: "time between two tokens"},
			&cli.IntFlag{Name: "prefill-rate", Value: 100_000, Usage: "tokens of prefill a second"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of an entry to announce to"},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, c *cli.Command) error {
	models, services := c.StringSlice("model"), c.StringSlice("service")
	if (len(models) == 0) == (len(services) == 0) {
		return fault.New(fault.Invalid, part, "give either --model or --service")
	}
	if c.Int("slots") < 1 || c.Int("prefill-rate") < 1 {
		return fault.New(fault.Invalid, part, "--slots and --prefill-rate must be more than 0")
	}
	ln, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, part, "listen").WithRan(fault.RanNo)
	}
	s := standin.New(standin.Options{
		ID:            c.String("id"),
		FailureDomain: c.String("failure-domain"),
		Models:        models,
		Services:      services,
		Slots:         c.Int("slots"),
		TokenInterval: c.Duration("token-interval"),
		PrefillRate:   c.Int("prefill-rate"),
		ChecksFencing: c.Bool("checks-fencing"),
		Entries:       c.StringSlice("entry"),
		Address:       "http://" + ln.Addr().String(),
		Log:           newLogger(stderr(c), settings.Log{Format: "text", Level: "info"}).WithName("standin"),
	})
	fmt.Fprintf(stdout(c), "standin %s\n", s.Address)
	return serveStandin(ctx, s, ln)
}

func serveStandin(ctx context.Context, s *standin.Server, ln net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	go s.Announce(announcing)
	select {
	case err := <-failed:
		return fault.Wrap(err, fault.Unavailable, part, "serve")
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinStopLimit)
	defer cancel()
	s.Leave(limit)
	stopAnnouncing()
	if err := server.Shutdown(limit); err != nil {
		return fault.Wrap(err, fault.StreamCut, part, "work was cut at the stop limit")
	}
	return nil
}
