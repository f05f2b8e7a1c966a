package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator/burn"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// Bounds and defaults of the report.
const (
	// maxAsked bounds the daemons asked at once.
	maxAsked         = 32
	defaultAsk       = 5 * time.Second
	defaultObjective = 0.99
	defaultOperator  = "http://127.0.0.1:9090"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "report on service-level burn per class, merged over daemons",
		Description: "Example: wagtaildyke report --operator http://10.0.0.1:9090 --operator http://10.0.0.2:9090\n" +
			"Example: wagtaildyke report --settings vm-1.jsonc --html > report.html\n\n" +
			"Each daemon counts the requests that it took itself. The report adds up those\n" +
			"that answer and names those that don't.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "operator", Sources: cli.EnvVars("WAGTAILDYKE_OPERATOR"),
				Usage: "base `URL` of a daemon's operator listener; repeat it for each daemon (default: " + defaultOperator + ")",
			},
			&cli.StringFlag{Name: settingsFlag, Usage: "take the operator addresses from the members in this settings `file`"},
			tokenFlag(),
			&cli.FloatFlag{Name: "objective", Value: defaultObjective, Usage: "`share` of requests to be answered whole within the deadline"},
			&cli.DurationFlag{Name: "timeout", Value: defaultAsk, Usage: "`time` to wait for one daemon"},
			jsonFlag(),
			&cli.BoolFlag{Name: "html", Usage: "print one page of HTML with plots"},
		},
		Action: report,
	}
}

func report(ctx context.Context, c *cli.Command) error {
	objective := c.Float("objective")
	if objective <= 0 || objective >= 1 {
		return wrongUse("--objective must be between 0 and 1, such as 0.99")
	}
	if c.Bool("json") && c.Bool("html") {
		return wrongUse("give either --json or --html")
	}
	asked, err := operators(c)
	if err != nil {
		return err
	}
	token, err := readToken(c)
	if err != nil {
		return err
	}
	snaps, silent := gather(ctx, asked, token, c.Duration("timeout"))
	if len(snaps) == 0 {
		return fault.New(fault.Unavailable, part, "none of %d daemons answered; the first: %s: %s",
			len(asked), silent[0].Operator, silent[0].Reason).WithRan(fault.RanNo)
	}
	r := burn.Merge(time.Now().UTC(), objective, snaps, silent)
	switch {
	case c.Bool("json"):
		return printJSON(stdout(c), r)
	case c.Bool("html"):
		return writeHTML(stdout(c), r)
	default:
		return writeText(stdout(c), r)
	}
}

// operators returns the base URLs to ask.
func operators(c *cli.Command) ([]string, error) {
	asked := c.StringSlice("operator")
	if file := c.String(settingsFlag); file != "" {
		s, err := settings.Load(file)
		if err != nil {
			return nil, err
		}
		for _, m := range s.Members {
			if m.Operator != "" {
				asked = append(asked, "http://"+m.Operator)
			}
		}
		if len(asked) == 0 {
			return nil, wrongUse("%s: no member has an operator address", file)
		}
	}
	if len(asked) == 0 {
		asked = []string{defaultOperator}
	}
	return asked, nil
}

// gather asks all daemons. One that gives no answer in time is silent.
func gather(ctx context.Context, asked []string, token string, timeout time.Duration) ([]burn.Snapshot, []burn.FetchError) {
	var (
		mu    sync.Mutex
		snaps = map[string]burn.Snapshot{}
		quiet = make([]*burn.FetchError, len(asked))
		group errgroup.Group
	)
	group.SetLimit(maxAsked)
	for i, base := range asked {
		group.Go(func() error {
			s, err := ask(ctx, &client{base: base, token: token}, timeout)
			if err != nil {
				quiet[i] = &burn.FetchError{Operator: base, Reason: err.Error()}
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			// A daemon that was named twice counts once.
			snaps[s.VM] = s
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	return answered(snaps), silentOnes(quiet)
}

func ask(ctx context.Context, cl *client, timeout time.Duration) (burn.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var s burn.Snapshot
	r, err := cl.do(ctx, call{method: http.MethodGet, path: "/v1/report"})
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(r.body, &s); err != nil || s.VM == "" {
		return s, fault.New(fault.Unavailable, part, "the answer is not a report")
	}
	return s, nil
}

func answered(snaps map[string]burn.Snapshot) []burn.Snapshot {
	out := make([]burn.Snapshot, 0, len(snaps))
	for _, s := range snaps {
		out = append(out, s)
	}
	return out
}

func silentOnes(quiet []*burn.FetchError) []burn.FetchError {
	var out []burn.FetchError
	for _, s := range quiet {
		if s != nil {
			out = append(out, *s)
		}
	}
	return out
}
