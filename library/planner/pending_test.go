package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// wantPending checks how many jobs of the test's queue count as pending.
func (fleet *fleet) wantPending(want int) {
	fleet.t.Helper()
	if pending := fleet.planner.Pending(testQueue); pending != want {
		fleet.t.Errorf("%d jobs are pending, want %d", pending, want)
	}
}

// TestPending guards against jobs that do not count as pending although no task of them has begun: their starts went to a worker that is
// lost (MIXED).
func TestPending(t *testing.T) {
	const jobs = 3
	submitToSilent := func(t *testing.T) *fleet {
		fleet := newFleet(t, testStart, 1)
		fleet.workers["w-000"].unresponsive = true
		for number := range jobs {
			fleet.submit(fmt.Sprintf("%016x", number+1), newStep(1))
		}
		fleet.settle()
		fleet.wantPending(jobs)
		return fleet
	}
	t.Run("silentWorker", func(t *testing.T) {
		fleet := submitToSilent(t)
		fleet.advance(5 * time.Second)
		fleet.wantPending(jobs)
		fleet.workers["w-000"].unresponsive = false
		for range 3 {
			fleet.advance(time.Second)
		}
		fleet.wantRunning(jobs)
		fleet.wantPending(0)
	})
	t.Run("silentWorkerAndTakeover", func(t *testing.T) {
		fleet := submitToSilent(t)
		fleet.takeOver(2, testCatalog())
		fleet.advance(time.Second)
		fleet.wantPending(jobs)
	})
	t.Run("begunBeforeTakeover", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.wantPending(0)
		fleet.takeOver(2, testCatalog())
		fleet.wantPending(0)
	})
	t.Run("lateOrder", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.takesOrder = func(order planner.Order, worker *fakeWorker) (planner.Outcome, bool) {
			fleet.accept(worker, order)
			return planner.Unknown, true
		}
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.advance(time.Second)
		fleet.wantPending(0) // the worker lists the run
	})
	t.Run("canceled", func(t *testing.T) {
		fleet := submitToSilent(t)
		fleet.planner.Cancel(fmt.Sprintf("%016x", 1), fleet.now)
		fleet.settle()
		fleet.wantPending(jobs - 1)
	})
	t.Run("ended", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.endAll(planner.EndedFailed)
		fleet.workers["w-000"].unresponsive = true
		fleet.takeOver(2, testCatalog())
		fleet.wantPending(0)
	})
}
