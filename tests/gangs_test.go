package tests

import (
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
)

// TestGangLosesAMember restarts the worker of one member while the gang runs. The other members must be stopped, and
// the whole gang must run again only if the job is idempotent.
func TestGangLosesAMember(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		want       responder.Outcome
		attempts   int
	}{
		{"idempotent", true, responder.Answered, 2},
		{"notIdempotent", false, responder.Unknown, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runCellTest(t, 2, func(h *harness) {
				job := h.submitJob("entry-a-0", server.JobSpec{Service: "work", Gang: true, Idempotent: test.idempotent, Tasks: taskSpecs(3, "?workMS=60000")})
				time.Sleep(2 * time.Second)
				running := h.fetchJob("entry-a-0", job.ID)
				restartedWorker := running.Tasks[0].Worker
				h.Workers[restartedWorker].Reboot()
				h.fabric.Reset(restartedWorker)
				ended := h.awaitJob("entry-a-0", job.ID, 10*time.Minute)
				if !ended.Finished() || ended.Outcome() != test.want {
					t.Errorf("outcome %s: %+v", ended.Outcome(), ended.Tasks)
				}
				for i := range ended.Tasks {
					if ran := h.observer.attemptCount(job.ID + "_" + string(rune('0'+i))); ran != test.attempts {
						t.Errorf("task %d ran %d times, want %d", i, ran, test.attempts)
					}
				}
			})
		})
	}
}
