package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

func speculative(count int) planner.Step {
	step := tasks(count)
	step.Speculative = true
	return step
}

// TestCopies starts speculative tasks a second time where the first run may be lost or lags.
func TestCopies(t *testing.T) {
	// silence submits a task and lets its worker fall silent, in the midst of it.
	silence := func(t *testing.T, step planner.Step) (*cell, *fakeWorker) {
		cell := newCell(t, testStart, 3)
		cell.submit(jobA, step)
		cell.settle()
		worker := cell.workers[cell.starts[0].Worker]
		worker.silent = true
		for range 6 {
			cell.pass(100 * time.Millisecond)
		}
		return cell, worker
	}
	t.Run("silentWorker", func(t *testing.T) {
		cell, worker := silence(t, speculative(1))
		if len(cell.starts) != 2 || cell.starts[1].Worker == worker.id || cell.starts[1].Number != 2 {
			t.Fatalf("starts %v, want a second one on another worker", cell.starts)
		}
		cell.endOn(cell.starts[1].Worker, planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
		worker.silent = false
		cell.pass(100 * time.Millisecond)
		if worker.running[cell.starts[0].Key] != 0 || len(cell.starts) != 2 {
			t.Errorf("%v runs on the worker that is back, %d starts", worker.running, len(cell.starts))
		}
	})
	t.Run("otherRunIsStoppedWhileTheJobGoesOn", func(t *testing.T) {
		cell := newCell(t, testStart, 3)
		cell.submit(jobA, speculative(1), after(tasks(1), 0))
		cell.settle()
		worker := cell.workers[cell.starts[0].Worker]
		worker.silent = true
		for range 6 {
			cell.pass(100 * time.Millisecond)
		}
		cell.endOn(cell.starts[1].Worker, planner.EndedDone)
		worker.silent = false
		for range 3 {
			cell.pass(time.Second)
		}
		if _, runs := worker.running[cell.starts[0].Key]; runs {
			t.Error("the run on the worker that is back goes on")
		}
	})
	t.Run("workerIsBackFirst", func(t *testing.T) {
		cell, worker := silence(t, speculative(1))
		worker.silent = false
		cell.endOn(worker.id, planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
		cell.pass(100 * time.Millisecond)
		cell.wantRunning(0)
	})
	t.Run("onlyWhereTheStepAllowsIt", func(t *testing.T) {
		cell, _ := silence(t, tasks(1))
		if len(cell.starts) != 1 {
			t.Errorf("%d starts, want 1", len(cell.starts))
		}
	})
	t.Run("failedCopyIsNotRepeatedBesideTheOther", func(t *testing.T) {
		cell, worker := silence(t, speculative(1))
		worker.silent = false
		cell.pass(100 * time.Millisecond)
		cell.endOn(cell.starts[1].Worker, planner.EndedFailed)
		cell.wantRunning(1)
		cell.endOn(worker.id, planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
	})
	t.Run("takeover", func(t *testing.T) {
		cell, worker := silence(t, speculative(1))
		cell.begin(2, testCatalog())
		cell.settle()
		if len(cell.starts) != 2 {
			t.Errorf("%d starts, want the 2 of the first planner", len(cell.starts))
		}
		worker.silent = false
		cell.pass(100 * time.Millisecond)
		cell.wantRunning(2)
		cell.endOn(worker.id, planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
		cell.pass(100 * time.Millisecond)
		cell.wantRunning(0)
	})
	t.Run("laggingRun", func(t *testing.T) {
		step := speculative(2)
		step.EstimateMS = 200
		cell := newCell(t, testStart, 3)
		cell.submit(jobA, step)
		cell.settle()
		cell.pass(200 * time.Millisecond)
		cell.endTask(cell.starts[0].Key, planner.EndedDone)
		cell.pass(200 * time.Millisecond)
		cell.wantRunning(1)
		cell.pass(300 * time.Millisecond)
		cell.wantRunning(2)
	})
	t.Run("roomOfWaitingWorkIsNotTaken", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, speculative(1))
		cell.settle()
		cell.submit(jobB, tasks(20))
		cell.settle()
		cell.workers[cell.starts[0].Worker].silent = true
		for range 6 {
			cell.pass(100 * time.Millisecond)
		}
		for _, start := range cell.starts[1:] {
			if start.Key.Job == jobA {
				t.Errorf("a copy took room that work waits for: %v", start)
			}
		}
	})
}

// endOn ends all that runs on a worker, and lets the planner see it.
func (cell *cell) endOn(id string, ending planner.Ending) {
	worker := cell.workers[id]
	for key, number := range worker.running {
		delete(worker.running, key)
		worker.sequence++
		worker.ended = append(worker.ended, planner.EndedRun{Sequence: worker.sequence, Key: key, Number: number, Ending: ending})
	}
	cell.pass(10 * time.Millisecond)
}

// endTask ends a task, and lets the planner see it.
func (cell *cell) endTask(key planner.TaskKey, ending planner.Ending) {
	cell.end(key, ending)
	cell.pass(10 * time.Millisecond)
}
