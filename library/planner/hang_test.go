package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// TestHangWithoutListings guards against healthy runs that are stopped since their workers were not heard of for a while: on a slow link
// a poll takes longer than a run may stand still.
func TestHangWithoutListings(t *testing.T) {
	for _, silence := range []time.Duration{2400 * time.Millisecond, 2600 * time.Millisecond, 4 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			fleet := newFleet(t, testStart, 3)
			percent := 10
			fleet.percent = func(planner.TaskKey) int { return percent }
			fleet.submit("a", planner.Step{Count: 2, Size: sizer.Size{MilliCores: 1000}, EstimateMS: 2000})
			fleet.settle()
			fleet.advance(100 * time.Millisecond)
			percent = 15
			fleet.advance(100 * time.Millisecond)
			fleet.now = fleet.now.Add(silence)
			fleet.planner.Plan(fleet.time())
			fleet.carryOut(fleet.take())
			if count := len(fleet.stops); count > 0 {
				t.Errorf("%d runs were stopped after %v without a listing, want none", count, silence)
			}
		})
	}
}
