package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// TestSuspectsStartApart guards against a crash that tells nothing about which task caused it, and that takes others along.
func TestSuspectsStartApart(t *testing.T) {
	t.Run("oneAfterTheOtherOnTheOnlyWorker", func(t *testing.T) {
		fleet := newCrashFleet(t, 1)
		fleet.submit(jobA, newStep(1))
		fleet.submit(jobB, newStep(1))
		fleet.settle()
		fleet.crash(fleet.workers["w-000"])
		fleet.play(10*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() > 0 })
		fleet.wantRunning(1)
		fleet.play(3*time.Second, fleet.reviveSame, noTask, func() bool { return false })
		fleet.wantRunning(2)
	})
	// Guards against tasks of one job that wait for each other on the few workers that they may start on.
	t.Run("thoseOfOneJobTogether", func(t *testing.T) {
		fleet := newCrashFleet(t, 1)
		fleet.submit(jobA, newStep(2))
		fleet.settle()
		fleet.crash(fleet.workers["w-000"])
		fleet.play(10*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() > 0 })
		fleet.wantRunning(2)
	})
	t.Run("nothingNewBesideASuspectOfTwoCrashes", func(t *testing.T) {
		fleet := newSuspects(t)
		fleet.submit(jobC, newStep(1))
		fleet.advance(crashTestStep)
		fleet.wantRunning(1)
		fleet.play(6*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() == 3 })
		fleet.wantRunning(3)
	})
	t.Run("nothingNewAfterTheEndOfAnotherSuspect", func(t *testing.T) {
		fleet := newSuspects(t)
		fleet.play(3*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() == 2 })
		fleet.markEnded(fleet.orders[len(fleet.orders)-2].Key, planner.EndedDone)
		fleet.advance(crashTestStep)
		fleet.submit(jobC, newStep(1))
		fleet.advance(crashTestStep)
		fleet.wantRunning(1)
		fleet.play(3*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() == 2 })
		fleet.wantRunning(2)
	})
	t.Run("onAnEmptyWorkerIfThereIsOne", func(t *testing.T) {
		fleet := newCrashFleet(t, 3)
		fleet.submitTo("batch", jobA, newStep(1))
		fleet.settle()
		fleet.crash(fleet.workers[fleet.orders[0].Worker])
		fleet.play(time.Second, fleet.loseForGood, noTask, func() bool { return false })
		long := newStep(1)
		long.EstimateMS = 60_000
		fleet.submitTo("batch", jobB, long)
		fleet.play(12*time.Second, fleet.loseForGood, noTask, func() bool { return fleet.startsOf(jobA) == 2 })
		neighbor, suspect := fleet.orders[1].Worker, fleet.orders[2].Worker
		if neighbor == suspect {
			t.Errorf("the suspect was put beside another task on %s", suspect)
		}
	})
}

// newSuspects returns a fleet of one worker that has crashed twice under jobA and jobB, one of which has just started again.
func newSuspects(t *testing.T) *fleet {
	fleet := newCrashFleet(t, 1)
	fleet.submit(jobA, newStep(1))
	fleet.submit(jobB, newStep(1))
	fleet.settle()
	crashAndReturn(fleet, "w-000")
	fleet.crash(fleet.workers["w-000"])
	fleet.play(10*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() > 0 })
	return fleet
}
