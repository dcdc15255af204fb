package planner_test

import (
	"math"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// TestOddSchedule guards against deciders that end one after the other at a job whose occurrences are due without end, and against
// occurrences that start early since their due time overflows.
func TestOddSchedule(t *testing.T) {
	schedule := func(t *testing.T, runs int, firstMS, intervalMS int64) *fleet {
		t.Helper()
		fleet := newFleet(t, testStart, 3)
		fleet.submitJob(planner.Job{
			ID: jobA, Queue: testQueue, Team: testTeam, Payload: "p", Runs: runs, FirstRunMS: firstMS, IntervalMS: intervalMS, Steps: []planner.Step{newStep(1)},
		})
		fleet.settle()
		return fleet
	}
	t.Run("withoutEnd", func(t *testing.T) {
		fleet := schedule(t, 3_000_000, 0, 0)
		if size := len(fleet.journal["run/"+jobA]); size > 1<<20 {
			t.Errorf("the job's progress has %d bytes, want at most 1 MB", size)
		}
		fleet.restore(2, testCatalog())
	})
	t.Run("overflows", func(t *testing.T) {
		fleet := schedule(t, 5, testStart.Add(-time.Second).UnixMilli(), math.MaxInt64)
		fleet.wantRunning(1)
	})
	t.Run("beforeAllClocks", func(t *testing.T) {
		fleet := schedule(t, 1, math.MinInt64, math.MaxInt64)
		fleet.wantRunning(1)
	})
	t.Run("backlogIsCompleted", func(t *testing.T) {
		const runs = 1500 // more than may be open at once
		fleet := schedule(t, runs, testStart.Add(-time.Hour).UnixMilli(), 1)
		for range 4 * runs {
			if state, _ := fleet.planner.State(jobA); state == planner.Completed {
				return
			}
			fleet.advance(100 * time.Millisecond)
			fleet.endAll(planner.EndedDone)
		}
		t.Error("the job is not completed")
	})
}
