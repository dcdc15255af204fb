package scheduler

import (
	"testing"
	"time"
)

// TestLag checks that a host whose timer ticks are continuously late counts as overloaded, and that one with a
// single long pause does not.
func TestLag(t *testing.T) {
	const ticks = 20 // a second
	for _, test := range []struct {
		name string
		late func(tick int) time.Duration
		want bool
	}{
		{"calm", func(int) time.Duration { return time.Millisecond }, false},
		{"oneLongPause", func(tick int) time.Duration { return map[int]time.Duration{3: 90 * time.Millisecond}[tick] }, false},
		{"slowed", func(tick int) time.Duration { return time.Duration(30+tick) * time.Millisecond }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			lag := newLag()
			for tick := range ticks {
				lag.record(test.late(tick))
			}
			if got := lag.current() >= overloadLag; got != test.want {
				t.Errorf("ticks are late by %v after a second, overloaded %t, want %t", lag.current(), got, test.want)
			}
		})
	}
}
