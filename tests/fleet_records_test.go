package tests

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

// TestFleetRejectedRecord guards against a record that the store refuses for good: no job of any customer started any more, and deciders
// followed each other every second (LOST).
func TestFleetRejectedRecord(t *testing.T) {
	const recordBytes = 2500
	tooLarge := strings.Replace(twoStepJob, `"spec":"s"`, `"spec":"`+strings.Repeat("s", recordBytes)+`"`, 1)
	for name, known := range map[string]int64{"limitUnknown": 0, "limitKnown": recordBytes} {
		t.Run(name, func(t *testing.T) {
			runFleetWith(t, 3, func(fleet *fleet) { fleet.maxRecordBytes = known }, func(fleet *fleet) {
				fleet.store.SetFaults(emulator.StoreFaults{RecordBytes: recordBytes})
				decider, elections := fleet.decidingHost(), fleet.logged.count("deciding")
				fleet.submitJob("entry-a-0", 1)
				answers := make(chan fleetAnswer, 1)
				go func() { answers <- fleet.call("POST", "entry-b-0", fleetPathPrefix+jobID(2), fleetKey, tooLarge) }()
				for number := range 10 {
					fleet.submitJob("entry-c-0", 3+number)
					time.Sleep(100 * time.Millisecond)
				}
				if answer := <-answers; answer.status != http.StatusServiceUnavailable {
					t.Errorf("the job that cannot be stored is answered %+v, want a refusal", answer)
				}
				fleet.awaitJobs("entry-a-0", 5*time.Second)
				if fleet.decidingHost() != decider || fleet.logged.count("deciding") != elections {
					t.Errorf("%s decides after %d more elections, want %s", fleet.decidingHost(), fleet.logged.count("deciding")-elections, decider)
				}
				fleet.killHost(decider)
				time.Sleep(3 * time.Second)
				fleet.submitJob("entry-a-0", 20)
				fleet.awaitJobs("entry-a-0", 5*time.Second)
				for _, worker := range fleet.workers {
					for _, run := range worker.History() {
						if strings.HasPrefix(run.Task, jobID(2)) {
							t.Errorf("%s was refused and starts", run.Task)
						}
					}
				}
			})
		})
	}
}
