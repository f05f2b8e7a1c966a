package main

import (
	"context"
	"io"
	"log/slog"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/settings"
)

// loggerKey is the field in which logr names the logger, and partKey the one
// that JSON lines carry instead.
const (
	loggerKey = "logger"
	partKey   = "part"
)

// rootPart names the root of the supervisor tree, whose path is empty.
const rootPart = "root"

// newLogger returns a logger over slog. The path of a part in the supervisor
// tree stands before the message in text and in the field "part" in JSON.
func newLogger(out io.Writer, s settings.Log) logr.Logger {
	return logr.FromSlogHandler(newHandler(out, s))
}

// newQueuedLogger returns a logger whose callers never wait for the log's reader.
func newQueuedLogger(q *logQueue, s settings.Log) logr.Logger {
	line := &lineBuffer{queue: q}
	return logr.FromSlogHandler(queued{newHandler(line, s), line})
}

func newHandler(out io.Writer, s settings.Log) slog.Handler {
	opts := &slog.HandlerOptions{Level: slog.LevelInfo}
	if s.Level == "debug" {
		opts.Level = slog.LevelDebug
	}
	if s.Format == "json" {
		return parts{next: slog.NewJSONHandler(out, opts), field: true}
	}
	return parts{next: slog.NewTextHandler(out, opts)}
}

// parts moves the logger's name to where the log shows parts.
type parts struct {
	next slog.Handler
	// field is set for a field of its own instead of a prefix.
	field bool
}

// Enabled reports whether the level is logged.
func (p parts) Enabled(ctx context.Context, l slog.Level) bool { return p.next.Enabled(ctx, l) }

// Handle writes one record.
func (p parts) Handle(ctx context.Context, r slog.Record) error {
	part := rootPart
	rest := make([]slog.Attr, 1, r.NumAttrs()+1)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == loggerKey {
			part = a.Value.String()
		} else {
			rest = append(rest, a)
		}
		return true
	})
	message := r.Message
	if p.field {
		rest[0] = slog.String(partKey, part)
	} else {
		message = part + ": " + r.Message
		rest = rest[1:]
	}
	out := slog.NewRecord(r.Time, r.Level, message, r.PC)
	out.AddAttrs(rest...)
	return p.next.Handle(ctx, out)
}

// WithAttrs returns a handler that adds fields.
func (p parts) WithAttrs(attrs []slog.Attr) slog.Handler {
	return parts{next: p.next.WithAttrs(attrs), field: p.field}
}

// WithGroup returns a handler that groups fields.
func (p parts) WithGroup(name string) slog.Handler {
	return parts{next: p.next.WithGroup(name), field: p.field}
}
