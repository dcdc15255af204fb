package planner

import (
	"slices"
	"time"
)

// Prepare fills in a start as it is sent now, and reports false where it is no longer wanted.
func (planner *Planner) Prepare(start Start, now time.Time) (Order, bool) {
	planner.now = now
	step, run := planner.openRun(start.Key, start.Number)
	if run == nil {
		return Order{}, false
	}
	worker := planner.worker(run.Worker)
	if run.Stopping || !planner.leasable(worker) || worker.Born != run.Born || !planner.routed(step, worker) {
		planner.close(step, run, NeverRan, "", now)
		return Order{}, false
	}
	run.Token, run.Began = worker.Token, now
	order := Order{
		Key: run.Key, Number: run.Number, Worker: worker.ID, Address: worker.Address,
		Payload: step.job.Payload, Checkpoint: step.tasks[start.Key.Index].checkpoint,
		Ticket: step.policy.allowed[worker.ID].text, Token: worker.Token, SentAt: now,
		Deadline: worker.clockAtLeast(now) + planner.leaseOf(worker, now).Milliseconds(),
	}
	worker.leasedTo = max(worker.leasedTo, order.Deadline)
	return order, true
}

// routed reports whether a queue's work still goes to the worker's service, which takes new work.
func (planner *Planner) routed(step *step, worker *Worker) bool {
	queue, found := planner.catalog.Queue(step.job.Queue)
	return found && queue.Service == worker.Service && worker.Listed && !worker.Draining
}

// Answered takes the outcome of an order to start.
func (planner *Planner) Answered(order Order, outcome Outcome, clock int64, now time.Time) {
	planner.now = now
	worker := planner.worker(order.Worker)
	current := order.Token == worker.Token // else what it tells of the worker may be of an earlier incarnation
	if clock > 0 && current {
		planner.readClock(worker, clock, order.SentAt)
	}
	step, run := planner.openRun(order.Key, order.Number)
	if run == nil {
		return
	}
	switch outcome {
	case Taken:
		if worker.Looked && current {
			run.Started, run.Answered, run.Moved = true, now, now
		}
	case Unknown:
		planner.doubt(worker)
	case RefusedBirth:
		if current {
			planner.reborn(worker, 0)
		}
		planner.close(step, run, NeverRan, "", now)
	case RefusedTicket:
		delete(step.policy.allowed, worker.ID)
		planner.close(step, run, NeverRan, "", now)
	case RefusedOld:
		step.tasks[order.Key.Index].number = max(step.tasks[order.Key.Index].number, run.Number+oldRunSkip)
		planner.close(step, run, NeverRan, "", now)
	case NotSent, RefusedFence, RefusedLate, RefusedRoom:
		if outcome != RefusedFence {
			worker.health.refuse(now)
		}
		planner.close(step, run, NeverRan, "", now)
	}
}

// readClock takes a reading of a worker's clock that was made after a time.
func (planner *Planner) readClock(worker *Worker, clock int64, after time.Time) {
	if clock+clockSlack < worker.clockAtLeast(after) && !worker.clockAt.IsZero() {
		planner.reborn(worker, 0) // its clock started anew
		return
	}
	worker.observe(clock, planner.now)
}

// clockSlack is how far a worker's clock may read below what is expected of one that did not start anew,
// in milliseconds: what rounding makes.
const clockSlack = 10

// oldRunSkip is added to a run number that a worker refused as too low.
const oldRunSkip = 3

// lose takes note that a worker's runs are no longer known.
func (planner *Planner) lose(worker *Worker) {
	if worker.Looked {
		worker.lostAt = planner.now
	}
	worker.lose()
}

// doubt looks at a worker that may still carry out an order.
func (planner *Planner) doubt(worker *Worker) {
	planner.lose(worker)
	planner.effects = append(planner.effects, Fence{Worker: worker.ID})
}

// Unreachable takes note that a look at a worker got no answer.
func (planner *Planner) Unreachable(id string, now time.Time) {
	planner.now = now
	worker := planner.workers[id]
	if worker == nil || !worker.Looked {
		return
	}
	planner.lose(worker)
}

// reborn deals with a worker that started anew. Each of its runs was on the earlier incarnation, or was
// carried out by the new one before this was known; a look under a raised token tells which.
func (planner *Planner) reborn(worker *Worker, born int64) {
	planner.doubt(worker)
	worker.anew = true
	if bound := planner.now.Add(planner.Settings.onSlowClock(planner.Settings.LongestLease)); bound.After(worker.deadAfter) {
		worker.deadAfter = bound // a lease that was asked for on the former clock may last this long on the new one
	}
	worker.Cursor, worker.Durable, worker.pending = 0, 0, nil
	worker.leasedTo = 0
	if born != 0 {
		worker.Born = born
	}
	for _, run := range worker.Runs {
		run.Started, run.Token, run.Born = false, 0, worker.Born
	}
}

func (planner *Planner) vanish(run *Run, now time.Time) {
	if step, open := planner.openRun(run.Key, run.Number); open == run {
		planner.close(step, run, Vanished, "", now)
	}
}

// sorted returns the worker's runs in the order of their keys.
func (worker *Worker) sorted() []*Run {
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

// Listed takes a worker's answer to a hold.
func (planner *Planner) Listed(id string, listing Listing, now time.Time) {
	planner.now = now
	worker := planner.workers[id]
	if worker == nil || worker.anew && listing.Token < worker.Token {
		return // made before it was known that the worker may have started anew
	}
	if listing.Born != 0 && worker.Born != 0 && listing.Born != worker.Born {
		planner.reborn(worker, listing.Born)
		return
	}
	if listing.Born != 0 {
		worker.Born = listing.Born
	}
	worker.observe(listing.Clock, now)
	for _, ended := range listing.Ended {
		planner.listEnded(worker, ended, now)
	}
	worker.acknowledge(planner.durable)
	planner.listRunning(worker, listing, now)
	if !listing.Partial {
		planner.disprove(worker, listing, now)
	}
	if listing.Token == worker.Token && !worker.Looked {
		// Whoever held the worker before asked for no longer lease than this, and can ask for none any more.
		lease := planner.Settings.Lease
		if worker.anew {
			lease = planner.Settings.LongestLease
		}
		worker.leasedTo = max(worker.leasedTo, listing.Clock+lease.Milliseconds())
		worker.Looked, worker.anew = true, false
		if !worker.recorded.IsZero() {
			planner.dropLapse(worker)
		}
	}
}

func (planner *Planner) listEnded(worker *Worker, ended EndedRun, now time.Time) {
	if ended.Sequence <= worker.Cursor {
		return
	}
	worker.Cursor = ended.Sequence
	step, run := planner.openRun(ended.Key, ended.Number)
	if run == nil || run.Worker != worker.ID {
		worker.pending = append(worker.pending, pendingEnd{number: ended.Sequence, batch: planner.batch})
		return
	}
	worker.pending = append(worker.pending, pendingEnd{number: ended.Sequence, batch: planner.batch + 1})
	planner.close(step, run, ended.Ending, ended.Checkpoint, now)
}

func (planner *Planner) listRunning(worker *Worker, listing Listing, now time.Time) {
	worker.strangers = 0
	for _, running := range listing.Running {
		step, run := planner.openRun(running.Key, running.Number)
		if run == nil || run.Worker != worker.ID {
			worker.strangers++
			planner.effects = append(planner.effects, Stop{
				Key: running.Key, Number: running.Number, Worker: worker.ID, Address: worker.Address, Token: worker.Token,
			})
			continue
		}
		if !run.Started {
			run.Started, run.Answered, run.Moved = true, listing.SentAt, now
		}
		if running.Percent > run.Percent {
			run.Percent, run.Moved = running.Percent, now
		}
		if running.Checkpoint != "" {
			step.tasks[running.Key.Index].checkpoint = running.Checkpoint
		}
		if run.Stopping {
			planner.stop(run, now)
		}
	}
}

// disprove closes the runs that a worker surely does not have: those ordered under a lower token than the
// look, and those that it had before the look was sent.
func (planner *Planner) disprove(worker *Worker, listing Listing, now time.Time) {
	if len(worker.Runs) == 0 {
		return
	}
	present := make(map[TaskKey]int, len(listing.Running))
	for _, running := range listing.Running {
		present[running.Key] = running.Number
	}
	for _, run := range worker.sorted() {
		if present[run.Key] == run.Number {
			continue
		}
		switch {
		case run.Started && run.Answered.Before(listing.SentAt):
			planner.vanish(run, now)
		case !run.Started && run.Token < listing.Token:
			if step, open := planner.openRun(run.Key, run.Number); open == run {
				planner.close(step, run, NeverRan, "", now)
			}
		}
	}
}

// expire closes the runs on workers whose leases have surely run out, and forgets workers that left.
func (planner *Planner) expire(now time.Time) {
	for _, id := range planner.names {
		worker := planner.workers[id]
		if len(worker.Runs) > 0 && now.After(worker.lapsedAt()) {
			if worker.Looked {
				planner.Unreachable(id, now)
			}
			for _, run := range worker.sorted() {
				planner.vanish(run, now)
			}
		}
		if !worker.Listed && len(worker.Runs) == 0 && now.Sub(worker.unlisted) > unlistedKept {
			delete(planner.workers, id)
		}
	}
	planner.noteLapses(now)
	planner.names = slices.DeleteFunc(planner.names, func(id string) bool { return planner.workers[id] == nil })
}

// unlistedKept is how long the row of a worker without runs is kept after it left the list.
const unlistedKept = 20 * time.Second
