package planner

import (
	"slices"

	"ebonyshunt.org/library/encoder"
)

// restoreCrashes notes which tasks crashes count against, and restores the runs that were lost on silent workers.
func (planner *Planner) restoreCrashes(step *step, stored encoder.StepProgress) {
	step.suspected = step.suspected || len(stored.Crashes)+len(stored.Unanswered) > 0
	for _, lost := range stored.Lost {
		if lost.Index < 0 || lost.Index >= len(step.tasks) {
			continue
		}
		task, worker := &step.tasks[lost.Index], planner.ensureWorker(lost.Worker)
		if !task.Evidence.RestoreLost(lost.Loss, planner.now) {
			continue
		}
		key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: lost.Index}
		if !slices.Contains(worker.lostTasks, key) {
			worker.lostTasks = append(worker.lostTasks, key)
		}
		step.suspected = true
	}
}
