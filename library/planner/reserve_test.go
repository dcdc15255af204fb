package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// newRoomFleet returns a fleet whose batch queue has a policy, with shares of each service or of the fleet.
func newRoomFleet(t *testing.T, workers int, poolShares bool) *fleet {
	fleet := newFleet(t, testStart, workers)
	fleet.poolShares = poolShares
	catalog := testCatalog()
	catalog.Queues[1].Policy = &planner.Policy{BaseTime: 340 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: 2 * time.Second}
	fleet.takeOver(2, catalog)
	fleet.planner.SetSlots(planner.Slots{Short: 2, Long: 4})
	return fleet
}

// allowSome answers all policy queries that were sent so far: the policy allows the workers with a digit as the last one.
func (fleet *fleet) allowSome(digit byte) {
	for _, query := range fleet.queries {
		var allowed []planner.Allowance
		for _, worker := range query.Workers {
			if worker[len(worker)-1] == digit {
				allowed = append(allowed, planner.Allowance{Worker: worker, Ticket: "t-" + worker})
			}
		}
		fleet.planner.HandlePolicyAnswer(query, allowed, fleet.time())
	}
	fleet.queries = nil
}

// TestRoomIsNotKeptInVain guards against a step that waits while most of the room is free because workers are kept free for another
// step, which can never use them.
func TestRoomIsNotKeptInVain(t *testing.T) {
	gang := func(count int) planner.Step {
		step := newStep(count)
		step.Gang = true
		step.Size = sizer.Size{MilliCores: 12000, MemoryMB: 1000}
		return step
	}
	// play submits two jobs to the batch queue, the policy of which allows 4 of 40 workers, and checks that the second one runs.
	play := func(t *testing.T, fleet *fleet, first, second planner.Step) {
		t.Helper()
		fleet.submitTo("batch", jobA, first)
		fleet.passTime(time.Second)
		fleet.allowSome('7')
		fleet.passTime(time.Second)
		fleet.submitTo("batch", jobB, second)
		for range 3 {
			fleet.passTime(500 * time.Millisecond)
			fleet.allowSome('7')
		}
		fleet.passTime(50 * time.Millisecond)
		fleet.wantRunsOf(jobA, 0)
		fleet.wantRunsOf(jobB, second.Count)
	}
	for _, poolShares := range []bool{false, true} {
		t.Run(fmt.Sprintf("gangLargerThanTheWorkersThatThePolicyAllows/%v", poolShares), func(t *testing.T) {
			play(t, newRoomFleet(t, 40, poolShares), gang(9), gang(8))
		})
		t.Run(fmt.Sprintf("gangThatStandingTasksLeaveNoRoomFor/%v", poolShares), func(t *testing.T) {
			fleet := newRoomFleet(t, 40, poolShares)
			standing := newStanding(40)
			standing.MaxPerWorker = 1
			fleet.submit("00000000000000dd", standing)
			fleet.settle()
			fleet.wantRunsOf("00000000000000dd", 40)
			play(t, fleet, gang(9), gang(8))
		})
	}
	t.Run("noQueriesForAGangThatFindsNone", func(t *testing.T) {
		fleet := newRoomFleet(t, 40, false)
		fleet.submitTo("batch", jobA, gang(9))
		for range 3 {
			fleet.passTime(500 * time.Millisecond)
			fleet.allowSome('7')
		}
		fleet.passTime(5 * time.Second)
		if len(fleet.queries) > 0 {
			t.Errorf("%d queries, want none", len(fleet.queries))
		}
	})
}

// TestScarceResourceDoesNotKeepOthersFromAsking guards against steps that may not ask the policy while most of the room is free: the
// open queries of others were expected to take all of a resource that these steps do not need.
func TestScarceResourceDoesNotKeepOthersFromAsking(t *testing.T) {
	fleet := newRoomFleet(t, 4, false)
	scarce := newStep(8)
	scarce.Size = sizer.Size{MilliCores: 1000, MemoryMB: 1000, Accelerators: 4}
	plain := newStep(1)
	for id, step := range map[string]planner.Step{jobA: scarce, jobB: scarce, jobC: plain} {
		fleet.submitTo("batch", id, step)
	}
	fleet.passTime(50 * time.Millisecond)
	asked := map[string]bool{}
	for _, query := range fleet.queries {
		asked[query.Step.Job] = true
	}
	if !asked[jobA] || !asked[jobB] || !asked[jobC] {
		t.Errorf("the policy was asked for %v, want all three jobs", asked)
	}
}
