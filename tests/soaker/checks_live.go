package soaker

import (
	"net/http"
	"slices"
	"time"

	"ebonyshunt.org/standin/caller"
	"ebonyshunt.org/standin/emulator"
)

// isConnected reports whether a host is connected all through a span: whether no fault of its own and none of the store
// was under way in it and in the time before it.
func (soak *soak) isConnected(host int, from, to time.Time) bool {
	return soak.timeline.isFaultFree(from.Add(-reconnectTime), to, concerns(host))
}

// checkComplete checks that a call got its answer, unless faults were under way. Planned stops and changes of the
// configuration must not cost an answer.
func (soak *soak) checkComplete(method, id string, host int, answer caller.Answer) {
	took := answer.ReceivedAt.Sub(answer.SentAt)
	if answer.Status != 0 || answer.Refused || answer.TimedOut || took < lossSlack {
		return
	}
	if soak.timeline.isFaultFree(answer.SentAt.Add(-reconnectTime), answer.ReceivedAt, isUnplanned) {
		soak.report("LOST: %s %s at host %d ended without an answer after %v", method, id, host, took)
	}
}

// checkState checks the answer to a query for the state of a job that was accepted.
func (soak *soak) checkState(job *job, host int, answer caller.Answer) {
	seen := job.observations()
	switch {
	case answer.Status == http.StatusGone:
		isDue := answer.SentAt.Sub(seen.acceptedAt) > visibleWithin
		if isDue && seen.cancelSentAt.IsZero() && soak.isConnected(host, answer.SentAt, answer.ReceivedAt) {
			soak.report("LOST: host %d answers 410 for the accepted job %s", host, job.ID)
		}
	case answer.Status != http.StatusOK:
	case answer.State == caller.Completed:
		soak.checkCompleted(job, answer.ReceivedAt)
	case answer.State == caller.Failed:
		if !soak.hasFailedTask(job) && !hasCrashedTask(job, soak.allRuns()) {
			soak.report("LOST: job %s is shown as failed, no task failed %d times, and none was given up after crashes of workers", job.ID, maxAttempts)
		}
	case answer.State == caller.Canceled:
		if seen.cancelSentAt.IsZero() {
			soak.report("LOST: job %s is shown as canceled, and nobody canceled it", job.ID)
		}
	}
}

// checkCompleted checks that all tasks of a job had ended as done when it was shown as completed.
func (soak *soak) checkCompleted(job *job, shownAt time.Time) {
	runs := soak.runsOf(job.ID)
	for number, step := range job.Steps {
		if missing := countMissing(runs, number, step, shownAt); missing > 0 {
			soak.report("MIXED: job %s is shown as completed, and %d tasks of step %d have not ended as done", job.ID, missing, number)
		}
	}
}

// hasFailedTask reports whether a task, or a gang, of a job has used up its attempts.
func (soak *soak) hasFailedTask(job *job) bool {
	failedRuns := map[string]map[int]bool{}
	for _, run := range soak.runsOf(job.ID) {
		_, number := emulator.SplitTask(run.Task)
		name := run.Task
		if job.Steps[number].Gang {
			name = emulator.TrimIndex(run.Task)
		}
		if failedRuns[name] == nil {
			failedRuns[name] = map[int]bool{}
		}
		if run.Outcome == emulator.Failed {
			failedRuns[name][run.Run] = true
		}
	}
	for _, runs := range failedRuns {
		if len(runs) >= maxAttempts {
			return true
		}
	}
	return false
}

// hasCrashedTask reports whether a task of a job may be given up: its runs were lost in maxCrashes crashes of workers, or in
// maxCrashesAlone if nothing else ran on the worker that crashed last.
func hasCrashedTask(job *job, runs []placedRun) bool {
	crashes := map[string][]placedRun{}
	for _, run := range runs {
		if run.Outcome == emulator.Crashed && emulator.IsTaskOf(run.Task, job.ID) {
			crashes[run.Task] = append(crashes[run.Task], run)
		}
	}
	for _, lost := range crashes {
		if len(lost) >= maxCrashes || len(lost) >= maxCrashesAlone && wasAlone(job, lost[len(lost)-1], runs) {
			return true
		}
	}
	return false
}

// wasAlone reports whether no run but those of the same gang was on a worker when it crashed under a run of a job.
func wasAlone(job *job, lost placedRun, runs []placedRun) bool {
	_, number := emulator.SplitTask(lost.Task)
	return !slices.ContainsFunc(runs, func(run placedRun) bool {
		sameGang := job.Steps[number].Gang && emulator.TrimIndex(run.Task) == emulator.TrimIndex(lost.Task)
		wasThere := run.worker == lost.worker && run.At.Before(lost.Ended) && (run.Ended.IsZero() || !run.Ended.Before(lost.Ended))
		return wasThere && run.Task != lost.Task && !sameGang
	})
}
