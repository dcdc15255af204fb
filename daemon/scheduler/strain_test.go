package scheduler

import (
	"testing"
	"time"
)

// TestStrain tells a slowed machine from one whose turns are late now and then.
func TestStrain(t *testing.T) {
	const turns = 20 // a second
	for _, tried := range []struct {
		name string
		late func(turn int) time.Duration
		want bool
	}{
		{"calm", func(int) time.Duration { return time.Millisecond }, false},
		{"oneLongPause", func(turn int) time.Duration { return map[int]time.Duration{3: 90 * time.Millisecond}[turn] }, false},
		{"slowed", func(turn int) time.Duration { return time.Duration(30+turn) * time.Millisecond }, true},
	} {
		t.Run(tried.name, func(t *testing.T) {
			strain := newStrain()
			for turn := range turns {
				strain.note(tried.late(turn))
			}
			if got := strain.lateness() >= strainedAt; got != tried.want {
				t.Errorf("turns are late by %v after a second, strained %t, want %t", strain.lateness(), got, tried.want)
			}
		})
	}
}
