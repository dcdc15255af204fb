package blamer_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/blamer"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestIsolation guards against suspects that start beside each other, and against workers that stay apart for longer than a
// second.
func TestIsolation(t *testing.T) {
	for name, test := range map[string]struct {
		suspicion             int
		fromSuspects, fromAll bool
	}{"noSuspect": {}, "oneCrash": {1, true, false}, "twoCrashes": {2, true, true}} {
		t.Run(name, func(t *testing.T) {
			var isolation blamer.Isolation
			isolation.Begin(test.suspicion, testStart)
			last, over := testStart.Add(time.Second-1), testStart.Add(time.Second)
			wantIsolation(t, &isolation, last, test.fromSuspects, test.fromAll)
			wantIsolation(t, &isolation, over, false, false)
			if blamer.OnTrial(test.suspicion, testStart, last) != test.fromSuspects || blamer.OnTrial(test.suspicion, testStart, over) {
				t.Errorf("want a run to be on trial for 1 s: %t", test.fromSuspects)
			}
		})
	}
	t.Run("anEarlierSuspectShortensNothing", func(t *testing.T) {
		var isolation blamer.Isolation
		isolation.Begin(2, testStart.Add(500*time.Millisecond))
		isolation.Begin(2, testStart)
		wantIsolation(t, &isolation, testStart.Add(1400*time.Millisecond), true, true)
	})
}

func wantIsolation(t *testing.T, isolation *blamer.Isolation, now time.Time, fromSuspects, fromRuns bool) {
	t.Helper()
	if got := isolation.FromSuspects(now); got != fromSuspects {
		t.Errorf("no other suspects after %v: %t, want %t", now.Sub(testStart), got, fromSuspects)
	}
	if got := isolation.FromRuns(now); got != fromRuns {
		t.Errorf("no other runs after %v: %t, want %t", now.Sub(testStart), got, fromRuns)
	}
}
