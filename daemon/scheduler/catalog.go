package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/platform/translator"
)

const (
	tailWait     = 2 * time.Second        // of one long read
	tailSlack    = 700 * time.Millisecond // beyond it, after which the connection is taken for dead
	newestWithin = 2 * time.Second
	firstBackoff = 100 * time.Millisecond
	mostBackoff  = 400 * time.Millisecond
)

// follow keeps take up to date with a topic: first the newest record of each key, reset being true, then
// each change. Between two reads it pauses.
func (host *Host) follow(ctx context.Context, topic translator.Topic, pause time.Duration, take func(entries []translator.Entry, reset bool)) {
	backoff := firstBackoff
	var lostAt time.Time
	for ctx.Err() == nil {
		entries, next, err := host.newest(ctx, topic)
		if err == nil {
			if !lostAt.IsZero() {
				host.log.Info("store regained", "topic", topic, "after", time.Since(lostAt).String())
				lostAt = time.Time{}
			}
			take(entries, true)
			backoff = firstBackoff
			err = host.tail(ctx, topic, next, pause, take)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, translator.ErrDropped) {
			host.log.Info("history dropped, read anew", "topic", topic)
			continue
		}
		if lostAt.IsZero() {
			lostAt = time.Now()
			host.log.Warn("store lost", "topic", topic, "error", err)
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, mostBackoff)
	}
}

func (host *Host) newest(ctx context.Context, topic translator.Topic) ([]translator.Entry, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, newestWithin)
	defer cancel()
	entries, next, err := host.store.Newest(ctx, topic)
	if err == nil {
		host.storeAnswered()
	}
	return entries, next, err
}

// tail takes a topic's changes until a read fails; one failed read is repeated from where it was.
func (host *Host) tail(ctx context.Context, topic translator.Topic, next int64, pause time.Duration, take func([]translator.Entry, bool)) error {
	failed := false
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, tailWait+tailSlack)
		entries, after, err := host.store.Tail(limited, topic, next, tailWait)
		cancel()
		switch {
		case err == nil:
			failed = false
			host.storeAnswered()
			next = after
			take(entries, false)
			sleep(ctx, pause)
		case failed || errors.Is(err, translator.ErrDropped):
			return err
		default:
			failed = true
			sleep(ctx, firstBackoff)
		}
	}
	return ctx.Err()
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	if wait > 0 {
		pause(ctx, nil, wait)
	}
}

// followCatalog keeps the configuration up to date.
func (host *Host) followCatalog() {
	host.follow(host.ctx, translator.Operator, 0, func(entries []translator.Entry, _ bool) {
		for _, entry := range entries {
			if entry.Key == translator.OperatorKey && len(entry.Value) > 0 {
				host.learnCatalog(entry.Value, "store")
			}
		}
	})
}

// learnCatalog puts a configuration in force unless a newer one is already.
func (host *Host) learnCatalog(text []byte, source string) {
	catalog, err := translator.DecodeCatalog(text)
	if err != nil {
		host.log.Warn("configuration does not decode", "source", source, "error", err)
		return
	}
	host.mu.Lock()
	present := host.catalog.Load()
	if present != nil && present.Version >= catalog.Version {
		host.mu.Unlock()
		return
	}
	host.catalog.Store(catalog)
	host.raw.Store(&text)
	tenure := host.tenure
	host.mu.Unlock()
	host.log.Info("configuration in force", "version", catalog.Version, "source", source, "queues", len(catalog.Queues))
	if tenure != nil {
		tenure.setCatalog(catalog)
	}
}

func (host *Host) catalogVersion() int64 {
	if catalog := host.catalog.Load(); catalog != nil {
		return catalog.Version
	}
	return 0
}
