package decider

import (
	"slices"
	"time"

	"ebonyshunt.org/library/fencer"
)

// AllClaimed reports whether every listed worker is claimed, so that what none of them reports runs nowhere.
func (decider *Decider) AllClaimed() bool {
	for _, worker := range decider.workers {
		if !worker.Claimed {
			return false
		}
	}
	return true
}

// Disproved reports whether a task that was granted for a boot of a worker, and that the worker has not
// reported, surely never ran: the worker is claimed at that boot, so older grants are fenced.
func (decider *Decider) Disproved(workerName, boot string) bool {
	worker, found := decider.workers[workerName]
	return found && worker.Claimed && worker.Boot == boot
}

// Doubt counts an attempt of an earlier term that may be running on a worker that is not claimed yet, or
// that rebooted, until the worker reports it, its lease has lapsed or the worker is off the list.
func (decider *Decider) Doubt(work Work, taskID, workerName, boot string, now time.Time) {
	task := &Task{Work: work, State: Running, Queued: now, Began: now, lost: true}
	task.Grant = fencer.Grant{Task: taskID, Team: work.Team, Worker: workerName, Boot: boot, Term: decider.Term}
	worker, found := decider.workers[workerName]
	if !found {
		decider.emit(Ended{Work: work, Task: taskID, Worker: workerName, Ending: Vanished})
		return
	}
	task.Grant.Address = worker.Address
	task.Grant.Lease = worker.clockAt(now) + decider.Settings.TaskLease.Milliseconds()
	decider.tasks[work.ID] = task
	decider.hold(task, worker)
}

// Defer holds a work back until every listed worker is claimed: an unclaimed one may be running it.
func (decider *Decider) Defer(work Work, now time.Time) {
	decider.deferred = append(decider.deferred, deferral{work: work, since: now})
}

type deferral struct {
	work  Work
	since time.Time
}

// releaseDeferred queues what was held back and has not been reported by a worker.
func (decider *Decider) releaseDeferred(now time.Time) {
	if len(decider.deferred) == 0 || !decider.AllClaimed() {
		return
	}
	for _, deferral := range decider.deferred {
		decider.Enqueue(deferral.work, now)
	}
	decider.deferred = nil
}

// undefer forgets a work that was held back.
func (decider *Decider) undefer(work string) {
	decider.deferred = slices.DeleteFunc(decider.deferred, func(held deferral) bool { return held.work.ID == work })
}

// AddressOf returns the address of a listed worker.
func (decider *Decider) AddressOf(workerName string) (string, bool) {
	worker, found := decider.workers[workerName]
	if !found {
		return "", false
	}
	return worker.Address, true
}
