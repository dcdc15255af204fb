package scheduler

import (
	"testing"
	"time"
)

// TestLag checks that a host whose timer ticks are continuously late counts as overloaded, and that one with a
// single long pause does not.
func TestLag(t *testing.T) {
	const turns = 20 // a second
	for _, test := range []struct {
		name string
		late func(turn int) time.Duration
		want bool
	}{
		{"calm", func(int) time.Duration { return time.Millisecond }, false},
		{"oneLongPause", func(turn int) time.Duration { return map[int]time.Duration{3: 90 * time.Millisecond}[turn] }, false},
		{"slowed", func(turn int) time.Duration { return time.Duration(30+turn) * time.Millisecond }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			lag := newLag()
			for turn := range turns {
				lag.record(test.late(turn))
			}
			if got := lag.current() >= overloadLag; got != test.want {
				t.Errorf("ticks are late by %v after a second, overloaded %t, want %t", lag.current(), got, test.want)
			}
		})
	}
}
