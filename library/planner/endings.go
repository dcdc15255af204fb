package planner

import (
	"slices"
	"time"
)

// close ends a run and decides what becomes of its task and job.
func (planner *Planner) close(step *step, run *Run, ending Ending, checkpoint string, now time.Time) {
	planner.detach(step, run)
	planner.touch(step.job)
	if checkpoint != "" {
		step.tasks[run.Key.Index].checkpoint = checkpoint
	}
	planner.learn(step, run, ending, now)
	if ending != EndedDone {
		planner.notes = append(planner.notes, Note{
			Job: step.job.ID, Queue: step.job.Queue, Team: step.job.Team, Took: now.Sub(run.Began),
			Task: run.Key, Number: run.Number, Worker: run.Worker, Ending: ending,
		})
	}
	switch {
	case step.job.state.Final():
	case step.Gang:
		planner.closeMember(step, run, ending, now)
	default:
		planner.closeTask(step, run, ending, now)
	}
	if step.open == 0 && (step.job.state.Final() || step.done == step.Count) {
		delete(planner.steps, step.key)
		step.of.forget(step.job)
	}
}

// closeTask decides on a task that stands alone: it is done, has used up its attempts, or waits again.
func (planner *Planner) closeTask(step *step, run *Run, ending Ending, now time.Time) {
	task := &step.tasks[run.Key.Index]
	switch {
	case task.done: // by another run
		return
	case ending == EndedDone && !step.Standing:
		planner.complete(step, run.Key.Index, now)
		for _, other := range task.runs() {
			planner.stop(other, now)
		}
		return
	case ending == EndedFailed && !step.Standing:
		task.failures++
		task.failedOn = append(task.failedOn, run.Worker)
		if planner.exhausted(step, task) {
			planner.finish(step.job, Failed, now)
			return
		}
	case ending == EndedFailed:
		task.failedOn = []string{run.Worker}
	}
	step.wait(run.Key.Index)
}

// exhausted reports whether a task has used up its attempts.
func (planner *Planner) exhausted(step *step, task *task) bool {
	queue, found := planner.catalog.Queue(step.job.Queue)
	return found && queue.MostAttempts > 0 && task.failures >= queue.MostAttempts
}

// closeMember ends one member of a gang: one that is done completes them all, any other end stops the rest.
func (planner *Planner) closeMember(step *step, run *Run, ending Ending, now time.Time) {
	if ending == EndedDone && !step.Standing {
		for index := range step.tasks {
			if !step.tasks[index].done {
				planner.complete(step, index, now)
			}
		}
		return
	}
	if ending == EndedFailed && !step.Standing {
		planner.failGang(step, run.Number)
		if step.job.state.Final() {
			return
		}
		if planner.exhausted(step, &step.tasks[0]) {
			planner.finish(step.job, Failed, now)
			return
		}
	}
	for index := range step.tasks {
		if member := step.tasks[index].run; member != nil && !member.Stopping {
			planner.stop(member, now)
		}
	}
	step.wait(run.Key.Index)
}

// failGang counts one failure of a gang's run, which every member that fails with it reports.
func (planner *Planner) failGang(step *step, number int) {
	if step.tasks[0].number == number && step.gang == number {
		step.gang = 0 // counted
		step.tasks[0].failures++
	}
}

// complete takes note that a task is done.
func (planner *Planner) complete(step *step, index int, now time.Time) {
	task := &step.tasks[index]
	if task.done {
		return
	}
	task.done = true
	step.done++
	step.waiting = slices.DeleteFunc(step.waiting, func(waiting int) bool { return waiting == index })
	if step.done < step.Count {
		return
	}
	planner.compareSpeeds(step)
	step.of.done++
	if step.of.done < len(step.of.steps) {
		planner.begin(step.of, now)
		return
	}
	planner.completeOccurrence(step.job, step.of, now)
}

func (planner *Planner) completeOccurrence(row *row, of *occurrence, now time.Time) {
	row.ended++
	if row.ended == row.Job.occurrences() {
		planner.finish(row, Completed, now)
	}
	of.forget(row)
}

// forget drops an occurrence that is completed, once no run of it is open: a member of a gang, or a copy, may
// still be to be listed.
func (occurrence *occurrence) forget(row *row) {
	if occurrence.done < len(occurrence.steps) {
		return
	}
	for _, step := range occurrence.steps {
		if step.open > 0 {
			return
		}
	}
	delete(row.occurrences, occurrence.number)
}
