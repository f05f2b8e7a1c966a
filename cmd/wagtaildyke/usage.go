package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// checkUse makes every kind of wrong use of a command and those below it a
// fault.Invalid, without help on stdout.
func checkUse(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return wrongUse("%s: %s; see %s --help", c.FullName(), err, c.FullName())
	}
	switch {
	case len(c.Commands) > 0:
		c.Action = noCommand
	case c.ArgsUsage == "":
		c.Action = withoutArgs(c.Action)
	}
	for _, child := range c.Commands {
		checkUse(child)
	}
}

// noCommand answers a group of commands that was given no known one.
func noCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return wrongUse("%s has no command %q; see %s --help", c.FullName(), name, c.FullName())
	}
	return wrongUse("%s needs a command; see %s --help", c.FullName(), c.FullName())
}

func withoutArgs(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return wrongUse("%s takes no argument, got %q", c.FullName(), c.Args().First())
		}
		return action(ctx, c)
	}
}

// oneArg returns the only argument.
func oneArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", wrongUse("%s takes one %s", c.FullName(), what)
	}
	return c.Args().First(), nil
}

func wrongUse(format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, part, format, args...)
}

func stdout(c *cli.Command) io.Writer { return c.Root().Writer }

func stderr(c *cli.Command) io.Writer { return c.Root().ErrWriter }
