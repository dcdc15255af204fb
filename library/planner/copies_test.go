package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

func newSpeculativeStep(count int) planner.Step {
	step := newStep(count)
	step.Speculative = true
	return step
}

// TestCopies checks that a speculative task gets a second run if the first one may be lost or takes too long, that
// the run that is done first completes the task, and that the other one is then stopped.
func TestCopies(t *testing.T) {
	// newFleetWithUnresponsiveWorker submits a step and returns the worker of its first run, which has given no answers
	// for 600 ms.
	newFleetWithUnresponsiveWorker := func(t *testing.T, step planner.Step) (*fleet, *fakeWorker) {
		fleet := newFleet(t, testStart, 3)
		fleet.submit(jobA, step)
		fleet.settle()
		worker := fleet.workers[fleet.orders[0].Worker]
		worker.unresponsive = true
		for range 6 {
			fleet.advance(100 * time.Millisecond)
		}
		return fleet, worker
	}
	t.Run("unresponsiveWorker", func(t *testing.T) {
		fleet, worker := newFleetWithUnresponsiveWorker(t, newSpeculativeStep(1))
		if len(fleet.orders) != 2 || fleet.orders[1].Worker == worker.id || fleet.orders[1].Number != 2 {
			t.Fatalf("orders %v, want a second one on another worker", fleet.orders)
		}
		fleet.endRunsOn(fleet.orders[1].Worker, planner.EndedDone)
		fleet.wantState(jobA, planner.Completed)
		worker.unresponsive = false
		fleet.advance(100 * time.Millisecond)
		if worker.running[fleet.orders[0].Key] != 0 || len(fleet.orders) != 2 {
			t.Errorf("runs %v on the worker that answers again, %d orders, want no run and 2 orders", worker.running, len(fleet.orders))
		}
	})
	t.Run("otherRunIsStoppedWhileTheJobContinues", func(t *testing.T) {
		fleet := newFleet(t, testStart, 3)
		fleet.submit(jobA, newSpeculativeStep(1), dependent(newStep(1), 0))
		fleet.settle()
		worker := fleet.workers[fleet.orders[0].Worker]
		worker.unresponsive = true
		for range 6 {
			fleet.advance(100 * time.Millisecond)
		}
		fleet.endRunsOn(fleet.orders[1].Worker, planner.EndedDone)
		worker.unresponsive = false
		for range 3 {
			fleet.advance(time.Second)
		}
		if _, running := worker.running[fleet.orders[0].Key]; running {
			t.Error("the first run continues after its worker answers again")
		}
	})
	t.Run("firstRunIsDoneBeforeTheCopy", func(t *testing.T) {
		fleet, worker := newFleetWithUnresponsiveWorker(t, newSpeculativeStep(1))
		worker.unresponsive = false
		fleet.endRunsOn(worker.id, planner.EndedDone)
		fleet.wantState(jobA, planner.Completed)
		fleet.advance(100 * time.Millisecond)
		fleet.wantRunning(0)
	})
	t.Run("noCopyUnlessTheStepIsSpeculative", func(t *testing.T) {
		fleet, _ := newFleetWithUnresponsiveWorker(t, newStep(1))
		if len(fleet.orders) != 1 {
			t.Errorf("%d orders, want 1", len(fleet.orders))
		}
	})
	t.Run("failedCopyIsNotReplacedWhileTheFirstRunContinues", func(t *testing.T) {
		fleet, worker := newFleetWithUnresponsiveWorker(t, newSpeculativeStep(1))
		worker.unresponsive = false
		fleet.advance(100 * time.Millisecond)
		fleet.endRunsOn(fleet.orders[1].Worker, planner.EndedFailed)
		fleet.wantRunning(1)
		fleet.endRunsOn(worker.id, planner.EndedDone)
		fleet.wantState(jobA, planner.Completed)
	})
	t.Run("bothRunsAreKeptAtATakeover", func(t *testing.T) {
		fleet, worker := newFleetWithUnresponsiveWorker(t, newSpeculativeStep(1))
		fleet.takeOver(2, testCatalog())
		fleet.settle()
		if len(fleet.orders) != 2 {
			t.Errorf("%d orders, want only the 2 of the first planner", len(fleet.orders))
		}
		worker.unresponsive = false
		fleet.advance(100 * time.Millisecond)
		fleet.wantRunning(2)
		fleet.endRunsOn(worker.id, planner.EndedDone)
		fleet.wantState(jobA, planner.Completed)
		fleet.advance(100 * time.Millisecond)
		fleet.wantRunning(0)
	})
	t.Run("laggingRun", func(t *testing.T) {
		step := newSpeculativeStep(2)
		step.EstimateMS = 200
		fleet := newFleet(t, testStart, 3)
		fleet.submit(jobA, step)
		fleet.settle()
		fleet.advance(200 * time.Millisecond)
		fleet.endTask(fleet.orders[0].Key, planner.EndedDone)
		fleet.advance(200 * time.Millisecond)
		fleet.wantRunning(1)
		fleet.advance(300 * time.Millisecond)
		fleet.wantRunning(2)
	})
	t.Run("copyTakesNoRoomThatTasksWaitFor", func(t *testing.T) {
		fleet := newFleet(t, testStart, 2)
		fleet.submit(jobA, newSpeculativeStep(1))
		fleet.settle()
		fleet.submit(jobB, newStep(20))
		fleet.settle()
		fleet.workers[fleet.orders[0].Worker].unresponsive = true
		for range 6 {
			fleet.advance(100 * time.Millisecond)
		}
		for _, order := range fleet.orders[1:] {
			if order.Key.Job == jobA {
				t.Errorf("order %v of a copy, although other tasks wait for room", order)
			}
		}
	})
}

// endRunsOn ends all runs on a worker, and lets the planner process the ends.
func (fleet *fleet) endRunsOn(id string, ending planner.Ending) {
	fleet.workers[id].endAs(ending)
	fleet.advance(10 * time.Millisecond)
}

// endAs ends all runs of the worker. The planner processes the ends with the next poll.
func (fakeWorker *fakeWorker) endAs(ending planner.Ending) {
	for key, number := range fakeWorker.running {
		delete(fakeWorker.running, key)
		fakeWorker.sequence++
		fakeWorker.ended = append(fakeWorker.ended, planner.EndedRun{Sequence: fakeWorker.sequence, Key: key, Number: number, Ending: ending})
	}
}

// endTask ends all runs of a task, and lets the planner process the ends.
func (fleet *fleet) endTask(key planner.TaskKey, ending planner.Ending) {
	fleet.markEnded(key, ending)
	fleet.advance(10 * time.Millisecond)
}
