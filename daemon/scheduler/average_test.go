package scheduler

import (
	"testing"
	"time"
)

// TestLosses tells many lost answers from few, and forgets them.
func TestLosses(t *testing.T) {
	losses := losses{average: average{weight: lossWeight}, many: lossyOrders}
	var uptime time.Duration
	note := func(lost bool) {
		uptime += 10 * time.Millisecond
		losses.note(lost, uptime)
	}
	want := func(what string, want bool) {
		t.Helper()
		if losses.lossy() != want {
			t.Errorf("%s: lossy %t, want %t", what, !want, want)
		}
	}
	note(true)
	want("one lost answer", false)
	note(true)
	want("two lost answers in a row", true)
	for range 10 * lossWeight {
		note(false)
	}
	want("no more lost answers", false)
	for number := range 1000 {
		note(number%20 == 0)
	}
	want("one lost answer of 20", true)
}
