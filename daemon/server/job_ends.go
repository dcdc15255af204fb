package server

import (
	"context"
	"io"
	"net/http"
	"time"

	"ebonyshunt.org/library/decider"
)

// jobTaskEnded applies the end of an attempt to its task. An end whose job is not known yet is stored in tenure.early.
// The end of an attempt that is not the current one changes nothing, and the worker may drop it. The caller holds
// tenure.mu.
func (tenure *tenure) jobTaskEnded(effect decider.Ended) {
	id, index := splitWork(effect.Work.ID)
	row := tenure.jobs[id]
	if row == nil {
		tenure.early[effect.Work.ID] = earlyEnd{effect: effect, at: time.Now()}
		return
	}
	if index < 0 || index >= len(row.Tasks) {
		return
	}
	task := &row.Tasks[index]
	if task.State.final() || (task.Task != "" && task.Task != effect.Task) {
		tenure.decider.Forget(effect.Worker, effect.Task)
		return
	}
	row.unsavedEnds = append(row.unsavedEnds, effect)
	task.Status = effect.Status
	if effect.Checkpoint != "" {
		task.Resume = effect.Checkpoint
	}
	task.State = row.stateAfter(task, effect)
	if task.State == JobDone {
		tenure.fetchAnswer(row, index, effect)
	}
	if task.State == JobQueued {
		tenure.requeue(row, index, effect.Ending)
	}
	tenure.publishVersion(row)
}

// stateAfter returns the state of a task after an attempt ended. It adds the worker of a failed attempt to
// task.Avoid.
func (jobRow *jobRow) stateAfter(task *JobTask, effect decider.Ended) JobTaskState {
	repeatable := jobRow.Spec.Idempotent || jobRow.Spec.Standing
	switch {
	case jobRow.Canceled && effect.Ending != decider.Completed && effect.Ending != decider.Failed:
		return JobCanceled
	case jobRow.Spec.Standing:
		return JobQueued
	case effect.Ending == decider.Completed:
		return JobDone
	case effect.Ending == decider.NeverRan:
		return JobQueued
	case effect.Ending == decider.Stopped && effect.Checkpoint != "":
		return JobQueued
	case effect.Ending == decider.Failed:
		task.Avoid = append(task.Avoid, effect.Worker)
		if repeatable && task.Attempts < maxAttempts {
			return JobQueued
		}
		return JobFailed
	case repeatable:
		return JobQueued
	}
	return JobUnknown
}

// requeue queues a task again: a member of a gang together with the other members after all have ended, a standing
// task and a task with several attempts after a delay, and any other task at once.
func (tenure *tenure) requeue(row *jobRow, index int, ending decider.Ending) {
	switch {
	case row.Spec.Gang:
		tenure.restartGang(row)
	case row.Spec.Standing && ending != decider.NeverRan:
		tenure.enqueueAfter(row, index, standingRestartDelay)
	case row.Tasks[index].Attempts > maxUndelayedAttempts:
		tenure.enqueueAfter(row, index, retryDelay(row.Tasks[index].Attempts))
	default:
		tenure.enqueueTask(row, index)
	}
}

// retryDelay returns the delay before a task is queued again. It starts at minRetryDelay and doubles with each attempt
// beyond maxUndelayedAttempts, at most maxRetryDoublings times.
func retryDelay(attempts int) time.Duration {
	doublings := min(attempts-maxUndelayedAttempts-1, maxRetryDoublings)
	return minRetryDelay << doublings
}

// enqueueAfter queues a task after a delay, if its state is still JobQueued then.
func (tenure *tenure) enqueueAfter(row *jobRow, index int, delay time.Duration) {
	tenure.wait.Go(func() {
		sleep(tenure.ctx, delay)
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		if row.Tasks[index].State == JobQueued {
			tenure.enqueueTask(row, index)
			tenure.poke()
		}
	})
}

// restartGang cancels the running members of a gang of which one has ended, and queues all members once none is
// running. A gang that is not idempotent is not restarted if the outcome of a member is unknown.
func (tenure *tenure) restartGang(row *jobRow) {
	running := 0
	for i := range row.Tasks {
		if row.Tasks[i].State == JobRunning {
			running++
			tenure.decider.Cancel(workID(row.ID, i))
		}
	}
	if running > 0 {
		return
	}
	for i := range row.Tasks {
		if !row.Spec.Idempotent && row.Tasks[i].State == JobUnknown {
			return
		}
	}
	for i := range row.Tasks {
		row.Tasks[i].State = JobQueued
		tenure.enqueueTask(row, i)
	}
}

// fetchAnswer fetches the answer of a finished task from its worker, in the background, and stores its first
// maxKeptBytes.
func (tenure *tenure) fetchAnswer(row *jobRow, index int, effect decider.Ended) {
	worker, found := tenure.decider.AddressOf(effect.Worker)
	if !found {
		return
	}
	tenure.wait.Go(func() {
		ctx, cancel := context.WithTimeout(tenure.ctx, clientTimeout)
		defer cancel()
		response, err := tenure.server.workers.Answer(ctx, worker, effect.Task)
		if err != nil {
			tenure.server.log.Warn("failed to fetch the answer of a task", "task", effect.Task, "error", err)
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBytes+1))
		if err != nil || response.StatusCode != http.StatusOK {
			tenure.server.log.Warn("failed to fetch the answer of a task", "task", effect.Task, "status", response.StatusCode, "error", err)
			return
		}
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		task := &row.Tasks[index]
		task.Truncated = len(body) > maxKeptBytes
		task.Answer = body[:min(len(body), maxKeptBytes)]
		tenure.publishVersion(row)
	})
}

func (tenure *tenure) jobTaskExpired(work decider.Work) {
	id, index := splitWork(work.ID)
	row := tenure.jobs[id]
	if row == nil || index < 0 || index >= len(row.Tasks) {
		return
	}
	row.Tasks[index].State = JobExpired
	tenure.publishVersion(row)
}

// forgetEnds lets the workers drop ended tasks. The ends must have been copied to another host.
func (tenure *tenure) forgetEnds(ends []decider.Ended) {
	for _, end := range ends {
		tenure.decider.Forget(end.Worker, end.Task)
	}
}
