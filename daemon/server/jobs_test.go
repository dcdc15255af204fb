package server

import "testing"

// TestResubmission guards against a repeated submission that is refused as another job, since a host of an earlier release, which does not
// tell the caller's team, passed it on.
func TestResubmission(t *testing.T) {
	spec := JobSpec{Service: "work", Queue: "shared"}
	job := &jobState{Job: Job{Team: "one", Submitter: "two", Spec: spec, Digest: spec.digest()}}
	for _, test := range []struct {
		caller string
		known  bool
	}{{"two", true}, {"", true}, {"one", false}, {"three", false}} {
		answer := job.answerResubmission(SubmitJobCall{Team: "one", Caller: test.caller, Spec: spec})
		if known := answer.Problem == nil; known != test.known {
			t.Errorf("submitted by %q: answered as the same job %t, want %t", test.caller, known, test.known)
		}
	}
}
