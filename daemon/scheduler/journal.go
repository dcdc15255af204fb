package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// journal appends a tenure's batches to the store, in order and each exactly once. Several appends may be in
// flight. An append whose answer is late is hedged: further attempts are sent while the first is still pending,
// alternately directly and through a peer. This is safe because the store accepts each sequence number once.
type journal struct {
	tenure *tenure
	route  *route

	mu            sync.Mutex
	nextSequence  int64 // sequence number of the next append
	inFlight      int
	lastBatchAt   time.Time     // when the last batch was passed to save
	storedThrough int64         // highest stored sequence number
	advanced      chan struct{} // closed and replaced when storedThrough increases

	overtakenAt  atomic.Int64 // uptime in nanoseconds when the store last rejected an append since a later one had overtaken its predecessor
	slow         atomic.Bool
	answerTime   average      // average time until an answer, in nanoseconds
	lossRate     lossRate     // appends of which a direct attempt got no answer
	failingSince atomic.Int64 // uptime in nanoseconds since which appends fail, 0 while they succeed
}

const (
	journalWriter = "decider"
	termKey       = "term" // key of the first record of a tenure
	// hedgeGrowthDivisor sets the growth of hedge delays: each is the previous one plus that divided by hedgeGrowthDivisor.
	hedgeGrowthDivisor = 2
	// maxHedgeGrowth bounds the hedge delays of an append, as a multiple of the first one.
	maxHedgeGrowth       = 3
	maxConcurrentAppends = 4
	// batchInterval is the minimum time between two batches, so that a batch holds several changes.
	batchInterval = 25 * time.Millisecond
	// callerBatchInterval is the same while calls wait for a batch.
	callerBatchInterval = 8 * time.Millisecond
	appendTimeout       = 2 * time.Second
	// minHedgeDelay and maxHedgeDelay bound the time without an answer after which another attempt is made.
	minHedgeDelay = 20 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// hedgeDelayFactor is the ratio of the first hedge delay to the average answer time.
	hedgeDelayFactor = 3
	// appendAverageDivisor is the inverse of the weight of the latest append in the averages.
	appendAverageDivisor = 8
	// maxAttemptsInFlight bounds the attempts at one append that are in flight at the same time.
	maxAttemptsInFlight = 16
	// appendLossThreshold is the number of lost appends per million above which the loss rate is high.
	appendLossThreshold = 200_000
	// routeCount is the number of routes between which the attempts at an append alternate: directly to the store and
	// through a peer. A late answer counts as a failure of the journal only after that many attempts, when both routes
	// were tried.
	routeCount = 2
	// serialTime is how long batches are stored one at a time after appends overtook each other: each rejected one would have
	// to be sent again once the one before it is stored.
	serialTime = 1500 * time.Millisecond
	// slowAppendTime is the average answer time above which the journal is slow. Each step of urgent work waits for
	// two appends.
	slowAppendTime = 60 * time.Millisecond
	appendBackoff  = 60 * time.Millisecond
	// predecessorTimeout bounds the wait for the preceding append to be stored.
	predecessorTimeout = 200 * time.Millisecond
	maxAppendBytes     = 1 << 20
)

func newJournal(tenure *tenure) *journal {
	journal := &journal{
		tenure: tenure, answerTime: average{divisor: appendAverageDivisor}, lossRate: lossRate{average: average{divisor: appendAverageDivisor}, threshold: appendLossThreshold},
		route: &route{host: tenure.host}, storedThrough: -1, advanced: make(chan struct{}),
	}
	journal.overtakenAt.Store(-int64(serialTime))
	return journal
}

// outage returns for how long appends have failed, 0 while they succeed.
func (journal *journal) outage() time.Duration {
	since := journal.failingSince.Load()
	if since == 0 {
		return 0
	}
	return journal.tenure.host.uptime() - time.Duration(since)
}

// open takes over the journal for the tenure's term, which fences every earlier writer. It stores a record
// because a term may start at any sequence number: until one is stored, the store could accept a later append
// in place of an earlier one.
func (journal *journal) open() error {
	err := journal.append(0, []translator.Entry{termEntry(journal.tenure.term)})
	if err == nil {
		journal.nextSequence = 1
	}
	return err
}

// acceptsBatch reports whether one more batch may be saved now. If not, it returns the time to wait, or 0 if a batch
// in flight has to be stored first.
func (journal *journal) acceptsBatch(callersWait bool) (bool, time.Duration) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	limit, interval := maxConcurrentAppends, batchInterval
	switch {
	case journal.lossRate.isHigh() || journal.overtaking():
		limit, interval = 1, 0 // store one batch at a time
	case callersWait:
		interval = callerBatchInterval
	}
	if journal.inFlight >= limit || journal.outage() >= journalOutageTolerance {
		return false, 0
	}
	remaining := interval - time.Since(journal.lastBatchAt)
	return remaining <= 0, max(remaining, 0)
}

// overtaking reports whether appends have overtaken each other within serialTime.
func (journal *journal) overtaking() bool {
	return journal.tenure.host.uptime()-time.Duration(journal.overtakenAt.Load()) < serialTime
}

// save starts to store a batch, with retries until the tenure ends. The start orders of the batch are sent once it is
// stored.
func (journal *journal) save(batch planner.Batch) {
	entries := make([]translator.Entry, len(batch.Records))
	for index, record := range batch.Records {
		entries[index] = translator.Entry{Key: record.Key, Value: record.Value}
	}
	var parts [][]translator.Entry
	for len(entries) > 0 {
		count := countFitting(entries)
		parts = append(parts, entries[:count])
		entries = entries[count:]
	}
	journal.mu.Lock()
	first := journal.nextSequence
	journal.nextSequence += int64(len(parts))
	journal.inFlight++
	journal.lastBatchAt = time.Now()
	journal.mu.Unlock()
	journal.tenure.wait.Go(func() { journal.saveParts(batch, first, parts) })
}

func (journal *journal) saveParts(batch planner.Batch, first int64, parts [][]translator.Entry) {
	tenure := journal.tenure
	startedAt := time.Now()
	var rejected []string
	for index, part := range parts {
		keys, stored := journal.savePart(first+int64(index), part)
		if !stored {
			return
		}
		rejected = append(rejected, keys...)
	}
	tenure.dropRejected(rejected)
	journal.mu.Lock()
	journal.inFlight--
	journal.mu.Unlock()
	took := time.Since(startedAt)
	tenure.meter.appendTime.Add(int64(took))
	tenure.host.metrics.appends.Observe(took.Seconds())
	tenure.completeBatch(batch, startedAt)
	tenure.requestPlan()
}

// countFitting returns how many of the entries fit into one append.
func countFitting(entries []translator.Entry) int {
	size := 0
	for index, entry := range entries {
		size += len(entry.Key) + len(entry.Value)
		if size > maxAppendBytes && index > 0 {
			return index
		}
	}
	return len(entries)
}

// sizeOf returns the size of entries in bytes.
func sizeOf(entries []translator.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Key) + len(entry.Value)
	}
	return size
}

// savePart repeats one append until it is stored, and returns false if the tenure has ended. Records that the store never takes are left
// out, so that they keep no others from being stored; it returns their keys.
func (journal *journal) savePart(sequence int64, entries []translator.Entry) (rejected []string, stored bool) {
	tenure := journal.tenure
	rejections := 0
	for {
		err := journal.append(sequence, entries)
		switch {
		case err == nil:
			return rejected, true
		case tenure.ctx.Err() != nil:
			return nil, false
		case errors.Is(err, translator.ErrFenced):
			tenure.resign(err)
			return nil, false
		case errors.Is(err, translator.ErrRejected):
			rejections++
			if index := journal.rejectedIndex(entries, rejections); index >= 0 {
				tenure.host.log.Error("the store does not take a record, leaving it out", "key", entries[index].Key, "bytes", len(entries[index].Value), "error", err)
				rejected = append(rejected, entries[index].Key)
				entries = withoutEntry(entries, index, tenure.term)
				rejections = 0
			}
		}
		if journal.failingSince.CompareAndSwap(0, int64(journal.tenure.host.uptime())) {
			tenure.host.log.Warn("journal lost", "sequence", sequence, "records", len(entries), "error", err)
		}
		tenure.host.log.Debug("journal does not take a batch", "sequence", sequence, "records", len(entries), "quiet", journal.outage().String(), "error", err)
		sleep(tenure.ctx, appendBackoff)
		journal.awaitPredecessor(sequence)
	}
}

// awaitPredecessor waits until the preceding append is stored, at most for predecessorTimeout.
func (journal *journal) awaitPredecessor(sequence int64) {
	ctx, cancel := context.WithTimeout(journal.tenure.ctx, predecessorTimeout)
	defer cancel()
	for ctx.Err() == nil {
		inOrder, advanced := journal.inOrder(sequence)
		if inOrder {
			return
		}
		pause(ctx, advanced, predecessorTimeout)
	}
}

// advance records that an append is stored.
func (journal *journal) advance(sequence int64) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if sequence > journal.storedThrough {
		journal.storedThrough = sequence
		close(journal.advanced)
		journal.advanced = make(chan struct{})
	}
}

// hedgeDelay returns the time without an answer after which a further attempt at an append is made. While this process is
// late itself, that is longer: an answer that was not read yet is not late, and further attempts would only add to the load.
func (journal *journal) hedgeDelay() time.Duration {
	usual := hedgeDelayFactor * time.Duration(journal.answerTime.value.Load())
	return min(max(usual, minHedgeDelay), maxHedgeDelay) + journal.tenure.lagAllowance()
}

// recordLoss records whether a direct attempt at an append got no answer.
func (journal *journal) recordLoss(lost bool) {
	if journal.lossRate.record(lost, journal.tenure.host.uptime()) {
		journal.tenure.host.log.Warn("losses of the store's answers", "many", journal.lossRate.isHigh(), "perMillion", journal.lossRate.value.Load())
	}
}

// recordAnswerTime records how long an answer took, and logs when the journal becomes slow or fast again.
func (journal *journal) recordAnswerTime(took time.Duration) {
	journal.answerTime.add(int64(took))
	average := journal.answerTime.value.Load()
	switch {
	case average > int64(slowAppendTime) && journal.slow.CompareAndSwap(false, true):
		journal.tenure.host.log.Warn("journal slow", "usual", time.Duration(average).String(), "latest", took.String())
	case average < int64(slowAppendTime)/2 && journal.slow.CompareAndSwap(true, false):
		journal.tenure.host.log.Info("journal fast again", "usual", time.Duration(average).String())
	}
}

// append sends one append and waits for its result. While the answer is late and the preceding append is stored,
// further attempts are made.
func (journal *journal) append(sequence int64, entries []translator.Entry) error {
	ctx, cancel := context.WithTimeout(journal.tenure.ctx, appendTimeout)
	attempts := &attempts{
		journal: journal, ctx: ctx, sequence: sequence, entries: entries, begunAt: journal.tenure.host.uptime(),
		results: make(chan attemptResult, maxAttemptsInFlight),
	}
	err := journal.attemptUntilStored(attempts)
	if err != nil {
		cancel()
		return err
	}
	if attempts.directInFlight == 0 {
		cancel()
		journal.recordLoss(attempts.directLost > 0)
		return nil
	}
	journal.tenure.wait.Go(func() {
		defer cancel()
		if lost := attempts.answerLost(); journal.tenure.ctx.Err() == nil {
			journal.recordLoss(lost)
		}
	})
	return nil
}

// attemptUntilStored makes attempts at an append until one succeeds, or until the append has ended or timed out.
func (journal *journal) attemptUntilStored(attempts *attempts) error {
	attempts.start()
	if journal.lossRate.isHigh() {
		attempts.start()
	}
	delay := journal.hedgeDelay()
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	inOrder, advanced := journal.inOrder(attempts.sequence)
	for {
		select {
		case result := <-attempts.results:
			if attempts.handleResult(result, inOrder) {
				return result.err
			}
		case <-advanced:
			wasInOrder := inOrder
			inOrder, advanced = journal.inOrder(attempts.sequence)
			if inOrder && !wasInOrder && attempts.rejectedEarly {
				attempts.start()
				hedgeTimer.Reset(delay)
			}
		case <-hedgeTimer.C:
			if inOrder {
				if attempts.started >= routeCount {
					journal.failingSince.CompareAndSwap(0, int64(journal.tenure.host.uptime()))
				}
				attempts.start()
				delay = min(delay+delay/hedgeGrowthDivisor, maxHedgeGrowth*journal.hedgeDelay(), maxHedgeDelay+journal.tenure.lagAllowance())
			}
			hedgeTimer.Reset(delay)
		case <-attempts.ctx.Done():
			return fmt.Errorf("append with sequence number %d: %w", attempts.sequence, attempts.ctx.Err())
		}
	}
}

// inOrder reports whether the preceding append is stored, and returns a channel that is closed when a later append
// is stored.
func (journal *journal) inOrder(sequence int64) (bool, <-chan struct{}) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	return journal.storedThrough >= sequence-1, journal.advanced
}

// attemptAppend makes one attempt at an append, through a peer if relayed is set, or else directly. Its success shows that there was no
// later decider when the append began, and no more: the store may repeat the answer to an earlier attempt.
func (journal *journal) attemptAppend(attempts *attempts, peer Member, relayed bool) error {
	tenure, ctx, sequence, entries := journal.tenure, attempts.ctx, attempts.sequence, attempts.entries
	sentAt := tenure.host.uptime()
	tenure.meter.appendAttempts.Add(1)
	tenure.meter.appendedBytes.Add(int64(sizeOf(entries)))
	var err error
	if relayed {
		err = journal.appendThroughPeer(ctx, peer, sequence, entries)
	} else {
		err = tenure.host.store.Append(ctx, translator.Journal, translator.Writer{Name: journalWriter, Term: tenure.term, Sequence: sequence}, entries)
	}
	if !errors.Is(err, translator.ErrOutcomeUnknown) {
		journal.recordAnswerTime(tenure.host.uptime() - sentAt)
	}
	var outOfTurn *translator.SequenceError
	if errors.As(err, &outOfTurn) {
		if outOfTurn.Expected > sequence {
			err = nil // an earlier attempt succeeded
		} else {
			journal.overtakenAt.Store(int64(tenure.host.uptime()))
			tenure.meter.outOfTurn.Add(1)
		}
	}
	if err != nil {
		return err
	}
	if !relayed {
		tenure.host.recordStoreAnswer()
		journal.route.recordDirect()
	}
	tenure.confirmTerm(attempts.begunAt)
	journal.failingSince.Store(0)
	journal.advance(sequence)
	return nil
}
