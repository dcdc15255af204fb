package planner

import (
	"time"

	"ebonyshunt.org/library/lessor"
)

// Package lessor says by when the leases on a worker have expired. Here is which runs a known life of their worker has shown, how a later
// planner learns of it, and what is logged.

// settleDelay is how long a run has to be confirmed before it is stored that it is settled. Short runs end before, and cost no further record.
const settleDelay = time.Second

// sight returns what is known of the life that a run is in.
func (run *Run) sight() lessor.Sight {
	switch {
	case run.shown:
		return lessor.Shown
	case run.learning.restored:
		return lessor.Inherited
	}
	return lessor.Ordered
}

// recordSettled stores of a run that it is settled: without that, a later planner which cannot read the worker waits for the longest lease.
// Standing tasks have to start again soon, so that their runs are stored at once.
func (planner *Planner) recordSettled(worker *Worker, run *Run) {
	if run.settled || !run.shown || !worker.leases.Settled(planner.now) {
		return
	}
	if !run.Standing && planner.now.Sub(run.ConfirmedAt) < settleDelay {
		return
	}
	if step := planner.steps[run.Key.step()]; step != nil {
		run.settled = true
		step.touch(run.Key.Index)
		planner.markDirty(step.job)
	}
}

// firstTerm is the term of a decider that has none before it.
const firstTerm = 1

// isSettled reports whether the worker's life which answers now has no longer leases than usual from earlier planners: there were none, or one
// stored this.
func (planner *Planner) isSettled(worker *Worker) bool {
	if planner.Term == firstTerm && !worker.restarted {
		return true
	}
	for _, run := range worker.Runs {
		if run.settled && run.Incarnation != 0 && run.Incarnation == worker.Incarnation {
			return true
		}
	}
	return false
}

// RestartEvent describes that a worker has restarted, for logs.
type RestartEvent struct {
	Worker      string
	Former      int64 // incarnation before, in Unix milliseconds, 0 if unknown
	Incarnation int64 // incarnation that has shown itself, 0 if unknown
	Runs        int   // number of runs that it had or may have
	Token       int64 // raised fencing token
	ExpireIn    time.Duration
	Reason      lessor.Reason // why its leases may last for so long
}

// SilenceEvent describes a worker with runs that does not answer, for logs.
type SilenceEvent struct {
	Worker      string
	Incarnation int64 // last one that is known, 0 if none is
	Runs        int
	Expired     int           // number of runs that were closed now since their leases have expired
	Shown       LeaseEstimate // of the runs that its last known life has shown
	Unshown     LeaseEstimate // of the others, as if a former planner had ordered them
}

// LeaseEstimate says when leases have expired, and why not before.
type LeaseEstimate struct {
	ExpireIn time.Duration // below 0 once they have expired
	Reason   lessor.Reason
}

func (planner *Planner) estimate(expiry lessor.Expiry) LeaseEstimate {
	return LeaseEstimate{ExpireIn: expiry.At.Sub(planner.now), Reason: expiry.Reason}
}

func (planner *Planner) reportRestart(worker *Worker, incarnation int64) {
	known := planner.estimate(worker.leases.Known())
	planner.restarts = append(planner.restarts, RestartEvent{
		Worker: worker.ID, Former: worker.Incarnation, Incarnation: incarnation, Runs: len(worker.Runs), Token: worker.Token,
		ExpireIn: known.ExpireIn, Reason: known.Reason,
	})
}

// reportSilences reports each worker with runs that has not answered for expiryRecordDelay, once.
func (planner *Planner) reportSilences(now time.Time) {
	for _, worker := range planner.workerList {
		if !worker.RunsKnown && !worker.silenceReported && len(worker.Runs) > 0 && now.Sub(worker.runsUnknownSince) >= expiryRecordDelay {
			worker.silenceReported = true
			planner.reportExpired(worker, 0)
		}
	}
}

// reportExpired reports a worker that does not answer, of whose runs a number are closed now.
func (planner *Planner) reportExpired(worker *Worker, expired int) {
	planner.silences = append(planner.silences, SilenceEvent{
		Worker: worker.ID, Incarnation: worker.Incarnation, Runs: len(worker.Runs), Expired: expired,
		Shown: planner.estimate(worker.leases.Known()), Unshown: planner.estimate(worker.leases.Expiry(lessor.Inherited)),
	})
}
