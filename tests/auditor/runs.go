// Package auditor checks what emulated workers ran against the rules of the platform.
package auditor

import (
	"fmt"
	"slices"

	"ebonyshunt.org/standin/emulator"
)

// CheckRuns checks that no task had two runs at the same time, or another run after one that ended as done and
// whose end was acknowledged. An end that was not acknowledged is lost when its worker restarts, and the task
// then runs again. It returns a text for each violation.
func CheckRuns(workers []*emulator.Worker) []string {
	byTask := map[string][]emulator.RunRecord{}
	for _, worker := range workers {
		for _, run := range worker.History() {
			byTask[run.Task] = append(byTask[run.Task], run)
		}
	}
	var violations []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b emulator.RunRecord) int { return a.At.Compare(b.At) })
		for index, run := range runs[1:] {
			previous := runs[index]
			if previous.Outcome == emulator.Done && previous.Acknowledged || previous.Ended.IsZero() || run.At.Before(previous.Ended) {
				violations = append(violations, fmt.Sprintf("%s: run %d began beside or after run %d (%s)", task, run.Run, previous.Run, previous.Outcome))
			}
		}
	}
	slices.Sort(violations)
	return violations
}
