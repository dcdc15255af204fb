package planner

import "time"

// Need is the reason for the next hold of a worker, which determines how soon it has to be sent.
type Need int

// The needs of a worker.
const (
	NeedKnowledge       Need = iota // its runs are not known, or it has runs and has not answered recently
	NeedAcknowledgement             // it listed ended runs whose consequences are not stored yet
	NeedUrgentEnd                   // it has urgent runs, whose ends should be known soon
	NeedEnd                         // it has other runs
	NeedNothing                     // it has no runs
)

// NeedOf returns the need of a worker, which is NeedNothing if the worker is unknown.
func (planner *Planner) NeedOf(id string, now time.Time) Need {
	worker := planner.workers[id]
	switch {
	case worker == nil:
		return NeedNothing
	case worker.AckCursor < worker.Cursor:
		return NeedAcknowledgement
	case !worker.RunsKnown || len(worker.Runs) > 0 && !worker.answeredRecently(now):
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

// NextHold returns the hold to send to a worker, and false if the worker is unknown or has no address. The hold
// carries no lease while the worker may not be given one, for example because its clock is not known yet.
func (planner *Planner) NextHold(id string, now time.Time) (Hold, bool) {
	worker := planner.workers[id]
	if worker == nil || worker.Address == "" {
		return Hold{}, false
	}
	hold := Hold{Worker: id, Address: worker.Address, Token: worker.Token, Cursor: worker.AckCursor}
	if planner.leasable(worker) {
		hold.Deadline = worker.minClockMS(now) + planner.leaseFor(worker, now).Milliseconds()
		worker.leaseEndMS = max(worker.leaseEndMS, hold.Deadline)
	}
	return hold, true
}

const (
	// maxSilence is the time since its last answer after which a worker with runs gets no new ones.
	maxSilence = 3200 * time.Millisecond
	// MostRest is the time since its last answer after which a worker without runs gets no new ones.
	MostRest = 30 * time.Second
	// silentWorkerLease is the maximum lease of a worker that has not answered for maxSilence: it may be gone, and
	// with a shorter lease a task that was sent there starts elsewhere sooner.
	silentWorkerLease = 2500 * time.Millisecond
)

// answeredRecently reports whether the last answer of the worker is less than maxSilence old.
func (worker *Worker) answeredRecently(now time.Time) bool {
	return now.Sub(worker.AnsweredAt) < maxSilence
}

// idleWithinLimit reports whether the worker has no runs and its last answer is less than MostRest old.
func (worker *Worker) idleWithinLimit(now time.Time) bool {
	return len(worker.Runs) == 0 && now.Sub(worker.AnsweredAt) < MostRest
}

// leaseFor returns the duration of the lease to give to a worker now.
func (planner *Planner) leaseFor(worker *Worker, now time.Time) time.Duration {
	if worker.answeredRecently(now) {
		return planner.Settings.Lease
	}
	return min(planner.Settings.Lease, silentWorkerLease)
}

// WorkerOf returns the ID of the worker of a start's run, or an empty string if the run is no longer open.
func (planner *Planner) WorkerOf(start Start) string {
	if _, run := planner.openRun(start.Key, start.Number); run != nil {
		return run.Worker
	}
	return ""
}
