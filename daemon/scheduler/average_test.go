package scheduler

import (
	"testing"
	"time"
)

// TestLossRate checks that the loss rate becomes high after two lost answers in a row or one of 20, but not after a
// single one, and that it falls again once no more answers are lost.
func TestLossRate(t *testing.T) {
	rate := lossRate{average: average{divisor: answerLossDivisor}, threshold: answerLossThreshold}
	var uptime time.Duration
	record := func(lost bool) {
		uptime += 10 * time.Millisecond
		rate.record(lost, uptime)
	}
	want := func(what string, want bool) {
		t.Helper()
		if rate.isHigh() != want {
			t.Errorf("%s: high loss rate %t, want %t", what, !want, want)
		}
	}
	record(true)
	want("one lost answer", false)
	record(true)
	want("two lost answers in a row", true)
	for range 10 * answerLossDivisor {
		record(false)
	}
	want("no more lost answers", false)
	for number := range 1000 {
		record(number%20 == 0)
	}
	want("one lost answer of 20", true)
}
