package server

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/retrier"
)

// handleJobTaskEnd applies the end of an attempt to its task. An end whose job is not known yet is stored in
// tenure.unmatchedEnds. The end of an attempt before the current one changes nothing, and the worker may drop it.
// The caller holds tenure.mu.
func (tenure *tenure) handleJobTaskEnd(effect decider.Ended) {
	id, index := splitWork(effect.Work.ID)
	job := tenure.jobs[id]
	if job == nil {
		tenure.keepUnmatched(effect)
		return
	}
	if index < 0 || index >= len(job.Tasks) {
		return
	}
	task := &job.Tasks[index]
	if task.State.final() || !isLatestAttempt(task, effect) {
		tenure.decider.ForgetEnded(effect.Worker, effect.Task)
		if task.State == JobQueued {
			tenure.restoreQueued(job, index)
		}
		return
	}
	task.Task, task.Attempts = effect.Task, max(task.Attempts, effect.Work.Attempt)
	job.unreplicatedEnds = append(job.unreplicatedEnds, effect)
	task.Status = effect.Status
	if effect.Checkpoint != "" {
		task.Resume = effect.Checkpoint
	}
	task.State = job.stateAfter(task, effect)
	if task.State == JobDone {
		tenure.fetchAnswer(job, index, effect)
	}
	if task.State == JobQueued || job.Spec.Gang && job.has(JobQueued) {
		tenure.requeue(job, index, effect.Ending)
	}
	tenure.publishVersion(job)
}

// keepUnmatched keeps the end of a task whose job is not known yet, unless that of a later attempt is kept.
func (tenure *tenure) keepUnmatched(effect decider.Ended) {
	former, found := tenure.unmatchedEnds[effect.Work.ID]
	if found && former.effect.Work.Attempt > effect.Work.Attempt {
		tenure.decider.ForgetEnded(effect.Worker, effect.Task)
		return
	}
	tenure.unmatchedEnds[effect.Work.ID] = unmatchedEnd{effect: effect, at: time.Now()}
}

// isLatestAttempt reports whether an end is that of the latest known attempt, or of a later one: a former decider may have
// started a queued task again after this decider had read its record.
func isLatestAttempt(task *JobTask, effect decider.Ended) bool {
	return task.Task == "" || task.Task == effect.Task || task.State == JobQueued && effect.Work.Attempt > task.Attempts
}

// stateAfter returns the state of a task after an attempt ended. It adds the worker of a failed attempt to
// task.Avoid.
func (jobState *jobState) stateAfter(task *JobTask, effect decider.Ended) JobTaskState {
	repeatable := jobState.repeatable()
	switch {
	case jobState.Canceled && effect.Ending != decider.Completed && effect.Ending != decider.Failed:
		return JobCanceled
	case jobState.Spec.Standing:
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

// repeatable reports whether tasks that have run may run again.
func (jobState *jobState) repeatable() bool {
	return jobState.Spec.Idempotent || jobState.Spec.Standing
}

// has reports whether a task is in the given state.
func (jobState *jobState) has(state JobTaskState) bool {
	return slices.ContainsFunc(jobState.Tasks, func(task JobTask) bool { return task.State == state })
}

// requeue queues a task again: a member of a gang together with the other members after all have ended, a standing
// task and a task with several attempts after a delay, and any other task at once.
func (tenure *tenure) requeue(job *jobState, index int, ending decider.Ending) {
	switch {
	case job.Spec.Gang:
		tenure.restartGang(job)
	case job.Spec.Standing && ending != decider.NeverRan:
		tenure.enqueueAfter(job, index, standingRestartDelay)
	case job.Tasks[index].Attempts > maxUndelayedAttempts:
		tenure.enqueueAfter(job, index, retryDelay(job.Tasks[index].Attempts))
	default:
		tenure.enqueueTask(job, index)
	}
}

// retryDelay returns the delay before a task is queued again. It starts at minRetryDelay and doubles with each attempt
// beyond maxUndelayedAttempts, at most maxRetryDoublings times.
func retryDelay(attempts int) time.Duration {
	doublings := min(attempts-maxUndelayedAttempts-1, maxRetryDoublings)
	return minRetryDelay << doublings
}

// enqueueAfter queues a task after a delay, if its state is still JobQueued then.
func (tenure *tenure) enqueueAfter(job *jobState, index int, delay time.Duration) {
	tenure.goroutines.Go(func() {
		retrier.Sleep(tenure.ctx, delay)
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		if job.Tasks[index].State == JobQueued {
			tenure.enqueueTask(job, index)
			tenure.requestTick()
		}
	})
}

// restartGang cancels the running members of a gang of which one has ended, and queues all members once none is
// running. If a member that must not run again has ended, the members that have not run are canceled: a gang starts as a whole.
func (tenure *tenure) restartGang(job *jobState) {
	running := 0
	for i := range job.Tasks {
		if job.Tasks[i].State == JobRunning {
			running++
			tenure.decider.Cancel(workID(job.ID, i))
		}
	}
	if running > 0 {
		return
	}
	if !job.repeatable() && slices.ContainsFunc(job.Tasks, func(task JobTask) bool { return task.State.final() }) {
		cancelQueued(job)
		return
	}
	for i := range job.Tasks {
		job.Tasks[i].State = JobQueued
		tenure.enqueueTask(job, i)
	}
}

// cancelQueued ends the queued members of a gang that cannot start again. One with a checkpoint has run in part.
func cancelQueued(job *jobState) {
	for i := range job.Tasks {
		task := &job.Tasks[i]
		switch {
		case task.State != JobQueued:
		case task.Resume != "":
			task.State = JobUnknown
		default:
			task.State = JobCanceled
		}
	}
}

// fetchAnswer fetches the answer of a finished task from its worker, in the background, and stores its first
// maxStoredAnswerBytes.
func (tenure *tenure) fetchAnswer(job *jobState, index int, effect decider.Ended) {
	worker, found := tenure.decider.AddressOf(effect.Worker)
	if !found {
		return
	}
	tenure.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(tenure.ctx, clientTimeout)
		defer cancel()
		response, err := tenure.server.workerClient.Answer(ctx, worker, effect.Task)
		if err != nil {
			tenure.server.log.Warn("failed to fetch the answer of a task", "task", effect.Task, "error", err)
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(io.LimitReader(response.Body, maxStoredAnswerBytes+1))
		if err != nil || response.StatusCode != http.StatusOK {
			tenure.server.log.Warn("failed to fetch the answer of a task", "task", effect.Task, "status", response.StatusCode, "error", err)
			return
		}
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		task := &job.Tasks[index]
		task.Truncated = len(body) > maxStoredAnswerBytes
		task.Answer = body[:min(len(body), maxStoredAnswerBytes)]
		tenure.publishVersion(job)
	})
}

func (tenure *tenure) handleJobTaskExpiry(work decider.Work) {
	id, index := splitWork(work.ID)
	job := tenure.jobs[id]
	if job == nil || index < 0 || index >= len(job.Tasks) {
		return
	}
	job.Tasks[index].State = JobExpired
	tenure.publishVersion(job)
}

// forgetEnds lets the workers drop ended tasks. The ends must have been replicated to another host.
func (tenure *tenure) forgetEnds(ends []decider.Ended) {
	for _, end := range ends {
		tenure.decider.ForgetEnded(end.Worker, end.Task)
	}
}
