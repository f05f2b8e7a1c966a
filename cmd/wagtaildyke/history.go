package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

func tableHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "print the accepted changes of the table, oldest first",
		Description: "Example: wagtaildyke table history\nExample: wagtaildyke table history --version 4 > table-4.csv",
		Flags: append(operatorFlags(), jsonFlag(),
			&cli.Uint64Flag{Name: "version", Usage: "print the table of this `version` as CSV"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, "/v1/table/history", func(out io.Writer, all []operator.TableRecord) error {
				if c.IsSet("version") {
					return printVersion(out, all, c.Uint64("version"))
				}
				return printHistory(out, all)
			})
		},
	}
}

func printHistory(out io.Writer, all []operator.TableRecord) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tAT\tAUTHOR\tCHANGE ID")
	for _, r := range all {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", r.Version, r.At.Format(time.RFC3339), dash(r.Author), r.ChangeID)
	}
	return w.Flush()
}

func printVersion(out io.Writer, all []operator.TableRecord, version uint64) error {
	for _, r := range all {
		if r.Version == version {
			_, err := io.WriteString(out, r.Table)
			return err
		}
	}
	return fault.New(fault.NotFound, part, "version %d is not in the history", version)
}
