package main

import (
	"context"
	"log/slog"
	"time"
)

// uptimeHandler adds to each log record the time since the start of the process, on the steady clock, by which the
// lines of a process can be ordered also where the time of day was stepped.
type uptimeHandler struct {
	slog.Handler
	started time.Time
}

// uptimeField is the name of the added field, in seconds. The command explain reads it.
const uptimeField = "up"

// Handle adds the field and passes the record on.
func (uptimeHandler uptimeHandler) Handle(ctx context.Context, record slog.Record) error {
	record.AddAttrs(slog.Float64(uptimeField, time.Since(uptimeHandler.started).Round(time.Millisecond).Seconds()))
	return uptimeHandler.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler whose records also have the given attributes.
func (uptimeHandler uptimeHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	uptimeHandler.Handler = uptimeHandler.Handler.WithAttrs(attrs)
	return uptimeHandler
}

// WithGroup returns a handler whose attributes are in a group.
func (uptimeHandler uptimeHandler) WithGroup(name string) slog.Handler {
	uptimeHandler.Handler = uptimeHandler.Handler.WithGroup(name)
	return uptimeHandler
}
