package tests

import (
	"encoding/json"
	"net/http"
	"testing"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/demo/builder"
	"ebonyshunt.org/library/responder"
)

const (
	smallMemoryMB  = 128
	largeBodyBytes = 512 << 10
	largeJobs      = 80
	// acceptedJobsShare is the inverse of the part of a host's memory that the bodies of the jobs of its zone may take.
	acceptedJobsShare = 4
)

// TestJobsTakeMemory submits large jobs one after the other. It guards against a deciding host whose memory they fill.
func TestJobsTakeMemory(t *testing.T) {
	harness := newLoopbackHarness(t, builder.Plan{MemoryMB: smallMemoryMB})
	accepted, refused := harness.submitLargeJobs()
	t.Logf("%d jobs were accepted", accepted)
	if accepted == 0 || accepted*largeBodyBytes > smallMemoryMB<<20/acceptedJobsShare {
		t.Errorf("%d jobs of %d bytes were accepted by a host of %d MB", accepted, largeBodyBytes, smallMemoryMB)
	}
	if refused.status != http.StatusServiceUnavailable || refused.outcome != responder.NotRun || refused.header.Get("Retry-After") == "" {
		t.Errorf("refused with status %d, outcome %q and headers %v", refused.status, refused.outcome, refused.header)
	}
}

// submitLargeJobs submits up to largeJobs of one zone until one is refused for lack of room. It returns how many were accepted, and the answer to that one.
func (harness *harness) submitLargeJobs() (accepted int, refused reply) {
	harness.Helper()
	spec := server.JobSpec{Service: "work", Tasks: []server.TaskSpec{{Target: "?workMS=10", Body: make([]byte, largeBodyBytes)}}}
	body, err := json.Marshal(spec)
	if err != nil {
		harness.Fatal(err)
	}
	for range largeJobs {
		answer := harness.send(harness.ctx, harness.Names[0], http.MethodPost, "/v1/jobs", teamKey, body)
		switch {
		case answer.status == http.StatusAccepted:
			accepted++
		case answer.problem.Code() == responder.CodeOverloaded:
			return accepted, answer
		default: // for example a copy that was late
			harness.Logf("status %d: %+v", answer.status, answer.problem)
		}
	}
	return accepted, reply{}
}
