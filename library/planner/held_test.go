package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// maxHeldTime is the longest time from the silence of a worker to the next start of its task on a fleet with room, the users' bound for
// work that is left at the end of a day.
const maxHeldTime = 14 * time.Second

// TestHeldTaskStarts guards against a task that waits, on a fleet with room, for as long as it is not known whether the workers that fell
// silent under it have crashed.
func TestHeldTaskStarts(t *testing.T) {
	gang := newStep(3)
	gang.Gang = true
	standing := newStep(1)
	standing.Standing = true
	for name, step := range map[string]planner.Step{"task": newStep(1), "gang": gang, "standing": standing} {
		t.Run(name, func(t *testing.T) {
			fleet := newCrashFleet(t, 6)
			fleet.submit(jobA, step)
			fleet.settle()
			for range 4 {
				fleet.silenceAndWantStart(func() {})
			}
		})
		t.Run(name+"/takeover", func(t *testing.T) {
			fleet, term := newCrashFleet(t, 6), int64(1)
			fleet.submit(jobA, step)
			fleet.settle()
			for range 4 {
				// The decider before it hands over, so that its successor waits for no lease longer than it would have.
				fleet.silenceAndWantStart(func() {
					fleet.beginHandover()
					term++
					fleet.takeOver(term, testCatalog())
				})
			}
		})
	}
	t.Run("afterTwoCrashesBesideOthers", func(t *testing.T) {
		fleet := newCrashFleet(t, 1)
		fleet.submit(jobA, newStep(1))
		fleet.submit(jobB, newStep(1))
		fleet.settle()
		for range 2 {
			crashAndReturn(fleet, "w-000")
		}
		fleet.loseForGood(fleet.workers["w-000"])
		fleet.workers["w-000"].unresponsive = true
		clear(fleet.workers["w-000"].running)
		fleet.wantStartedWithin(maxHeldTime, func() bool { return fleet.runningCount() == 2 })
	})
}

// silenceAndWantStart lets the worker of the last order fall silent, and wants the task to start again on another one in time. After some
// time it calls meanwhile.
func (fleet *fleet) silenceAndWantStart(meanwhile func()) {
	fleet.t.Helper()
	count := fleet.startsOf(jobA)
	fleet.workers[fleet.orders[len(fleet.orders)-1].Worker].unresponsive = true
	fleet.play(2*time.Second, fleet.reviveSame, noTask, func() bool { return false })
	meanwhile()
	fleet.wantStartedWithin(maxHeldTime-2*time.Second, func() bool { return fleet.startsOf(jobA) > count })
}

// wantStartedWithin plays until done returns true, at most for a time.
func (fleet *fleet) wantStartedWithin(duration time.Duration, done func() bool) {
	fleet.t.Helper()
	fleet.play(duration, func(*fakeWorker) {}, noTask, done)
	if !done() {
		fleet.t.Errorf("waits after %v, %d runs: %+v", duration, fleet.runningCount(), fleet.planner.Explain(fleet.now, 0, 3))
	}
}

// TestHeldTaskIsExplained guards against a task that is held without a line in the log that says so.
func TestHeldTaskIsExplained(t *testing.T) {
	fleet := newCrashFleet(t, 4)
	fleet.submit(jobA, newStep(1))
	fleet.settle()
	for range 3 {
		fleet.silenceAndWantStart(func() {})
	}
	fleet.workers[fleet.orders[len(fleet.orders)-1].Worker].unresponsive = true
	held := func() bool {
		blocked := fleet.planner.Explain(fleet.now, time.Second, 1)
		return len(blocked) == 1 && blocked[0].Held == 1 && blocked[0].Tasks == 1
	}
	fleet.play(maxHeldTime, func(*fakeWorker) {}, noTask, held)
	if !held() {
		t.Errorf("explained as %+v, want one task that is held", fleet.planner.Explain(fleet.now, 0, 1))
	}
}
