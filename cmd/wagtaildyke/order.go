package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
	"github.com/wagtaildyke/wagtaildyke/root/orders"
)

func orderCommand() *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "change a backend server's role, model, adapter or version once its streams have ended",
		ArgsUsage: "SERVER",
		Description: "Example: wagtaildyke order --role prefill engine-7\n" +
			"Example: wagtaildyke order --model assistant --version 3 engine-7\n\n" +
			"The server gets no new work meanwhile. When the answer is late, run the same\n" +
			"command again: it joins the order under way.",
		Flags: append(operatorFlags(),
			&cli.StringFlag{Name: "role", Usage: "mixed, prefill or decode"},
			&cli.StringFlag{Name: "model", Usage: "`model` to load"},
			&cli.StringFlag{Name: "adapter", Usage: "`adapter` of the model to load"},
			&cli.StringFlag{Name: "version", Usage: "`version` of the model to load"},
		),
		Action: sendOrder,
	}
}

func sendOrder(ctx context.Context, c *cli.Command) error {
	server, err := oneArg(c, "backend server")
	if err != nil {
		return err
	}
	req := operator.OrderRequest{
		Server: server, Role: c.String("role"), Model: c.String("model"),
		Adapter: c.String("adapter"), Version: c.String("version"),
	}
	if req.Action = actionOf(req); req.Action == "" {
		return wrongUse("%s needs --role or --model", c.FullName())
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	// A struct of plain fields always encodes.
	body, _ := json.Marshal(req)
	r, err := cl.do(ctx, call{method: http.MethodPost, path: "/v1/orders", body: body})
	if err != nil {
		return err
	}
	var settled operator.OrderResult
	if err := json.Unmarshal(r.body, &settled); err != nil {
		return fault.Wrap(err, fault.Internal, part, "the answer is not JSON")
	}
	_, err = fmt.Fprintf(stdout(c), "%s: order %d took effect (%s)\n", settled.Server, settled.Fence, settled.Observed)
	return err
}

func actionOf(req operator.OrderRequest) string {
	switch {
	case req.Role != "":
		return orders.ActionChangeRole
	case req.Adapter != "":
		return orders.ActionLoadAdapter
	case req.Version != "":
		return orders.ActionLoadVersion
	case req.Model != "":
		return orders.ActionLoadModel
	default:
		return ""
	}
}
