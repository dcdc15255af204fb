package planner

import "time"

// PollReason is the reason for the next poll of a worker, which determines how soon it has to be sent.
type PollReason int

// The reasons for a poll.
const (
	ReasonRunsUnknown        PollReason = iota // its runs are not known, or it has runs and has not answered recently
	ReasonUnacknowledgedEnds                   // it listed ended runs whose consequences are not stored yet
	ReasonUrgentRuns                           // it has urgent runs, whose ends should be known soon, or short leases since it leaves
	ReasonRuns                                 // it has other runs
	ReasonIdle                                 // it has no runs
)

// PollReasonOf returns the reason for the next poll of a worker, which is ReasonIdle if the worker is unknown.
func (planner *Planner) PollReasonOf(id string, now time.Time) PollReason {
	worker := planner.workers[id]
	switch {
	case worker == nil:
		return ReasonIdle
	case worker.AckCursor < worker.Cursor:
		return ReasonUnacknowledgedEnds
	case !worker.RunsKnown || len(worker.Runs) > 0 && !worker.answeredRecently(now):
		return ReasonRunsUnknown
	case len(worker.Runs) == 0:
		return ReasonIdle
	case worker.Draining:
		return ReasonUrgentRuns
	}
	for _, run := range worker.Runs {
		if run.Urgent {
			return ReasonUrgentRuns
		}
	}
	return ReasonRuns
}

// NextPoll returns the poll to send to a worker, and false if the worker is unknown or has no address. The poll
// carries no lease while the worker may not be given one, for example because its clock is not known yet.
func (planner *Planner) NextPoll(id string, now time.Time) (Poll, bool) {
	worker := planner.workers[id]
	if worker == nil || worker.Address == "" {
		return Poll{}, false
	}
	poll := Poll{Worker: id, Address: worker.Address, Token: worker.Token, AckCursor: worker.AckCursor}
	if planner.leasable(worker) {
		poll.DeadlineMS = planner.leaseEndMS(worker, now)
		worker.leases.Request(poll.DeadlineMS, now)
	}
	return poll, true
}

const (
	// maxAnswerAge is the time since its last answer after which a worker with runs gets no new ones.
	maxAnswerAge = 3200 * time.Millisecond
	// MaxIdleAnswerAge is the time since its last answer after which a worker without runs gets no new ones.
	MaxIdleAnswerAge = 30 * time.Second
	// unresponsiveWorkerLease is the maximum lease of a worker that has not answered for maxAnswerAge: it may
	// have failed, and with a shorter lease a task that was sent there starts elsewhere sooner.
	unresponsiveWorkerLease = 2500 * time.Millisecond
	// leavingWorkerLease is how long the lease of a draining worker lasts beyond the time until it may leave: its tasks start
	// elsewhere only once its last lease has expired.
	leavingWorkerLease = 3 * time.Second
)

// answeredRecently reports whether the last answer of the worker is less than maxAnswerAge old.
func (worker *Worker) answeredRecently(now time.Time) bool {
	return now.Sub(worker.AnsweredAt) < maxAnswerAge
}

// idleWithinLimit reports whether the worker has no runs and its last answer is less than MaxIdleAnswerAge old.
func (worker *Worker) idleWithinLimit(now time.Time) bool {
	return len(worker.Runs) == 0 && now.Sub(worker.AnsweredAt) < MaxIdleAnswerAge
}

// leaseEndMS returns the end of a lease that is given to a worker now, on its clock.
func (planner *Planner) leaseEndMS(worker *Worker, now time.Time) int64 {
	base := now
	if !planner.leaseBase.IsZero() && planner.leaseBase.Before(now) {
		base = planner.leaseBase
	}
	return max(worker.leases.MinClockMS(base)+planner.leaseFor(worker, now).Milliseconds(), 1)
}

// leaseFor returns the duration of the lease to give to a worker now.
func (planner *Planner) leaseFor(worker *Worker, now time.Time) time.Duration {
	switch {
	case !worker.answeredRecently(now):
		return min(planner.Settings.Lease, unresponsiveWorkerLease)
	case worker.Draining:
		return min(planner.Settings.Lease, max(worker.timeUntilLeaving(now), 0)+leavingWorkerLease)
	}
	return planner.Settings.Lease
}

// WorkerOf returns the ID of the worker of a start's run, or an empty string if the run is no longer open.
func (planner *Planner) WorkerOf(start Start) string {
	if _, run := planner.openRun(start.Key, start.Number); run != nil {
		return run.Worker
	}
	return ""
}
