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

// hangTime advances until another stop is sent, and returns how long that took.
func (fleet *fleet) hangTime(limit time.Duration) time.Duration {
	fleet.t.Helper()
	sent, began := len(fleet.stops), fleet.now
	for len(fleet.stops) == sent {
		if fleet.now.Sub(began) > limit {
			fleet.t.Fatalf("no run was stopped within %v", limit)
		}
		fleet.advance(50 * time.Millisecond)
	}
	return fleet.now.Sub(began)
}

// TestHangsAfterTakeover guards against a task that takes longer than its estimate and is stopped again and again, since each planner begins
// with the shortest time that a run may stand still (LOST).
func TestHangsAfterTakeover(t *testing.T) {
	const limit = 2 * time.Minute
	for name, step := range map[string]planner.Step{"oneRecord": newStep(1), "parts": smallTasks(300)} {
		for how, replace := range replacements {
			t.Run(name+"/"+how, func(t *testing.T) {
				fleet := newFleet(t, testStart, 3)
				fleet.percent = func(planner.TaskKey) int { return 10 }
				step.EstimateMS = 1000
				fleet.submit(jobA, step)
				fleet.settle()
				for index := 1; index < step.Count; index++ {
					fleet.markEnded(planner.TaskKey{Job: jobA, Index: index}, planner.EndedDone)
				}
				former := fleet.hangTime(limit)
				for range 3 {
					fleet.advance(100 * time.Millisecond) // the task starts again
					replace(fleet, testCatalog())
					current := fleet.hangTime(limit)
					if current < 2*former-time.Second {
						t.Fatalf("the next run was stopped after %v, the one before it after %v: want twice that time", current, former)
					}
					former = current
				}
			})
		}
	}
}

// TestHangWithLostStop is the same for a stop that is lost with the planner that requested it.
func TestHangWithLostStop(t *testing.T) {
	for name, step := range map[string]planner.Step{"oneRecord": newStep(2), "parts": smallTasks(300)} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, testStart, 3)
			fleet.slowStops = true
			hung := planner.TaskKey{Job: jobA}
			fleet.percent = func(key planner.TaskKey) int {
				if key == hung {
					return 10
				}
				return 10 + int(fleet.now.Sub(testStart).Milliseconds()/100)
			}
			step.EstimateMS = 1000
			fleet.submit(jobA, step)
			fleet.settle()
			first := fleet.hangTime(time.Minute)
			fleet.takeOver(2, testCatalog())
			if second := fleet.hangTime(time.Minute); second < 2*first-time.Second {
				t.Errorf("the run was stopped %v after the takeover, the first time after %v: want twice that time", second, first)
			}
		})
	}
}
