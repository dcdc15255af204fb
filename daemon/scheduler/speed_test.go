package scheduler

import (
	"testing"
	"time"
)

// recordFor records computations that each take the given time, at intervals, until a time has passed.
func recordFor(speed *speed, took, interval, length time.Duration, now *time.Time) {
	for until := now.Add(length); now.Before(until); {
		*now = now.Add(interval)
		speed.record(took, *now)
	}
}

// TestSpeed guards against a decider that hands over because it has too much to do: the next one has as much to do, and has to poll the
// whole fleet first. Only a processor that is slowed itself is a reason.
func TestSpeed(t *testing.T) {
	const usual = 10 * time.Microsecond
	for _, test := range []struct {
		name string
		took func(sample int) time.Duration
		want bool
	}{
		{"calm", func(int) time.Duration { return usual }, false},
		{"overloaded", func(sample int) time.Duration { return usual + time.Duration(sample%5)*30*time.Millisecond }, false},
		{"otherPrograms", func(int) time.Duration { return 2 * usual }, false},
		{"slowed", func(int) time.Duration { return 5 * usual }, true},
		{"slowedAndOverloaded", func(sample int) time.Duration { return 5*usual + time.Duration(sample%5)*30*time.Millisecond }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var speed speed
			var now time.Time
			recordFor(&speed, usual, planInterval, time.Second, &now)
			for sample := range 20 { // a second
				now = now.Add(planInterval)
				speed.record(test.took(sample), now)
			}
			if speed.isSlowed() != test.want {
				t.Errorf("slowed %t, want %t", speed.isSlowed(), test.want)
			}
			recordFor(&speed, usual, planInterval, time.Second, &now)
			if speed.isSlowed() {
				t.Error("still slowed after the end of it")
			}
		})
	}
	t.Run("oneFastSecond", func(t *testing.T) {
		var speed speed
		var now time.Time
		for second := range 10 {
			took := usual
			if second == 4 {
				took = usual / 3
			}
			for range 20 {
				recordFor(&speed, took, planInterval, planInterval, &now)
				if speed.isSlowed() {
					t.Fatalf("slowed in second %d at its usual speed", second)
				}
			}
		}
	})
	t.Run("lateTimers", func(t *testing.T) { // a slowed processor delays the timers by which it is measured, too
		var speed speed
		var now time.Time
		recordFor(&speed, usual, planInterval, 3*time.Second, &now)
		recordFor(&speed, 8*usual, 200*time.Millisecond, time.Second, &now)
		if !speed.isSlowed() {
			t.Error("not slowed after a second")
		}
	})
	t.Run("slowedForLong", func(t *testing.T) { // a decider hands over 10 s after its election at the earliest
		for _, factor := range []time.Duration{4, 5, 8} {
			var speed speed
			var now time.Time
			recordFor(&speed, usual, planInterval, 3*time.Second, &now)
			recordFor(&speed, factor*usual, planInterval, 10*time.Second, &now)
			if !speed.isSlowed() {
				t.Errorf("slowed %d times for 10 s: counts as usual", factor)
			}
		}
	})
	t.Run("pausedClock", func(t *testing.T) {
		var speed speed
		var now time.Time
		recordFor(&speed, 0, planInterval, 3*time.Second, &now)
		if speed.isSlowed() {
			t.Error("slowed on a clock that stands still")
		}
	})
}
