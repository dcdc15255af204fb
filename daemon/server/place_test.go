package server

import "testing"

// TestRemoveEndWaiter checks that only the given channel is removed, and that a task without channels leaves nothing.
func TestRemoveEndWaiter(t *testing.T) {
	gone, other := make(chan struct{}), make(chan struct{})
	tenure := &tenure{endWaiters: map[string][]chan struct{}{"a": {gone, other}, "b": {gone}}}
	tenure.removeEndWaiter(gone)
	if len(tenure.endWaiters) != 1 || len(tenure.endWaiters["a"]) != 1 || tenure.endWaiters["a"][0] != other {
		t.Errorf("left: %v, want the other channel of task a", tenure.endWaiters)
	}
}
