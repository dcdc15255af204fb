package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/lessor"
)

// PrepareOrder returns the order to send for a start. It reports false, and closes the run if it is still open, when
// the start is obsolete: the run was stopped, or its worker may get no lease, restarted, left the service, or has shrunk.
func (planner *Planner) PrepareOrder(start Start, now time.Time) (Order, bool) {
	planner.now = now
	step, run := planner.openRun(start.Key, start.Number)
	if run == nil {
		return Order{}, false
	}
	worker := planner.ensureWorker(run.Worker)
	if run.Stopping || !planner.leasable(worker) || worker.Incarnation != run.Incarnation || !planner.routesTo(step, worker) ||
		!worker.stillFits(run) {
		planner.closeRun(step, run, NeverRan, "", now)
		return Order{}, false
	}
	run.Token, run.OrderedAt, run.Sent, run.InFlight = worker.Token, now, true, true
	order := Order{
		Key: run.Key, Number: run.Number, Worker: worker.ID, Address: worker.Address,
		Payload: step.job.Payload, Checkpoint: step.tasks[start.Key.Index].Checkpoint,
		Ticket: step.policy.Ticket(worker.ID), Token: worker.Token, SentAt: now,
		DeadlineMS: planner.leaseEndMS(worker, now),
	}
	run.learning.resumed = order.Checkpoint != ""
	worker.leases.Request(order.DeadlineMS, now)
	return order, true
}

// routesTo reports whether a step's queue still uses the worker's service, the worker still takes new runs, and the
// policy's ticket for it has not expired.
func (planner *Planner) routesTo(step *step, worker *Worker) bool {
	queue, found := planner.catalog.Queue(step.job.Queue)
	return found && queue.Service == worker.Service && worker.Listed && !worker.Draining && !planner.drainedZones[worker.Zone] &&
		(queue.Policy == nil || step.hasTicket(worker, planner.now))
}

// HandleOrderOutcome processes the outcome of an order to start. The worker's clock is in milliseconds, 0 if the answer
// did not carry it.
func (planner *Planner) HandleOrderOutcome(order Order, outcome Outcome, clockMS int64, now time.Time) {
	planner.now = now
	worker := planner.ensureWorker(order.Worker)
	current := order.Token == worker.Token // otherwise the answer may come from an earlier incarnation of the worker
	if clockMS > 0 && current {
		planner.updateClock(worker, clockMS, order.SentAt)
	}
	step, run := planner.openRun(order.Key, order.Number)
	if run == nil {
		return
	}
	run.InFlight = false
	switch outcome {
	case Accepted:
		step.job.begun = true
		planner.handleAccepted(worker, run, clockMS, current)
	case Dropped:
		planner.fence(worker) // it may take no connections
		planner.closeRun(step, run, NeverRan, "", now)
	case Unknown:
		planner.fence(worker)
	case RefusedIncarnation:
		if current {
			planner.handleRestart(worker, 0)
		}
		planner.closeRun(step, run, NeverRan, "", now)
	case RefusedTicket:
		step.policy.Revoke(worker.ID)
		planner.closeRun(step, run, NeverRan, "", now)
	case RefusedRunNumber:
		step.tasks[order.Key.Index].LastNumber = max(step.tasks[order.Key.Index].LastNumber, run.Number+runNumberSkip)
		planner.closeRun(step, run, NeverRan, "", now)
	case NotSent, RefusedFence, RefusedExpired, RefusedCapacity:
		if outcome != RefusedFence {
			worker.health.RecordRefusal(now)
		}
		planner.closeRun(step, run, NeverRan, "", now)
	}
}

// handleAccepted processes that a worker whose clock reads clockMS accepted the order of a run, under its current fencing token or not.
func (planner *Planner) handleAccepted(worker *Worker, run *Run, clockMS int64, current bool) {
	run.answered = true
	switch {
	case worker.RunsKnown && current:
		run.shown = worker.leases.ShowsLife(clockMS, planner.now)
		run.Confirmed, run.ConfirmedAt, run.ProgressAt = true, planner.now, planner.now
		planner.recordStartTime(run, planner.now)
		planner.recordSettled(worker, run)
	case worker.RunsKnown && !run.Confirmed: // what was read while the order was in flight did not show the run
		planner.fence(worker)
	}
}

// updateClock processes a reading of a worker's clock from the answer to an order that was sent at sentAt. A clock
// that reads less than its lower bound at that time shows that the worker restarted.
func (planner *Planner) updateClock(worker *Worker, clockMS int64, sentAt time.Time) {
	if worker.leases.ShowsRestart(clockMS, sentAt) {
		planner.handleRestart(worker, 0)
		return
	}
	worker.recordClock(clockMS, planner.now)
}

// runNumberSkip is added to a run number that a worker refused as too low, so that the next one is accepted.
const runNumberSkip = 3

// invalidateRuns marks a worker's runs as unknown.
func (planner *Planner) invalidateRuns(worker *Worker) {
	if worker.RunsKnown {
		worker.runsUnknownSince = planner.now
	}
	worker.invalidateRuns()
}

// fence marks the runs of a worker that may still carry out an order as unknown, and requests a poll under the
// raised fencing token.
func (planner *Planner) fence(worker *Worker) {
	planner.invalidateRuns(worker)
	planner.effects = append(planner.effects, Fence{Worker: worker.ID})
}

// HandlePollFailure marks the runs of a worker as unknown because it did not answer a poll.
func (planner *Planner) HandlePollFailure(id string, now time.Time) {
	planner.now = now
	worker := planner.workers[id]
	if worker == nil || !worker.RunsKnown {
		return
	}
	planner.invalidateRuns(worker)
}

// handleRestart processes the restart of a worker; incarnation is the start of the new one, or 0 if unknown.
// Each of its runs either was on the earlier incarnation, or was started on the new one before the restart was
// detected; the answer to a poll under the raised token shows which.
func (planner *Planner) handleRestart(worker *Worker, incarnation int64) {
	planner.markLosses(worker)
	planner.fence(worker)
	worker.restarted = true
	worker.leases.Restart(planner.now)
	worker.Cursor, worker.AckCursor, worker.pendingEnds = 0, 0, nil
	planner.reportRestart(worker, incarnation)
	if incarnation != 0 {
		worker.Incarnation = incarnation
	}
	for _, run := range worker.Runs {
		run.Confirmed, run.Token, run.Incarnation, run.sound = false, 0, worker.Incarnation, false
		run.shown, run.settled = false, false
		if step := planner.steps[run.Key.step()]; step != nil {
			step.touch(run.Key.Index)
		}
	}
}

// closeVanished closes a run that its worker no longer has, or whose lease has expired.
func (planner *Planner) closeVanished(run *Run, now time.Time) {
	if step, open := planner.openRun(run.Key, run.Number); open == run {
		planner.closeRun(step, run, Vanished, "", now)
	}
}

// sortedRuns returns the worker's runs, sorted by key.
func (worker *Worker) sortedRuns() []*Run {
	runs := make([]*Run, 0, len(worker.Runs))
	for _, run := range worker.Runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *Run) int { return a.Key.compare(b.Key) })
	return runs
}

func (taskKey TaskKey) compare(other TaskKey) int {
	switch {
	case taskKey.Job != other.Job:
		if taskKey.Job < other.Job {
			return -1
		}
		return 1
	case taskKey.Occurrence != other.Occurrence:
		return taskKey.Occurrence - other.Occurrence
	case taskKey.Step != other.Step:
		return taskKey.Step - other.Step
	}
	return taskKey.Index - other.Index
}

// HandleListing processes a worker's answer to a poll.
func (planner *Planner) HandleListing(id string, listing Listing, now time.Time) {
	planner.now = now
	worker := planner.workers[id]
	if worker == nil || worker.restarted && listing.Token < worker.Token {
		return // the poll was sent before the restart was detected, so the earlier incarnation may have answered
	}
	if listing.Incarnation != 0 && worker.Incarnation != 0 && listing.Incarnation != worker.Incarnation {
		planner.handleRestart(worker, listing.Incarnation)
		return
	}
	if listing.Incarnation != 0 {
		worker.Incarnation = listing.Incarnation
	}
	first := worker.AnsweredAt.IsZero()
	worker.recordClock(listing.ClockMS, now)
	if listing.Incarnation != 0 {
		worker.leases.ShowLife(listing.SentAt)
	}
	planner.resolveAnswered(worker)
	if first {
		planner.detectReplacedBy(worker)
	}
	for _, ended := range listing.Ended {
		planner.recordEnded(worker, ended, now)
	}
	worker.acknowledge(planner.storedBatch)
	planner.recordRunning(worker, listing, now)
	if !listing.Partial {
		planner.closeMissing(worker, listing, now)
	}
	if listing.Token == worker.Token && !worker.RunsKnown {
		worker.leases.Read(now, planner.isSettled(worker))
		worker.RunsKnown, worker.restarted, worker.silenceReported = true, false, false
		if worker.recordedExpiry != (lessor.Bounds{}) {
			planner.dropExpiry(worker)
		}
	}
}

// recordEnded closes a run that a worker lists as ended, and records which batch has to be stored before the end is
// acknowledged.
func (planner *Planner) recordEnded(worker *Worker, ended EndedRun, now time.Time) {
	if ended.Sequence <= worker.Cursor {
		return
	}
	worker.Cursor = ended.Sequence
	step, run := planner.openRun(ended.Key, ended.Number)
	if run == nil || run.Worker != worker.ID {
		worker.pendingEnds = append(worker.pendingEnds, pendingEnd{sequence: ended.Sequence, batch: planner.lastBatch})
		return
	}
	worker.pendingEnds = append(worker.pendingEnds, pendingEnd{sequence: ended.Sequence, batch: planner.lastBatch + 1})
	step.job.begun = true
	planner.closeRun(step, run, ended.Ending, ended.Checkpoint, now)
}

// recordRunning updates the runs that a worker lists as running, and stops those that are not open in the tables.
func (planner *Planner) recordRunning(worker *Worker, listing Listing, now time.Time) {
	worker.unknownRuns = 0
	for _, running := range listing.Running {
		step, run := planner.openRun(running.Key, running.Number)
		if run == nil || run.Worker != worker.ID {
			worker.unknownRuns++
			planner.effects = append(planner.effects, Stop{
				Key: running.Key, Number: running.Number, Worker: worker.ID, Address: worker.Address, Token: worker.Token,
			})
			continue
		}
		run.loss = nil // it was started on the current incarnation
		run.InFlight = run.InFlight && !run.learning.restored
		run.answered, step.job.begun = true, true
		run.shown = run.shown || listing.Incarnation != 0 && listing.Token == worker.Token // else the life may not have been read
		run.recordReading(running.Percent, now)
		if !run.Confirmed {
			run.Confirmed, run.ConfirmedAt, run.ProgressAt = true, now, now
		}
		if running.Percent > run.Percent {
			run.Percent, run.ProgressAt = running.Percent, now
		}
		if running.Checkpoint != "" {
			if step.tasks[running.Key.Index].Checkpoint != running.Checkpoint {
				run.savedAt = now
				step.touch(running.Key.Index)
			}
			step.tasks[running.Key.Index].Checkpoint = running.Checkpoint
		}
		if run.Stopping {
			planner.stopRun(run, now)
		}
	}
}

// closeMissing closes the runs that a worker did not list and cannot have: those confirmed before the poll was
// sent, and those ordered under a lower token than that of the poll, which the worker now refuses. An order in flight may still reach a
// later incarnation of the worker, which knows of no token.
func (planner *Planner) closeMissing(worker *Worker, listing Listing, now time.Time) {
	if len(worker.Runs) == 0 {
		return
	}
	planner.markEarlierIncarnation(worker)
	present := make(map[TaskKey]int, len(listing.Running))
	for _, running := range listing.Running {
		present[running.Key] = running.Number
	}
	for _, run := range worker.sortedRuns() {
		if present[run.Key] == run.Number || run.InFlight {
			continue
		}
		switch {
		case run.Confirmed && run.ConfirmedAt.Before(listing.SentAt):
			planner.closeVanished(run, now)
		case !run.Confirmed && run.Token < listing.Token:
			planner.closeRefused(run, now)
		}
	}
}

// closeRefused closes a run that its worker does not have and refuses from now on: it was lost in a crash, or never ran.
func (planner *Planner) closeRefused(run *Run, now time.Time) {
	step, open := planner.openRun(run.Key, run.Number)
	switch {
	case open != run:
	case run.loss != nil:
		planner.closeRun(step, run, EndedCrashed, "", now)
	default:
		planner.closeRun(step, run, NeverRan, "", now)
	}
}

// closeExpiredRuns closes the runs on workers whose leases have expired, and removes workers that left the list.
func (planner *Planner) closeExpiredRuns(now time.Time) {
	for _, worker := range planner.workerList {
		if len(worker.Runs) > 0 && now.After(worker.leases.Known().At) {
			planner.closeSentRuns(worker, now)
		}
		if !worker.Listed && len(worker.Runs) == 0 && now.Sub(worker.unlistedSince) > unlistedRetention {
			planner.resolveGone(worker)
			delete(planner.workers, worker.ID)
		}
	}
	planner.updateExpiries(now)
	planner.reportSilences(now)
	if len(planner.workers) < len(planner.workerList) {
		planner.workerList = slices.DeleteFunc(planner.workerList, func(worker *Worker) bool { return planner.workers[worker.ID] == nil })
	}
}

// closeSentRuns closes the runs of a worker whose leases have expired. A run whose order was not sent yet, or is in flight, stays open:
// its order brings a new lease.
func (planner *Planner) closeSentRuns(worker *Worker, now time.Time) {
	expired := func(run *Run) bool { return run.Sent && !run.InFlight && now.After(worker.leasesExpireAt(run)) }
	runs := slices.DeleteFunc(worker.sortedRuns(), func(run *Run) bool { return !expired(run) })
	if len(runs) == 0 {
		return
	}
	planner.markLosses(worker)
	if worker.RunsKnown {
		planner.HandlePollFailure(worker.ID, now)
	}
	planner.reportExpired(worker, len(runs))
	for _, run := range runs {
		planner.closeVanished(run, now)
	}
}

// unlistedRetention is how long a worker without runs stays in the table after it left the list.
const unlistedRetention = 20 * time.Second
