package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"pgregory.net/rapid"
)

// TestStandbyProperty checks the invariants of TestProperty with standing tasks and a policy, on workers that fall silent, answer
// again or restart: no task runs twice, and no reservation or query outlasts its reason.
func TestStandbyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(&rapidTB{TB: nil, T: t}, testStart, 4)
		catalog := testCatalog()
		catalog.Queues[0].Policy = &planner.Policy{BaseTime: 300 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: 2 * time.Second}
		fleet.takeOver(1, catalog)
		checkedFleet := &checkedFleet{fleet: fleet, term: 1, accepted: map[string]bool{}, lastRunNumbers: map[planner.TaskKey]int{}, speculativeJobs: map[string]bool{}, acknowledgedNumbers: map[planner.TaskKey]int{}}
		checkedFleet.planner.SetSlots(planner.Slots{Short: 1, Long: 2})
		for range rapid.IntRange(10, 30).Draw(t, "events") {
			checkedFleet.applyStandingEvent(t, catalog)
			checkedFleet.check(t)
		}
		checkedFleet.wantAllStarted(t)
	})
}

// applyStandingEvent draws one event and applies it.
func (checkedFleet *checkedFleet) applyStandingEvent(t *rapid.T, catalog *planner.Catalog) {
	worker := checkedFleet.workers[fmt.Sprintf("w-%03d", rapid.IntRange(0, 3).Draw(t, "worker"))]
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		checkedFleet.jobCount++
		checkedFleet.submit(fmt.Sprintf("%016x", checkedFleet.jobCount), newStanding(rapid.IntRange(1, 3).Draw(t, "count")))
		checkedFleet.settle()
	case 1, 2:
		worker.unresponsive = !worker.unresponsive
	case 3:
		checkedFleet.restart(worker)
	case 4:
		checkedFleet.term++
		checkedFleet.queries = nil
		checkedFleet.takeOver(checkedFleet.term, catalog)
		checkedFleet.planner.SetSlots(planner.Slots{Short: 1, Long: 2})
		checkedFleet.settle()
	default:
		for range rapid.IntRange(1, 40).Draw(t, "ticks") {
			checkedFleet.advance(100 * time.Millisecond)
			checkedFleet.check(t)
			if rapid.IntRange(0, 2).Draw(t, "answers") == 0 {
				checkedFleet.allowAll()
			}
		}
	}
}

// wantAllStarted checks that all tasks run once all workers answer again, apart from those that too many workers crashed under.
func (checkedFleet *checkedFleet) wantAllStarted(t *rapid.T) {
	for _, worker := range checkedFleet.workers {
		worker.unresponsive = false
	}
	for range 300 {
		checkedFleet.advance(100 * time.Millisecond)
		checkedFleet.allowAll()
	}
	checkedFleet.settle()
	if waiting := checkedFleet.planner.Load().WaitingTasks; waiting > 0 && checkedFleet.runningCount() < 16 {
		t.Fatalf("%d tasks wait beside %d runs on workers with room for 16: %+v", waiting, checkedFleet.runningCount(), checkedFleet.planner.Explain(checkedFleet.now, 0, 3))
	}
}
