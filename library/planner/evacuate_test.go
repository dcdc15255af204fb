package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"pgregory.net/rapid"
)

const (
	// shortNotice is the notice of a worker that is taken away.
	shortNotice = 2 * time.Second
	// longNotice is the notice of a worker that leaves as planned.
	longNotice = 6 * time.Second
	// maxMoveGap bounds how long a task that moves is down in these tests: a stop and a start.
	maxMoveGap = 200 * time.Millisecond
)

// newUnbudgeted returns a step of standing tasks that names no number of tasks that may be unavailable.
func newUnbudgeted(count int) planner.Step {
	step := newStanding(count)
	step.MaxUnavailable = 0
	return step
}

// newFleetWithStanding returns a fleet on which a standing step has run for a while, and the workers that run it.
func newFleetWithStanding(t testing.TB, workers int, step planner.Step) (*fleet, []string) {
	fleet := newFleet(t, testStart, workers)
	fleet.submit(jobA, step)
	fleet.settle()
	fleet.pass(2 * time.Second)
	return fleet, fleet.workersOf(jobA)
}

// workersOf returns the IDs of the workers that run tasks of a job, sorted.
func (fleet *fleet) workersOf(job string) []string {
	var ids []string
	for id, worker := range fleet.workers {
		for key := range worker.running {
			if key.Job == job && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// pass advances the time in short steps.
func (fleet *fleet) pass(duration time.Duration) { fleet.leave(duration, func() {}) }

// leave advances the time in short steps, with a check after each of them.
func (fleet *fleet) leave(duration time.Duration, check func()) {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed < duration; passed += step {
		fleet.advance(step)
		check()
	}
}

// wantMoved checks that no task of a job runs on a worker, and that all of them run.
func (fleet *fleet) wantMoved(job string, tasks int, from ...string) {
	fleet.t.Helper()
	fleet.wantStanding(job, tasks)
	for _, id := range fleet.workersOf(job) {
		if slices.Contains(from, id) {
			fleet.t.Errorf("tasks of %s still run on %s, which leaves", job, id)
		}
	}
}

// minRunning returns the smallest number of tasks of a job that run while the time advances.
func (fleet *fleet) minRunning(job string, duration time.Duration) int {
	least := fleet.countOf(job)
	fleet.leave(duration, func() { least = min(least, fleet.countOf(job)) })
	return least
}

// countOf returns how many tasks of a job run.
func (fleet *fleet) countOf(job string) int {
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

// TestEvacuateStanding guards against standing tasks that a leaving worker takes along although there is room elsewhere.
func TestEvacuateStanding(t *testing.T) {
	for name, notice := range map[string]time.Duration{"longNotice": longNotice, "shortNotice": shortNotice} {
		for budget := range 3 {
			t.Run(fmt.Sprintf("%s/budget%d", name, budget), func(t *testing.T) {
				step := newStanding(3)
				step.MaxUnavailable = budget
				fleet, from := newFleetWithStanding(t, 6, step)
				fleet.setDraining(notice, from...)
				fleet.pass(notice - 100*time.Millisecond)
				fleet.wantMoved(jobA, 3, from...)
			})
		}
	}
	// Guards against tasks that are away together although there is time to move them one by one.
	t.Run("oneByOneWhileThereIsTime", func(t *testing.T) {
		step := newUnbudgeted(3)
		step.MaxPerWorker = 1
		fleet, from := newFleetWithStanding(t, 6, step)
		fleet.setDraining(20*time.Second, from...)
		if least := fleet.minRunning(jobA, 10*time.Second); least < 2 {
			t.Errorf("%d of 3 tasks run while they move, want 2 at least", least)
		}
		fleet.wantMoved(jobA, 3, from...)
	})
	t.Run("timeWithoutARun", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 6, newUnbudgeted(1))
		fleet.setDraining(longNotice, from...)
		var downSince time.Time
		fleet.leave(longNotice, func() {
			switch {
			case fleet.countOf(jobA) == 1:
				downSince = time.Time{}
			case downSince.IsZero():
				downSince = fleet.now
			case fleet.now.Sub(downSince) > maxMoveGap:
				t.Fatalf("the task is down for %v while it moves, want %v at most", fleet.now.Sub(downSince), maxMoveGap)
			}
		})
		fleet.wantMoved(jobA, 1, from...)
	})
	t.Run("noticeWithoutTime", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(2))
		fleet.setDraining(0, from...)
		fleet.pass(500 * time.Millisecond)
		fleet.wantMoved(jobA, 2, from...)
	})
	// Guards against a wait for tasks that a new planner has only just read.
	t.Run("takeoverWithTheNotice", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(2))
		fleet.takeOver(2, testCatalog())
		fleet.setDraining(shortNotice, from...)
		fleet.pass(shortNotice - 100*time.Millisecond)
		fleet.wantMoved(jobA, 2, from...)
	})
}

// TestEvacuateStays guards against standing tasks that are stopped early although no other worker can take them.
func TestEvacuateStays(t *testing.T) {
	t.Run("noRoom", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 2, newUnbudgeted(1))
		fleet.submit(jobB, newUnbudgeted(7)) // fills both workers
		fleet.settle()
		fleet.setDraining(longNotice, from...)
		fleet.pass(longNotice)
		fleet.wantStops(0)
	})
	t.Run("budgetWithoutRoom", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 2, newStanding(1))
		fleet.submit(jobB, newUnbudgeted(7))
		fleet.settle()
		fleet.setDraining(longNotice, from...)
		fleet.pass(longNotice)
		fleet.wantStops(0)
	})
	t.Run("gang", func(t *testing.T) {
		step := newStanding(2)
		step.Gang = true
		fleet, from := newFleetWithStanding(t, 4, step)
		fleet.setDraining(longNotice, from[0])
		fleet.pass(longNotice)
		fleet.wantStops(0)
	})
	t.Run("allOthersLeaveOrAreDrained", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(1))
		fleet.drain("a", "b", "c")
		fleet.workers[from[0]].draining = true
		fleet.listWorkers()
		fleet.pass(longNotice)
		fleet.wantStops(0)
		fleet.drain()
		for _, worker := range fleet.workers {
			worker.draining = true
		}
		fleet.listWorkers()
		fleet.pass(longNotice)
		fleet.wantStops(0)
	})
	t.Run("workerThatDoesNotAnswer", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(1))
		fleet.workers[from[0]].unresponsive = true
		fleet.pass(50 * time.Millisecond)
		fleet.setDraining(longNotice, from...)
		fleet.pass(2 * time.Second)
		fleet.wantStops(0)
	})
	t.Run("teamAboveItsCap", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(1))
		catalog := testCatalog()
		catalog.Version = 2
		catalog.Teams[testTeam] = planner.Team{Name: testTeam, Weight: 1000, Cap: newStep(1).Size.Div(2)}
		fleet.planner.SetCatalog(catalog)
		fleet.setDraining(longNotice, from...)
		fleet.pass(longNotice)
		fleet.wantStops(0)
	})
}

// TestEvacuateUrgent guards against moves that take room from urgent work that waits.
func TestEvacuateUrgent(t *testing.T) {
	t.Run("roomGoesToUrgentWorkFirst", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 2, newUnbudgeted(1))
		fleet.submit(jobB, newStep(9)) // two more than there is room for
		fleet.settle()
		fleet.setDraining(longNotice, from...)
		fleet.pass(500 * time.Millisecond)
		fleet.endRunsOn(otherThan(fleet, from[0]), planner.EndedDone) // room for the tasks that wait, and for the standing one
		fleet.pass(500 * time.Millisecond)
		if waiting := len(fleet.planner.Explain(fleet.time(), 0, 10)); waiting != 0 {
			t.Errorf("%d steps wait, want none", waiting)
		}
		fleet.wantMoved(jobA, 1, from...)
	})
	t.Run("lastRoomIsLeftToUrgentWorkThatHasAskedForPermission", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 2, newUnbudgeted(1))
		catalog := testCatalog()
		catalog.Version = 2
		catalog.Queues = append(catalog.Queues, planner.Queue{
			Name: "asking", Prefix: "/asking/", Service: testService, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
			Policy: &planner.Policy{BaseTime: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second},
		})
		fleet.planner.SetCatalog(catalog)
		fleet.planner.SetSlots(planner.Slots{Short: 8, Long: 8})
		fleet.submitTo("batch", "00000000000000cc", newStep(6)) // leaves room for one task
		fleet.settle()
		fleet.submitTo("asking", jobB, newStep(1))
		fleet.settle()
		fleet.setDraining(longNotice, from...)
		fleet.pass(500 * time.Millisecond)
		fleet.wantStops(0)
		fleet.allowAll()
		fleet.settle()
		if fleet.countOf(jobB) != 1 {
			t.Error("the urgent task has not started")
		}
	})
	// Guards against batch work that takes all room as fast as it becomes free.
	t.Run("roomGoesToStandingTasksBeforeBatch", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 2, newUnbudgeted(1))
		fleet.submitTo("batch", jobB, newStep(20))
		fleet.settle()
		fleet.setDraining(longNotice, from...)
		fleet.pass(500 * time.Millisecond)
		fleet.wantStops(0)
		other := fleet.workers[otherThan(fleet, from[0])]
		for key := range other.running {
			fleet.markEnded(key, planner.EndedDone)
			break
		}
		fleet.pass(500 * time.Millisecond)
		fleet.wantMoved(jobA, 1, from...)
	})
}

// otherThan returns the ID of a worker other than the given one.
func otherThan(fleet *fleet, id string) string {
	for other := range fleet.workers {
		if other != id {
			return other
		}
	}
	return ""
}

// newAskingFleet returns a fleet whose queue has a policy with a validity, on which a standing task runs, and that task's worker.
func newAskingFleet(t *testing.T, validity time.Duration, tasks int) (*fleet, []string) {
	catalog := testCatalog()
	catalog.Queues[0].Policy = &planner.Policy{BaseTime: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: validity}
	fleet := newFleet(t, testStart, 6)
	fleet.takeOver(2, catalog)
	fleet.planner.SetSlots(planner.Slots{Short: 8, Long: 8})
	fleet.submit(jobA, newUnbudgeted(tasks))
	fleet.settle()
	fleet.allowAll()
	fleet.settle()
	fleet.wantStanding(jobA, tasks)
	fleet.pass(3 * time.Second)
	return fleet, fleet.workersOf(jobA)
}

// TestEvacuatePermission guards against tasks that are stopped before the policy has allowed another worker, and against permissions
// that are asked for only once a task may stop.
func TestEvacuatePermission(t *testing.T) {
	t.Run("askedWithTheNotice", func(t *testing.T) {
		fleet, from := newAskingFleet(t, time.Second, 2)
		fleet.setDraining(longNotice, from...)
		fleet.advance(50 * time.Millisecond)
		if len(fleet.queries) == 0 {
			t.Fatal("no policy query with the notice")
		}
		fleet.wantStops(0)
		fleet.allowAll()
		fleet.settle()
		fleet.wantStops(1)
	})
	t.Run("slowAnswer", func(t *testing.T) {
		fleet, from := newAskingFleet(t, 10*time.Second, 2)
		fleet.pass(8 * time.Second) // the first permissions expire
		fleet.setDraining(longNotice, from...)
		fleet.pass(longNotice - time.Second)
		fleet.wantStops(0)
		fleet.wantStanding(jobA, 2)
		fleet.allowAll()
		fleet.settle()
		fleet.pass(500 * time.Millisecond)
		fleet.wantMoved(jobA, 2, from...)
	})
	t.Run("failedQueryIsRepeated", func(t *testing.T) {
		fleet, from := newAskingFleet(t, time.Second, 1)
		fleet.setDraining(longNotice, from...)
		fleet.advance(50 * time.Millisecond)
		for _, query := range fleet.queries {
			fleet.planner.HandlePolicyFailure(query, fleet.time())
		}
		fleet.queries = nil
		fleet.pass(time.Second)
		if len(fleet.queries) == 0 {
			t.Error("the failed query is not repeated")
		}
	})
	// Guards against tasks that stay since work that waits takes each place for a query as it becomes free.
	t.Run("askedBesideWorkThatWaits", func(t *testing.T) {
		fleet, from := newAskingFleet(t, time.Second, 1)
		fleet.planner.SetSlots(planner.Slots{Short: 1})
		for number := range 6 {
			fleet.submit(jobID(number), newStep(1))
		}
		fleet.settle()
		if len(fleet.queries) == 0 {
			t.Fatal("no policy query of the work that waits")
		}
		fleet.setDraining(shortNotice, from...)
		fleet.advance(50 * time.Millisecond)
		fleet.planner.HandlePolicyFailure(fleet.queries[0], fleet.time())
		fleet.queries = nil
		fleet.advance(50 * time.Millisecond)
		if len(fleet.queries) != 1 || fleet.queries[0].Step.Job != jobA {
			t.Errorf("policy queries %v, want one of the task that has to move", fleet.queries)
		}
	})
	t.Run("noQueriesWithoutRoom", func(t *testing.T) {
		fleet, from := newAskingFleet(t, time.Second, 1)
		fleet.submitTo("batch", jobB, newUnbudgeted(23))
		fleet.settle()
		fleet.queries = nil
		fleet.setDraining(longNotice, from...)
		fleet.pass(longNotice)
		if len(fleet.queries) != 0 {
			t.Errorf("%d policy queries while all workers are full", len(fleet.queries))
		}
	})
}

// TestEvacuateTakeover guards against a task that is lost, or runs twice, since the planner changes while it moves.
func TestEvacuateTakeover(t *testing.T) {
	t.Run("whileItStops", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(2))
		fleet.setDraining(longNotice, from...)
		fleet.planner.Plan(fleet.time())
		fleet.carryOut(fleet.take()) // stops one task, whose end is not read any more
		fleet.wantStops(1)
		fleet.workers[from[0]].draining = true
		fleet.takeOver(2, testCatalog())
		fleet.pass(200 * time.Millisecond)
		fleet.wantStanding(jobA, 2)
	})
	t.Run("beforeTheStartIsStored", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 4, newUnbudgeted(1))
		fleet.deferStores = true
		fleet.setDraining(longNotice, from...)
		fleet.pass(100 * time.Millisecond)
		fleet.wantRunning(0)
		fleet.workers[from[0]].draining = true
		fleet.deferStores = false
		fleet.takeOver(2, testCatalog())
		fleet.pass(time.Second)
		fleet.wantMoved(jobA, 1, from...)
	})
}

// TestEvacuateMany guards against a storm of moves when many workers are replaced one after another, and against moves to workers that
// leave next.
func TestEvacuateMany(t *testing.T) {
	const (
		workers  = 30
		steps    = 20
		maxMoves = 8 // at the same time
	)
	fleet := newFleet(t, testStart, workers)
	for number := range steps {
		fleet.submit(jobID(number), newUnbudgeted(3))
	}
	fleet.settle()
	fleet.pass(2 * time.Second)
	t.Run("allAtOnce", func(t *testing.T) {
		for number := range workers / 2 {
			fleet.workers[fmt.Sprintf("w-%03d", number)].draining = true
		}
		fleet.listWorkers() // no time is left
		fleet.leave(3*time.Second, func() {
			if running := fleet.runningCount(); running < 3*steps-maxMoves {
				t.Fatalf("%d of %d tasks run, want %d at least", running, 3*steps, 3*steps-maxMoves)
			}
		})
		fleet.wantRunning(3 * steps)
		for number := range workers / 2 {
			if running := fleet.workers[fmt.Sprintf("w-%03d", number)].running; len(running) > 0 {
				t.Errorf("%d tasks still run on worker %d, which leaves", len(running), number)
			}
		}
	})
	t.Run("noneIsMovedTwice", func(t *testing.T) {
		fleet.pass(5 * time.Second)
		numbers := map[planner.TaskKey]int{}
		for _, stop := range fleet.stops {
			if numbers[stop.Key]++; numbers[stop.Key] > 1 {
				t.Errorf("%v was stopped %d times", stop.Key, numbers[stop.Key])
			}
		}
	})
}

// TestEvacuateProperty applies random events to a fleet whose workers announce that they leave, and checks the invariants of
// TestProperty, and that no order goes to a worker that leaves.
func TestEvacuateProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(&rapidTB{TB: nil, T: t}, testStart, 4)
		fleet.deferStores = rapid.Bool().Draw(t, "late")
		checkedFleet := &checkedFleet{fleet: fleet, term: 1, accepted: map[string]bool{}, lastRunNumbers: map[planner.TaskKey]int{}, speculativeJobs: map[string]bool{}, acknowledgedNumbers: map[planner.TaskKey]int{}}
		standing := map[string]bool{} // IDs of the standing jobs, whose tasks start again when they end
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			orders := len(fleet.orders)
			switch rapid.IntRange(0, 5).Draw(t, "evacuationEvent") {
			case 0:
				worker := fleet.workers[fmt.Sprintf("w-%03d", rapid.IntRange(0, 3).Draw(t, "leaving"))]
				worker.draining = !worker.draining
				fleet.listWorkers()
			case 1:
				checkedFleet.jobCount++
				id := fmt.Sprintf("%016x", checkedFleet.jobCount)
				standing[id] = true
				step := newUnbudgeted(rapid.IntRange(1, 3).Draw(t, "standing"))
				step.Gang = rapid.Bool().Draw(t, "standingGang")
				fleet.submit(id, step)
				fleet.settle()
			default:
				checkedFleet.applyEvent(t)
			}
			fleet.acknowledged = slices.DeleteFunc(fleet.acknowledged, func(key planner.TaskKey) bool { return standing[key.Job] })
			checkedFleet.check(t)
			for _, order := range fleet.orders[orders:] {
				if fleet.workers[order.Worker].draining {
					t.Fatalf("%v starts on %s, which leaves", order.Key, order.Worker)
				}
			}
		}
	})
}

// TestExplainStaying guards against logs that do not say why a leaving worker takes a standing task along.
func TestExplainStaying(t *testing.T) {
	for _, test := range []struct {
		want    string
		step    func(*planner.Step)
		prepare func(fleet *fleet)
	}{
		{"gang", func(step *planner.Step) { step.Gang = true }, func(*fleet) {}},
		{"noTarget", func(*planner.Step) {}, func(fleet *fleet) { fleet.submit(jobB, newUnbudgeted(8)) }},
		{"unconfirmed", func(*planner.Step) {}, func(fleet *fleet) { fleet.workers[fleet.workersOf(jobA)[0]].unresponsive = true }},
	} {
		t.Run(test.want, func(t *testing.T) {
			step := newUnbudgeted(1)
			test.step(&step)
			fleet, from := newFleetWithStanding(t, 2, step)
			test.prepare(fleet)
			fleet.settle()
			fleet.advance(50 * time.Millisecond)
			fleet.setDraining(longNotice, from...)
			fleet.advance(50 * time.Millisecond)
			staying := fleet.planner.ExplainStaying(fleet.time(), 1)
			if len(staying) != 1 || staying[0].Reason != test.want || staying[0].Budget != 0 {
				t.Errorf("%+v, want one run that stays, reason %s", staying, test.want)
			}
		})
	}
	t.Run("limit", func(t *testing.T) {
		fleet, from := newFleetWithStanding(t, 2, newUnbudgeted(8))
		fleet.setDraining(longNotice, from...)
		if staying := fleet.planner.ExplainStaying(fleet.time(), 3); len(staying) != 3 {
			t.Errorf("%d runs, want 3", len(staying))
		}
	})
}
