package planner_test

import (
	"testing"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// listCapacity gives the planner a list in which the only worker has a number of cores.
func (fleet *fleet) listCapacity(cores int64) {
	fleet.planner.SetWorkers([]planner.WorkerInfo{{
		ID: "w-000", Service: testService, Address: "w-000", Zone: "a", Incarnation: 1,
		Capacity: sizer.Size{MilliCores: 1000 * cores, MemoryMB: 65536},
	}}, fleet.time())
}

// TestCapacityThatChanges guards against starts that bring a worker over a capacity that has shrunk. Each task needs 8
// cores.
func TestCapacityThatChanges(t *testing.T) {
	t.Run("noStartBeyondIt", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.submit(jobA, newStep(2))
		fleet.settle()
		fleet.listCapacity(23)
		fleet.submit(jobB, newStep(1))
		fleet.settle()
		fleet.wantRunning(2)
		fleet.listCapacity(24)
		fleet.settle()
		fleet.wantRunning(3)
	})
	t.Run("runsThatAreBeingStoppedCount", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.submit(jobA, newStep(2))
		fleet.settle()
		fleet.listCapacity(16)
		fleet.planner.Cancel(jobA, fleet.time())
		fleet.submit(jobB, newStep(1))
		fleet.settle()
		if starts := fleet.startsOf(jobB); starts != 0 {
			t.Errorf("%d starts before the ends of the stopped runs are listed, want 0", starts)
		}
		fleet.advance(crashTestStep)
		fleet.wantRunning(1)
	})
	t.Run("startThatWasPlannedBefore", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.deferStores = true
		fleet.submit(jobA, newStep(2))
		fleet.settle()
		fleet.listCapacity(8)
		fleet.flush(len(fleet.unstored))
		fleet.wantRunning(1)
		fleet.deferStores = false
		fleet.listCapacity(16)
		fleet.settle()
		fleet.wantRunning(2)
	})
}
