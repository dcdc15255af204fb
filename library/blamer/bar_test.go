package blamer_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/blamer"
)

// failJobs records failed runs of so many jobs that have not failed before.
func failJobs(bar *blamer.Bar, first, count int, now time.Time) {
	for job := first; job < first+count; job++ {
		bar.RecordFailure(fmt.Sprintf("%016x", job), now)
	}
}

// wantBarredFor checks for how long a worker is barred from now on.
func wantBarredFor(t *testing.T, bar *blamer.Bar, now time.Time, want time.Duration) {
	t.Helper()
	if want > 0 && bar.Usable(now.Add(want-1)) || !bar.Usable(now.Add(want)) {
		t.Errorf("want the worker barred for %v", want)
	}
}

// TestBar guards against workers that fail all their tasks, and against workers that are barred for the faults of tasks.
func TestBar(t *testing.T) {
	t.Run("runsOfOneJob", func(t *testing.T) {
		var bar blamer.Bar
		for range 10 {
			bar.RecordFailure("job", testStart)
		}
		wantBarredFor(t, &bar, testStart, 0)
	})
	t.Run("threeJobs", func(t *testing.T) {
		var bar blamer.Bar
		failJobs(&bar, 0, 2, testStart)
		wantBarredFor(t, &bar, testStart, 0)
		failJobs(&bar, 2, 1, testStart)
		wantBarredFor(t, &bar, testStart, 2*time.Second)
	})
	t.Run("successInBetween", func(t *testing.T) {
		var bar blamer.Bar
		failJobs(&bar, 0, 2, testStart)
		bar.RecordSuccess()
		failJobs(&bar, 2, 2, testStart)
		wantBarredFor(t, &bar, testStart, 0)
	})
	t.Run("eachBarLastsTwiceAsLong", func(t *testing.T) {
		var bar blamer.Bar
		failJobs(&bar, 0, 3, testStart)
		for number, want := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
			failJobs(&bar, 3+2*number, 2, testStart) // the last failure counts towards the next bar
			wantBarredFor(t, &bar, testStart, want)
		}
		bar.RecordSuccess()
		failJobs(&bar, 100, 3, testStart)
		wantBarredFor(t, &bar, testStart, 2*time.Second)
	})
	t.Run("refusedOrder", func(t *testing.T) {
		var bar blamer.Bar
		bar.RecordRefusal(testStart)
		wantBarredFor(t, &bar, testStart, 200*time.Millisecond)
		failJobs(&bar, 0, 3, testStart)
		bar.RecordRefusal(testStart)
		wantBarredFor(t, &bar, testStart, 2*time.Second)
	})
}
