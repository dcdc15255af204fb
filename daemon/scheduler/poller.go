package scheduler

import (
	"context"
	"errors"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// poller polls one worker: each poll renews the lease of the worker's runs and lists them.
type poller struct {
	worker     string
	cancel     context.CancelFunc
	fencing    bool          // a poll with a raised fencing token is in flight
	startSlots chan struct{} // limits the start orders in flight
	wakeups    chan struct{} // receives a value when an idle worker is sent a start order
	lostAt     time.Time     // when a poll or start order last got no answer, zero after an answer
}

// wake ends the wait between two polls of an idle worker.
func (poller *poller) wake() {
	select {
	case poller.wakeups <- struct{}{}:
	default:
	}
}

const (
	// urgentPollWait is how long a worker with urgent runs waits for one of them to end before it answers a poll.
	urgentPollWait = time.Second
	// pollWait is the same for a worker without urgent runs.
	pollWait = 2 * time.Second
	// urgentPollDelay is the wait before polling a worker with urgent runs, so that one poll lists several ends.
	urgentPollDelay = 20 * time.Millisecond
	// pollDelay is the same for a worker without urgent runs.
	pollDelay = 60 * time.Millisecond
	// pollTimeoutSlack is added to the wait of a poll to give its time-out.
	pollTimeoutSlack = 300 * time.Millisecond
	// immediatePollTimeout is the time-out of a poll without a wait.
	immediatePollTimeout = 250 * time.Millisecond
	// lossyPollWait is the minimum wait while answers get lost, see lossyPollWaitFor.
	lossyPollWait = 200 * time.Millisecond
	// lossyAnswerTimeout bounds startTimeout, pollTimeoutSlack and immediatePollTimeout while answers get lost.
	lossyAnswerTimeout = 100 * time.Millisecond
	// lossWindow is the time in which a worker has to answer again for a missing answer to count as lost.
	lossWindow = 2 * time.Second
	// answerLossDivisor is the inverse of the weight of the latest answer in the loss rate.
	answerLossDivisor = 64
	// answerLossThreshold is the number of lost answers per million above which the loss rate is high.
	answerLossThreshold = 30_000
	startTimeout        = 250 * time.Millisecond
	// lagTimeoutFactor is the multiple of the lag of timers that is added to the time to wait for an answer.
	lagTimeoutFactor = 4
	// answerLagTimeoutFactor is the same for the lag of answers to heartbeats, which already contains both ways.
	answerLagTimeoutFactor = 2
	// maxLagTimeout bounds the time that is added.
	maxLagTimeout = 2 * time.Second
	stopTimeout   = 500 * time.Millisecond
	// ackTimeout is how long a poll waits for listed ends to be stored.
	ackTimeout         = 250 * time.Millisecond
	minRetryDelay      = 60 * time.Millisecond
	maxRetryDelay      = 500 * time.Millisecond
	maxStartsPerWorker = 2
	// minStartsInFlight and maxStartsInFlight are the least and the greatest limit on the starts over all workers that are in flight, from
	// the pass that plans them to their outcome.
	minStartsInFlight = 32
	maxStartsInFlight = 500
	// startTarget is the time from the pass to the outcome above which that limit shrinks while this process or its link is late: the
	// permissions of the policy are valid for a few times as long.
	startTarget = 500 * time.Millisecond
	// maxImmediatePolls limits the polls without a wait that are in flight, over all workers.
	maxImmediatePolls = 128
	// idlePollsPerSecond is the rate of polls over all workers without runs.
	idlePollsPerSecond = 150
)

// updatePollers starts a poller for each new worker of the planner's table and stops those of removed workers.
func (tenure *tenure) updatePollers() {
	listed := map[string]bool{}
	for _, id := range tenure.planner.WorkerIDs() {
		listed[id] = true
		if tenure.pollers[id] == nil {
			tenure.startPoller(id)
		}
	}
	for id, poller := range tenure.pollers {
		if !listed[id] {
			poller.cancel()
			delete(tenure.pollers, id)
		}
	}
}

func (tenure *tenure) startPoller(id string) {
	ctx, cancel := context.WithCancel(tenure.ctx)
	poller := &poller{worker: id, cancel: cancel, startSlots: make(chan struct{}, maxStartsPerWorker), wakeups: make(chan struct{}, 1)}
	tenure.pollers[id] = poller
	tenure.wait.Go(func() { tenure.pollRepeatedly(ctx, poller) })
}

// pollRepeatedly polls a worker until ctx is done. Each poll returns when a run ends or its wait is over.
func (tenure *tenure) pollRepeatedly(ctx context.Context, poller *poller) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		wait := tenure.preparePoll(ctx, poller)
		if !tenure.mayRenewLeases() {
			sleep(ctx, maxRetryDelay)
			continue
		}
		err := tenure.pollLimited(ctx, poller.worker, wait)
		if err == nil {
			retryDelay = minRetryDelay
			if wait == 0 {
				sleep(ctx, minRetryDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		tenure.host.log.Debug("worker did not answer a poll, retrying", "worker", poller.worker, "error", err)
		sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// preparePoll waits until listed ends are stored, so that the poll acknowledges them, and returns how long the
// worker may delay its answer.
func (tenure *tenure) preparePoll(ctx context.Context, poller *poller) time.Duration {
	timeout := time.NewTimer(ackTimeout)
	defer timeout.Stop()
	for {
		tenure.mu.Lock()
		reason := tenure.planner.PollReasonOf(poller.worker, time.Now())
		stored, idleInterval, workers := tenure.stored, tenure.idlePollInterval(), len(tenure.pollers)
		tenure.mu.Unlock()
		if reason != planner.ReasonUnacknowledgedEnds {
			wait := tenure.delayPoll(ctx, poller, reason, idleInterval)
			if tenure.answerLossRate.isHigh() {
				wait = min(wait, lossyPollWaitFor(workers))
			}
			return wait
		}
		select {
		case <-stored:
		case <-timeout.C:
			return 0
		case <-ctx.Done():
			return 0
		}
	}
}

// pollLimited makes one poll. The number of polls without a wait is limited: if a whole fleet were polled at the same
// time, its answers would be late and the polls would be repeated.
func (tenure *tenure) pollLimited(ctx context.Context, worker string, wait time.Duration) error {
	if wait == 0 {
		select {
		case tenure.immediatePolls <- struct{}{}:
			defer func() { <-tenure.immediatePolls }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return tenure.poll(ctx, worker, wait)
}

// delayPoll waits before a poll, so that the poll lists several ends, and returns how long the worker may delay its
// answer while no answers get lost.
func (tenure *tenure) delayPoll(ctx context.Context, poller *poller, reason planner.PollReason, idleInterval time.Duration) time.Duration {
	lossy := tenure.answerLossRate.isHigh()
	wait := pollWait
	switch reason {
	case planner.ReasonRunsUnknown:
		return 0
	case planner.ReasonUrgentRuns:
		if !lossy && !tenure.journal.lossRate.isHigh() {
			sleep(ctx, urgentPollDelay)
		}
		wait = urgentPollWait
	case planner.ReasonRuns:
		if !lossy {
			sleep(ctx, pollDelay)
		}
	case planner.ReasonIdle, planner.ReasonUnacknowledgedEnds:
		if lossy {
			idleInterval = max(idleInterval, pollWait)
		}
		pause(ctx, poller.wakeups, idleInterval)
	}
	return wait
}

// idlePollInterval returns the time between two polls of a worker without runs. It grows with the number of workers,
// so that polling a large idle fleet costs no more than polling a medium one.
func (tenure *tenure) idlePollInterval() time.Duration {
	cycle := time.Duration(len(tenure.pollers)) * time.Second / idlePollsPerSecond
	return min(max(cycle-pollWait, pollDelay), planner.MaxIdleAnswerAge-2*pollWait)
}

// nextPoll returns the poll to send to a worker and the uptime at which it was prepared, and false if there is none.
func (tenure *tenure) nextPoll(worker string) (planner.Poll, time.Duration, bool) {
	preparedAt := tenure.host.uptime()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	poll, found := tenure.planner.NextPoll(worker, tenure.leaseTime())
	return poll, preparedAt, found
}

// pickDelegate returns the delegate of a worker, nil if the worker is reached directly.
func (tenure *tenure) pickDelegate(worker string) *delegate {
	tenure.mu.Lock()
	zone, workerCount := tenure.workerInfos[worker].Zone, len(tenure.workerInfos)
	tenure.mu.Unlock()
	return tenure.delegator.pick(worker, zone, workerCount)
}

// poll makes one poll and passes the worker's listing to the planner.
func (tenure *tenure) poll(ctx context.Context, worker string, wait time.Duration) error {
	poll, preparedAt, found := tenure.nextPoll(worker)
	if !found {
		sleep(ctx, maxRetryDelay)
		return nil
	}
	slack := immediatePollTimeout
	if wait > 0 {
		slack = pollTimeoutSlack
	}
	delegate := tenure.pickDelegate(worker)
	listing, err := tenure.delegator.poll(ctx, delegate, poll, wait, wait+tenure.answerTimeout(slack), preparedAt)
	if errors.Is(err, errDelegateLost) || errors.Is(err, errDelegateUnsent) {
		if poll, preparedAt, found = tenure.nextPoll(worker); !found {
			return nil
		}
		listing, err = tenure.delegator.poll(ctx, nil, poll, 0, tenure.answerTimeout(immediatePollTimeout), preparedAt)
	}
	tenure.host.metrics.polls.Inc()
	tenure.meter.polls.Add(1)
	if tenure.ctx.Err() != nil {
		return tenure.ctx.Err()
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.recordAnswer(worker, err != nil)
	if err != nil {
		tenure.meter.lostPolls.Add(1)
		tenure.planner.HandlePollFailure(worker, time.Now())
		return err
	}
	tenure.planner.HandleListing(worker, listing, time.Now())
	if tenure.planner.Dirty() {
		tenure.requestPlan()
	}
	return nil
}

// recordAnswer records whether a worker answered. A missing answer counts as lost only if the worker answers
// again within lossWindow; otherwise the worker itself is unresponsive.
func (tenure *tenure) recordAnswer(worker string, lost bool) {
	poller := tenure.pollers[worker]
	if poller == nil {
		return
	}
	if lost {
		poller.lostAt = time.Now()
		return
	}
	if tenure.answerLossRate.record(time.Since(poller.lostAt) < lossWindow, tenure.host.uptime()) {
		tenure.host.log.Info("losses of workers' answers", "many", tenure.answerLossRate.isHigh(), "perMillion", tenure.answerLossRate.value.Load(), "worker", worker)
	}
	poller.lostAt = time.Time{}
}

// answerTimeout returns how long to wait for an answer: timeout, or less while answers get lost. While this process is
// late itself, it waits longer: an answer that arrived and was not read yet is not lost, and a worker that is polled
// again for it would only add to the load.
func (tenure *tenure) answerTimeout(timeout time.Duration) time.Duration {
	if tenure.answerLossRate.isHigh() {
		timeout = min(timeout, lossyAnswerTimeout)
	}
	return timeout + tenure.lagAllowance()
}

// lagAllowance returns the time to add to a timeout because this process or its link is late itself, 0 while they are not.
func (tenure *tenure) lagAllowance() time.Duration {
	allowance := time.Duration(0)
	if lag := tenure.tickLag.recent(); lag >= overloadLag {
		allowance = lagTimeoutFactor * lag
	}
	return min(max(allowance, tenure.answerAllowance()), maxLagTimeout)
}

// answerAllowance is lagAllowance by the answers to heartbeats alone. The timers of a process that stood still are late as well, while its
// answers were as fast as usual before.
func (tenure *tenure) answerAllowance() time.Duration {
	lag := tenure.answerLag.recent()
	if lag < overloadLag {
		return 0
	}
	return min(answerLagTimeoutFactor*lag, maxLagTimeout)
}

// applyEffects carries out the effects that need no stored record.
func (tenure *tenure) applyEffects(effects []planner.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case planner.Stop:
			tenure.meter.stops.Add(1)
			preparedAt := tenure.host.uptime()
			tenure.wait.Go(func() { tenure.sendStop(effect, preparedAt) })
		case planner.Fence:
			tenure.fenceWorker(effect.Worker)
		case planner.Reading:
			tenure.wait.Go(func() { tenure.readWorker(effect.Worker) })
		case planner.PolicyQuery:
			tenure.meter.queries.Add(1)
			tenure.wait.Go(func() { tenure.policyQueries.send(effect) })
		}
	}
}

// sendStop sends a stop that was prepared at an uptime.
func (tenure *tenure) sendStop(stop planner.Stop, preparedAt time.Duration) {
	ctx, cancel := context.WithTimeout(tenure.ctx, stopTimeout)
	defer cancel()
	outcome, err := tenure.host.workers.Stop(ctx, stop, tenure.host.timeLeft(preparedAt+stopTimeout))
	tenure.host.log.Info("stop", "task", stop.Key.String(), "run", stop.Number, "worker", stop.Worker, "outcome", outcome.String(), "error", err)
}

// fenceWorker polls a worker with its raised fencing token until it answers.
func (tenure *tenure) fenceWorker(worker string) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	poller := tenure.pollers[worker]
	if poller == nil || poller.fencing {
		return
	}
	poller.fencing = true
	tenure.wait.Go(func() {
		retryDelay := minRetryDelay
		for tenure.ctx.Err() == nil {
			if err := tenure.poll(tenure.ctx, worker, 0); err == nil {
				break
			}
			sleep(tenure.ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			if tenure.pollerRemoved(poller) {
				break
			}
		}
		tenure.mu.Lock()
		poller.fencing = false
		tenure.mu.Unlock()
	})
}

func (tenure *tenure) pollerRemoved(poller *poller) bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.pollers[poller.worker] != poller
}

// sendStart sends a start order whose record is stored, and whose batch was taken at a time.
func (tenure *tenure) sendStart(start planner.Start, takenAt time.Time) {
	tenure.wait.Go(func() {
		defer tenure.startsInFlight.Add(-1)
		poller := tenure.pollerOf(start)
		if poller != nil {
			select {
			case poller.startSlots <- struct{}{}:
				defer func() { <-poller.startSlots }()
			case <-tenure.ctx.Done():
				return
			}
		}
		order, preparedAt, wanted := tenure.prepareOrder(start)
		if !wanted || tenure.ctx.Err() != nil {
			tenure.requestPlan()
			return
		}
		if poller != nil {
			poller.wake()
		}
		delegate := tenure.pickDelegate(order.Worker)
		outcome, clockMS, err := tenure.delegator.start(tenure.ctx, delegate, order, tenure.answerTimeout(startTimeout), preparedAt)
		tenure.recordOutcome(order, outcome, clockMS, err)
		tenure.recordStartTime(time.Since(takenAt))
	})
}

// maxStartProofAge is the age up to which what confirms the term of a decider allows it to start tasks. A decider that stood still confirms
// its term again first: the next one may have started them already.
const maxStartProofAge = time.Second

// startProofInterval is the time between two looks at what confirms the term.
const startProofInterval = 20 * time.Millisecond

// prepareOrder returns the order for a start and the uptime at which it was prepared, and false if the start is obsolete. It waits until
// the term was confirmed of late, or leases may not be given any more.
func (tenure *tenure) prepareOrder(start planner.Start) (planner.Order, time.Duration, bool) {
	for {
		preparedAt := tenure.host.uptime()
		tenure.mu.Lock()
		now := tenure.leaseTime()
		if now.Sub(tenure.leaseBase(now)) <= maxStartProofAge+tenure.answerAllowance() || !tenure.mayRenewLeases() || tenure.ctx.Err() != nil {
			order, wanted := tenure.planner.PrepareOrder(start, now)
			tenure.mu.Unlock()
			return order, preparedAt, wanted
		}
		tenure.mu.Unlock()
		sleep(tenure.ctx, startProofInterval)
	}
}

// recordStartTime adjusts the limit on starts in flight after a start that took the given time from its pass to its outcome.
func (tenure *tenure) recordStartTime(took time.Duration) {
	congested := tenure.lagAllowance() > 0
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.startWindow.Record(took, congested, time.Now())
}

// pollerOf returns the poller of the worker that a start order is for, or nil.
func (tenure *tenure) pollerOf(start planner.Start) *poller {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.pollers[tenure.planner.WorkerOf(start)]
}

func (tenure *tenure) recordOutcome(order planner.Order, outcome planner.Outcome, clockMS int64, err error) {
	if tenure.ctx.Err() != nil {
		return
	}
	tenure.host.metrics.starts.WithLabelValues(outcome.String()).Inc()
	attributes := []any{"task", order.Key.String(), "run", order.Number, "worker", order.Worker, "token", order.Token, "outcome", outcome.String()}
	if err != nil && !errors.Is(err, translator.ErrOutcomeUnknown) {
		attributes = append(attributes, "error", err)
	}
	tenure.host.log.Info("start", attributes...)
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.meter.starts.Add(1)
	if outcome == planner.Unknown {
		tenure.meter.lostStarts.Add(1)
		tenure.recordAnswer(order.Worker, true)
	}
	tenure.planner.HandleOrderOutcome(order, outcome, clockMS, time.Now())
	if tenure.planner.Dirty() {
		tenure.requestPlan()
	}
}
