package emulator

import (
	"strconv"
	"strings"
)

// The outcomes of runs.
const (
	Done    = "done"
	Failed  = "failed"
	Stopped = "stopped" // by a stop order
	Lapsed  = "lapsed"  // ended since the lease expired
	Crashed = "crashed" // ended with its worker's process; hosts are not told of it
)

// The name of a task consists of its job's ID, the occurrence, the step's number and the task's index, with separators.
const (
	taskSeparator = "."
	taskParts     = 4
	stepPart      = 2
)

// SplitTask returns the job's ID and the step's number in the name of a task. A name of another form is returned as it is,
// with step 0.
func SplitTask(task string) (job string, step int) {
	parts := strings.Split(task, taskSeparator)
	if len(parts) != taskParts {
		return task, 0
	}
	step, err := strconv.Atoi(parts[stepPart])
	if err != nil {
		return task, 0
	}
	return parts[0], step
}

// IsTaskOf reports whether a task belongs to a job, by their names.
func IsTaskOf(task, job string) bool { return strings.HasPrefix(task, job+taskSeparator) }

// TrimIndex returns the name of a task without its index. The tasks of a step's occurrence have it in common.
func TrimIndex(task string) string {
	if index := strings.LastIndex(task, taskSeparator); index >= 0 {
		return task[:index]
	}
	return task
}
