package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// setDraining gives the planner a list of all workers, in which those with the given IDs are draining and leave in
// leavesIn.
func (fleet *fleet) setDraining(leavesIn time.Duration, ids ...string) {
	draining := map[string]bool{}
	for _, id := range ids {
		draining[id] = true
	}
	var infos []planner.WorkerInfo
	for id, worker := range fleet.workers {
		infos = append(infos, planner.WorkerInfo{
			ID: id, Service: testService, Address: id, Capacity: sizer.Size{MilliCores: 32000, MemoryMB: 65536},
			Draining: draining[id], LeavesIn: leavesIn, Incarnation: worker.incarnation,
		})
	}
	fleet.planner.SetWorkers(infos, fleet.now)
}

// TestEvacuation checks when runs on draining workers are stopped so that their tasks start elsewhere.
func TestEvacuation(t *testing.T) {
	t.Run("limitOfUnavailableStandingTasks", func(t *testing.T) {
		standing := newStep(2)
		standing.Standing, standing.MaxUnavailable, standing.MaxPerWorker = true, 1, 1
		fleet := newFleet(t, testStart, 4)
		fleet.submit(jobA, standing)
		fleet.settle()
		fleet.advance(2 * time.Second)
		fleet.setDraining(10*time.Second, fleet.orders[0].Worker, fleet.orders[1].Worker)
		fleet.advance(10 * time.Millisecond)
		if len(fleet.stops) != 1 {
			t.Fatalf("%d stops at once, want 1", len(fleet.stops))
		}
		fleet.advance(100 * time.Millisecond)
		if len(fleet.stops) != 1 {
			t.Errorf("%d stops before the first task is available again, want 1", len(fleet.stops))
		}
		fleet.advance(2 * time.Second)
		fleet.advance(100 * time.Millisecond)
		fleet.wantRunning(2)
		if len(fleet.stops) != 2 {
			t.Errorf("%d stops once the first task is available again, want 2", len(fleet.stops))
		}
	})
	// Guards against a standing task that may not be stopped, and is then down for a whole lease after its worker left.
	t.Run("standingTaskStartsElsewhereSoonAfterItsWorkerLeft", func(t *testing.T) {
		const notice, bound = 6500 * time.Millisecond, 6 * time.Second
		standing := newStep(1)
		standing.Standing = true
		fleet := newFleet(t, testStart, 2)
		fleet.submit(jobA, standing)
		fleet.settle()
		worker := fleet.workers[fleet.orders[0].Worker]
		fleet.submit(jobB, newUnbudgeted(7)) // so that there is no room to move to before the worker leaves
		fleet.settle()
		fleet.setDraining(notice, worker.id)
		for left := notice; left > 0; left -= 250 * time.Millisecond {
			fleet.advance(250 * time.Millisecond)
		}
		worker.unresponsive = true
		leftAt := fleet.now
		ordered := len(fleet.orders)
		fleet.planner.Cancel(jobB, fleet.time())
		for len(fleet.orders) == ordered && fleet.now.Sub(leftAt) < time.Minute {
			fleet.advance(50 * time.Millisecond)
		}
		if took := fleet.now.Sub(leftAt); took > bound {
			t.Errorf("the task started elsewhere after %v, want %v at most", took, bound)
		}
	})
	// Guards against runs that end when the decider fails for a moment while their worker still stays for a while.
	t.Run("leaseIsWholeLongBeforeTheWorkerLeaves", func(t *testing.T) {
		const notice = 20 * time.Second
		fleet := newFleet(t, testStart, 2)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		worker := fleet.workers[fleet.orders[0].Worker]
		fleet.setDraining(notice, worker.id)
		fleet.advance(250 * time.Millisecond)
		if lease := worker.leaseEnd.Sub(fleet.now); lease < testSettings.Lease*9/10 {
			t.Errorf("a lease of %v %v before the worker leaves, want about %v", lease, notice, testSettings.Lease)
		}
	})
	// Guards against time that is counted twice: registrations repeat how long the worker stays, counted from each of them.
	t.Run("timeLeftCountsFromTheLatestRegistration", func(t *testing.T) {
		long := newStep(1)
		long.Checkpoints, long.EstimateMS = true, 20_000
		fleet := newFleet(t, testStart, 2)
		fleet.submitTo("batch", jobA, long)
		fleet.settle()
		worker := fleet.orders[0].Worker
		fleet.setDraining(6*time.Second, worker)
		for left := 6 * time.Second; left > 2*time.Second; left -= time.Second {
			fleet.setDraining(left, worker)
			fleet.advance(time.Second)
		}
		if len(fleet.stops) != 0 {
			t.Errorf("stops %v 2 s before the worker leaves, want none", fleet.stops)
		}
	})
	t.Run("longRunIsCheckpointedBeforeTheWorkerLeaves", func(t *testing.T) {
		long := newStep(1)
		long.Checkpoints, long.EstimateMS = true, 20_000
		fleet := newFleet(t, testStart, 2)
		fleet.submitTo("batch", jobA, long)
		fleet.settle()
		firstWorker := fleet.orders[0].Worker
		fleet.setDraining(2*time.Second, firstWorker)
		fleet.advance(500 * time.Millisecond)
		if len(fleet.stops) != 0 {
			t.Errorf("stops %v too long before the worker leaves", fleet.stops)
		}
		fleet.advance(600 * time.Millisecond)
		fleet.advance(10 * time.Millisecond)
		if len(fleet.stops) != 1 || len(fleet.orders) != 2 || fleet.orders[1].Worker == firstWorker {
			t.Errorf("stops %v, orders %v, want one stop and a second order on the other worker", fleet.stops, fleet.orders)
		}
	})
}

// TestHang checks that a run that makes no progress is stopped, and that its task starts again.
func TestHang(t *testing.T) {
	fleet := newFleet(t, testStart, 2)
	fleet.submit(jobA, newStep(1))
	fleet.settle()
	fleet.advance(100 * time.Millisecond) // the listed progress grows to 100 percent, and not after that
	for range 24 {
		fleet.advance(100 * time.Millisecond)
	}
	if len(fleet.stops) != 0 {
		t.Fatal("stopped before it counts as hung")
	}
	for range 5 {
		fleet.advance(100 * time.Millisecond)
	}
	if len(fleet.stops) != 1 || len(fleet.orders) != 2 {
		t.Errorf("%d stops, %d orders, want 1 and 2", len(fleet.stops), len(fleet.orders))
	}
}

// TestSlowTask runs a task for 60 times its estimate on a worker that reports no progress. It is done in the end.
func TestSlowTask(t *testing.T) {
	const runTime = time.Minute
	fleet := newFleet(t, testStart, 3)
	fleet.percent = func(planner.TaskKey) int { return 0 }
	fleet.submit(jobA, newStep(1))
	fleet.settle()
	for range 3000 {
		fleet.advance(100 * time.Millisecond)
		if last := fleet.orders[len(fleet.orders)-1]; fleet.time().Sub(last.SentAt) >= runTime {
			fleet.markEnded(last.Key, planner.EndedDone)
		}
		if state, _ := fleet.planner.State(jobA); state.Final() {
			break
		}
	}
	fleet.wantState(jobA, planner.Completed)
}

// TestRetention checks that the record of a job as submitted is deleted when the job ends, and the record of its
// state once Settings.StatusRetention has passed after that.
func TestRetention(t *testing.T) {
	fleet := newFleet(t, testStart, 2)
	fleet.submit(jobA, newStep(1))
	fleet.settle()
	if len(fleet.journal) != 2 {
		t.Fatalf("%d records of a running job, want 2", len(fleet.journal))
	}
	fleet.endAll(planner.EndedDone)
	if len(fleet.journal) != 1 {
		t.Errorf("%d records of an ended job, want 1", len(fleet.journal))
	}
	fleet.advance(testSettings.StatusRetention + time.Second)
	fleet.settle()
	delete(fleet.journal, "settled") // the record of the term
	if _, known := fleet.planner.State(jobA); known || len(fleet.journal) != 0 {
		t.Errorf("known %v, %d records after Settings.StatusRetention, want false and 0", known, len(fleet.journal))
	}
}
