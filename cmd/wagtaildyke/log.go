package main

import (
	"log/slog"
	"os"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// newLogger returns a logger over slog. Each line starts with the path of its
// part in the supervisor tree.
func newLogger(s settings.Log) logr.Logger {
	opts := &slog.HandlerOptions{Level: slog.LevelInfo}
	if s.Level == "debug" {
		opts.Level = slog.LevelDebug
	}
	if s.Format == "json" {
		return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, opts))
	}
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, opts))
}
