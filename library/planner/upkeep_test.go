package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// drain lists all workers, some of them as draining.
func (cell *cell) drain(leavesIn time.Duration, ids ...string) {
	draining := map[string]bool{}
	for _, id := range ids {
		draining[id] = true
	}
	var infos []planner.WorkerInfo
	for id, worker := range cell.workers {
		infos = append(infos, planner.WorkerInfo{
			ID: id, Service: testService, Address: id, Capacity: sizer.Size{MilliCores: 32000, MemoryMB: 65536},
			Draining: draining[id], LeavesIn: leavesIn, Born: worker.born,
		})
	}
	cell.planner.SetWorkers(infos, cell.now)
}

// TestEvacuation moves work off workers that leave.
func TestEvacuation(t *testing.T) {
	t.Run("noMoreStandingTasksAtATimeThanMayBeAway", func(t *testing.T) {
		standing := tasks(2)
		standing.Standing, standing.MostAway, standing.MostPerWorker = true, 1, 1
		cell := newCell(t, testStart, 4)
		cell.submit(jobA, standing)
		cell.settle()
		cell.pass(2 * time.Second)
		cell.drain(10*time.Second, cell.starts[0].Worker, cell.starts[1].Worker)
		cell.pass(10 * time.Millisecond)
		if len(cell.stops) != 1 {
			t.Fatalf("%d stops at once, want 1", len(cell.stops))
		}
		cell.pass(100 * time.Millisecond)
		if len(cell.stops) != 1 {
			t.Errorf("%d stops before the first task is at work again", len(cell.stops))
		}
		cell.pass(2 * time.Second)
		cell.pass(100 * time.Millisecond)
		cell.wantRunning(2)
		if len(cell.stops) != 2 {
			t.Errorf("%d stops once the first task is at work again, want 2", len(cell.stops))
		}
	})
	t.Run("longWorkIsSavedBeforeTheWorkerLeaves", func(t *testing.T) {
		long := tasks(1)
		long.Checkpoints, long.EstimateMS = true, 20_000
		cell := newCell(t, testStart, 2)
		cell.submitTo("batch", jobA, long)
		cell.settle()
		first := cell.starts[0].Worker
		cell.drain(2*time.Second, first)
		cell.pass(500 * time.Millisecond)
		if len(cell.stops) != 0 {
			t.Errorf("stopped %v before it has to be", cell.stops)
		}
		cell.pass(600 * time.Millisecond)
		cell.pass(10 * time.Millisecond)
		if len(cell.stops) != 1 || len(cell.starts) != 2 || cell.starts[1].Worker == first {
			t.Errorf("stops %v, starts %v", cell.stops, cell.starts)
		}
	})
}

// TestHang starts a task elsewhere that makes no progress.
func TestHang(t *testing.T) {
	cell := newCell(t, testStart, 2)
	cell.submit(jobA, tasks(1))
	cell.settle()
	cell.pass(100 * time.Millisecond) // the first progress that is listed is the last
	for range 24 {
		cell.pass(100 * time.Millisecond)
	}
	if len(cell.stops) != 0 {
		t.Fatal("stopped before it could be told that it hangs")
	}
	for range 5 {
		cell.pass(100 * time.Millisecond)
	}
	if len(cell.stops) != 1 || len(cell.starts) != 2 {
		t.Errorf("%d stops, %d starts, want 1 and 2", len(cell.stops), len(cell.starts))
	}
}

// TestForgetting drops the records of an ended job after a time, and that of what was handed in at once.
func TestForgetting(t *testing.T) {
	cell := newCell(t, testStart, 2)
	cell.submit(jobA, tasks(1))
	cell.settle()
	if len(cell.stored) != 2 {
		t.Fatalf("%d records of a running job, want 2", len(cell.stored))
	}
	cell.endAll(planner.EndedDone)
	if len(cell.stored) != 1 {
		t.Errorf("%d records of an ended job, want 1", len(cell.stored))
	}
	cell.pass(testSettings.StatusFor + time.Second)
	cell.settle()
	if _, known := cell.planner.State(jobA); known || len(cell.stored) != 0 {
		t.Errorf("known %v, %d records after the time for which states are kept", known, len(cell.stored))
	}
}
