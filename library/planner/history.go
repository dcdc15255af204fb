package planner

import (
	"slices"

	"ebonyshunt.org/library/encoder"
)

// The journal also holds what became of the earlier runs of a task, as far as the planner decides by it.

// maxAvoided bounds the workers that a task avoids, the latest ones, and thereby the size of their records.
const maxAvoided = 8

// avoid notes that a task is to start on another worker next time, if there is one.
func (task *task) avoid(worker string) {
	if slices.Contains(task.avoided, worker) {
		return
	}
	task.avoided = append(task.avoided, worker)
	task.avoided = task.avoided[max(len(task.avoided)-maxAvoided, 0):]
}

// addHistory adds the history of the step's tasks from index first to before index end to their stored progress.
func (step *step) addHistory(progress *encoder.StepProgress, first, end int) {
	for index := first; index < end; index++ {
		task := &step.tasks[index]
		if task.done {
			continue
		}
		progress.AddHangs(index, task.hangs)
		progress.AddAvoided(index, task.avoided)
	}
}

// restoreHistory restores what addHistory stored.
func (step *step) restoreHistory(stored encoder.StepProgress) {
	for index, hangs := range stored.Hangs {
		if index < len(step.tasks) {
			step.tasks[index].hangs = hangs
		}
	}
	for index, workers := range stored.Avoided {
		if index < 0 || index >= len(step.tasks) {
			continue
		}
		for _, worker := range workers {
			step.tasks[index].avoid(worker)
		}
	}
}
