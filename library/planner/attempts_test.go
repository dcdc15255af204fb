package planner_test

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// replacements are the ways in which a planner is replaced, by name.
var replacements = map[string]func(fleet *fleet, catalog *planner.Catalog){
	"killed": func(fleet *fleet, catalog *planner.Catalog) { fleet.takeOver(fleet.planner.Term+1, catalog) },
	"handover": func(fleet *fleet, catalog *planner.Catalog) {
		fleet.beginHandover()
		fleet.takeOver(fleet.planner.Term+1, catalog)
	},
	"twiceAtOnce": func(fleet *fleet, catalog *planner.Catalog) {
		fleet.restore(fleet.planner.Term+1, catalog)
		fleet.takeOver(fleet.planner.Term+1, catalog)
	},
	"twice": func(fleet *fleet, catalog *planner.Catalog) {
		fleet.takeOver(fleet.planner.Term+1, catalog)
		fleet.advance(300 * time.Millisecond)
		fleet.takeOver(fleet.planner.Term+1, catalog)
	},
}

// attemptsCatalog returns testCatalog with a number of attempts.
func attemptsCatalog(attempts int) *planner.Catalog {
	catalog := testCatalog()
	for index := range catalog.Queues {
		catalog.Queues[index].MaxAttempts = attempts
	}
	return catalog
}

// newGang returns a step of tasks that run only together, spread over a number of workers.
func newGang(count, workers int) planner.Step {
	return planner.Step{
		Count: count, Size: sizer.Size{MilliCores: 4000, MemoryMB: 1000}, EstimateMS: 1000, Gang: true,
		MaxPerWorker: (count + workers - 1) / workers,
	}
}

// silence lets the workers of the last members of a gang, a number of them, give no answers, and returns a function that ends this.
func (fleet *fleet) silence(count int) func() {
	silent := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(fleet.workers)) {
		if len(silent) < count && len(fleet.workers[id].running) > 0 {
			silent[id] = true
		}
	}
	for id := range silent {
		fleet.workers[id].unresponsive = true
	}
	return func() {
		for id := range silent {
			fleet.workers[id].unresponsive = false
		}
	}
}

// failRun lets all members of a gang fail in one run. With between, the ends are read from some workers before it and from the others
// after it.
func (fleet *fleet) failRun(silent int, between func()) {
	reachable := func() {}
	if between != nil {
		reachable = fleet.silence(silent)
	}
	for _, worker := range fleet.workers {
		for _, key := range slices.Collect(maps.Keys(worker.running)) {
			fleet.markEnded(key, planner.EndedFailed)
		}
	}
	fleet.advance(50 * time.Millisecond)
	if between != nil {
		between()
	}
	fleet.advance(50 * time.Millisecond)
	reachable()
	for range 5 {
		fleet.advance(200 * time.Millisecond)
	}
}

// wantFailedAfter checks that a job fails with the last of a number of failed runs and not before. Of each run some ends are read before
// and the others after the planner is replaced, if replaced tells so.
func (fleet *fleet) wantFailedAfter(attempts, silent int, replaced func(run int) bool, replace func()) {
	fleet.t.Helper()
	for run := 1; run <= attempts; run++ {
		fleet.wantState(jobA, planner.Running)
		if fleet.runningCount() == 0 {
			fleet.t.Fatalf("nothing runs after %d of %d failed runs", run-1, attempts)
		}
		if replaced(run) {
			fleet.failRun(silent, replace)
		} else {
			fleet.failRun(silent, nil)
		}
	}
	fleet.wantState(jobA, planner.Failed)
	fleet.wantRunning(0)
}

// TestGangFailuresCountOnce guards against one failed run of a gang that two planners in a row count, each for a member whose end it reads
// first: the job failed too early (LOST). A failure that none of them counts would let it start too often (BUDGET).
func TestGangFailuresCountOnce(t *testing.T) {
	const attempts = 3
	for size, workers := range map[int]int{2: 4, 5: 4, 8: 8, 300: 48} {
		for how, replace := range replacements {
			for which, replaced := range map[string]func(run int) bool{
				"first": func(run int) bool { return run == 1 },
				"later": func(run int) bool { return run == 2 },
				"each":  func(int) bool { return true },
			} {
				for _, silent := range []int{1, max(1, workers/2)} {
					t.Run(fmt.Sprintf("%d/%s/%s/%dSilent", size, how, which, silent), func(t *testing.T) {
						fleet := newFleet(t, testStart, workers)
						catalog := attemptsCatalog(attempts)
						fleet.takeOver(2, catalog)
						fleet.submit(jobA, newGang(size, workers))
						fleet.settle()
						fleet.wantFailedAfter(attempts, silent, replaced, func() { replace(fleet, catalog) })
					})
				}
			}
		}
	}
}

// TestTaskFailuresCountOnce is the same for the tasks of a step that is no gang.
func TestTaskFailuresCountOnce(t *testing.T) {
	const attempts = 3
	for name, step := range map[string]planner.Step{"one": newStep(1), "many": newStep(3), "parts": smallTasks(300)} {
		for how, replace := range replacements {
			t.Run(name+"/"+how, func(t *testing.T) {
				fleet := newFleet(t, testStart, 6)
				catalog := attemptsCatalog(attempts)
				fleet.takeOver(2, catalog)
				fleet.submit(jobA, step)
				fleet.settle()
				fleet.wantFailedAfter(attempts, 1, func(int) bool { return true }, func() { replace(fleet, catalog) })
			})
		}
	}
}

// TestGangFailuresOfEarlierRelease guards against failures that are counted twice, or not at all, after an upgrade: earlier releases did
// not store which runs of a gang they had counted.
func TestGangFailuresOfEarlierRelease(t *testing.T) {
	const attempts = 3
	upgrade := func(fleet *fleet, catalog *planner.Catalog) {
		for key, value := range fleet.journal {
			fleet.journal[key] = failedNumber.ReplaceAll(value, nil)
		}
		fleet.takeOver(fleet.planner.Term+1, catalog)
	}
	for size, workers := range map[int]int{2: 2, 5: 5, 300: 48} {
		catalog := attemptsCatalog(attempts)
		t.Run(fmt.Sprintf("%d/whileItFails", size), func(t *testing.T) {
			fleet := newFleet(t, testStart, workers)
			fleet.takeOver(2, catalog)
			fleet.submit(jobA, newGang(size, workers))
			fleet.settle()
			fleet.wantFailedAfter(attempts, 1, func(run int) bool { return run == 2 }, func() { upgrade(fleet, catalog) })
		})
		t.Run(fmt.Sprintf("%d/whileItRuns", size), func(t *testing.T) {
			fleet := newFleet(t, testStart, workers)
			fleet.takeOver(2, catalog)
			fleet.submit(jobA, newGang(size, workers))
			fleet.settle()
			fleet.failRun(0, nil)
			upgrade(fleet, catalog)
			fleet.settle()
			fleet.wantFailedAfter(attempts-1, 0, func(int) bool { return false }, nil)
		})
	}
}

// TestGangFailureAfterOtherEnds guards against a failure that no planner counts since another member of the same run ended otherwise
// before, and the planner was replaced in between: the gang would start too often (BUDGET).
func TestGangFailureAfterOtherEnds(t *testing.T) {
	const attempts = 2
	catalog := attemptsCatalog(attempts)
	for _, ending := range []planner.Ending{planner.EndedStopped, planner.EndedGangBroken, planner.EndedLeaseExpired} {
		for how, replace := range replacements {
			t.Run(string(ending)+"/"+how, func(t *testing.T) {
				fleet := newFleet(t, testStart, 2)
				fleet.slowStops = true
				fleet.takeOver(2, catalog)
				fleet.submit(jobA, newGang(2, 2))
				fleet.settle()
				fleet.failRun(0, nil)
				fleet.markEnded(planner.TaskKey{Job: jobA}, ending)
				fleet.advance(50 * time.Millisecond)
				replace(fleet, catalog)
				fleet.settle()
				fleet.wantState(jobA, planner.Running)
				fleet.endAll(planner.EndedFailed)
				fleet.wantState(jobA, planner.Failed)
			})
		}
	}
}

// failedNumber matches the field of a journal record that earlier releases do not write.
var failedNumber = regexp.MustCompile(`,"failedNumber":\d+`)

// TestEndedGangIsStopped guards against members of a gang that run on alone since the planner that wanted to stop them was replaced: the
// gang never starts again.
func TestEndedGangIsStopped(t *testing.T) {
	for size, workers := range map[int]int{2: 2, 5: 5, 300: 48} {
		for _, standing := range []bool{false, true} {
			for how, replace := range replacements {
				t.Run(fmt.Sprintf("%d/%v/%s", size, standing, how), func(t *testing.T) {
					fleet := newFleet(t, testStart, workers)
					step := newGang(size, workers)
					step.Standing = standing
					fleet.submit(jobA, step)
					fleet.settle()
					fleet.slowStops = true // the stops do not arrive
					fleet.markEnded(planner.TaskKey{Job: jobA}, planner.EndedLeaseExpired)
					fleet.advance(50 * time.Millisecond)
					replace(fleet, testCatalog())
					fleet.slowStops = false
					for range 5 {
						fleet.advance(200 * time.Millisecond)
					}
					fleet.wantRunning(size)
					for _, worker := range fleet.workers {
						for key, number := range worker.running {
							if number != 2 {
								t.Errorf("%v runs with number %d, want 2", key, number)
							}
						}
					}
				})
			}
		}
	}
}

// TestFailedWorkersAfterTakeover guards against a task that a planner starts where it has failed under an earlier one, although other
// workers are free: a worker that fails all that it starts would use up its attempts (LOST).
func TestFailedWorkersAfterTakeover(t *testing.T) {
	const attempts = 4
	catalog := attemptsCatalog(attempts)
	for name, step := range map[string]planner.Step{"oneRecord": newStep(1), "parts": smallTasks(300)} {
		for how, replace := range replacements {
			t.Run(name+"/"+how, func(t *testing.T) {
				fleet := newFleet(t, testStart, attempts)
				fleet.takeOver(2, catalog)
				fleet.submit(jobA, step)
				fleet.settle()
				for range attempts - 1 {
					fleet.markEnded(planner.TaskKey{Job: jobA}, planner.EndedFailed)
					fleet.advance(50 * time.Millisecond)
					replace(fleet, catalog)
					fleet.advance(50 * time.Millisecond)
				}
				used := map[string]bool{}
				for _, order := range fleet.orders {
					if order.Key.Index == 0 {
						used[order.Worker] = true
					}
				}
				if len(used) != attempts {
					t.Errorf("the first task was started on %d workers, want each of %d attempts on another one", len(used), attempts)
				}
			})
		}
	}
}
