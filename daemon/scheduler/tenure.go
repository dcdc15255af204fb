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

// tenure is one time of deciding: a planner, the journal that it writes, and the workers that it holds.
type tenure struct {
	host    *Host
	term    int64
	former  Election      // the one before, zero where it is not known
	beganAt time.Duration // uptime of the host
	journal *journal
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	kicked  chan struct{}
	again   *time.Timer // for a batch that came too soon after another
	policy  *questions
	support *support
	quick   chan struct{} // looks that do not wait and are on their way
	losses  losses        // of workers' answers
	strain  strain

	mu        sync.Mutex
	planner   *planner.Planner // nil until the journal was read
	infos     map[string]planner.WorkerInfo
	holds     map[string]*holder
	waiters   []waiter
	explained time.Time     // when waiting steps were last explained
	stored    chan struct{} // closed and made anew with each stored batch
	opened    chan struct{} // closed once the planner is there

	storedAt atomic.Int64 // when the store last showed that no later host decides
}

// waiter is a caller that waits for a batch to be stored.
type waiter struct {
	batch int64
	done  chan struct{}
}

const (
	longLease    = 7 * time.Second // outlasts most cuts of a zone, whose work then goes on
	planEvery    = 50 * time.Millisecond
	workersPause = 250 * time.Millisecond // between two reads of the list of workers
)

func newTenure(host *Host, term int64, former Election) *tenure {
	ctx, cancel := context.WithCancel(host.ctx)
	tenure := &tenure{
		host: host, term: term, former: former, beganAt: host.uptime(), ctx: ctx, cancel: cancel,
		kicked: make(chan struct{}, 1), quick: make(chan struct{}, quickAtOnce),
		strain: newStrain(),
		losses: losses{average: average{weight: lossWeight}, many: lossyOrders},
		stored: make(chan struct{}), opened: make(chan struct{}),
		infos: map[string]planner.WorkerInfo{}, holds: map[string]*holder{},
	}
	tenure.journal = newJournal(tenure)
	tenure.policy = newQuestions(tenure)
	tenure.support = newSupport()
	tenure.storedAt.Store(int64(tenure.host.uptime()))
	tenure.wait.Go(tenure.run)
	return tenure
}

// close ends the tenure and waits for its parts.
func (tenure *tenure) close() {
	tenure.cancel()
	tenure.wait.Wait()
}

// resign ends the tenure because a later decider has the journal.
func (tenure *tenure) resign(reason error) {
	tenure.host.log.Warn("resigned", "term", tenure.term, "error", reason)
	tenure.host.mu.Lock()
	if tenure.host.tenure == tenure {
		tenure.host.tenure = nil
	}
	tenure.host.mu.Unlock()
	tenure.cancel()
}

func (tenure *tenure) kick() {
	select {
	case tenure.kicked <- struct{}{}:
	default:
	}
}

// storeQuiet returns for how long the journal has refused what it was given.
func (tenure *tenure) storeQuiet() time.Duration { return tenure.journal.quiet() }

// run takes the journal over, reads it, and plans until the tenure ends.
func (tenure *tenure) run() {
	for catalog := tenure.host.catalog.Load(); ; catalog = tenure.host.catalog.Load() {
		if catalog != nil {
			break
		}
		if sleep(tenure.ctx, planEvery); tenure.ctx.Err() != nil {
			return
		}
	}
	began := time.Now()
	if err := tenure.takeOver(); err != nil {
		if tenure.ctx.Err() == nil {
			tenure.resign(err)
		}
		return
	}
	tenure.host.log.Info("deciding", "term", tenure.term, "after", time.Since(began))
	tenure.wait.Go(tenure.followWorkers)
	tenure.wait.Go(tenure.askFormer)
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	tenure.again = time.NewTimer(planEvery)
	defer tenure.again.Stop()
	for {
		select {
		case due := <-tick.C:
			tenure.strain.note(time.Since(due))
		case <-tenure.kicked:
		case <-tenure.again.C:
		case <-tenure.ctx.Done():
			return
		}
		tenure.turn()
	}
}

// takeOver fences earlier writers and rebuilds the planner from the journal.
func (tenure *tenure) takeOver() error {
	for {
		err := tenure.journal.open()
		if err == nil {
			break
		}
		if errors.Is(err, translator.ErrFenced) || tenure.ctx.Err() != nil {
			return fmt.Errorf("take the journal: %w", err)
		}
		sleep(tenure.ctx, appendBackoff)
	}
	var entries []translator.Entry
	for {
		var err error
		if entries, _, err = tenure.host.newest(tenure.ctx, translator.Journal); err == nil {
			break
		}
		tenure.host.log.Warn("journal cannot be read", "error", err)
		if sleep(tenure.ctx, appendBackoff); tenure.ctx.Err() != nil {
			return fmt.Errorf("read the journal: %w", err)
		}
	}
	records := make([]planner.Record, len(entries))
	for index, entry := range entries {
		records[index] = planner.Record{Key: entry.Key, Value: entry.Value}
	}
	settings := tenure.host.settings
	made := planner.New(planner.Settings{
		Lease: min(longLease, settings.LongestLease), LongestLease: settings.LongestLease, Authority: loneAuthority,
		StatusFor: settings.StatusFor, StopTime: settings.StopTime, Spread: settings.Spread,
	}, tenure.term, tenure.host.catalog.Load(), time.Now())
	if unread := made.Restore(records, time.Now()); len(unread) > 0 {
		tenure.host.log.Error("journal records do not decode", "keys", unread)
	}
	tenure.mu.Lock()
	tenure.planner = made
	tenure.mu.Unlock()
	close(tenure.opened)
	return nil
}

// turn plans once, unless a batch is being stored; effects that need no record go out at once.
func (tenure *tenure) turn() {
	now := time.Now()
	slots := tenure.policy.slots()
	supported := tenure.supportedSince()
	tenure.mu.Lock()
	if !supported.IsZero() {
		tenure.planner.Unopposed(supported.Add(storeAuthority))
	}
	if free, wait := tenure.journal.free(len(tenure.waiters) > 0); !free {
		effects := tenure.planner.TakeEffects()
		tenure.mu.Unlock()
		tenure.carryOut(effects)
		if wait > 0 {
			tenure.again.Reset(wait)
		}
		return
	}
	tenure.planner.SetSlots(slots)
	tenure.planner.Plan(now)
	waiting := tenure.explain(now)
	batch, err := tenure.planner.Take()
	if err != nil {
		tenure.mu.Unlock()
		tenure.host.log.Error("batch does not encode", "error", err)
		return
	}
	tenure.mu.Unlock()
	tenure.logWaiting(waiting, now)
	tenure.logNotes(batch.Notes)
	tenure.carryOut(batch.Effects)
	if len(batch.Records) == 0 {
		return
	}
	tenure.journal.save(batch)
}

// finish takes note that a batch is stored.
func (tenure *tenure) finish(batch planner.Batch) {
	tenure.mu.Lock()
	tenure.planner.Stored(batch)
	close(tenure.stored)
	tenure.stored = make(chan struct{})
	left := tenure.waiters[:0]
	for _, waiter := range tenure.waiters {
		if waiter.batch <= batch.Number {
			close(waiter.done)
		} else {
			left = append(left, waiter)
		}
	}
	tenure.waiters = left
	tenure.mu.Unlock()
	for _, start := range batch.Starts {
		tenure.start(start)
	}
}

// followWorkers keeps the table of workers up to date with the platform's list.
func (tenure *tenure) followWorkers() {
	tenure.host.follow(tenure.ctx, translator.Workers, workersPause, func(entries []translator.Entry, reset bool) {
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		if reset {
			clear(tenure.infos)
		}
		for _, entry := range entries {
			if entry.Key == "" {
				continue
			}
			info, err := translator.DecodeWorker(entry.Key, entry.Value)
			if err != nil {
				if len(entry.Value) > 0 {
					tenure.host.log.Warn("worker entry does not decode", "worker", entry.Key, "error", err)
				}
				delete(tenure.infos, entry.Key)
				continue
			}
			tenure.infos[entry.Key] = info
		}
		infos := make([]planner.WorkerInfo, 0, len(tenure.infos))
		for _, info := range tenure.infos {
			infos = append(infos, info)
		}
		tenure.planner.SetWorkers(infos, time.Now())
		tenure.keepHolders()
		tenure.kick()
	})
}

const (
	explainEvery = time.Second
	explainAfter = 500 * time.Millisecond // of waiting for room
	mostExplains = 4                      // lines at a time
)

// explain returns why steps wait, from time to time.
func (tenure *tenure) explain(now time.Time) []planner.Waiting {
	if now.Sub(tenure.explained) < explainEvery {
		return nil
	}
	tenure.explained = now
	return tenure.planner.Explain(now, explainAfter, mostExplains)
}

func (tenure *tenure) logWaiting(all []planner.Waiting, now time.Time) {
	for _, waiting := range all {
		tenure.host.log.Info("waiting", "step", waiting.Step.String(), "queue", waiting.Queue, "tasks", waiting.Tasks,
			"for", now.Sub(waiting.Since).String(), "workers", waiting.Workers, "capped", waiting.Capped, "asked", waiting.Asked)
	}
}

// logNotes writes a line for each job that ended, and for each run that ended otherwise than done.
func (tenure *tenure) logNotes(notes []planner.Note) {
	for _, note := range notes {
		if note.Ending == "" {
			tenure.host.metrics.jobs.WithLabelValues(string(note.State)).Observe(note.Took.Seconds())
			tenure.host.log.Info("job ended", "job", note.Job, "queue", note.Queue, "team", note.Team, "state", note.State, "took", note.Took.String())
			continue
		}
		tenure.host.metrics.endings.WithLabelValues(string(note.Ending)).Inc()
		tenure.host.log.Info("run ended", "task", note.Task.String(), "run", note.Number, "worker", note.Worker, "ending", note.Ending, "took", note.Took.String())
	}
}

// setCatalog passes a configuration on to the planner.
func (tenure *tenure) setCatalog(catalog *planner.Catalog) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.planner != nil {
		tenure.planner.SetCatalog(catalog)
	}
	tenure.kick()
}
