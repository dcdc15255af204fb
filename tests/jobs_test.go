package tests

import (
	"net/http"
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
)

// TestJobOfSilentZone pauses the home zone of a job. It guards against a read that is answered with the outcome unknown,
// as if it could have run something, and against a cancellation that is answered as not run although it may have.
func TestJobOfSilentZone(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		job := h.submitJob("entry-b-0", server.JobSpec{Service: "work", Tasks: taskSpecs(1, "?workMS=60000")})
		time.Sleep(time.Second)
		h.fabric.Pause("entry-b-0")
		path := "/v1/jobs/" + job.ID
		assertOutcome := func(method, path string, wantStatus int, want responder.Outcome) {
			t.Helper()
			answer := h.send(h.ctx, "entry-c-0", method, path, teamKey, nil) // has no copy of the job
			if answer.status != wantStatus || answer.outcome != want {
				t.Errorf("%s %s: status %d with outcome %q, want %d with %q", method, path, answer.status, answer.outcome, wantStatus, want)
			}
		}
		assertOutcome(http.MethodDelete, path, http.StatusBadGateway, responder.Unknown)
		assertOutcome(http.MethodGet, path, http.StatusServiceUnavailable, responder.NotRun)
		assertOutcome(http.MethodGet, path+"/tasks/0/answer", http.StatusServiceUnavailable, responder.NotRun)
	})
}
