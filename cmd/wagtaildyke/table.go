package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:     "table",
		Usage:    "read and change the table of classes",
		Commands: []*cli.Command{tableGetCommand(), tablePutCommand()},
	}
}

func tableGetCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print the table in force as CSV; the version goes to standard error",
		Description: "Example: wagtaildyke table get > table.csv",
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			cl, err := newClient(c)
			if err != nil {
				return err
			}
			r, err := cl.do(ctx, call{method: http.MethodGet, path: "/v1/table"})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().ErrWriter, "version %s\n", r.header.Get(operator.VersionHeader))
			_, err = c.Root().Writer.Write(r.body)
			return err
		},
	}
}

func tablePutCommand() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     "replace the table by a CSV file and wait until it is in force everywhere",
		ArgsUsage: "FILE",
		Description: "Example: wagtaildyke table put --base 4 table.csv\n\n" +
			"--base is the version that the change was made from. After a lost answer, run\n" +
			"the same command again with the --change-id that was printed.",
		Flags: append(operatorFlags(),
			&cli.Uint64Flag{Name: "base", Required: true, Usage: "`version` that the change was made from; 0 for the first"},
			&cli.StringFlag{Name: "change-id", Usage: "`id` of the change; a resend carries the same one"},
			&cli.StringFlag{Name: "author", Usage: "`name` for the history; the user's name when not given"},
		),
		Action: putTable,
	}
}

func putTable(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fault.New(fault.Invalid, part, "table put takes one CSV file")
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, part, "table file")
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	id := c.String("change-id")
	if id == "" {
		id = newChangeID()
		fmt.Fprintf(c.Root().ErrWriter, "change id %s\n", id)
	}
	r, err := cl.do(ctx, call{
		method: http.MethodPut,
		path:   "/v1/table",
		header: map[string]string{
			operator.VersionHeader:  strconv.FormatUint(c.Uint64("base"), 10),
			operator.ChangeIDHeader: id,
			operator.AuthorHeader:   author(c.String("author")),
		},
		body: data,
	})
	if err != nil {
		return err
	}
	var changed operator.TableChanged
	if err := json.Unmarshal(r.body, &changed); err != nil {
		return fault.Wrap(err, fault.Internal, part, "the answer is not JSON")
	}
	fmt.Fprintf(c.Root().Writer, "version %d is in force everywhere\n", changed.Version)
	return nil
}

func newChangeID() string {
	var b [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func author(given string) string {
	if given != "" {
		return given
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
