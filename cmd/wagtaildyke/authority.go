package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

func confirmDeadCommand() *cli.Command {
	return &cli.Command{
		Name:  "confirm-dead",
		Usage: "state that a VM's process has ended for good",
		Description: "Example: wagtaildyke confirm-dead --vm vm-3 --incarnation 1764835200000000000 \\\n" +
			"   --statement \"powered off at the host, checked on the console\"\n\n" +
			"It asserts that this process and all earlier ones of the VM have ended, and that\n" +
			"nothing that they sent is still under way. Another process may then give orders\n" +
			"in their place, and their open work ends with an unknown outcome. A false\n" +
			"statement can give a backend server conflicting orders. `wagtaildyke fleet`\n" +
			"prints incarnations.",
		Flags: append(operatorFlags(),
			&cli.StringFlag{Name: "vm", Required: true, Usage: "`name` of the VM"},
			&cli.Uint64Flag{Name: "incarnation", Required: true, Usage: "newest `incarnation` that has ended"},
			&cli.StringFlag{Name: "server", Usage: "only for the orders of this backend `server`"},
			&cli.StringFlag{Name: "statement", Required: true, Usage: "`text` that says what was checked"},
			authorFlag(),
		),
		Action: confirmDead,
	}
}

func confirmDead(ctx context.Context, c *cli.Command) error {
	req := operator.DeathConfirmation{
		VM:          c.String("vm"),
		Incarnation: c.Uint64("incarnation"),
		Server:      c.String("server"),
		Statement:   c.String("statement"),
		By:          author(c),
	}
	if err := send(ctx, c, http.MethodPost, "/v1/confirmations", req); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout(c), "%s: incarnation %d and earlier ones are confirmed dead\n", req.VM, req.Incarnation)
	return err
}

// The words of the fencing command.
const (
	wordChecks  = "checks"
	wordIgnores = "ignores"
)

func fencingCommand() *cli.Command {
	return &cli.Command{
		Name:      "fencing",
		Usage:     "say whether a backend server refuses orders with an old fencing number",
		ArgsUsage: "SERVER checks|ignores",
		Description: "Example: wagtaildyke fencing engine-7 checks\n\n" +
			"A backend server that nothing was said about is taken to ignore the number.\n" +
			"Say \"checks\" only when it is certain.",
		Flags:  append(operatorFlags(), authorFlag()),
		Action: setFencing,
	}
}

func setFencing(ctx context.Context, c *cli.Command) error {
	word := c.Args().Get(1)
	if c.Args().Len() != 2 || (word != wordChecks && word != wordIgnores) {
		return wrongUse("%s takes a backend server and %s or %s", c.FullName(), wordChecks, wordIgnores)
	}
	req := operator.FencingRequest{Server: c.Args().First(), Checks: word == wordChecks, By: author(c)}
	if err := send(ctx, c, http.MethodPut, "/v1/fencing", req); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout(c), "%s: %s fencing numbers\n", req.Server, word)
	return err
}

// send sends a change as JSON.
func send(ctx context.Context, c *cli.Command, method, path string, v any) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	// A struct of plain fields always encodes.
	body, _ := json.Marshal(v)
	_, err = cl.do(ctx, call{method: method, path: path, body: body})
	return err
}
