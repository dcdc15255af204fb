package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

var testStart = time.Unix(1_800_000_000, 0)

const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
)

func tasks(count int) planner.Step {
	return planner.Step{Count: count, Size: sizer.Size{MilliCores: 8000, MemoryMB: 1000}, EstimateMS: 1000}
}

func after(step planner.Step, earlier ...int) planner.Step {
	step.After = earlier
	return step
}

// TestSteps runs jobs whose steps depend on each other.
func TestSteps(t *testing.T) {
	t.Run("laterStepWaitsForAllTasksOfTheEarlier", func(t *testing.T) {
		cell := newCell(t, testStart, 4)
		cell.submit(jobA, tasks(2), after(tasks(3), 0))
		cell.settle()
		cell.wantRunning(2)
		cell.end(planner.TaskKey{Job: jobA}, planner.EndedDone)
		cell.pass(10 * time.Millisecond)
		cell.wantRunning(1)
		cell.endAll(planner.EndedDone)
		cell.wantRunning(3)
		cell.endAll(planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
	})
	t.Run("failedTaskRunsAgainAndThenFailsTheJob", func(t *testing.T) {
		cell := newCell(t, testStart, 4)
		cell.submit(jobA, tasks(1))
		cell.settle()
		cell.endAll(planner.EndedFailed)
		cell.wantRunning(1)
		if last := cell.starts[1]; last.Number <= cell.starts[0].Number || last.Worker == cell.starts[0].Worker {
			t.Errorf("second run %d on %s after run %d on %s", last.Number, last.Worker, cell.starts[0].Number, cell.starts[0].Worker)
		}
		cell.endAll(planner.EndedFailed)
		cell.wantState(jobA, planner.Failed)
		cell.wantRunning(0)
	})
	t.Run("stoppedRunCostsNoAttempt", func(t *testing.T) {
		cell := newCell(t, testStart, 4)
		cell.submit(jobA, tasks(1))
		cell.settle()
		for range 5 {
			cell.endAll(planner.EndedLapsed)
		}
		cell.wantRunning(1)
		cell.wantState(jobA, planner.Running)
	})
	t.Run("sameJobIsTakenOnce", func(t *testing.T) {
		cell := newCell(t, testStart, 4)
		cell.submit(jobA, tasks(1))
		if cell.planner.Submit(planner.Job{ID: jobA, Queue: testQueue, Steps: []planner.Step{tasks(2)}}, cell.now) {
			t.Error("the second submission was taken as a new job")
		}
		cell.settle()
		cell.wantRunning(1)
	})
}

// TestAcknowledgement acknowledges an end only once what it led to is stored.
func TestAcknowledgement(t *testing.T) {
	cell := newCell(t, testStart, 1)
	cell.submit(jobA, tasks(1))
	cell.settle()
	cell.end(planner.TaskKey{Job: jobA}, planner.EndedDone)
	cell.hold("w-000")
	if hold, _ := cell.planner.NextHold("w-000", cell.now); hold.Cursor != 0 {
		t.Errorf("end acknowledged up to %d before it is stored", hold.Cursor)
	}
	cell.wantState(jobA, planner.Running)
	cell.settle()
	if hold, _ := cell.planner.NextHold("w-000", cell.now); hold.Cursor != 1 {
		t.Errorf("end acknowledged up to %d after it is stored, want 1", hold.Cursor)
	}
	cell.wantState(jobA, planner.Completed)
}

// TestBatchesUnderWay keeps what is acknowledged and shown to what is stored, while later batches are taken.
func TestBatchesUnderWay(t *testing.T) {
	t.Run("batchWithoutRecordsStoresNothing", func(t *testing.T) {
		cell := newCell(t, testStart, 1)
		cell.submit(jobA, tasks(1))
		cell.settle()
		cell.late = true
		cell.end(planner.TaskKey{Job: jobA}, planner.EndedDone)
		cell.hold("w-000")
		cell.take()
		if batch := cell.take(); batch.Number != 0 {
			t.Errorf("a batch without records has number %d", batch.Number)
		}
		if hold, _ := cell.planner.NextHold("w-000", cell.now); hold.Cursor != 0 {
			t.Errorf("end acknowledged up to %d while its batch is under way", hold.Cursor)
		}
		cell.flush(1)
		if hold, _ := cell.planner.NextHold("w-000", cell.now); hold.Cursor != 1 {
			t.Errorf("end acknowledged up to %d once it is stored, want 1", hold.Cursor)
		}
	})
	t.Run("batchStoredLateShowsNoOlderState", func(t *testing.T) {
		cell := newCell(t, testStart, 1)
		cell.late = true
		cell.submit(jobA, tasks(1))
		first := cell.take()
		cell.planner.Cancel(jobA, cell.now)
		cell.planner.Stored(cell.take())
		cell.planner.Stored(first)
		cell.wantState(jobA, planner.Canceled)
	})
	t.Run("onlyAJobThatWasNotTakenIsWithdrawn", func(t *testing.T) {
		cell := newCell(t, testStart, 1)
		cell.late = true
		cell.submit(jobA, tasks(1))
		cell.take()
		cell.submit(jobB, tasks(1))
		if cell.planner.Withdraw(jobA) {
			t.Error("a job was withdrawn that may be stored")
		}
		if !cell.planner.Withdraw(jobB) {
			t.Error("a job that was never given to the store was not withdrawn")
		}
		cell.settle()
		if _, known := cell.planner.State(jobB); known {
			t.Error("a withdrawn job is known")
		}
	})
}

// TestDoubt settles orders whose answer was lost, by a look under a raised token.
func TestDoubt(t *testing.T) {
	// lose makes the answer of the first start get lost.
	lose := func(t *testing.T, carriedOut bool) (*cell, planner.Order) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.planner.Plan(cell.now)
		order, wanted := cell.planner.Prepare(cell.take().Starts[0], cell.now)
		if !wanted {
			t.Fatal("start is not wanted")
		}
		if carriedOut {
			cell.workers[order.Worker].running[order.Key] = order.Number
		}
		cell.planner.Answered(order, planner.Unknown, 0, cell.now)
		return cell, order
	}
	t.Run("carriedOutRunIsKept", func(t *testing.T) {
		cell, _ := lose(t, true)
		cell.settle()
		cell.pass(100 * time.Millisecond)
		cell.wantRunning(1)
		if len(cell.starts) != 0 {
			t.Errorf("started again: %v", cell.starts)
		}
	})
	t.Run("lostOrderIsFencedBeforeTheTaskStartsElsewhere", func(t *testing.T) {
		cell, order := lose(t, false)
		cell.planner.Plan(cell.now)
		if batch := cell.take(); len(batch.Starts) != 0 {
			t.Errorf("started again before the look: %v", batch.Starts)
		}
		cell.hold(order.Worker)
		cell.settle()
		cell.wantRunning(1)
		if token := cell.workers[order.Worker].token; token <= order.Token {
			t.Errorf("looked under token %d, the order in doubt has %d", token, order.Token)
		}
		if cell.starts[0].Number <= order.Number {
			t.Errorf("run %d after run %d in doubt", cell.starts[0].Number, order.Number)
		}
	})
	t.Run("runThatIsNotSentYetIsNotDisproved", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.planner.Plan(cell.now)
		batch := cell.take()
		cell.holdAll()
		if _, wanted := cell.planner.Prepare(batch.Starts[0], cell.now); !wanted {
			t.Error("a look before the order closed the run")
		}
	})
}

// TestSilentWorker starts the tasks of a worker that fell silent elsewhere, but not before its leases ran out.
func TestSilentWorker(t *testing.T) {
	cell := newCell(t, testStart, 2)
	cell.submit(jobA, tasks(1))
	cell.settle()
	silent := cell.workers[cell.starts[0].Worker]
	silent.silent = true
	for range 59 {
		cell.pass(100 * time.Millisecond)
	}
	if len(cell.starts) != 1 {
		t.Fatalf("started elsewhere within the lease: %v", cell.starts)
	}
	for range 8 {
		cell.pass(100 * time.Millisecond)
	}
	if len(cell.starts) != 2 || cell.starts[1].Worker == silent.id {
		t.Errorf("starts after the lease: %v", cell.starts)
	}
}

// TestReborn deals with a worker that starts anew under its former identity.
func TestReborn(t *testing.T) {
	cell := newCell(t, testStart, 1)
	cell.submit(jobA, tasks(1))
	cell.settle()
	worker := cell.workers["w-000"]
	worker.born, worker.began, worker.sequence = 2, cell.now, 0
	clear(worker.running)
	former := worker.token
	worker.token = 0
	cell.pass(100 * time.Millisecond)
	cell.wantRunning(1)
	if worker.token <= former {
		t.Errorf("looked under token %d, orders before the restart had %d", worker.token, former)
	}
	cell.endAll(planner.EndedDone)
	cell.wantState(jobA, planner.Completed)
}

// TestRebornUnnoticed starts a task on a worker whose restart is not known yet.
func TestRebornUnnoticed(t *testing.T) {
	cell := newCell(t, testStart, 1)
	worker := cell.workers["w-000"]
	worker.born, worker.began, worker.token = 2, cell.now.Add(-time.Millisecond), 0
	cell.submit(jobA, tasks(1))
	cell.settle()
	cell.pass(10 * time.Millisecond)
	cell.wantRunning(1)
	if len(cell.starts) != 1 {
		t.Errorf("%d starts, want the one that the new incarnation took", len(cell.starts))
	}
	cell.endAll(planner.EndedDone)
	cell.wantState(jobA, planner.Completed)
}

// TestRebornLate is as TestRebornUnnoticed, long after the leases of every earlier planner have run out.
func TestRebornLate(t *testing.T) {
	cell := newCell(t, testStart, 2)
	for range 30 {
		cell.pass(time.Second)
	}
	for _, worker := range cell.workers {
		worker.born, worker.began, worker.token = 2, cell.now.Add(-time.Millisecond), 0
	}
	cell.submit(jobA, tasks(1))
	cell.settle()
	cell.pass(10 * time.Millisecond)
	cell.wantRunning(1)
	if len(cell.starts) != 1 {
		t.Errorf("%d starts, want the one that the new incarnation took", len(cell.starts))
	}
}

// TestRebornSilent starts a task on a worker that had started anew and then falls silent: the end of the lease
// was reckoned on the former clock, so the run may last for as long as any lease.
func TestRebornSilent(t *testing.T) {
	cell := newCell(t, testStart, 2)
	for _, worker := range cell.workers {
		worker.born, worker.began, worker.token = 2, cell.now.Add(-time.Millisecond), 0
	}
	cell.submit(jobA, tasks(1))
	cell.planner.Plan(cell.now)
	cell.start(cell.take().Starts[0])
	cell.workers[cell.starts[0].Worker].silent = true
	for range 99 {
		cell.pass(100 * time.Millisecond)
	}
	if len(cell.starts) != 1 {
		t.Fatalf("started elsewhere within the longest lease: %v", cell.starts)
	}
	for range 10 {
		cell.pass(100 * time.Millisecond)
	}
	if len(cell.starts) != 2 {
		t.Errorf("%d starts after the longest lease, want 2", len(cell.starts))
	}
}

// TestRebornAfterEnds starts a task on a worker whose restart is not known yet, and that had listed ends
// before: its next end has a number that was acknowledged already.
func TestRebornAfterEnds(t *testing.T) {
	cell := newCell(t, testStart, 1)
	cell.submit(jobA, tasks(1))
	cell.settle()
	cell.endAll(planner.EndedDone)
	cell.wantState(jobA, planner.Completed)
	worker := cell.workers["w-000"]
	worker.born, worker.began, worker.token, worker.sequence, worker.ended = 2, cell.now.Add(-time.Millisecond), 0, 0, nil
	cell.submit(jobB, tasks(1))
	cell.planner.Plan(cell.now)
	start := cell.take().Starts[0]
	cell.start(start)
	cell.endAll(planner.EndedDone)
	cell.wantState(jobB, planner.Completed)
	if len(cell.starts) != 2 {
		t.Errorf("%d starts, want one a job", len(cell.starts))
	}
}

// TestRebornTwice restarts a worker twice within some milliseconds, each time after it has run a task: the
// end on the later incarnation must not count as one that was acknowledged on the earlier.
func TestRebornTwice(t *testing.T) {
	cell := newCell(t, testStart, 1)
	worker := cell.workers["w-000"]
	for number, job := range []string{jobA, jobB} {
		worker.born, worker.began, worker.token, worker.sequence = int64(number+2), cell.now.Add(-time.Millisecond), 0, 0
		worker.ended, worker.leased = nil, time.Time{}
		cell.submit(job, tasks(1))
		cell.settle()
		cell.endAll(planner.EndedDone)
		cell.wantState(job, planner.Completed)
		cell.pass(20 * time.Millisecond)
	}
	if len(cell.starts) != 2 {
		t.Errorf("%d starts, want one a job", len(cell.starts))
	}
}

// TestRebornEarlierAnswers takes answers that were made before it was known that a worker may have started
// anew, and that arrive after.
func TestRebornEarlierAnswers(t *testing.T) {
	// order makes a start that the worker carries out and whose answer is on its way, as is that of a look before.
	order := func(t *testing.T) (*cell, planner.Order, planner.Listing) {
		cell := newCell(t, testStart, 1)
		cell.submit(jobA, tasks(1))
		cell.planner.Plan(cell.now)
		start := cell.take().Starts[0]
		worker := cell.workers["w-000"]
		hold, _ := cell.planner.NextHold(worker.id, cell.now)
		earlier := planner.Listing{Token: hold.Token, SentAt: cell.now, Born: worker.born, Clock: cell.clockOf(worker)}
		order, _ := cell.planner.Prepare(start, cell.now)
		worker.running[order.Key] = order.Number
		return cell, order, earlier
	}
	t.Run("lookBeforeTheOrderDoesNotDisproveIt", func(t *testing.T) {
		cell, order, earlier := order(t)
		worker := cell.workers["w-000"]
		other := order
		other.Key.Index = 1 // of a run that is not open: only the clock of the answer counts
		cell.planner.Answered(other, planner.Taken, cell.clockOf(worker)-5000, cell.now)
		cell.planner.Listed(worker.id, earlier, cell.now)
		cell.settle()
		cell.pass(10 * time.Millisecond)
		cell.wantRunning(1)
		if len(cell.starts) != 0 {
			t.Errorf("started again: %v", cell.starts)
		}
	})
	t.Run("endsOfTheFormerIncarnationDoNotCount", func(t *testing.T) {
		cell, _, earlier := order(t)
		worker := cell.workers["w-000"]
		earlier.Ended = []planner.EndedRun{{Sequence: 9, Key: planner.TaskKey{Job: jobB}, Number: 1, Ending: planner.EndedDone}}
		worker.born, worker.began, worker.token = 2, cell.now.Add(-time.Millisecond), 0
		cell.hold(worker.id) // tells of the new incarnation
		cell.planner.Listed(worker.id, earlier, cell.now)
		cell.settle()
		cell.endAll(planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
	})
	t.Run("answerThatWaitedIsNoSignOfANewIncarnation", func(t *testing.T) {
		cell, order, _ := order(t)
		worker := cell.workers["w-000"]
		clock := cell.clockOf(worker)
		cell.now = cell.now.Add(3 * time.Second) // until the answer is read
		cell.planner.Answered(order, planner.Taken, clock, cell.now)
		if row := cell.planner.Workers()[0]; !row.RunsKnown || row.Token != order.Token {
			t.Errorf("looked %t under token %d, want true under %d", row.RunsKnown, row.Token, order.Token)
		}
	})
}

// TestTakeover rebuilds the tables from what is stored.
func TestTakeover(t *testing.T) {
	t.Run("runsGoOn", func(t *testing.T) {
		cell := newCell(t, testStart, 3)
		cell.submit(jobA, tasks(3), after(tasks(1), 0))
		cell.settle()
		cell.begin(2, testCatalog())
		cell.settle()
		if len(cell.starts) != 3 {
			t.Errorf("%d starts, want the 3 of the first planner", len(cell.starts))
		}
		cell.endAll(planner.EndedDone)
		cell.endAll(planner.EndedDone)
		cell.wantState(jobA, planner.Completed)
	})
	t.Run("storedStartThatWasNeverSentIsRepeatedWithAHigherNumber", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.planner.Plan(cell.now)
		cell.take()
		cell.begin(2, testCatalog())
		cell.settle()
		cell.wantRunning(1)
		if cell.starts[0].Number != 2 {
			t.Errorf("run number %d, want 2", cell.starts[0].Number)
		}
	})
	t.Run("runOnAWorkerThatDoesNotAnswerIsWaitedOut", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.settle()
		cell.workers[cell.starts[0].Worker].silent = true
		cell.begin(2, testCatalog())
		cell.planner.Unopposed(cell.now.Add(3 * time.Second))
		for range 90 {
			cell.pass(100 * time.Millisecond)
		}
		if len(cell.starts) != 1 {
			t.Fatalf("started elsewhere while a former decider may renew its lease: %v", cell.starts)
		}
		for range 8 {
			cell.pass(100 * time.Millisecond)
		}
		if len(cell.starts) != 2 {
			t.Errorf("%d starts after the longest lease, want 2", len(cell.starts))
		}
	})
	t.Run("workerThatFallsSilentAfterTheFirstLookKeepsItsLease", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.settle()
		worker := cell.workers[cell.starts[0].Worker]
		cell.restore(2, testCatalog())
		cell.hold(worker.id)
		worker.silent = true
		cell.now = cell.now.Add(400 * time.Millisecond) // a busy decider comes to its next look late
		cell.settle()
		for range 55 {
			cell.pass(100 * time.Millisecond)
		}
		if len(cell.starts) != 1 {
			t.Fatalf("started elsewhere within the lease of the former decider: %v", cell.starts)
		}
		for range 12 {
			cell.pass(100 * time.Millisecond)
		}
		if len(cell.starts) != 2 {
			t.Errorf("%d starts after the lease, want 2", len(cell.starts))
		}
	})
	t.Run("completedAndCanceledJobsStaySo", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.submit(jobB, tasks(1))
		cell.settle()
		cell.planner.Cancel(jobB, cell.now)
		cell.settle()
		cell.endAll(planner.EndedDone)
		cell.begin(2, testCatalog())
		cell.settle()
		cell.wantState(jobA, planner.Completed)
		cell.wantState(jobB, planner.Canceled)
		cell.wantRunning(0)
	})
}

// TestCancel stops what runs of a canceled job and starts no more of it.
func TestCancel(t *testing.T) {
	t.Run("running", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(2), after(tasks(2), 0))
		cell.settle()
		cell.planner.Cancel(jobA, cell.now)
		cell.settle()
		cell.pass(10 * time.Millisecond)
		cell.wantRunning(0)
		cell.wantState(jobA, planner.Canceled)
	})
	t.Run("betweenPlanAndOrder", func(t *testing.T) {
		cell := newCell(t, testStart, 2)
		cell.submit(jobA, tasks(1))
		cell.planner.Plan(cell.now)
		batch := cell.take()
		cell.planner.Cancel(jobA, cell.now)
		if _, wanted := cell.planner.Prepare(batch.Starts[0], cell.now); wanted {
			t.Error("a canceled job was started")
		}
	})
	t.Run("strangerOnAWorkerIsStopped", func(t *testing.T) {
		cell := newCell(t, testStart, 1)
		cell.workers["w-000"].running[planner.TaskKey{Job: jobB}] = 1
		cell.pass(10 * time.Millisecond)
		cell.pass(10 * time.Millisecond)
		cell.wantRunning(0)
	})
}

// TestStanding keeps the tasks of standing steps at work.
func TestStanding(t *testing.T) {
	standing := tasks(2)
	standing.Standing = true
	cell := newCell(t, testStart, 3)
	cell.submit(jobA, standing)
	cell.settle()
	for _, ending := range []planner.Ending{planner.EndedFailed, planner.EndedFailed, planner.EndedDone, planner.EndedLapsed} {
		cell.endAll(ending)
		cell.wantRunning(2)
	}
	cell.wantState(jobA, planner.Running)
}

// TestSchedule runs the occurrences of a job when they are due, also beside each other.
func TestSchedule(t *testing.T) {
	cell := newCell(t, testStart, 2)
	cell.planner.Submit(planner.Job{
		ID: jobA, Queue: testQueue, Team: testTeam, Steps: []planner.Step{tasks(1)},
		Runs: 3, FirstRunMS: testStart.Add(time.Second).UnixMilli(), IntervalMS: 500,
	}, cell.now)
	cell.settle()
	cell.wantRunning(0)
	cell.pass(time.Second)
	cell.wantRunning(1)
	cell.pass(500 * time.Millisecond)
	cell.wantRunning(2)
	cell.begin(2, testCatalog())
	cell.pass(500 * time.Millisecond)
	cell.wantRunning(3)
	cell.endAll(planner.EndedDone)
	cell.wantState(jobA, planner.Completed)
}
