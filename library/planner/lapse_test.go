package planner_test

import (
	"testing"
	"time"
)

// TestLapses takes over again and again while a worker with a run is silent.
func TestLapses(t *testing.T) {
	// silence lets the worker of a task fall silent.
	silence := func(t *testing.T) (*cell, *fakeWorker) {
		cell := newCell(t, testStart, 3)
		step := tasks(1)
		step.Standing = true
		cell.submit(jobA, step)
		cell.settle()
		worker := cell.workers[cell.starts[0].Worker]
		worker.silent = true
		return cell, worker
	}
	t.Run("takeoversDoNotBeginTheWaitAnew", func(t *testing.T) {
		cell, _ := silence(t)
		silent := cell.now
		for term := int64(2); term < 8; term++ {
			for range 4 {
				cell.pass(time.Second)
			}
			cell.begin(term, testCatalog())
		}
		if len(cell.starts) != 2 {
			t.Errorf("%d starts after %v of silence, want a second one", len(cell.starts), cell.now.Sub(silent))
		}
	})
	t.Run("noLeaseBeforeTheRecordIsVoid", func(t *testing.T) {
		cell, worker := silence(t)
		for range 3 {
			cell.pass(time.Second)
		}
		if _, stored := cell.stored["lapse/"+worker.id]; !stored {
			t.Fatal("the lapse is not recorded")
		}
		worker.silent = false
		cell.late = true
		cell.pass(time.Second)
		if hold, _ := cell.planner.NextHold(worker.id, cell.now); hold.Deadline != 0 {
			t.Errorf("leased to %d while the record is in force", hold.Deadline)
		}
		cell.flush(9)
		if hold, _ := cell.planner.NextHold(worker.id, cell.now); hold.Deadline == 0 {
			t.Error("no lease after the record was dropped")
		}
		if _, stored := cell.stored["lapse/"+worker.id]; stored {
			t.Error("the record was not dropped")
		}
	})
}
