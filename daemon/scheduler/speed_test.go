package scheduler

import (
	"testing"
	"time"
)

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
			for range speedWindow {
				speed.record(usual)
			}
			for sample := range 2 * speedWindow {
				speed.record(test.took(sample))
			}
			if speed.isSlowed() != test.want {
				t.Errorf("slowed %t, want %t", speed.isSlowed(), test.want)
			}
			for range speedWindow {
				speed.record(usual)
			}
			if speed.isSlowed() {
				t.Error("still slowed after the end of it")
			}
		})
	}
	t.Run("oneFastWindow", func(t *testing.T) {
		var speed speed
		for window := range 10 {
			took := usual
			if window == 4 {
				took = usual / 3
			}
			for range speedWindow {
				speed.record(took)
			}
			if speed.isSlowed() {
				t.Fatalf("slowed in window %d at its usual speed", window)
			}
		}
	})
	t.Run("pausedClock", func(t *testing.T) {
		var speed speed
		for range 3 * speedWindow {
			speed.record(0)
		}
		if speed.isSlowed() {
			t.Error("slowed on a clock that stands still")
		}
	})
}
