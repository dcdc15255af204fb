package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// TestCappedGangIsExplained guards against a gang that waits for its team's cap while the log says that the cap is not the reason.
func TestCappedGangIsExplained(t *testing.T) {
	catalog := testCatalog()
	catalog.Teams[testTeam] = planner.Team{Name: testTeam, Weight: 1000, Cap: sizer.Size{MilliCores: 40000}}
	fleet := newFleet(t, testStart, 3)
	fleet.takeOver(2, catalog)
	large, gang := newStep(1), newStep(3)
	large.Size = sizer.Size{MilliCores: 30000}
	gang.Gang, gang.MaxPerWorker = true, 1
	gang.Size = sizer.Size{MilliCores: 8000}
	for _, worker := range fleet.workers {
		worker.unresponsive = worker.id != "w-000"
	}
	fleet.advance(5 * time.Second)
	fleet.submit(jobA, gang) // finds no room at first
	fleet.advance(time.Second)
	fleet.submit(jobB, large)
	fleet.settle()
	for _, worker := range fleet.workers {
		worker.unresponsive = false
	}
	fleet.advance(time.Second)
	fleet.wantRunning(1)
	blocked := fleet.planner.Explain(fleet.now, 0, 1)
	if len(blocked) != 1 || !blocked[0].Capped || blocked[0].TeamSize != large.Size || blocked[0].TeamCap.MilliCores != 40000 {
		t.Errorf("explained as %+v, want a gang that is capped", blocked)
	}
}
