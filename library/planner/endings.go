package planner

import (
	"slices"
	"time"
)

// closeRun removes a run that has ended, and updates its task, job and occurrence.
func (planner *Planner) closeRun(step *step, run *Run, ending Ending, checkpoint string, now time.Time) {
	planner.removeRun(step, run)
	planner.markDirty(step.job)
	if checkpoint != "" {
		step.tasks[run.Key.Index].Checkpoint = checkpoint
	}
	planner.recordOutcome(step, run, ending, now)
	planner.recordRunEnd(step, run, ending, now)
	planner.recordLoss(step, run, ending)
	if ending != EndedDone {
		planner.events = append(planner.events, EndEvent{
			Job: step.job.ID, Queue: step.job.Queue, Team: step.job.Team, Duration: now.Sub(run.OrderedAt),
			Task: run.Key, Number: run.Number, Worker: run.Worker, Ending: ending,
		})
	}
	switch {
	case step.job.state.Final():
	case step.Gang:
		planner.closeGangMember(step, run, ending, now)
	default:
		planner.closeTask(step, run, ending, now)
	}
	if step.openCount == 0 && (step.job.state.Final() || step.completedTasks == step.Count) {
		delete(planner.steps, step.key)
		planner.dropCompleted(step.occurrence, step.job)
	}
}

// closeTask updates a task that is not in a gang after the end of a run: the task is done, its job has failed, or
// the task waits again.
func (planner *Planner) closeTask(step *step, run *Run, ending Ending, now time.Time) {
	task := &step.tasks[run.Key.Index]
	switch {
	case task.Done: // its other run completed it
		return
	case ending == EndedDone && !step.Standing:
		planner.recordHedgeOutcome(task, run, now)
		planner.completeTask(step, run.Key.Index, now)
		for _, other := range task.openRuns() {
			planner.stopRun(other, now)
		}
		return
	case ending == EndedFailed && !step.Standing:
		task.Failures++
		task.Avoid(run.Worker)
		if planner.attemptsExhausted(step, task) {
			planner.finishJob(step.job, Failed, now)
			return
		}
	case ending == EndedFailed:
		task.Avoided = []string{run.Worker}
	}
	step.enqueue(run.Key.Index)
}

// attemptsExhausted reports whether a task has failed as often as its queue allows.
func (planner *Planner) attemptsExhausted(step *step, task *task) bool {
	queue, found := planner.catalog.Queue(step.job.Queue)
	return found && queue.MaxAttempts > 0 && task.Failures >= queue.MaxAttempts
}

// completeTask marks a task as done, and completes its step and occurrence with the last one.
func (planner *Planner) completeTask(step *step, index int, now time.Time) {
	task := &step.tasks[index]
	if task.Done {
		return
	}
	task.Done = true
	step.touch(index)
	step.completedTasks++
	step.waiting = slices.DeleteFunc(step.waiting, func(waiting int) bool { return waiting == index })
	if step.completedTasks < step.Count {
		return
	}
	planner.updateSlowness(step)
	step.occurrence.completedSteps++
	if step.occurrence.completedSteps < len(step.occurrence.steps) {
		planner.activateSteps(step.occurrence)
		return
	}
	planner.completeOccurrence(step.job, step.occurrence, now)
}

// completeOccurrence counts a completed occurrence, and completes the job with the last one.
func (planner *Planner) completeOccurrence(entry *jobEntry, occurrence *occurrence, now time.Time) {
	entry.completedOccurrences++
	if entry.completedOccurrences == entry.Job.occurrences() {
		planner.finishJob(entry, Completed, now)
	}
	planner.dropCompleted(occurrence, entry)
}

// dropCompleted removes an occurrence that is completed, or whose job has ended, once none of its runs is open: the end of another member
// of a gang, or of a copy, may not have been listed yet.
func (planner *Planner) dropCompleted(occurrence *occurrence, entry *jobEntry) {
	if (entry.state.Final() || occurrence.completedSteps == len(occurrence.steps)) && !occurrence.hasOpenRuns() {
		planner.removeOccurrence(occurrence, entry)
	}
}

// hasOpenRuns reports whether a run of the occurrence exists or may exist.
func (occurrence *occurrence) hasOpenRuns() bool {
	return slices.ContainsFunc(occurrence.steps, func(step *step) bool { return step.openCount > 0 })
}
