package scheduler

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// journal writes a tenure's batches to the store, in order and each once. Some appends are under way at a
// time, and one whose answer is late is repeated beside the first, in turns directly and through a peer: the
// store takes a sequence number once.
type journal struct {
	tenure *tenure
	route  *route

	mu       sync.Mutex
	sequence int64 // of the next append
	underWay int
	lastAt   time.Time     // when the last batch was given
	through  int64         // highest sequence number that is stored
	moved    chan struct{} // closed and made anew when it rises

	slow    atomic.Bool
	usual   average      // what an answer takes, in nanoseconds
	losses  losses       // of first attempts
	failing atomic.Int64 // since when appends fail, on the steady clock, 0 while they do not
}

const (
	journalWriter  = "decider"
	termKey        = "term" // of the record that a tenure begins with
	hedgeGrowth    = 2      // each wait for the next repeat is longer by the last one over this
	hedgeSpread    = 3      // times the first such wait, at most
	appendsAtOnce  = 4
	appendGap      = 25 * time.Millisecond // between two batches, so that changes gather
	callersGap     = 8 * time.Millisecond  // the same while callers wait for one
	appendWithin   = 2 * time.Second
	leastHedge     = 20 * time.Millisecond // after which an append is repeated beside the first
	mostHedge      = 150 * time.Millisecond
	hedgeFactor    = 3                     // times what an answer usually takes, before an append is repeated
	usualWeight    = 8                     // one over the weight of the latest answer in what is usual
	mostUnderWay   = 16                    // attempts at one append
	lossyAt        = 200_000               // lost of a million first attempts from which on many are
	bothWays       = 2                     // attempts after which one went directly and one through a peer
	slowAnswer     = 60 * time.Millisecond // of the usual answer, which delays each step of urgent work twice
	appendBackoff  = 60 * time.Millisecond
	turnWithin     = 200 * time.Millisecond // for the earlier append to be stored
	mostBatchBytes = 1 << 20
)

func newJournal(tenure *tenure) *journal {
	return &journal{
		tenure: tenure, usual: average{weight: usualWeight}, losses: losses{average: average{weight: usualWeight}, many: lossyAt},
		route: &route{host: tenure.host}, through: -1, moved: make(chan struct{}),
	}
}

// quiet returns for how long the store has failed what it was given.
func (journal *journal) quiet() time.Duration {
	since := journal.failing.Load()
	if since == 0 {
		return 0
	}
	return journal.tenure.host.uptime() - time.Duration(since)
}

// open takes the journal for the tenure's term, which fences every earlier writer. It stores a record of
// its own: a term may start at any sequence number, so that until one is stored a later append could be
// taken in place of an earlier one.
func (journal *journal) open() error {
	mark := translator.Entry{Key: termKey, Value: strconv.AppendInt(nil, journal.tenure.term, 10)}
	err := journal.append(0, []translator.Entry{mark})
	if err == nil {
		journal.sequence = 1
	}
	return err
}

// free reports whether one more batch may be given now, and if not, after what time it may; 0 stands for the
// end of a batch that is under way.
func (journal *journal) free(callersWait bool) (bool, time.Duration) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	atOnce, gap := appendsAtOnce, appendGap
	switch {
	case journal.losses.lossy():
		atOnce, gap = 1, 0 // each batch waits for the one before it
	case callersWait:
		gap = callersGap
	}
	if journal.underWay >= atOnce || journal.quiet() >= storePatience {
		return false, 0
	}
	left := gap - time.Since(journal.lastAt)
	return left <= 0, max(left, 0)
}

// save stores a batch, however long that takes, and then lets its starts go.
func (journal *journal) save(batch planner.Batch) {
	entries := make([]translator.Entry, len(batch.Records))
	for index, record := range batch.Records {
		entries[index] = translator.Entry{Key: record.Key, Value: record.Value}
	}
	var parts [][]translator.Entry
	for len(entries) > 0 {
		count := fitting(entries)
		parts = append(parts, entries[:count])
		entries = entries[count:]
	}
	journal.mu.Lock()
	first := journal.sequence
	journal.sequence += int64(len(parts))
	journal.underWay++
	journal.lastAt = time.Now()
	journal.mu.Unlock()
	journal.tenure.wait.Go(func() { journal.saveParts(batch, first, parts) })
}

func (journal *journal) saveParts(batch planner.Batch, first int64, parts [][]translator.Entry) {
	tenure := journal.tenure
	began := time.Now()
	for index, part := range parts {
		if !journal.savePart(first+int64(index), part) {
			return
		}
	}
	journal.mu.Lock()
	journal.underWay--
	journal.mu.Unlock()
	tenure.host.metrics.appends.Observe(time.Since(began).Seconds())
	tenure.finish(batch)
	tenure.kick()
}

// fitting returns how many entries one append takes.
func fitting(entries []translator.Entry) int {
	size := 0
	for index, entry := range entries {
		size += len(entry.Key) + len(entry.Value)
		if size > mostBatchBytes && index > 0 {
			return index
		}
	}
	return len(entries)
}

// savePart repeats one append until it is stored, and reports false where the tenure has ended.
func (journal *journal) savePart(sequence int64, entries []translator.Entry) bool {
	tenure := journal.tenure
	for {
		err := journal.append(sequence, entries)
		switch {
		case err == nil:
			return true
		case tenure.ctx.Err() != nil:
			return false
		case errors.Is(err, translator.ErrFenced):
			tenure.resign(err)
			return false
		}
		if journal.failing.CompareAndSwap(0, int64(journal.tenure.host.uptime())) {
			tenure.host.log.Warn("journal lost", "sequence", sequence, "records", len(entries), "error", err)
		}
		tenure.host.log.Debug("journal does not take a batch", "sequence", sequence, "records", len(entries), "quiet", journal.quiet().String(), "error", err)
		sleep(tenure.ctx, appendBackoff)
		journal.awaitTurn(sequence)
	}
}

// awaitTurn waits until the append before one is stored, or some time has passed.
func (journal *journal) awaitTurn(sequence int64) {
	ctx, cancel := context.WithTimeout(journal.tenure.ctx, turnWithin)
	defer cancel()
	for ctx.Err() == nil {
		inTurn, moved := journal.turn(sequence)
		if inTurn {
			return
		}
		pause(ctx, moved, turnWithin)
	}
}

// rise takes note that an append is stored.
func (journal *journal) rise(sequence int64) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if sequence > journal.through {
		journal.through = sequence
		close(journal.moved)
		journal.moved = make(chan struct{})
	}
}

// patience returns after what time without an answer an append is repeated.
func (journal *journal) patience() time.Duration {
	return min(max(hedgeFactor*time.Duration(journal.usual.value.Load()), leastHedge), mostHedge)
}

// noteLoss takes note of whether an append needed more than the attempts made at once.
func (journal *journal) noteLoss(lost bool) {
	if journal.losses.note(lost, journal.tenure.host.uptime()) {
		journal.tenure.host.log.Warn("losses of the store's answers", "many", journal.losses.lossy(), "perMillion", journal.losses.value.Load())
	}
}

// learn takes note of how long an answer took.
func (journal *journal) learn(took time.Duration) {
	journal.usual.add(int64(took))
	usual := journal.usual.value.Load()
	switch {
	case usual > int64(slowAnswer) && journal.slow.CompareAndSwap(false, true):
		journal.tenure.host.log.Warn("journal slow", "usual", time.Duration(usual).String(), "latest", took.String())
	case usual < int64(slowAnswer)/2 && journal.slow.CompareAndSwap(true, false):
		journal.tenure.host.log.Info("journal fast again", "usual", time.Duration(usual).String())
	}
}

// append makes one attempt, repeated beside itself while its answer is late and its turn has come.
func (journal *journal) append(sequence int64, entries []translator.Entry) error {
	ctx, cancel := context.WithTimeout(journal.tenure.ctx, appendWithin)
	defer cancel()
	attempts := &attempts{journal: journal, ctx: ctx, sequence: sequence, entries: entries, answers: make(chan attempted, mostUnderWay)}
	attempts.start()
	if journal.losses.lossy() {
		attempts.start()
	}
	attempts.first = attempts.made
	delay := journal.patience()
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	inTurn, moved := journal.turn(sequence)
	for {
		select {
		case answer := <-attempts.answers:
			if attempts.take(answer, inTurn) {
				return answer.err
			}
		case <-moved:
			former := inTurn
			inTurn, moved = journal.turn(sequence)
			if inTurn && !former && attempts.early {
				attempts.start()
				hedge.Reset(delay)
			}
		case <-hedge.C:
			if inTurn {
				if attempts.made >= bothWays {
					journal.failing.CompareAndSwap(0, int64(journal.tenure.host.uptime()))
				}
				attempts.start()
				delay = min(delay+delay/hedgeGrowth, hedgeSpread*journal.patience(), mostHedge)
			}
			hedge.Reset(delay)
		case <-ctx.Done():
			return fmt.Errorf("append %d: %w", sequence, ctx.Err())
		}
	}
}

// turn reports whether the append before one is stored, and returns a channel that is closed when more are.
func (journal *journal) turn(sequence int64) (bool, <-chan struct{}) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	return journal.through >= sequence-1, journal.moved
}

// appendOnce makes one attempt, directly or through a peer.
func (journal *journal) appendOnce(ctx context.Context, number int, sequence int64, entries []translator.Entry) error {
	tenure := journal.tenure
	sent := tenure.host.uptime()
	peer, relayed := journal.route.peer(number)
	var err error
	if relayed {
		err = journal.appendThrough(ctx, peer, sequence, entries)
	} else {
		err = tenure.host.store.Append(ctx, translator.Journal, translator.Writer{Name: journalWriter, Term: tenure.term, Sequence: sequence}, entries)
	}
	if !errors.Is(err, translator.ErrUnknown) {
		journal.learn(tenure.host.uptime() - sent)
	}
	var outOfTurn *translator.SequenceError
	if errors.As(err, &outOfTurn) && outOfTurn.Expected > sequence {
		err = nil // an earlier attempt was stored
	}
	if err != nil {
		return err
	}
	if !relayed {
		tenure.host.storeAnswered()
		journal.route.direct()
	}
	tenure.confirm(sent)
	journal.failing.Store(0)
	journal.rise(sequence)
	return nil
}
