package scheduler

import (
	"testing"
	"time"
)

// TestPeerClock checks that a time on a peer's clock is never later than the time that it stands for, whatever delayed what the peer told,
// and that it is close to that once an answer was fast.
func TestPeerClock(t *testing.T) {
	const ahead = 10 * time.Second // of the peer's uptime
	type told struct {
		boot         string
		sentAt, took time.Duration
	}
	for _, test := range []struct {
		name    string
		told    []told
		at      time.Duration
		maxLate time.Duration // by which the time on the peer's clock may be too early
	}{
		{"fast", []told{{"a", time.Second, time.Millisecond}}, 2 * time.Second, 2 * time.Millisecond},
		{"slow", []told{{"a", time.Second, time.Second}}, 2 * time.Second, time.Second},
		{"slowAfterFast", []told{{"a", time.Second, time.Millisecond}, {"a", 2 * time.Second, 3 * time.Second}}, 5 * time.Second, 5 * time.Millisecond},
		{"earlierRelease", []told{{"a", time.Second, time.Millisecond}, {"", 2 * time.Second, 0}}, 2 * time.Second, 2 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var clock peerClock
			for _, told := range test.told {
				clock.record(told.boot, told.sentAt+ahead, told.sentAt+told.took)
			}
			if early := test.at + ahead - clock.at(test.at); early < 0 || early > test.maxLate {
				t.Errorf("%v too early, want 0 to %v", early, test.maxLate)
			}
		})
	}
	t.Run("restarted", func(t *testing.T) {
		var clock peerClock
		clock.record("a", time.Hour, time.Second)
		clock.record("b", time.Millisecond, 2*time.Second)
		if got := clock.at(3 * time.Second); clock.boot != "b" || got > time.Second+time.Millisecond {
			t.Errorf("uptime of process %s is %v, want that of b, at most 1.001 s", clock.boot, got)
		}
	})
	t.Run("drift", func(t *testing.T) {
		var clock peerClock
		clock.record("a", ahead, 0)
		const later = 1000 * time.Second
		slowest := ahead + later - later/clockDriftDivisor
		if got := clock.at(later); got > slowest {
			t.Errorf("uptime %v, a clock that runs slow shows %v", got, slowest)
		}
	})
}
