package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/wagtaildyke/wagtaildyke/demo"
	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root"
	"github.com/wagtaildyke/wagtaildyke/root/storage"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

const settingsFlag = "settings"

// settingsVariable names the environment variable that may hold the settings file.
const settingsVariable = "WAGTAILDYKE_SETTINGS"

func settingsFileFlag() cli.Flag {
	return &cli.StringFlag{
		Name: settingsFlag, Required: true, Usage: "settings `file` of this VM, JSON with comments",
		Sources: cli.EnvVars(settingsVariable),
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run the daemon of one VM",
		Description: "Example: wagtaildyke serve --settings vm-1.jsonc\n\nSIGTERM stops it gracefully: no request is cut, and it exits with 0.",
		Flags:       []cli.Flag{settingsFileFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String(settingsFlag), stdout(c))
		},
	}
}

func formatCommand() *cli.Command {
	return &cli.Command{
		Name:  "format",
		Usage: "prepare an empty data folder for a new cluster",
		Description: "Example: wagtaildyke format --new-cluster --settings vm-1.jsonc\n\n" +
			"Run it once per replica when a cluster is first set up. Never run it on a VM\n" +
			"that lost its disk: start the daemon instead, and it joins under a new identity.",
		Flags: []cli.Flag{
			settingsFileFlag(),
			&cli.BoolFlag{Name: "new-cluster", Usage: "assert that this cluster has never run before"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String(settingsFlag))
			if err != nil {
				return err
			}
			if !c.Bool("new-cluster") {
				return fault.New(fault.Invalid, part, "format needs --new-cluster: it is only for a cluster that has never run")
			}
			if s.Replica == nil {
				return fault.New(fault.Invalid, part, "VM %q has no replica part", s.VM)
			}
			id := storage.Identity{Cluster: s.Cluster, Replica: root.InitialReplicaID(s.VM)}
			if err := storage.Format(s.Replica.DataFolder, id); err != nil {
				return err
			}
			fmt.Fprintf(stdout(c), "formatted %s for %s\n", s.Replica.DataFolder, id.Replica)
			return nil
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run entries, replicas and stand-in engines in one process on loopback",
		Description: "Example: wagtaildyke demo --listen 127.0.0.1:8080",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`address` of the first entry"},
			&cli.StringFlag{Name: "data", Usage: "data `folder`; a temporary one when not given"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.Run(ctx, demo.Options{
				Listen: c.String("listen"),
				Data:   c.String("data"),
				Out:    stdout(c),
				Log:    newLogger(stderr(c), settings.Log{Format: "text", Level: "info"}),
			})
		},
	}
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "check settings files",
		Description: "Example: wagtaildyke settings check vm-1.jsonc",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check a settings file and say what is wrong with it",
			Description: "Example: wagtaildyke settings check vm-1.jsonc",
			ArgsUsage:   "FILE",
			Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the settings with all defaults as JSON"}},
			Action: func(_ context.Context, c *cli.Command) error {
				file, err := oneArg(c, "settings file")
				if err != nil {
					return err
				}
				s, err := settings.Load(file)
				if err != nil {
					return err
				}
				if c.Bool("json") {
					return printJSON(stdout(c), s)
				}
				_, err = fmt.Fprintf(stdout(c), "%s: good settings for VM %s of %s\n", file, s.VM, s.Cluster)
				return err
			},
		}},
	}
}
