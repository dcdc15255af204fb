// Package tracker keeps what the journal holds about the tasks of a step: what became of their earlier runs, as far as a planner decides by
// it. A planner that restores it comes to the same conclusions as the one that stored it.
package tracker

import (
	"iter"
	"slices"
	"strings"

	"ebonyshunt.org/library/blamer"
	"ebonyshunt.org/library/encoder"
)

// maxAvoided bounds the workers that a task avoids, the latest ones, and thereby the size of their records.
const maxAvoided = 8

// Task is the progress of one task.
type Task struct {
	LastNumber int // number of its last run, 0 before the first one
	Failures   int // number of its runs that failed; of a gang, with its first task, the number of the gang's runs that failed
	Hangs      int // number of its runs that were stopped because they hung
	Done       bool
	Checkpoint string          // from which its next run resumes, empty if it begins anew
	Avoided    []string        // IDs of the workers on which it failed last, or from which it was moved for being late
	Evidence   blamer.Evidence // crashes that count against it, or may do so
}

// Avoid notes that the task is to start on another worker next time, if there is one.
func (task *Task) Avoid(worker string) {
	if slices.Contains(task.Avoided, worker) {
		return
	}
	task.Avoided = append(task.Avoided, worker)
	task.Avoided = task.Avoided[max(len(task.Avoided)-maxAvoided, 0):]
}

// Gang is the progress of the tasks of a gang together.
type Gang struct {
	// FailedNumber is the number of its last run that counts as failed, 0 if none does.
	FailedNumber int
}

// CountFailure reports whether the failure of the gang's run with the given number is to be counted, and notes that it is: each member that
// fails with the run reports it. A gang starts again only once none of its runs is open, so that the numbers of the runs that fail only grow.
func (gang *Gang) CountFailure(number int) bool {
	if number <= gang.FailedNumber {
		return false
	}
	gang.FailedNumber = number
	return true
}

// RestoreFailedNumber sets the number of the last failed run of a gang that an earlier release stored, which did not tell it. If the gang
// has failed before, the release is taken to have counted a failure of its last run if a member of that run has ended.
func (gang *Gang) RestoreFailedNumber(failures, lastNumber int, memberEnded bool) {
	if gang.FailedNumber > 0 || failures == 0 {
		return
	}
	gang.FailedNumber = lastNumber
	if !memberEnded {
		gang.FailedNumber--
	}
}

// Encode returns the stored progress of consecutive tasks, of which there are count, by their indexes. Open runs are left to the caller.
func Encode(tasks iter.Seq2[int, *Task], count int) encoder.StepProgress {
	var progress encoder.StepProgress
	var marks strings.Builder
	completed, begun, failed := false, false, false
	numbers, failures := make([]int, 0, count), make([]int, 0, count)
	for index, task := range tasks {
		mark := byte('0')
		if task.Done {
			mark = '1'
		}
		marks.WriteByte(mark)
		numbers, failures = append(numbers, task.LastNumber), append(failures, task.Failures)
		completed = completed || task.Done
		begun = begun || task.LastNumber > 0
		failed = failed || task.Failures > 0
		if !task.Done {
			task.addTo(&progress, index)
		}
	}
	if completed {
		progress.Done = marks.String()
	}
	if begun {
		progress.Numbers = numbers
	}
	if failed {
		progress.Failures = failures
	}
	return progress
}

// addTo adds to the stored progress what matters of a task only until it is done.
func (task *Task) addTo(progress *encoder.StepProgress, index int) {
	progress.AddCheckpoint(index, task.Checkpoint)
	progress.AddHangs(index, task.Hangs)
	progress.AddAvoided(index, task.Avoided)
	progress.Add(index, &task.Evidence)
}

// Restore restores what Encode returned, but for the runs that were lost on silent workers. The function task returns the task with an index,
// nil if there is none; the lists of the stored progress begin with that with index first. It returns the tasks in these lists.
func Restore(stored encoder.StepProgress, first int, task func(index int) *Task) []*Task {
	var listed []*Task
	for position := range max(len(stored.Done), len(stored.Numbers), len(stored.Failures)) {
		restored := task(first + position)
		if restored == nil {
			break
		}
		listed = append(listed, restored)
		if position < len(stored.Done) {
			restored.Done = stored.Done[position] == '1'
		}
		if position < len(stored.Numbers) {
			restored.LastNumber = stored.Numbers[position]
		}
		if position < len(stored.Failures) {
			restored.Failures = stored.Failures[position]
		}
	}
	restoreEach(stored.Checkpoints, task, func(task *Task, checkpoint string) { task.Checkpoint = checkpoint })
	restoreEach(stored.Hangs, task, func(task *Task, hangs int) { task.Hangs = hangs })
	restoreEach(stored.Crashes, task, func(task *Task, crashes int) { task.Evidence.Crashes = crashes })
	restoreEach(stored.Unanswered, task, func(task *Task, crashes int) { task.Evidence.Unanswered = crashes })
	restoreEach(stored.Avoided, task, func(task *Task, workers []string) {
		for _, worker := range workers {
			task.Avoid(worker)
		}
	})
	return listed
}

// restoreEach restores the values of tasks, by index. Those of tasks that do not exist are passed over.
func restoreEach[Value any](values map[int]Value, task func(index int) *Task, restore func(*Task, Value)) {
	for index, value := range values {
		if restored := task(index); restored != nil {
			restore(restored, value)
		}
	}
}
