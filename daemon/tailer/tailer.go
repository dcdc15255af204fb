// Package tailer follows the platform's log and keeps a register in step with it.
package tailer

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/retrier"
)

// Tailer reads the log until it is closed.
type Tailer struct {
	Register *replayer.Register
	Skipped  atomic.Int64 // records that did not decode

	client  *logger.Client
	log     *slog.Logger
	changed func(since int64)

	mu        sync.Mutex
	confirmed time.Time // when the register last was at the log's end

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

const (
	readWait     = 10 * time.Second
	readTimeout  = 15 * time.Second
	firstRetry   = 100 * time.Millisecond
	longestRetry = 2 * time.Second
)

// Start follows the log; changed is called with the register's former offset after it moved.
func Start(client *logger.Client, register *replayer.Register, log *slog.Logger, changed func(since int64)) *Tailer {
	ctx, cancel := context.WithCancel(context.Background())
	tailer := &Tailer{Register: register, client: client, log: log, changed: changed, cancel: cancel}
	tailer.wait.Go(func() { tailer.run(ctx) })
	return tailer
}

// Close stops following and waits for the last read.
func (tailer *Tailer) Close() {
	tailer.cancel()
	tailer.wait.Wait()
}

// Confirmed returns when the register was last known to hold all that the log held.
func (tailer *Tailer) Confirmed() time.Time {
	tailer.mu.Lock()
	defer tailer.mu.Unlock()
	return tailer.confirmed
}

func (tailer *Tailer) run(ctx context.Context) {
	backoff := retrier.Backoff{First: firstRetry, Longest: longestRetry}
	for ctx.Err() == nil {
		if err := tailer.step(ctx); err != nil {
			tailer.log.Debug("log not read", "error", err)
			pause(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
	}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (tailer *Tailer) step(ctx context.Context) error {
	since := tailer.Register.AsOf()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wait := readWait
	if tailer.Confirmed().IsZero() {
		wait = 0
	}
	page, err := tailer.client.Read(ctx, since+1, wait)
	if err != nil {
		return err
	}
	if page.Oldest > since+1 {
		err = tailer.catchUp(ctx, page)
	} else {
		err = tailer.replay(page.Entries)
	}
	if tailer.Register.AsOf()+1 >= page.Next {
		tailer.mu.Lock()
		tailer.confirmed = time.Now()
		tailer.mu.Unlock()
	}
	if tailer.Register.AsOf() > since {
		tailer.changed(since)
	}
	return err
}

func (tailer *Tailer) replay(entries []logger.Entry) error {
	for _, entry := range entries {
		var record replayer.Record
		if err := json.Unmarshal(entry.Data, &record); err != nil {
			tailer.Skipped.Add(1)
			tailer.log.Warn("log record skipped", "offset", entry.Offset, "error", err)
			if err := tailer.Register.Skip(entry.Offset); err != nil {
				return err
			}
			continue
		}
		if _, err := tailer.Register.Apply(entry.Offset, record); err != nil {
			return err
		}
	}
	return nil
}

// catchUp looks through the kept records for a checkpoint that bridges the dropped ones.
func (tailer *Tailer) catchUp(ctx context.Context, page logger.Page) error {
	for len(page.Entries) > 0 {
		for _, entry := range page.Entries {
			var record replayer.Record
			if json.Unmarshal(entry.Data, &record) != nil || record.State == nil || record.AsOf+1 < page.Oldest {
				continue
			}
			_, err := tailer.Register.Apply(entry.Offset, record)
			return err
		}
		next, err := tailer.client.Read(ctx, page.Entries[len(page.Entries)-1].Offset+1, 0)
		if err != nil {
			return err
		}
		page = next
	}
	return logger.Error.New("no checkpoint bridges the records dropped before %d: waiting for a peer", page.Oldest)
}
