package planner

import "slices"

// LostRun is the journal record of a run on a worker that fell silent and was not heard of since.
type LostRun struct {
	Index       int    `json:"index"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born,omitempty"` // Run.Incarnation
	Number      int    `json:"number"`
	Alone       bool   `json:"alone,omitempty"`
	Sound       bool   `json:"sound,omitempty"`
	Unanswered  bool   `json:"unanswered,omitempty"`
}

// addCrashes adds the crashes that count against the step's tasks, or may do so, to its stored progress.
func (step *step) addCrashes(progress *StepProgress) {
	if !step.suspected {
		return
	}
	for index := range step.tasks {
		task := &step.tasks[index]
		if task.done {
			continue
		}
		progress.Crashes = setCount(progress.Crashes, index, task.crashes)
		progress.Unanswered = setCount(progress.Unanswered, index, task.unansweredCrashes)
		for _, lost := range task.lost {
			progress.Lost = append(progress.Lost, LostRun{
				Index: index, Worker: lost.worker, Incarnation: lost.incarnation, Number: lost.number, Alone: lost.alone, Sound: lost.sound,
				Unanswered: lost.unanswered,
			})
		}
	}
}

// setCount sets the count of a task unless that is 0, in a map that is created if needed.
func setCount(counts map[int]int, index, count int) map[int]int {
	if count == 0 {
		return counts
	}
	if counts == nil {
		counts = map[int]int{}
	}
	counts[index] = count
	return counts
}

// restoreCrashes restores what addCrashes stored.
func (planner *Planner) restoreCrashes(step *step, stored StepProgress) {
	for index, crashes := range stored.Crashes {
		if index >= 0 && index < len(step.tasks) {
			step.tasks[index].crashes = crashes
			step.suspected = true
		}
	}
	for index, crashes := range stored.Unanswered {
		if index >= 0 && index < len(step.tasks) {
			step.tasks[index].unansweredCrashes = crashes
			step.suspected = true
		}
	}
	for _, lost := range stored.Lost {
		if lost.Index < 0 || lost.Index >= len(step.tasks) {
			continue
		}
		task, worker := &step.tasks[lost.Index], planner.ensureWorker(lost.Worker)
		sameRun := func(other lostRun) bool { return other.number == lost.Number }
		if slices.ContainsFunc(task.lost, sameRun) {
			continue // earlier releases stored the runs of all tasks of a gang with the first one
		}
		task.lost = append(task.lost, lostRun{
			worker: lost.Worker, incarnation: lost.Incarnation, number: lost.Number, alone: lost.Alone, sound: lost.Sound,
			unanswered: lost.Unanswered, closedAt: planner.now,
		})
		key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: lost.Index}
		if !slices.Contains(worker.lostTasks, key) {
			worker.lostTasks = append(worker.lostTasks, key)
		}
		step.suspected = true
	}
}
