package planner

import "ebonyshunt.org/library/encoder"

// A task may fail as often as its queue allows. The failures of a gang are those of its runs, whichever members report them, and are
// counted in its first task.

// attemptsExhausted reports whether a task has failed as often as its queue allows.
func (planner *Planner) attemptsExhausted(step *step, task *task) bool {
	queue, found := planner.catalog.Queue(step.job.Queue)
	return found && queue.MaxAttempts > 0 && task.failures >= queue.MaxAttempts
}

// countGangFailure counts the failure of a gang's run once, although every member that fails with it reports it. A gang starts again only
// once none of its runs is open, so that the numbers of the runs that fail only grow.
func (step *step) countGangFailure(number int) {
	if number > step.failedNumber {
		step.failedNumber = number
		step.tasks[0].failures++
		step.touch(0)
	}
}

// lastGangNumber returns the number of a gang's latest run, 0 before the first one.
func (step *step) lastGangNumber() int {
	number := 0
	for index := range step.tasks {
		number = max(number, step.tasks[index].lastRunNumber)
	}
	return number
}

// addFailedNumber adds the number of the gang's last failed run to the stored progress of its tasks from index first.
func (step *step) addFailedNumber(progress *encoder.StepProgress, first int) {
	if first == 0 {
		progress.FailedNumber = step.failedNumber
	}
}

// restoreFailedNumber restores the number of the gang's last failed run once all of its tasks are restored. Earlier releases did not store
// it: of a gang that has failed before, they are taken to have counted a failure of its last run if a member of that run has ended.
func (step *step) restoreFailedNumber() {
	if !step.Gang || step.failedNumber > 0 || step.tasks[0].failures == 0 {
		return
	}
	step.failedNumber = step.lastGangNumber()
	if step.openCount == step.Count {
		step.failedNumber--
	}
}

// restoreFailedNumbers does so for all gangs of the job.
func (jobEntry *jobEntry) restoreFailedNumbers() {
	for _, occurrence := range jobEntry.occurrences {
		for _, step := range occurrence.steps {
			step.restoreFailedNumber()
		}
	}
}
