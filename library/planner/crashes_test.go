package planner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

const (
	// maxCrashStarts is the most starts of a task that crashes its workers: three crashes, and two starts more.
	maxCrashStarts = 5
	// crashDowntime is how long a worker is away after a crash.
	crashDowntime = 3 * time.Second
	// jobC is a job that is submitted after the others.
	jobC = "00000000000000cc"
	// crashTestStep is the time between two polls of these tests.
	crashTestStep = 200 * time.Millisecond
)

// crash ends all runs of a worker, which answers no calls until it is back.
func (fleet *fleet) crash(worker *fakeWorker) {
	clear(worker.running)
	worker.unresponsive, worker.ended, worker.backAt = true, nil, fleet.now.Add(crashDowntime)
}

// reviveSame lets a worker start again under its ID.
func (fleet *fleet) reviveSame(worker *fakeWorker) {
	worker.unresponsive, worker.token, worker.sequence = false, 0, 0
	worker.backAt, worker.leaseEnd = time.Time{}, time.Time{}
	worker.incarnation, worker.clockStart = worker.incarnation+1, fleet.now
}

// reviveAsOther lets the machine of a worker start again as another worker.
func (fleet *fleet) reviveAsOther(worker *fakeWorker) {
	worker.gone, worker.backAt = true, time.Time{}
	id := fmt.Sprintf("w-%03d", len(fleet.workers))
	fleet.workers[id] = &fakeWorker{
		id: id, machine: worker.machine, incarnation: worker.incarnation + 1, clockStart: fleet.now, running: map[planner.TaskKey]int{},
	}
}

// loseForGood removes a worker that has crashed, and lists another machine in its place.
func (fleet *fleet) loseForGood(worker *fakeWorker) {
	fleet.reviveAsOther(worker)
	fleet.workers[fmt.Sprintf("w-%03d", len(fleet.workers)-1)].machine = ""
}

// play advances in small steps until done returns true or the time is over. Crashed workers come back by revive, and tasks
// for which ends returns true end as done.
func (fleet *fleet) play(duration time.Duration, revive func(*fakeWorker), ends func(planner.TaskKey) bool, done func() bool) {
	for end := fleet.now.Add(duration); fleet.now.Before(end) && !done(); {
		for _, id := range slices.Sorted(maps.Keys(fleet.workers)) {
			worker := fleet.workers[id]
			if !worker.backAt.IsZero() && !fleet.now.Before(worker.backAt) {
				revive(worker)
			}
			for key := range maps.Clone(worker.running) {
				if ends(key) {
					fleet.markEnded(key, planner.EndedDone)
				}
			}
		}
		fleet.listWorkers()
		fleet.advance(crashTestStep)
	}
}

func (fleet *fleet) stateIs(id string, want planner.State) func() bool {
	return func() bool { state, _ := fleet.planner.State(id); return state == want }
}

func noTask(planner.TaskKey) bool { return false }

func ofJob(id string) func(planner.TaskKey) bool {
	return func(key planner.TaskKey) bool { return key.Job == id }
}

// startsOf returns the number of orders for the first task of a job.
func (fleet *fleet) startsOf(id string) int {
	count := 0
	for _, order := range fleet.orders {
		if order.Key == (planner.TaskKey{Job: id}) {
			count++
		}
	}
	return count
}

// newCrashFleet returns a fleet of workers, each on a machine of its own.
func newCrashFleet(t *testing.T, workerCount int) *fleet {
	fleet := newFleet(t, testStart, workerCount)
	for id, worker := range fleet.workers {
		worker.machine = "m-" + id
	}
	fleet.listWorkers()
	return fleet
}

// wantGivenUp plays until jobA has failed, whose tasks crash their workers, and checks that few starts were made.
func wantGivenUp(t *testing.T, fleet *fleet, step planner.Step, revive func(*fakeWorker)) {
	t.Helper()
	fleet.crashOn = ofJob(jobA)
	fleet.wantFewStarts(step, revive)
}

// wantGivenUpUnanswered is wantGivenUp for tasks that crash their workers before these have answered the order.
func wantGivenUpUnanswered(t *testing.T, fleet *fleet, step planner.Step, revive func(*fakeWorker)) {
	t.Helper()
	fleet.crashBefore = ofJob(jobA)
	fleet.wantFewStarts(step, revive)
}

// wantFewStarts submits jobA and checks that it fails after few starts.
func (fleet *fleet) wantFewStarts(step planner.Step, revive func(*fakeWorker)) {
	fleet.t.Helper()
	fleet.submit(jobA, step)
	fleet.settle()
	fleet.play(3*time.Minute, revive, noTask, fleet.stateIs(jobA, planner.Failed))
	fleet.wantState(jobA, planner.Failed)
	if starts := fleet.startsOf(jobA); starts > maxCrashStarts {
		fleet.t.Errorf("the task was started %d times, want %d at most", starts, maxCrashStarts)
	}
}

// TestCrashingTask guards against a task that takes down one worker after the other without end.
func TestCrashingTask(t *testing.T) {
	kinds := map[string]func(*planner.Step){
		"plain":       func(*planner.Step) {},
		"speculative": func(step *planner.Step) { step.Speculative = true },
		"standing":    func(step *planner.Step) { step.Standing = true },
		"gang":        func(step *planner.Step) { step.Gang, step.Count = true, 3 },
	}
	revivals := map[string]func(*fleet) func(*fakeWorker){
		"workersBack":      func(fleet *fleet) func(*fakeWorker) { return fleet.reviveSame },
		"machinesBack":     func(fleet *fleet) func(*fakeWorker) { return fleet.reviveAsOther },
		"workersNeverBack": func(fleet *fleet) func(*fakeWorker) { return fleet.loseForGood },
	}
	for kind, configure := range kinds {
		for name, revive := range revivals {
			t.Run(kind+"/"+name, func(t *testing.T) {
				fleet, step := newCrashFleet(t, 9), newStep(1)
				configure(&step)
				wantGivenUp(t, fleet, step, revive(fleet))
			})
			t.Run(kind+"/"+name+"/beforeTheAnswer", func(t *testing.T) {
				fleet, step := newCrashFleet(t, 9), newStep(1)
				configure(&step)
				wantGivenUpUnanswered(t, fleet, step, revive(fleet))
			})
		}
	}
	t.Run("takeoverAfterEachCrash", func(t *testing.T) {
		fleet, term := newCrashFleet(t, 9), int64(1)
		wantGivenUp(t, fleet, newStep(1), func(worker *fakeWorker) {
			term++
			fleet.takeOver(term, testCatalog())
			fleet.reviveAsOther(worker)
		})
	})
	t.Run("takeoverWhileTheWorkerIsAway", func(t *testing.T) {
		fleet, term := newCrashFleet(t, 9), int64(1)
		wantGivenUp(t, fleet, newStep(1), func(worker *fakeWorker) {
			fleet.reviveSame(worker)
			term++
			fleet.takeOver(term, testCatalog())
		})
	})
	t.Run("workersBackLongAfterTheirLeases", func(t *testing.T) {
		fleet := newCrashFleet(t, 9)
		wantGivenUp(t, fleet, newStep(1), func(worker *fakeWorker) { fleet.reviveLate(worker) })
	})
	t.Run("takeoversWhileItIsNotKnownWhatBecameOfTheWorkers", func(t *testing.T) {
		fleet, term, lastTakeover := newCrashFleet(t, 9), int64(1), testStart
		wantGivenUp(t, fleet, newStep(1), func(worker *fakeWorker) {
			if fleet.now.Sub(lastTakeover) >= 10*time.Second {
				term++
				lastTakeover = fleet.now
				fleet.takeOver(term, testCatalog())
			}
			fleet.reviveLate(worker)
		})
	})
	t.Run("twoCrashesAloneAreEnough", func(t *testing.T) {
		fleet := newCrashFleet(t, 9)
		wantGivenUp(t, fleet, newStep(1), fleet.reviveSame)
		if starts := fleet.startsOf(jobA); starts != 2 {
			t.Errorf("the task was started %d times, want 2", starts)
		}
	})
}

// reviveLate is reviveSame once the worker has been away for a minute.
func (fleet *fleet) reviveLate(worker *fakeWorker) {
	if fleet.now.Sub(worker.backAt) >= time.Minute-crashDowntime {
		fleet.reviveSame(worker)
	}
}

// TestCrashNeighbors guards against jobs that are given up for the crashes that others cause.
func TestCrashNeighbors(t *testing.T) {
	t.Run("neighborsOfACrashingTaskAreCompleted", func(t *testing.T) {
		fleet := newCrashFleet(t, 6)
		fleet.crashOn = ofJob(jobA)
		fleet.submit(jobB, newStep(20))
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.play(20*time.Second, fleet.reviveAsOther, noTask, fleet.stateIs(jobA, planner.Failed))
		fleet.play(20*time.Second, fleet.reviveAsOther, ofJob(jobB), fleet.stateIs(jobB, planner.Completed))
		fleet.wantState(jobA, planner.Failed)
		fleet.wantState(jobB, planner.Completed)
	})
	t.Run("twoCrashesBesideOthers", func(t *testing.T) {
		fleet := newCrashFleet(t, 1)
		fleet.submit(jobA, newStep(1))
		fleet.submit(jobB, newStep(1))
		fleet.settle()
		for range 2 {
			crashAndReturn(fleet, "w-000")
		}
		fleet.wantRunning(2)
		fleet.wantState(jobA, planner.Running)
		fleet.wantState(jobB, planner.Running)
		crashAndReturn(fleet, "w-000")
		fleet.wantState(jobA, planner.Failed)
	})
	t.Run("gangOnOneWorker", func(t *testing.T) {
		fleet, step := newCrashFleet(t, 1), newStep(3)
		step.Gang = true
		fleet.submit(jobA, step)
		fleet.settle()
		crashAndReturn(fleet, "w-000")
		fleet.wantRunning(3)
		fleet.wantState(jobA, planner.Running)
	})
	t.Run("silentWorkersThatAnswerAgainCrashedNothing", func(t *testing.T) {
		fleet := newCrashFleet(t, 3)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		for range 5 {
			worker := fleet.workers[fleet.orders[len(fleet.orders)-1].Worker]
			worker.unresponsive = true
			fleet.play(10*time.Second, fleet.reviveSame, noTask, func() bool { return false })
			worker.unresponsive = false
			fleet.play(time.Second, fleet.reviveSame, noTask, func() bool { return false })
		}
		fleet.wantState(jobA, planner.Running)
		fleet.wantRunning(1)
	})
	t.Run("workersThatCrashedBeforeTheOrderCame", func(t *testing.T) {
		fleet := newCrashFleet(t, 4)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		unanswered := 0
		fleet.crashBefore = func(planner.TaskKey) bool { unanswered++; return unanswered <= 2 }
		crashAndReturn(fleet, fleet.orders[0].Worker)
		fleet.play(20*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() > 0 })
		fleet.wantState(jobA, planner.Running)
		fleet.wantRunning(1)
	})
	t.Run("workersThatCrashedBeforeTheOrderCameAndATakeover", func(t *testing.T) {
		fleet, step := newCrashFleet(t, 4), newStep(1)
		step.Speculative = true
		fleet.crashBefore = func(planner.TaskKey) bool { return true }
		fleet.submit(jobA, step)
		fleet.settle()
		fleet.play(2*time.Second, func(*fakeWorker) {}, noTask, func() bool { return fleet.startsOf(jobA) == 2 })
		fleet.crashBefore = nil
		fleet.takeOver(2, testCatalog())
		fleet.play(20*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() > 0 })
		fleet.wantState(jobA, planner.Running)
		fleet.wantRunning(1)
	})
	t.Run("workersOfDifferentMembersOfAGang", func(t *testing.T) {
		fleet, step := newCrashFleet(t, 4), newStep(3)
		step.Gang, step.MaxPerWorker = true, 1
		fleet.submit(jobA, step)
		fleet.settle()
		for index := range step.Count {
			fleet.wantState(jobA, planner.Running)
			crashAndReturn(fleet, fleet.workerOf(planner.TaskKey{Job: jobA, Index: index}))
		}
		fleet.wantState(jobA, planner.Running)
		fleet.wantRunning(step.Count)
	})
	t.Run("standingTaskThatRanLong", func(t *testing.T) {
		fleet, step := newCrashFleet(t, 1), newStep(1)
		step.Standing = true
		fleet.submit(jobA, step)
		fleet.settle()
		for range 5 {
			fleet.play(time.Minute, fleet.reviveSame, noTask, func() bool { return false })
			crashAndReturn(fleet, "w-000")
		}
		fleet.wantState(jobA, planner.Running)
		fleet.wantRunning(1)
	})
}

// TestLongRunsAfterTakeover guards against jobs that last and are given up for crashes of their workers that each came soon after a takeover:
// the new planner did not know how long they had run (LOST).
func TestLongRunsAfterTakeover(t *testing.T) {
	const crashes = 5
	play := func(fleet *fleet, duration time.Duration) {
		fleet.play(duration, fleet.reviveSame, noTask, func() bool { return false })
	}
	for how, replace := range replacements {
		for name, test := range map[string]struct {
			runTime, delay time.Duration // of the task before the takeover, and from there to the crash
			count          int
			want           planner.State
		}{
			"atOnce":     {time.Minute, 0, 1, planner.Running},
			"soon":       {time.Minute, time.Second, 1, planner.Running},
			"parts":      {time.Minute, time.Second, 300, planner.Running},
			"tooShort":   {10 * time.Second, 0, 1, planner.Failed},
			"shortAgain": {10 * time.Second, time.Second, 1, planner.Failed},
		} {
			t.Run(name+"/"+how, func(t *testing.T) {
				fleet, step := newCrashFleet(t, 1), newStep(test.count)
				step.Standing, step.Size = true, smallTasks(1).Size
				fleet.submit(jobA, step)
				fleet.settle()
				for range crashes {
					play(fleet, test.runTime)
					if test.delay == 0 {
						fleet.crash(fleet.workers["w-000"])
					}
					replace(fleet, testCatalog())
					play(fleet, test.delay)
					if test.delay > 0 {
						fleet.crash(fleet.workers["w-000"])
					}
					play(fleet, crashDowntime+15*time.Second)
				}
				fleet.wantState(jobA, test.want)
			})
		}
	}
}

// workerOf returns the ID of the worker that runs a task.
func (fleet *fleet) workerOf(key planner.TaskKey) string {
	for id, worker := range fleet.workers {
		if _, found := worker.running[key]; found {
			return id
		}
	}
	fleet.t.Fatalf("no worker runs %v", key)
	return ""
}

// crashAndReturn lets a worker crash and plays until it is back and had time to get its tasks again.
func crashAndReturn(fleet *fleet, id string) {
	fleet.crash(fleet.workers[id])
	fleet.play(crashDowntime+5*time.Second, fleet.reviveSame, noTask, func() bool { return false })
}

// TestMachineBack guards against tasks that wait for the leases of a machine that has started anew, and against runs that are
// closed for the entry of a machine's former worker.
func TestMachineBack(t *testing.T) {
	t.Run("tasksStartAgainOnceTheMachineIsBack", func(t *testing.T) {
		fleet := newCrashFleet(t, 2)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.crash(fleet.workers[fleet.orders[0].Worker])
		fleet.play(crashDowntime+2*crashTestStep, fleet.reviveAsOther, noTask, func() bool { return false })
		fleet.wantRunning(1)
	})
	t.Run("entryOfAFormerWorkerClosesNothing", func(t *testing.T) {
		fleet := newCrashFleet(t, 1)
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		running := fleet.workers["w-000"]
		fleet.workers["w-001"] = &fakeWorker{id: "w-001", machine: running.machine, incarnation: running.incarnation - 1, unresponsive: true}
		fleet.play(time.Second, fleet.reviveSame, noTask, func() bool { return false })
		fleet.wantRunning(1)
		if starts := fleet.startsOf(jobA); starts != 1 {
			t.Errorf("the task was started %d times, want 1", starts)
		}
	})
	// Guards against a second run beside the first one: the clock of a machine may have gone back between two of its workers.
	t.Run("laterWorkerWithAnEarlierTimeIsNotReplaced", func(t *testing.T) {
		fleet := newCrashFleet(t, 1)
		former := fleet.workers["w-000"]
		fleet.reviveSame(former)
		fleet.advance(time.Second)
		fleet.crash(former)
		fleet.advance(time.Second)
		fleet.workers["w-001"] = &fakeWorker{
			id: "w-001", machine: former.machine, incarnation: former.incarnation - 1, clockStart: fleet.now, running: map[planner.TaskKey]int{},
		}
		fleet.listWorkers()
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.play(2*time.Second, func(*fakeWorker) {}, noTask, func() bool { return false })
		fleet.wantRunning(1)
		if starts := fleet.startsOf(jobA); starts != 1 {
			t.Errorf("the task was started %d times, want 1", starts)
		}
	})
	t.Run("drainedWorkerHasNotCrashed", func(t *testing.T) {
		fleet, step := newCrashFleet(t, 1), newStep(1)
		fleet.submit(jobA, step)
		fleet.settle()
		for range 4 {
			worker := fleet.workers[fleet.orders[len(fleet.orders)-1].Worker]
			worker.draining = true
			fleet.listWorkers()
			fleet.crash(worker)
			fleet.play(15*time.Second, fleet.reviveAsOther, noTask, func() bool { return false })
		}
		fleet.wantState(jobA, planner.Running)
	})
}

// TestCrashedWorkerIsUsed guards against a worker that is barred for the tasks that crashed it.
func TestCrashedWorkerIsUsed(t *testing.T) {
	fleet := newCrashFleet(t, 1)
	wantGivenUp(t, fleet, newStep(1), fleet.reviveSame)
	fleet.submit(jobB, newStep(1))
	fleet.play(5*time.Second, fleet.reviveSame, noTask, func() bool { return fleet.runningCount() > 0 })
	fleet.wantRunning(1)
}
