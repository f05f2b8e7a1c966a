package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:        "table",
		Usage:       "read and change the table of classes",
		Description: "Example: wagtaildyke table get > table.csv",
		Commands:    []*cli.Command{tableGetCommand(), tablePutCommand(), tableHistoryCommand()},
	}
}

func tableGetCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print the table in force as CSV; the version goes to standard error",
		Description: "Example: wagtaildyke table get > table.csv",
		Flags:       append(operatorFlags(), jsonFlag()),
		Action:      getTable,
	}
}

func getTable(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	r, err := cl.do(ctx, call{method: http.MethodGet, path: "/v1/table"})
	if err != nil {
		return err
	}
	version := r.header.Get(operator.VersionHeader)
	if c.Bool("json") {
		return printTableJSON(stdout(c), version, r.body)
	}
	fmt.Fprintf(stderr(c), "version %s\n", version)
	_, err = stdout(c).Write(r.body)
	return err
}

// tableJSON is the table as JSON. The fields of a class are the columns.
type tableJSON struct {
	Version json.Number `json:"version"`
	Classes []classJSON `json:"classes"`
}

type classJSON struct {
	Class         string   `json:"class"`
	Weight        int      `json:"weight"`
	Place         int      `json:"place"`
	Concurrency   int      `json:"concurrency"`
	RatePerSecond float64  `json:"rate_per_second"`
	Queue         int      `json:"queue"`
	Tokens        int      `json:"tokens"`
	DeadlineMS    int64    `json:"deadline_ms"`
	Targets       []string `json:"targets"`
	Idempotent    bool     `json:"idempotent"`
}

func printTableJSON(out io.Writer, version string, csv []byte) error {
	doc := tableJSON{Version: json.Number(version), Classes: []classJSON{}}
	// Version 0 is the empty table, which only a header stands for.
	if version != "0" {
		classes, err := table.ParseCSV(bytes.NewReader(csv))
		if err != nil {
			return err
		}
		for _, k := range classes {
			doc.Classes = append(doc.Classes, classJSON{
				k.Name, k.Weight, k.Priority, k.Concurrency, k.RatePerSecond, k.Queue,
				k.Tokens, k.Deadline.Milliseconds(), k.Targets, k.Idempotent,
			})
		}
	}
	return printJSON(out, doc)
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
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
			authorFlag(),
		),
		Action: putTable,
	}
}

func putTable(ctx context.Context, c *cli.Command) error {
	file, err := oneArg(c, "CSV file")
	if err != nil {
		return err
	}
	data, err := os.ReadFile(file)
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
		fmt.Fprintf(stderr(c), "change id %s\n", id)
	}
	r, err := cl.do(ctx, call{
		method: http.MethodPut,
		path:   "/v1/table",
		header: map[string]string{
			operator.VersionHeader:  strconv.FormatUint(c.Uint64("base"), 10),
			operator.ChangeIDHeader: id,
			operator.AuthorHeader:   author(c),
		},
		body: data,
	})
	if err != nil {
		return err
	}
	var changed operator.TableChangeResult
	if err := json.Unmarshal(r.body, &changed); err != nil {
		return fault.Wrap(err, fault.Internal, part, "the answer is not JSON")
	}
	fmt.Fprintf(stdout(c), "version %d is in force everywhere\n", changed.Version)
	return nil
}

func newChangeID() string {
	var b [8]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "`name` for the records; the user's name when not given"}
}

func author(c *cli.Command) string {
	if given := c.String("author"); given != "" {
		return given
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
