// Package tailer follows the platform's log and applies its records to a register.
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

// Tailer reads the log in a goroutine until it is closed.
type Tailer struct {
	Register *replayer.Register
	Skipped  atomic.Int64 // number of records that could not be decoded

	client   *logger.Client
	log      *slog.Logger
	onChange func(since int64)

	mu           sync.Mutex
	lastCaughtUp time.Time // last time that the register had reached the end of the log

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

const (
	longPollWait      = 10 * time.Second
	readTimeout       = 15 * time.Second // longer than longPollWait
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Start begins to follow the log. Each time the register has advanced, onChange is called with the register's
// previous offset.
func Start(client *logger.Client, register *replayer.Register, log *slog.Logger, onChange func(since int64)) *Tailer {
	ctx, cancel := context.WithCancel(context.Background())
	tailer := &Tailer{Register: register, client: client, log: log, onChange: onChange, cancel: cancel}
	tailer.wait.Go(func() { tailer.run(ctx) })
	return tailer
}

// Close stops following the log and waits until the current read has ended.
func (tailer *Tailer) Close() {
	tailer.cancel()
	tailer.wait.Wait()
}

// LastCaughtUp returns the last time at which the register was known to include every record in the log.
// It is zero before the first such time.
func (tailer *Tailer) LastCaughtUp() time.Time {
	tailer.mu.Lock()
	defer tailer.mu.Unlock()
	return tailer.lastCaughtUp
}

func (tailer *Tailer) run(ctx context.Context) {
	backoff := retrier.Backoff{Initial: initialRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		if err := tailer.poll(ctx); err != nil {
			tailer.log.Debug("read of the log failed", "error", err)
			retrier.Sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
	}
}

func (tailer *Tailer) poll(ctx context.Context) error {
	since := tailer.Register.AsOf()
	// The first reads return at once, so that an empty log is confirmed without delay.
	wait := longPollWait
	if tailer.LastCaughtUp().IsZero() {
		wait = 0
	}
	page, err := tailer.read(ctx, since+1, wait)
	if err != nil {
		return err
	}
	if page.Oldest > since+1 {
		err = tailer.applyCheckpoint(ctx, page)
	} else {
		err = tailer.replay(page.Entries)
	}
	if tailer.Register.AsOf()+1 >= page.Next {
		tailer.mu.Lock()
		tailer.lastCaughtUp = time.Now()
		tailer.mu.Unlock()
	}
	if tailer.Register.AsOf() > since {
		tailer.onChange(since)
	}
	return err
}

// read reads one page of the log. Each read has a time limit of its own: a search for a checkpoint takes many of them.
func (tailer *Tailer) read(ctx context.Context, from int64, wait time.Duration) (logger.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return tailer.client.Read(ctx, from, wait)
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

// applyCheckpoint searches the log, from the given page on, for a checkpoint that covers the records that the log
// service dropped, and applies it to the register.
func (tailer *Tailer) applyCheckpoint(ctx context.Context, page logger.Page) error {
	for len(page.Entries) > 0 {
		for _, entry := range page.Entries {
			var record replayer.Record
			if json.Unmarshal(entry.Data, &record) != nil || !record.IsCheckpoint() || record.AsOf+1 < page.Oldest {
				continue
			}
			_, err := tailer.Register.Apply(entry.Offset, record)
			return err
		}
		next, err := tailer.read(ctx, page.Entries[len(page.Entries)-1].Offset+1, 0)
		if err != nil {
			return err
		}
		page = next
	}
	return logger.Error.New("no checkpoint covers the records dropped before offset %d: waiting for the state from a peer", page.Oldest)
}
