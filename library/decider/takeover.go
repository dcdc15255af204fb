package decider

import (
	"slices"
	"time"

	"ebonyshunt.org/library/fencer"
)

// AllClaimed reports whether every listed worker is claimed. If so, a task that no worker reports is not running.
func (decider *Decider) AllClaimed() bool {
	for _, worker := range decider.workers {
		if !worker.Claimed {
			return false
		}
	}
	return true
}

// ProvenNeverRan reports whether a task that was granted for the given boot of a worker, and that the worker has not
// reported, certainly never ran. This holds if the worker is claimed at that boot, because it then refuses the grants
// of earlier terms.
func (decider *Decider) ProvenNeverRan(workerName, boot string) bool {
	worker, found := decider.workers[workerName]
	return found && worker.Claimed && worker.Boot == boot
}

// AddUnconfirmed adds an attempt of an earlier term that may be running on a worker that is not claimed yet or that has
// rebooted. The attempt counts as running until the worker reports it, its lease has expired or the worker is
// removed from the list. A worker that has not reported yet has no known clock: there the lease expires a
// lease duration after the first report. If the worker is not listed, the attempt ends as Vanished at once.
func (decider *Decider) AddUnconfirmed(work Work, taskID, workerName, boot string, now time.Time) {
	task := &Task{Work: work, State: Running, QueuedAt: now, GrantedAt: now, unconfirmed: true}
	task.Grant = fencer.Grant{Task: taskID, Team: work.Team, Worker: workerName, Boot: boot, Term: decider.Term}
	worker, found := decider.workers[workerName]
	if !found {
		decider.emit(Ended{Work: work, Task: taskID, Worker: workerName, Ending: Vanished})
		return
	}
	task.Grant.Address = worker.Address
	if worker.Boot != "" {
		task.Grant.LeaseEnd = worker.clockLowerBound(now) + decider.Settings.TaskLeaseDuration.Milliseconds()
	}
	decider.tasksByWork[work.ID] = task
	decider.allocate(task, worker)
}

// Defer holds a work item back from the queue until every listed worker is claimed, as an unclaimed worker may be
// running it.
func (decider *Decider) Defer(work Work) {
	decider.deferred = append(decider.deferred, work)
}

// enqueueDeferred queues the deferred work items once all workers are claimed. Those that a worker reported as
// running or ended were dropped from the list before.
func (decider *Decider) enqueueDeferred(now time.Time) {
	if len(decider.deferred) == 0 || !decider.AllClaimed() {
		return
	}
	for _, work := range decider.deferred {
		decider.Enqueue(work, now)
	}
	decider.deferred = nil
}

// dropDeferred removes a work item from the deferred ones.
func (decider *Decider) dropDeferred(work string) {
	decider.deferred = slices.DeleteFunc(decider.deferred, func(deferred Work) bool { return deferred.ID == work })
}

// AddressOf returns the address of a listed worker.
func (decider *Decider) AddressOf(workerName string) (string, bool) {
	worker, found := decider.workers[workerName]
	if !found {
		return "", false
	}
	return worker.Address, true
}
