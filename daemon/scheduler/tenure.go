package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/throttler"
	"ebonyshunt.org/platform/translator"
)

// tenure is one period in which this host is the decider. It owns the planner, the journal that the planner's
// batches are stored in, and a poller for each worker.
type tenure struct {
	host           *Host
	term           int64
	former         *formerDeciders
	beganAt        time.Duration // uptime of the host when the tenure began
	fencedAt       time.Time     // when the journal refused the earlier terms, set before the planner is restored
	journal        *journal
	ctx            context.Context
	cancel         context.CancelFunc
	wait           sync.WaitGroup
	planRequested  chan struct{}
	batchTimer     *time.Timer // plans again once the minimum interval between two batches is over
	policyQueries  *balancer
	delegator      *delegator
	quorum         *quorum
	submissions    *submissions
	immediatePolls chan struct{} // limits the polls without a wait that are in flight
	confirming     chan struct{} // holds an element while a refusal reads from the store whether this host still decides
	answerLossRate lossRate      // answers of workers that were lost
	tickLag        *lag          // of timers
	answerLag      *lag          // of answers to heartbeats, on the way to a host in the middle of the quorum
	speed          speed
	meter          loadMeter
	passes         passPacer        // used by the goroutine of run only
	startsInFlight atomic.Int64     // starts that were planned and have no outcome yet
	startWindow    throttler.Window // limits startsInFlight, guarded by mu

	mu          sync.Mutex
	planner     *planner.Planner // nil until it is restored from the journal
	workerInfos map[string]planner.WorkerInfo
	pollers     map[string]*poller
	handsOver   bool // whether this host gives no leases any more, since a peer is asked to decide
	waiters     []waiter
	refusalLog  refusalLog
	explainedAt time.Time     // when it was last logged why steps wait
	stored      chan struct{} // closed and replaced when a batch is stored
	ready       chan struct{} // closed once the planner is restored

	formerHostCount atomic.Int64 // planner.FormerHostCount, once it is restored
	confirmedAt     atomic.Int64 // uptime in nanoseconds of the last store call that showed no later decider
}

// waiter is a call that waits until a batch is stored.
type waiter struct {
	batch int64
	done  chan struct{}
}

const (
	// preferredLease outlasts most network partitions of a zone, so that its runs continue.
	preferredLease = 7 * time.Second
	planInterval   = 50 * time.Millisecond
	// memoryPerTask is the part of the host's memory, in bytes, for each task of a job that has begun. Most of it is left to all else.
	memoryPerTask = 1 << 10
	// jobMemoryShare is the inverse of the part of the host's memory that the accepted jobs may take, apart from their tasks.
	jobMemoryShare = 16
	// workerListInterval is the time between two reads of the platform's list of workers.
	workerListInterval = 250 * time.Millisecond
)

func newTenure(host *Host, election Election) *tenure {
	ctx, cancel := context.WithCancel(host.ctx)
	tenure := &tenure{
		host: host, term: election.Term, former: newFormerDeciders(election.Former), beganAt: host.uptime(), ctx: ctx, cancel: cancel,
		planRequested: make(chan struct{}, 1), immediatePolls: make(chan struct{}, maxImmediatePolls), confirming: make(chan struct{}, 1),
		tickLag:        newLag(),
		answerLag:      newLag(),
		startWindow:    throttler.Window{Min: minStartsInFlight, Max: maxStartsInFlight, Target: startTarget},
		answerLossRate: lossRate{average: average{divisor: answerLossDivisor}, threshold: answerLossThreshold},
		stored:         make(chan struct{}), ready: make(chan struct{}),
		workerInfos: map[string]planner.WorkerInfo{}, pollers: map[string]*poller{},
	}
	tenure.journal = newJournal(tenure)
	tenure.policyQueries = newBalancer(tenure)
	tenure.delegator = newDelegator(tenure)
	tenure.quorum = newQuorum(host.suspensions)
	tenure.submissions = newSubmissions()
	tenure.confirmedAt.Store(neverAnswered) // the first append to the journal confirms the term
	tenure.wait.Go(tenure.run)
	return tenure
}

// close ends the tenure and waits for its goroutines.
func (tenure *tenure) close() {
	tenure.cancel()
	tenure.wait.Wait()
}

// resign ends the tenure because a later decider owns the journal.
func (tenure *tenure) resign(reason error) {
	tenure.host.log.Warn("resigned", "term", tenure.term, "error", reason)
	tenure.host.mu.Lock()
	if tenure.host.tenure == tenure {
		tenure.host.tenure = nil
	}
	tenure.host.mu.Unlock()
	tenure.cancel()
}

func (tenure *tenure) requestPlan() {
	select {
	case tenure.planRequested <- struct{}{}:
	default:
	}
}

// storeOutage returns for how long appends to the journal have failed, 0 while they succeed.
func (tenure *tenure) storeOutage() time.Duration { return tenure.journal.outage() }

// run takes over the journal, restores the planner from it and plans until the tenure ends.
func (tenure *tenure) run() {
	for catalog := tenure.host.catalog.Load(); ; catalog = tenure.host.catalog.Load() {
		if catalog != nil {
			break
		}
		if sleep(tenure.ctx, planInterval); tenure.ctx.Err() != nil {
			return
		}
	}
	began := time.Now()
	tenure.probeFormerDeciders()
	if err := tenure.takeOver(); err != nil {
		if tenure.ctx.Err() == nil {
			tenure.resign(err)
		}
		return
	}
	tenure.host.log.Info("deciding", "term", tenure.term, "after", time.Since(began))
	tenure.wait.Go(tenure.followWorkers)
	tenure.endFormerRenewals() // what was learned of former deciders during the takeover
	tenure.wait.Go(tenure.logLoad)
	tenure.wait.Go(tenure.measureLag)
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	tenure.batchTimer = time.NewTimer(planInterval)
	defer tenure.batchTimer.Stop()
	for {
		select {
		case <-tick.C:
		case <-tenure.planRequested:
		case <-tenure.batchTimer.C:
		case <-tenure.ctx.Done():
			return
		}
		tenure.planOnce()
	}
}

// takeOver fences earlier writers of the journal and restores the planner from it.
func (tenure *tenure) takeOver() error {
	for {
		err := tenure.journal.open()
		if err == nil {
			break
		}
		if errors.Is(err, translator.ErrFenced) || tenure.ctx.Err() != nil {
			return fmt.Errorf("take over the journal: %w", err)
		}
		sleep(tenure.ctx, appendBackoff)
	}
	tenure.fencedAt = time.Now()
	var entries []translator.Entry
	for {
		var err error
		if entries, _, err = tenure.host.readNewest(tenure.ctx, translator.Journal); err == nil {
			break
		}
		tenure.host.log.Warn("cannot read the journal, retrying", "error", err)
		if sleep(tenure.ctx, appendBackoff); tenure.ctx.Err() != nil {
			return fmt.Errorf("read the journal: %w", err)
		}
	}
	records := make([]planner.Record, len(entries))
	for index, entry := range entries {
		records[index] = planner.Record{Key: entry.Key, Value: entry.Value}
	}
	settings := tenure.host.settings
	restored := planner.New(planner.Settings{
		Lease: min(preferredLease, settings.MaxLease), MaxLease: settings.MaxLease, FormerRenewalWindow: quorumRenewalWindow,
		FormerOrderWindow: maxStartProofAge, OrderTime: startTimeout, FormerCallWindow: renewalWindow, CallTime: maxSendTime + maxExecutionDelay,
		FormerTerm:      tenure.former.latestTerm(),
		StatusRetention: settings.StatusRetention, MaxStopTime: settings.MaxStopTime, CrossRackFactor: settings.CrossRackFactor,
		LearnRunTimes: settings.LearnRunTimes, PoolShares: settings.PoolShares, ForecastAdmission: settings.ForecastAdmission,
		MoveStragglers: settings.MoveStragglers, MaxRecordBytes: int(settings.MaxRecordBytes), MaxTasks: int(settings.MemoryMB<<20) / memoryPerTask, MaxJobBytes: int(settings.MemoryMB<<20) / jobMemoryShare,
	}, tenure.term, tenure.host.catalog.Load(), time.Now())
	if undecodable := restored.Restore(records, time.Now()); len(undecodable) > 0 {
		tenure.host.log.Error("cannot decode journal records", "count", len(undecodable), "keys", undecodable[:min(len(undecodable), maxUndecodableLines)])
	}
	tenure.adopt(restored)
	return nil
}

// adopt makes a restored planner the one of the tenure. What arrived for a planner while there was none was not passed on to one: each such
// input is read again here, under the lock under which later ones are passed on.
func (tenure *tenure) adopt(restored *planner.Planner) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if catalog := tenure.host.catalog.Load(); catalog != nil {
		restored.SetCatalog(catalog)
	}
	restored.SetDrainedZones(tenure.host.drains.Zones())
	if tenure.handsOver {
		restored.BeginHandover(time.Now())
	}
	tenure.planner = restored
	tenure.formerHostCount.Store(int64(restored.FormerHostCount()))
	if restored.HandedOver {
		tenure.logFormerWait(groundHandover)
	} else {
		tenure.logFormerWait(groundWindow)
	}
	tenure.host.log.Info("planner restored", "term", tenure.term, "catalogVersion", restored.Catalog().Version)
	close(tenure.ready)
}

// planOnce makes a placement pass if one is due, applies the resulting effects and stores the resulting batch. While the
// journal accepts no batch, it only applies the effects that need no stored record.
func (tenure *tenure) planOnce() {
	now := time.Now()
	tenure.mu.Lock()
	callersWait := len(tenure.waiters) > 0
	tenure.mu.Unlock()
	free, wait := tenure.journal.acceptsBatch(callersWait)
	passWait := tenure.passes.wait(now)
	switch {
	case !free:
		tenure.applyPending(wait)
	case passWait <= 0:
		tenure.makePass(now)
	case callersWait:
		tenure.batchTimer.Reset(passWait)
		tenure.takeBatch()
	default:
		tenure.applyPending(passWait)
	}
}

// applyPending applies the effects that need no stored record, and plans again after a wait, or at the next event if that is 0.
func (tenure *tenure) applyPending(wait time.Duration) {
	tenure.mu.Lock()
	effects := tenure.planner.TakeEffects()
	tenure.mu.Unlock()
	tenure.applyEffects(effects)
	if wait > 0 {
		tenure.batchTimer.Reset(wait)
	}
}

// makePass makes a placement pass and stores the resulting batch.
func (tenure *tenure) makePass(now time.Time) {
	defer tenure.meter.recordPlan(now)
	slots := tenure.policyQueries.slots()
	quorumSince := tenure.quorumSince()
	lockedFrom := time.Now()
	tenure.mu.Lock()
	tenure.meter.lockTime.Add(int64(time.Since(lockedFrom)))
	if !quorumSince.IsZero() {
		window := tenure.former.window(tenure.planner.SettledTerm())
		tenure.shortenFormerWait(formerRenewalsEnd(quorumSince, tenure.fencedAt, window), groundQuorum)
	}
	tenure.planner.SetHostCount(tenure.hostCount())
	tenure.planner.SetSlots(slots)
	limit := tenure.startWindow.Limit()
	tenure.planner.SetStartLimit(planner.StartLimit{Available: limit - int(tenure.startsInFlight.Load())})
	passedFrom := time.Now()
	tenure.planner.Plan(now)
	tenure.passes.record(now, time.Since(passedFrom))
	blockedSteps, staying := tenure.explain(now)
	tenure.mu.Unlock()
	tenure.logBlocked(blockedSteps, now)
	tenure.logStaying(staying)
	tenure.takeBatch()
}

// takeBatch applies the effects of the events and passes since the last batch, and stores their records.
func (tenure *tenure) takeBatch() {
	tenure.mu.Lock()
	encodedFrom := time.Now()
	batch, err := tenure.planner.Take()
	tenure.meter.encodeTime.Add(int64(time.Since(encodedFrom)))
	if err != nil {
		tenure.mu.Unlock()
		tenure.host.log.Error("cannot encode batch", "error", err)
		return
	}
	tenure.startsInFlight.Add(int64(len(batch.Starts)))
	tenure.mu.Unlock()
	tenure.logCrashes(batch.Crashes)
	tenure.logRestarts(batch.Restarts)
	tenure.logSilences(batch.Silences)
	tenure.logGiveBacks(batch.GiveBacks)
	tenure.logMoves(batch.Moves)
	tenure.logEvents(batch.Events)
	tenure.logHedges(batch.Hedges)
	tenure.host.metrics.calibration.add(batch.Calibrations)
	tenure.applyEffects(batch.Effects)
	if len(batch.Records) == 0 {
		return
	}
	tenure.meter.batches.Add(1)
	tenure.journal.save(batch)
}

// completeBatch marks a batch that was taken at a time as stored, notifies the calls that wait for it and sends its start orders.
func (tenure *tenure) completeBatch(batch planner.Batch, takenAt time.Time) {
	tenure.mu.Lock()
	tenure.planner.MarkStored(batch)
	close(tenure.stored)
	tenure.stored = make(chan struct{})
	remaining := tenure.waiters[:0]
	for _, waiter := range tenure.waiters {
		if waiter.batch <= batch.Number {
			close(waiter.done)
		} else {
			remaining = append(remaining, waiter)
		}
	}
	tenure.waiters = remaining
	tenure.mu.Unlock()
	for _, start := range batch.Starts {
		tenure.sendStart(start, takenAt)
	}
}

// followWorkers keeps the planner's worker table up to date with the platform's list of workers. Workers register again at
// short intervals, so that most entries change nothing.
func (tenure *tenure) followWorkers() {
	tenure.host.followTopic(tenure.ctx, translator.Workers, workerListInterval, func(change topicChange) {
		decoded := tenure.decodeWorkers(change.entries)
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		if changed := tenure.recordRegistrations(decoded, change.reset); !changed {
			return
		}
		infos := make([]planner.WorkerInfo, 0, len(tenure.workerInfos))
		for _, info := range tenure.workerInfos {
			infos = append(infos, info)
		}
		tenure.planner.SetWorkers(infos, time.Now())
		tenure.updatePollers()
		tenure.requestPlan()
	})
}

// registration is an entry of the platform's list of workers.
type registration struct {
	id   string
	info *planner.WorkerInfo // nil if the worker is gone or its entry cannot be decoded
}

func (tenure *tenure) decodeWorkers(entries []translator.Entry) []registration {
	registrations := make([]registration, 0, len(entries))
	for _, entry := range entries {
		if entry.Key == "" {
			continue
		}
		info, err := translator.DecodeWorker(entry.Key, entry.Value)
		if err == nil {
			tenure.host.undecodable.decoded(translator.Workers, entry.Key)
			registrations = append(registrations, registration{entry.Key, &info})
			continue
		}
		if len(entry.Value) > 0 {
			tenure.host.logUndecodable("cannot decode worker entry, removing the worker", translator.Workers, entry.Key, err)
		}
		registrations = append(registrations, registration{id: entry.Key})
	}
	return registrations
}

// recordRegistrations updates the known workers, from nothing if reset is set, and reports whether that changed any. The
// caller holds tenure.mu.
func (tenure *tenure) recordRegistrations(registrations []registration, reset bool) (changed bool) {
	if reset {
		clear(tenure.workerInfos)
		changed = true
	}
	for _, registration := range registrations {
		known, found := tenure.workerInfos[registration.id]
		switch {
		case registration.info == nil:
			changed = changed || found
			delete(tenure.workerInfos, registration.id)
		case !found || !known.Equal(*registration.info):
			changed = true
			tenure.workerInfos[registration.id] = *registration.info
		}
	}
	return changed
}

const (
	explainInterval = time.Second
	// minExplainedWait is how long a step waits for capacity before that is logged.
	minExplainedWait = 500 * time.Millisecond
	maxExplanations  = 4 // log lines per interval
)

// explain returns why steps are blocked, and why standing tasks stay on workers that leave, at most once per explainInterval.
func (tenure *tenure) explain(now time.Time) ([]planner.BlockedStep, []planner.StayingRun) {
	if now.Sub(tenure.explainedAt) < explainInterval {
		return nil, nil
	}
	tenure.explainedAt = now
	return tenure.planner.Explain(now, minExplainedWait, maxExplanations), tenure.planner.ExplainStaying(now, maxExplanations)
}

func (tenure *tenure) logBlocked(steps []planner.BlockedStep, now time.Time) {
	for _, step := range steps {
		tenure.host.log.Info("waiting", "step", step.Step.String(), "queue", step.Queue, "tasks", step.Tasks, "held", step.Held,
			"for", now.Sub(step.BlockedSince).String(), "workers", step.Workers, "capped", step.Capped, "asked", step.QueryOpen,
			"team", step.Team, "teamSize", step.TeamSize.String(), "teamCap", step.TeamCap.String(), "share", step.Share, "usedShare", step.UsedShare)
	}
}

// logEvents logs and counts each job that ended and each run that ended in another way than done.
func (tenure *tenure) logEvents(events []planner.EndEvent) {
	for _, event := range events {
		if event.Ending == "" {
			tenure.host.metrics.jobs.WithLabelValues(string(event.State)).Observe(event.Duration.Seconds())
			fields := []any{"job", event.Job, "queue", event.Queue, "team", event.Team, "state", event.State, "took", event.Duration.String()}
			tenure.host.log.Info("job ended", append(fields, expectationFields(event)...)...)
			continue
		}
		tenure.host.metrics.endings.WithLabelValues(string(event.Ending)).Inc()
		tenure.host.log.Info("run ended", "task", event.Task.String(), "run", event.Number, "worker", event.Worker, "ending", event.Ending, "took", event.Duration.String())
	}
}

// setCatalog passes a configuration to the planner. One that arrives while there is no planner is read by adopt.
func (tenure *tenure) setCatalog(catalog *planner.Catalog) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if tenure.planner != nil {
		tenure.planner.SetCatalog(catalog)
	}
	tenure.requestPlan()
}
