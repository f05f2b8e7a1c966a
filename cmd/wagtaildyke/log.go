package main

import (
	"context"
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// Keys of the fields that logr adds and of the one that JSON lines carry.
const (
	loggerKey = "logger"
	partKey   = "part"
)

// newLogger returns a logger over slog. The path of a part in the supervisor
// tree stands before the message in text and in the field "part" in JSON.
func newLogger(out io.Writer, s settings.Log) logr.Logger {
	opts := &slog.HandlerOptions{Level: slog.LevelInfo}
	if s.Level == "debug" {
		opts.Level = slog.LevelDebug
	}
	if s.Format == "json" {
		opts.ReplaceAttr = renameLogger
		return logr.FromSlogHandler(slog.NewJSONHandler(out, opts))
	}
	return logr.FromSlogHandler(prefixer{slog.NewTextHandler(out, opts)})
}

func renameLogger(_ []string, a slog.Attr) slog.Attr {
	if a.Key == loggerKey {
		a.Key = partKey
	}
	return a
}

// prefixer puts the logger's name before the message.
type prefixer struct{ next slog.Handler }

// Enabled reports whether the level is logged.
func (p prefixer) Enabled(ctx context.Context, l slog.Level) bool { return p.next.Enabled(ctx, l) }

// Handle writes one record.
func (p prefixer) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == loggerKey {
			out.Message = a.Value.String() + ": " + r.Message
		} else {
			out.AddAttrs(a)
		}
		return true
	})
	return p.next.Handle(ctx, out)
}

// WithAttrs returns a handler that adds fields.
func (p prefixer) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixer{p.next.WithAttrs(attrs)}
}

// WithGroup returns a handler that groups fields.
func (p prefixer) WithGroup(name string) slog.Handler { return prefixer{p.next.WithGroup(name)} }
