package tests

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

const (
	crashingJob  = 99
	maxCrashRuns = 5 // the most runs of a task that crashes its workers: three crashes, and two starts more
)

// TestFleetCrashingTask guards against a task that takes down one worker after the other without end.
func TestFleetCrashingTask(t *testing.T) {
	t.Run("isGivenUp", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) { fleet.runCrashingJob(func() {}) })
	})
	t.Run("isGivenUpAcrossATakeover", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			fleet.runCrashingJob(func() {
				time.Sleep(2 * time.Second)
				fleet.killHost(fleet.decidingHost())
			})
		})
	})
}

// runCrashingJob submits a job that crashes each worker that starts it, and other jobs beside it, and then calls disturb.
// It checks that the job is reported as failed soon, that it had few runs, and that the other jobs are completed.
func (fleet *fleet) runCrashingJob(disturb func()) {
	fleet.Helper()
	for _, worker := range fleet.workers {
		worker.CrashDowntime = 3 * time.Second
		worker.Simulate = func(task string, _ int) (time.Duration, string) {
			if strings.HasPrefix(task, jobID(crashingJob)) {
				return 10 * time.Millisecond, emulator.Crash
			}
			return 400 * time.Millisecond, "done"
		}
	}
	fleet.submitOneTask(crashingJob)
	for number := range 10 {
		fleet.submitJob(fleet.hostNames[number%4], number)
	}
	disturb()
	fleet.awaitState(jobID(crashingJob), "failed", time.Minute)
	for _, id := range fleet.acceptedJobs {
		fleet.awaitState(id, "completed", 20*time.Second)
	}
	runs := 0
	for _, worker := range fleet.workers {
		for _, run := range worker.History() {
			if strings.HasPrefix(run.Task, jobID(crashingJob)) {
				runs++
			}
		}
	}
	if runs > maxCrashRuns {
		fleet.Errorf("the crashing task was started %d times, want %d at most", runs, maxCrashRuns)
	}
}

// submitOneTask submits a job of one task.
func (fleet *fleet) submitOneTask(number int) {
	fleet.Helper()
	body := `{"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":100}]}`
	if answer := fleet.call("POST", fleet.hostNames[0], fleetPathPrefix+jobID(number), fleetKey, body); answer.status != http.StatusOK {
		fleet.Fatalf("submission of job %d was answered %d", number, answer.status)
	}
}

// awaitState waits until a host reports a job in a state, and marks the test as failed after the timeout.
func (fleet *fleet) awaitState(id, state string, timeout time.Duration) {
	fleet.Helper()
	var answer fleetAnswer
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if answer = fleet.call("GET", fleet.runningHost(fleet.hostNames[1]), fleetPathPrefix+id, fleetKey, ""); answer.state == state {
			return
		}
	}
	fleet.Errorf("job %s is %+v after %v, want %s", id, answer, timeout, state)
}
