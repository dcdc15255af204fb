package planner

import "time"

// Need is how soon a worker has to be looked at, the most pressing first.
type Need int

// The needs of a worker.
const (
	NeedKnowledge       Need = iota // what runs on it is not known, or was not confirmed for long
	NeedAcknowledgement             // it lists ends that are not stored yet
	NeedUrgentEnd                   // urgent work runs on it, whose end should be known soon
	NeedEnd                         // other work runs on it
	NeedNothing                     // nothing runs on it
)

// NeedOf returns how soon a worker has to be looked at.
func (planner *Planner) NeedOf(id string, now time.Time) Need {
	worker := planner.workers[id]
	switch {
	case worker == nil:
		return NeedNothing
	case worker.Durable < worker.Cursor:
		return NeedAcknowledgement
	case !worker.Looked || len(worker.Runs) > 0 && !worker.fresh(now):
		return NeedKnowledge
	case len(worker.Runs) == 0:
		return NeedNothing
	}
	for _, run := range worker.Runs {
		if run.Urgent {
			return NeedUrgentEnd
		}
	}
	return NeedEnd
}

// NextHold returns how to look at a worker, and false where there is none of that ID. A worker whose clock
// is not known yet is asked without a lease.
func (planner *Planner) NextHold(id string, now time.Time) (Hold, bool) {
	worker := planner.workers[id]
	if worker == nil || worker.Address == "" {
		return Hold{}, false
	}
	hold := Hold{Worker: id, Address: worker.Address, Token: worker.Token, Cursor: worker.Durable}
	if planner.leasable(worker) {
		hold.Deadline = worker.clockAtLeast(now) + planner.leaseOf(worker, now).Milliseconds()
		worker.leasedTo = max(worker.leasedTo, hold.Deadline)
	}
	return hold, true
}

const (
	// freshness is how long ago a worker that runs something must have answered to get new runs.
	freshness = 3200 * time.Millisecond
	// MostRest is how long a worker without runs may go without a look and still get runs.
	MostRest = 30 * time.Second
	// restedLease is the lease given to a worker that has not answered for long: it may be gone, and then a
	// task that was sent there starts elsewhere sooner.
	restedLease = 2500 * time.Millisecond
)

// fresh reports whether a worker answered lately.
func (worker *Worker) fresh(now time.Time) bool { return now.Sub(worker.Quiet) < freshness }

// rested reports whether a worker without runs answered lately enough to get some.
func (worker *Worker) rested(now time.Time) bool {
	return len(worker.Runs) == 0 && now.Sub(worker.Quiet) < MostRest
}

// leaseOf returns the lease that a worker is given now.
func (planner *Planner) leaseOf(worker *Worker, now time.Time) time.Duration {
	if worker.fresh(now) {
		return planner.Settings.Lease
	}
	return min(planner.Settings.Lease, restedLease)
}

// WorkerOf returns the worker of a start's run, or nothing where the run is no longer open.
func (planner *Planner) WorkerOf(start Start) string {
	if _, run := planner.openRun(start.Key, start.Number); run != nil {
		return run.Worker
	}
	return ""
}
