package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/platform/translator"
)

const (
	// tailWait is how long the store waits for new records before it answers a long poll.
	tailWait = 2 * time.Second
	// deciderTailWait replaces tailWait on the decider for the topic of the fleet, since each read confirms its term: the
	// time from the sending of one read to the answer of the next one has to be less than renewalWindow.
	deciderTailWait = time.Second
	// tailTimeoutSlack is how long an answer may take to begin beyond tailWait before the connection is considered dead.
	tailTimeoutSlack = 700 * time.Millisecond
	storeTimeout     = 2 * time.Second // until any other store call is answered
	// readStallTimeout is how long no part of an answer that has begun may arrive. A large configuration takes seconds over
	// a slow link, which other traffic shares.
	readStallTimeout = time.Second
	maxReadTime      = 30 * time.Second // of one read with all its parts
	minStoreBackoff  = 100 * time.Millisecond
	maxStoreBackoff  = 400 * time.Millisecond
)

// topicChange is what a read of a topic returned.
type topicChange struct {
	entries []translator.Entry
	end     int64         // offset after the last record that the read covers
	reset   bool          // whether entries are the newest records of all keys, rather than those since the last read
	sentAt  time.Duration // uptime when the read was sent: all earlier records are included
}

// followTopic reads a topic until ctx is done. It calls apply with the newest record of each key, then with each change,
// and waits for interval between two reads.
func (host *Host) followTopic(ctx context.Context, topic translator.Topic, interval time.Duration, apply func(topicChange)) {
	backoff := minStoreBackoff
	var lostAt time.Time
	for ctx.Err() == nil {
		sentAt := host.uptime()
		entries, next, err := host.readNewest(ctx, topic)
		if err == nil {
			if !lostAt.IsZero() {
				host.log.Info("store regained", "topic", topic, "after", time.Since(lostAt).String())
				lostAt = time.Time{}
			}
			apply(topicChange{entries: entries, end: next, reset: true, sentAt: sentAt})
			backoff = minStoreBackoff
			err = host.tailTopic(ctx, topic, next, interval, apply)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, translator.ErrDropped) {
			host.log.Info("store dropped the history of the topic, reading it again", "topic", topic)
			continue
		}
		if lostAt.IsZero() {
			lostAt = time.Now()
			host.log.Warn("store lost", "topic", topic, "error", err)
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

func (host *Host) readNewest(ctx context.Context, topic translator.Topic) ([]translator.Entry, int64, error) {
	limits := translator.ReadLimits{First: storeTimeout, Stall: readStallTimeout, Total: maxReadTime}
	entries, next, err := host.store.ReadNewest(ctx, topic, limits)
	if err == nil {
		host.recordStoreAnswer()
	}
	return entries, next, err
}

// tailTopic calls apply with the changes of a topic, starting at offset next. It returns when two reads in a row fail
// or when the store has dropped the records at the offset.
func (host *Host) tailTopic(ctx context.Context, topic translator.Topic, next int64, interval time.Duration, apply func(topicChange)) error {
	failed := false
	for ctx.Err() == nil {
		sentAt, wait := host.uptime(), tailWait
		if host.currentTenure() != nil && topic == translator.Fleet {
			wait = deciderTailWait
		}
		limits := translator.ReadLimits{First: wait + tailTimeoutSlack, Stall: readStallTimeout, Total: maxReadTime}
		entries, after, err := host.store.Tail(ctx, topic, next, wait, limits)
		switch {
		case err == nil:
			failed = false
			host.recordStoreAnswer()
			next = after
			apply(topicChange{entries: entries, end: after, sentAt: sentAt})
			sleep(ctx, interval)
		case failed || errors.Is(err, translator.ErrDropped):
			return err
		default:
			failed = true
			sleep(ctx, minStoreBackoff)
		}
	}
	return ctx.Err()
}

// sleep waits until the given time has passed or ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	if wait > 0 {
		pause(ctx, nil, wait)
	}
}

// followCatalog keeps the configuration and the drained zones up to date with the store.
func (host *Host) followCatalog() {
	host.followTopic(host.ctx, translator.Operator, 0, func(change topicChange) {
		host.followDrains(change) // first, since a decider begins to plan once it has a configuration
		for _, entry := range change.entries {
			if entry.Key == translator.OperatorKey && len(entry.Value) > 0 {
				host.applyCatalog(entry.Value, "store")
			}
		}
	})
}

// applyCatalog puts a configuration in force unless the same or a newer version is in force.
func (host *Host) applyCatalog(text []byte, source string) {
	catalog, err := translator.DecodeCatalog(text)
	if err != nil {
		host.logUndecodable("cannot decode configuration from "+source, translator.Operator, translator.OperatorKey, err)
		return
	}
	host.undecodable.decoded(translator.Operator, translator.OperatorKey)
	host.mu.Lock()
	current := host.catalog.Load()
	if current != nil && current.Version >= catalog.Version {
		host.mu.Unlock()
		return
	}
	host.catalog.Store(catalog)
	host.catalogText.Store(&text)
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
