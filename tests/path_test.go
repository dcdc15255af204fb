package tests

import (
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
)

// TestPath sends one request and one job through a cell without faults.
func TestPath(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			answer := h.post("entry-a-0", "?workMS=100")
			if answer.status != 200 || answer.outcome != responder.Answered {
				h.Fatalf("got %+v, want status 200 and outcome answered", answer)
			}
		})
	})
	t.Run("job", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			job := h.submitJob("entry-a-0", server.JobSpec{Service: "work", Idempotent: true, Tasks: taskSpecs(20, "?workMS=500")})
			job = h.awaitJob("entry-b-0", job.ID, time.Minute)
			if job.Outcome() != responder.Answered || !job.Finished() {
				h.Fatalf("job is not answered: tasks %+v", job.Tasks)
			}
		})
	})
}
