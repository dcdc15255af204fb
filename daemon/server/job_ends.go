package server

import (
	"context"
	"io"
	"net/http"
	"time"

	"ebonyshunt.org/library/decider"
)

// jobTaskEnded decides what becomes of a job's task; the caller holds the lock.
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
	row.ends = append(row.ends, effect)
	task.Status = effect.Status
	if effect.Checkpoint != "" {
		task.Resume = effect.Checkpoint
	}
	task.State = row.after(task, effect)
	if task.State == JobDone {
		tenure.fetchAnswer(row, index, effect)
	}
	if task.State == JobQueued {
		tenure.requeue(row, index, effect.Ending)
	}
	tenure.touch(row)
}

// after returns the state of a task after an ending.
func (jobRow *jobRow) after(task *JobTask, effect decider.Ended) JobTaskState {
	again := jobRow.Spec.Idempotent || jobRow.Spec.Standing
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
		if again && task.Attempts < mostAttempts {
			return JobQueued
		}
		return JobFailed
	case again:
		return JobQueued
	}
	return JobUnknown
}

// requeue starts a task again: alone, with its whole gang once all members have ended, or after a pause
// for a standing one.
func (tenure *tenure) requeue(row *jobRow, index int, ending decider.Ending) {
	switch {
	case row.Spec.Gang:
		tenure.regroup(row)
	case row.Spec.Standing && ending != decider.NeverRan:
		tenure.enqueueAfter(row, index, standingPause)
	case row.Tasks[index].Attempts > freeAttempts:
		tenure.enqueueAfter(row, index, attemptPause(row.Tasks[index].Attempts))
	default:
		tenure.enqueueTask(row, index)
	}
}

// attemptPause doubles with each attempt beyond the first few, up to a ceiling.
func attemptPause(attempts int) time.Duration {
	doublings := min(attempts-freeAttempts-1, mostDoublings)
	return firstPause << doublings
}

// enqueueAfter queues a task after a pause, if it still waits then.
func (tenure *tenure) enqueueAfter(row *jobRow, index int, pause time.Duration) {
	tenure.wait.Go(func() {
		sleep(tenure.ctx, pause)
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		if row.Tasks[index].State == JobQueued {
			tenure.enqueueTask(row, index)
			tenure.poke()
		}
	})
}

// regroup ends the other members of a gang that lost one, and queues all once none is left.
func (tenure *tenure) regroup(row *jobRow) {
	left := 0
	for i := range row.Tasks {
		if row.Tasks[i].State == JobRunning {
			left++
			tenure.decider.Cancel(workID(row.ID, i))
		}
	}
	if left > 0 {
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

// fetchAnswer keeps the answer of a finished task, up to its bound.
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
			tenure.server.log.Warn("answer not fetched", "task", effect.Task, "error", err)
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(io.LimitReader(response.Body, mostKept+1))
		if err != nil || response.StatusCode != http.StatusOK {
			tenure.server.log.Warn("answer not fetched", "task", effect.Task, "status", response.StatusCode, "error", err)
			return
		}
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		task := &row.Tasks[index]
		task.Cut = len(body) > mostKept
		task.Answer = body[:min(len(body), mostKept)]
		tenure.touch(row)
	})
}

func (tenure *tenure) jobTaskExpired(work decider.Work) {
	id, index := splitWork(work.ID)
	row := tenure.jobs[id]
	if row == nil || index < 0 || index >= len(row.Tasks) {
		return
	}
	row.Tasks[index].State = JobExpired
	tenure.touch(row)
}

// forget lets the workers drop tasks whose ends are with the keepers.
func (tenure *tenure) forget(ends []decider.Ended) {
	for _, end := range ends {
		tenure.decider.Forget(end.Worker, end.Task)
	}
}
