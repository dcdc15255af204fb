package planner

import "ebonyshunt.org/library/encoder"

// The journal also holds what became of the earlier runs of a task, as far as the planner decides by it.

// addHistory adds the history of the step's tasks from index first to before index end to their stored progress.
func (step *step) addHistory(progress *encoder.StepProgress, first, end int) {
	for index := first; index < end; index++ {
		task := &step.tasks[index]
		if task.done || task.hangs == 0 {
			continue
		}
		if progress.Hangs == nil {
			progress.Hangs = map[int]int{}
		}
		progress.Hangs[index] = task.hangs
	}
}

// restoreHistory restores what addHistory stored.
func (step *step) restoreHistory(stored encoder.StepProgress) {
	for index, hangs := range stored.Hangs {
		if index < len(step.tasks) {
			step.tasks[index].hangs = hangs
		}
	}
}
