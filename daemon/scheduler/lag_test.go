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

// TestLagAllowance guards against a decider that takes its own lateness for lost answers: the average delay of its timers was low while
// one answer in a hundred was read 100 to 300 ms late, and each of these counted as lost and was asked for again.
func TestLagAllowance(t *testing.T) {
	tenure := &tenure{tickLag: newLag(), answerLag: newLag()}
	wantAllowance := func(least, most time.Duration) {
		t.Helper()
		if got := tenure.lagAllowance(); got < least || got > most {
			t.Errorf("%v are added to timeouts, want %v to %v", got, least, most)
		}
	}
	tick := func(count int, late time.Duration) {
		for range count {
			tenure.tickLag.record(late)
		}
	}
	tick(20, time.Millisecond)
	wantAllowance(0, 0)
	tick(1, 150*time.Millisecond)
	tick(4, time.Millisecond)
	wantAllowance(150*time.Millisecond, maxLagTimeout)
	tick(20, time.Millisecond)
	wantAllowance(0, 0)
	tick(1, 10*time.Second)
	wantAllowance(maxLagTimeout, maxLagTimeout)
}

// TestLinkAllowance guards against a decider that takes the delay of its own full link for lost answers: its timers were in time, while
// all that it sent and received waited 0.3 s.
func TestLinkAllowance(t *testing.T) {
	const ticks = 20 // a second
	for _, test := range []struct {
		name        string
		times       []time.Duration // of the answers to heartbeats, as hosts tell them
		least, most time.Duration   // that are added
	}{
		{"calm", []time.Duration{time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond}, 0, 0},
		{"fullLink", []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond}, 300 * time.Millisecond, maxLagTimeout},
		{"oneSlowHost", []time.Duration{2 * time.Millisecond, 2 * time.Millisecond, time.Second}, 0, 0},
		{"oneOfTwo", []time.Duration{2 * time.Millisecond, time.Second}, 0, 0},
		{"oneTells", []time.Duration{0, 0, time.Second}, 0, 0},
		{"notToldYet", []time.Duration{0, 0, 0}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			tenure := &tenure{tickLag: newLag(), answerLag: newLag(), quorum: newQuorum(nil)}
			for index, took := range test.times {
				tenure.quorum.recordHeartbeat(Heartbeat{Host: string(rune('a' + index)), AnswerTime: took}, time.Time{})
			}
			for range ticks {
				tenure.tickLag.record(time.Millisecond)
				if took, known := tenure.quorum.answerTime(); known {
					tenure.answerLag.record(took)
				}
			}
			if got := tenure.lagAllowance(); got < test.least || got > test.most {
				t.Errorf("%v are added to timeouts, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
