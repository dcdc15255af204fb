package planner

import (
	"slices"

	"ebonyshunt.org/library/encoder"
)

// addCrashes adds the crashes that count against the step's tasks from index first to before index end, or may do so, to their stored
// progress.
func (step *step) addCrashes(progress *encoder.StepProgress, first, end int) {
	if !step.suspected {
		return
	}
	for index := first; index < end; index++ {
		task := &step.tasks[index]
		if !task.done {
			progress.Add(index, &task.evidence)
		}
	}
}

// restoreCrashes restores what addCrashes stored.
func (planner *Planner) restoreCrashes(step *step, stored encoder.StepProgress) {
	for index, crashes := range stored.Crashes {
		if index >= 0 && index < len(step.tasks) {
			step.tasks[index].evidence.Crashes = crashes
			step.suspected = true
		}
	}
	for index, crashes := range stored.Unanswered {
		if index >= 0 && index < len(step.tasks) {
			step.tasks[index].evidence.Unanswered = crashes
			step.suspected = true
		}
	}
	for _, lost := range stored.Lost {
		if lost.Index < 0 || lost.Index >= len(step.tasks) {
			continue
		}
		task, worker := &step.tasks[lost.Index], planner.ensureWorker(lost.Worker)
		if !task.evidence.RestoreLost(lost.Loss, planner.now) {
			continue
		}
		key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: lost.Index}
		if !slices.Contains(worker.lostTasks, key) {
			worker.lostTasks = append(worker.lostTasks, key)
		}
		step.suspected = true
	}
}
