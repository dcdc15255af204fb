package scheduler

import (
	"testing"
	"time"
)

// TestFormerAnswerTime guards against a new decider that takes the delay of the former one, which hosts went on telling it, for its own, and
// waits up to 2 s longer for each answer of the store.
func TestFormerAnswerTime(t *testing.T) {
	var status deciderStatus
	status.reset()
	status.recordAnswer(time.Second, 700*time.Millisecond)
	status.recordElection(2*time.Second, true)
	if got := status.answerTime(); got != 0 {
		t.Errorf("hosts tell a new decider that its answers take %v, before it has answered", got)
	}
}

// TestSuspicionBackoff checks that takeovers in a row, and only these, lengthen the time until a decider is suspected.
func TestSuspicionBackoff(t *testing.T) {
	var status deciderStatus
	status.reset()
	uptime := time.Minute
	elect := func(after time.Duration, suspected bool, want time.Duration) {
		t.Helper()
		uptime += after
		status.recordElection(uptime, suspected)
		if got := status.backoff(0); got != want {
			t.Errorf("factor %d, want %d", got, want)
		}
		if got := status.backoff(shortTerm); got != 1 {
			t.Errorf("factor %d after a term that is not short, want 1", got)
		}
	}
	elect(shortTerm, true, 1)
	elect(time.Second, true, 2)
	elect(time.Second, false, 2) // handed over
	for _, want := range []time.Duration{4, 8, 8} {
		elect(time.Second, true, want)
	}
	elect(shortTerm, true, 1)
}
