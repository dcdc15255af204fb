package tests

import (
	"net/http"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

// TestFleetLargeJob guards against one job of many tasks that stops the jobs of all customers (LOST), while deciders are killed and stopped
// as planned, and against tasks of it that a new decider starts again.
func TestFleetLargeJob(t *testing.T) {
	const (
		recordBytes = 30_000 // some 400 runs in one record
		largeJob    = `{"spec":"s","steps":[{"count":1500,"cpu":50,"memMb":10,"estimateMs":600000,"longRunning":true}]}`
	)
	for name, delegateFrom := range map[string]int64{"directly": noDelegates, "delegates": 1} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 4, delegateFrom, func(fleet *fleet) {
				for _, worker := range fleet.workers {
					worker.Simulate = simulateLasting
				}
				fleet.store.SetFaults(emulator.StoreFaults{RecordBytes: recordBytes})
				if answer := fleet.call("POST", "entry-a-0", fleetPathPrefix+jobID(lastingJob), fleetKey, largeJob); answer.status != http.StatusOK {
					t.Fatalf("the large job is answered %+v", answer)
				}
				for number, how := range []string{"", "killed", "stopped"} {
					host := fleet.replaceDecider(how)
					fleet.submitJob(host, 1+number)
					time.Sleep(5 * time.Second)
					fleet.awaitJobs(host, 5*time.Second)
				}
				if runs := len(fleet.runsOf(jobID(lastingJob))); runs != 1500 {
					t.Errorf("%d starts of the large job, want each of the 1500 tasks started once", runs)
				}
			})
		})
	}
}
