package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

const (
	cappedTasks = 8 // that the cap of the customer allows
	oneCore     = 1000
)

// cappedCatalog returns testCatalog with a cap of cappedTasks cores for the customer.
func cappedCatalog() *planner.Catalog {
	catalog := testCatalog()
	catalog.Teams[testTeam] = planner.Team{Name: testTeam, Weight: 1000, Cap: sizer.Size{MilliCores: cappedTasks * oneCore}}
	return catalog
}

// cappedStep returns a step with tasks of one core.
func cappedStep(count int) planner.Step {
	return planner.Step{Count: count, EstimateMS: 30_000, Size: sizer.Size{MilliCores: oneCore, MemoryMB: 100}}
}

// newCappedFleet returns a fleet with room for many more tasks than the cap of the customer allows.
func newCappedFleet(t *testing.T) *fleet {
	t.Helper()
	fleet := newFleet(t, testStart, 6)
	fleet.takeOver(2, cappedCatalog())
	return fleet
}

// TestEndedJobsStillCount guards against runs of jobs that have ended and no new planner counts: it starts as much again beside them,
// above the cap of the customer (QUOTA).
func TestEndedJobsStillCount(t *testing.T) {
	gang := cappedStep(cappedTasks)
	gang.Gang = true
	small := cappedStep(400)
	small.Size.MilliCores = cappedTasks * oneCore / 400
	for name, test := range map[string]struct {
		step  planner.Step
		end   func(fleet *fleet) // ends the job while its runs go on
		state planner.State
	}{
		"canceled":     {cappedStep(cappedTasks), func(fleet *fleet) { fleet.planner.Cancel(jobA, fleet.now) }, planner.Canceled},
		"canceledGang": {gang, func(fleet *fleet) { fleet.planner.Cancel(jobA, fleet.now) }, planner.Canceled},
		"canceledMany": {small, func(fleet *fleet) { fleet.planner.Cancel(jobA, fleet.now) }, planner.Canceled},
		"failed": {cappedStep(cappedTasks), func(fleet *fleet) {
			for range 2 { // maxAttempts of the queue
				fleet.markEnded(planner.TaskKey{Job: jobA}, planner.EndedFailed)
				fleet.advance(10 * time.Millisecond)
			}
		}, planner.Failed},
		"completedGang": {gang, func(fleet *fleet) { fleet.markEnded(planner.TaskKey{Job: jobA}, planner.EndedDone) }, planner.Completed},
	} {
		for how, replace := range map[string]func(fleet *fleet){
			"killed":   func(fleet *fleet) { fleet.takeOver(3, cappedCatalog()) },
			"handover": func(fleet *fleet) { fleet.beginHandover(); fleet.takeOver(3, cappedCatalog()) },
			"twice": func(fleet *fleet) {
				fleet.takeOver(3, cappedCatalog())
				fleet.restore(4, cappedCatalog())
				fleet.sendPolls()
			},
			"twiceLater": func(fleet *fleet) {
				fleet.takeOver(3, cappedCatalog())
				fleet.advance(time.Second)
				fleet.takeOver(4, cappedCatalog())
			},
		} {
			t.Run(name+"/"+how, func(t *testing.T) {
				fleet := newCappedFleet(t)
				fleet.submit(jobA, test.step)
				fleet.settle()
				fleet.submit(jobB, cappedStep(cappedTasks))
				fleet.settle()
				fleet.slowStops = true
				test.end(fleet)
				fleet.advance(10 * time.Millisecond)
				left := fleet.runningCountOf(jobA) // the failed task and the member that was done are not running
				replace(fleet)
				fleet.wantState(jobA, test.state)
				for range 5 {
					fleet.advance(50 * time.Millisecond)
					fleet.wantWithinCap(test.step.Size)
				}
				if fleet.runningCountOf(jobA) != left {
					t.Fatalf("%d runs of the job that ended, want %d", fleet.runningCountOf(jobA), left)
				}
				fleet.slowStops = false
				fleet.endJob(jobA)
				fleet.advance(time.Second)
				fleet.advance(time.Second)
				if running := fleet.runningCountOf(jobB); running != cappedTasks {
					t.Errorf("%d tasks run once the others have ended, want %d", running, cappedTasks)
				}
				fleet.wantForgotten(jobA)
			})
		}
	}
}

// runningCountOf returns the number of runs of a job on the workers.
func (fleet *fleet) runningCountOf(job string) int {
	count := 0
	for _, worker := range fleet.workers {
		for key := range worker.running {
			if key.Job == job {
				count++
			}
		}
	}
	return count
}

// endJob ends all runs of a job as stopped.
func (fleet *fleet) endJob(job string) {
	for _, worker := range fleet.workers {
		for key := range worker.running {
			if key.Job == job {
				fleet.markEnded(key, planner.EndedStopped)
			}
		}
	}
}

// wantWithinCap checks that the runs on the workers take no more than the cap of the customer. The tasks of jobA have a size, those of others
// a core.
func (fleet *fleet) wantWithinCap(size sizer.Size) {
	fleet.t.Helper()
	first := int64(fleet.runningCountOf(jobA))
	used := first*size.MilliCores + int64(fleet.runningCount()-int(first))*oneCore
	if used > cappedTasks*oneCore {
		fleet.t.Fatalf("%d thousandths of a core are running, the cap is %d", used, cappedTasks*oneCore)
	}
}

// wantForgotten checks that the journal holds the state of a job that has ended, and nothing else of it.
func (fleet *fleet) wantForgotten(job string) {
	fleet.t.Helper()
	for _, key := range []string{"job/" + job, "part/" + job + "/0/0"} {
		if _, found := fleet.journal[key]; found {
			fleet.t.Errorf("%s is still in the journal", key)
		}
	}
}

// TestEndedJobsAreStopped checks that a new planner stops the runs of a canceled job that it restores, also if the stops of the planner
// before it were lost.
func TestEndedJobsAreStopped(t *testing.T) {
	fleet := newCappedFleet(t)
	fleet.submit(jobA, cappedStep(cappedTasks))
	fleet.settle()
	fleet.slowStops = true
	fleet.planner.Cancel(jobA, fleet.now)
	fleet.settle()
	fleet.takeOver(3, cappedCatalog())
	fleet.slowStops = false
	fleet.advance(time.Second)
	fleet.wantRunning(0)
}

// TestEndedJobOnSilentWorkers checks that the runs of a canceled job count until the leases of workers that do not answer have expired,
// over a takeover.
func TestEndedJobOnSilentWorkers(t *testing.T) {
	fleet := newCappedFleet(t)
	fleet.submit(jobA, cappedStep(cappedTasks))
	fleet.settle()
	fleet.submit(jobB, cappedStep(cappedTasks))
	fleet.planner.Cancel(jobA, fleet.now)
	for _, worker := range fleet.workers {
		worker.unresponsive = len(worker.running) > 0
	}
	fleet.slowStops = true
	fleet.settle()
	fleet.takeOver(3, cappedCatalog())
	started := time.Duration(0)
	for waited := time.Duration(0); waited < 25*time.Second && started == 0; waited += 100 * time.Millisecond {
		fleet.advance(100 * time.Millisecond)
		fleet.wantWithinCap(sizer.Size{MilliCores: oneCore})
		if fleet.runningCountOf(jobB) > 0 {
			started = waited
		}
	}
	if started == 0 {
		t.Error("no task of the other job started, however long the leases had expired")
	}
}

// TestRunsOutliveRetention guards against a job that is forgotten while a run of it exists, which no later planner would count.
func TestRunsOutliveRetention(t *testing.T) {
	fleet := newFleet(t, testStart, 6)
	fleet.adjust = func(settings *planner.Settings) { settings.StatusRetention = time.Second }
	fleet.takeOver(2, cappedCatalog())
	fleet.submit(jobA, cappedStep(cappedTasks))
	fleet.settle()
	fleet.submit(jobB, cappedStep(cappedTasks))
	fleet.slowStops = true
	fleet.planner.Cancel(jobA, fleet.now)
	for range 5 {
		fleet.advance(time.Second)
	}
	fleet.takeOver(3, cappedCatalog())
	fleet.advance(time.Second)
	fleet.wantWithinCap(sizer.Size{MilliCores: oneCore})
	fleet.endJob(jobA)
	for range 5 {
		fleet.advance(time.Second)
	}
	if _, known := fleet.planner.State(jobA); known {
		t.Error("the job is not forgotten once it has no runs")
	}
}

// TestCopyOutlivesTask guards against a run of a task that is done, by a copy, which a new planner lets run to its end.
func TestCopyOutlivesTask(t *testing.T) {
	fleet := newFleet(t, testStart, 3)
	fleet.submit(jobA, newSpeculativeStep(1), dependent(newStep(1), 0))
	fleet.settle()
	worker := fleet.workers[fleet.orders[0].Worker]
	worker.unresponsive = true
	for range 6 {
		fleet.advance(100 * time.Millisecond)
	}
	fleet.slowStops = true // the stop of the first run is lost
	fleet.endRunsOn(fleet.orders[1].Worker, planner.EndedDone)
	fleet.takeOver(2, testCatalog())
	fleet.slowStops, worker.unresponsive = false, false
	fleet.advance(100 * time.Millisecond)
	fleet.advance(100 * time.Millisecond)
	if running := fleet.runningCountOf(jobA); running != 1 || worker.running[fleet.orders[0].Key] != 0 {
		t.Errorf("%d runs, %v on the worker that answers again, want only that of the second step", running, worker.running)
	}
}

// TestWithdrawnJobIsForgotten guards against a decider that ends, or forgets a job that runs, because a job was canceled and withdrawn
// before it was stored.
func TestWithdrawnJobIsForgotten(t *testing.T) {
	for name, again := range map[string]bool{"notSubmittedAgain": false, "submittedAgain": true} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, testStart, 2)
			fleet.submit(jobA, newStep(1))
			fleet.planner.Cancel(jobA, fleet.now)
			if !fleet.planner.Withdraw(jobA) {
				t.Fatal("a job that is in no batch is not withdrawn")
			}
			if again {
				waiting := newStep(1)
				waiting.Size.MilliCores = 64_000 // more than a worker has
				fleet.submit(jobA, waiting)
			}
			fleet.settle()
			for waited := time.Duration(0); waited <= testSettings.StatusRetention; waited += time.Second {
				fleet.advance(time.Second)
			}
			if _, known := fleet.planner.State(jobA); known != again {
				t.Errorf("the job is known: %t, want %t", known, again)
			}
		})
	}
}
