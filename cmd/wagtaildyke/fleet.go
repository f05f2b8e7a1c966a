package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/traffic/frontdoor"
	"github.com/wagtaildyke/wagtaildyke/supervise"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:        "fleet",
		Usage:       "print VMs and backend servers as one daemon sees them",
		Description: "Example: wagtaildyke fleet --json",
		Flags:       append(operatorFlags(), jsonFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, "/v1/fleet", printFleet)
		},
	}
}

func printFleet(out io.Writer, f operator.Fleet) error {
	fmt.Fprintf(out, "seen by %s: term %d, table version %d, ready %t\n", f.VM, f.Term, f.TableVersion, f.Ready)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tSTATE\tFAILURE DOMAIN\tIN FLIGHT\tADDRESS\tINCARNATION")
	for _, vm := range f.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\n",
			vm.ID, vm.State, vm.FailureDomain, vm.InFlight, dash(vm.Address), vm.Incarnation)
	}
	fmt.Fprintln(w, "BACKEND SERVER\tSTATE\tFAILURE DOMAIN\tRUNNING\tADDRESS\tROLE\tFENCING\tOFFERS")
	for _, s := range f.Servers {
		fencing := wordIgnores
		if s.ChecksFencing {
			fencing = wordChecks
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%s\t%s\t%s\t%s\n",
			s.ID, s.State, s.FailureDomain, s.Running, s.Slots, s.Address, s.Role, fencing, strings.Join(s.Targets, " "))
	}
	return w.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "give a VM or backend server no new work, or undo that",
		ArgsUsage:   "ID",
		Description: "Example: wagtaildyke drain engine-7\nExample: wagtaildyke drain --undo engine-7",
		Flags:       append(operatorFlags(), &cli.BoolFlag{Name: "undo", Usage: "end the drain"}, authorFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := oneArg(c, "VM or backend server")
			if err != nil {
				return err
			}
			req := operator.DrainRequest{ID: id, Draining: !c.Bool("undo"), By: author(c)}
			if err := send(ctx, c, http.MethodPost, "/v1/drains", req); err != nil {
				return err
			}
			_, err = fmt.Fprintf(stdout(c), "%s: draining %t\n", req.ID, req.Draining)
			return err
		},
	}
}

func treeCommand() *cli.Command {
	return &cli.Command{
		Name:        "tree",
		Usage:       "print a daemon's supervisor tree",
		Description: "Example: wagtaildyke tree --operator http://127.0.0.1:9090",
		Flags:       append(operatorFlags(), jsonFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, "/v1/tree", func(out io.Writer, info supervise.Info) error {
				printTree(out, info, 0)
				return nil
			})
		},
	}
}

func printTree(out io.Writer, n supervise.Info, depth int) {
	name := n.Path
	if name == "" {
		name = "root"
	}
	fmt.Fprintf(out, "%s%s  %s", strings.Repeat("  ", depth), name, n.State)
	if n.Restarts > 0 {
		fmt.Fprintf(out, "  restarts %d", n.Restarts)
	}
	fmt.Fprintln(out)
	for _, c := range n.Children {
		printTree(out, c, depth+1)
	}
}

// addressAnswer is an entry's answer to "which address to use".
type addressAnswer struct {
	Addresses []struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
	} `json:"addresses"`
	LifetimeSeconds int `json:"lifetime_seconds"`
}

func addressesCommand() *cli.Command {
	return &cli.Command{
		Name:        "addresses",
		Usage:       "ask an entry which addresses a caller is to use",
		Description: "Example: wagtaildyke addresses --entry http://127.0.0.1:8080 --caller stall-3",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "base `URL` of an entry"},
			&cli.StringFlag{Name: "caller", Usage: "caller's `name`"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cl := &client{base: strings.TrimSuffix(c.String("entry"), "/")}
			header := map[string]string{}
			if caller := c.String("caller"); caller != "" {
				header[frontdoor.CallerHeader] = caller
			}
			r, err := cl.do(ctx, call{method: http.MethodGet, path: "/v1/addresses", header: header})
			if err != nil {
				return err
			}
			if c.Bool("json") {
				_, err = stdout(c).Write(r.body)
				return err
			}
			var a addressAnswer
			if err := json.Unmarshal(r.body, &a); err != nil {
				return fault.Wrap(err, fault.Internal, part, "the answer is not JSON")
			}
			for _, e := range a.Addresses {
				fmt.Fprintf(stdout(c), "%s\t%s\n", e.Address, e.FailureDomain)
			}
			fmt.Fprintf(stdout(c), "keep for %d seconds\n", a.LifetimeSeconds)
			return nil
		},
	}
}
