package planner

import "time"

// The members of a gang run only together: what ends one of them ends all. The failures of a gang are those of its runs, whichever members
// report them, and are counted in its first task.

// closeGangMember updates a gang after the end of a member's run: a member that is done completes all tasks, and any
// other ending stops the other members.
func (planner *Planner) closeGangMember(step *step, run *Run, ending Ending, now time.Time) {
	if ending == EndedDone && !step.Standing {
		for index := range step.tasks {
			if !step.tasks[index].Done {
				planner.completeTask(step, index, now)
			}
		}
		return
	}
	if ending == EndedFailed && !step.Standing {
		step.countGangFailure(run.Number)
		if step.job.state.Final() {
			return
		}
		if planner.attemptsExhausted(step, &step.tasks[0]) {
			planner.finishJob(step.job, Failed, now)
			return
		}
	}
	for index := range step.tasks {
		if member := step.tasks[index].run; member != nil && !member.Stopping {
			planner.stopRun(member, now)
		}
	}
	step.enqueue(run.Key.Index)
}

// countGangFailure counts the failure of a gang's run once, although every member that fails with it reports it.
func (step *step) countGangFailure(number int) {
	if step.gang.CountFailure(number) {
		step.tasks[0].Failures++
		step.touch(0)
	}
}

// lastGangNumber returns the number of a gang's latest run, 0 before the first one.
func (step *step) lastGangNumber() int {
	number := 0
	for index := range step.tasks {
		number = max(number, step.tasks[index].LastNumber)
	}
	return number
}

// restoreGangs completes the gangs of a job whose tasks are restored.
func (planner *Planner) restoreGangs(entry *jobEntry, now time.Time) {
	for _, occurrence := range entry.occurrences {
		for _, step := range occurrence.steps {
			if !step.Gang {
				continue
			}
			step.gang.RestoreFailedNumber(step.tasks[0].Failures, step.lastGangNumber(), step.openCount < step.Count)
			if step.completedTasks > 0 && step.completedTasks < step.Count {
				step.completeRestored()
				planner.markDirty(entry)
			}
			step.stopBroken(now)
		}
	}
}

// completeRestored marks all tasks of a gang as done, of which the journal has only some as done: the parts of a job are separate records,
// of which the former planner may have stored only the first ones.
func (step *step) completeRestored() {
	for index := range step.tasks {
		if !step.tasks[index].Done {
			step.tasks[index].Done = true
			step.touch(index)
		}
	}
	step.completedTasks = step.Count
}

// stopBroken marks the runs of a gang as being stopped if another member has ended, as closeGangMember does. The stops that it requested
// may have been lost with its planner.
func (step *step) stopBroken(now time.Time) {
	if step.openCount < step.Count && !step.endsTogether() {
		step.markStopping(now)
	}
}
