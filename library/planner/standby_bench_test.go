package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// BenchmarkStandbys measures a placement pass of a fleet of the target's size, a fifth of whose workers are lost, each with a standing
// task, shortly before their leases end.
func BenchmarkStandbys(b *testing.B) {
	const workers = 990
	fleet := newFleet(b, testStart, workers)
	catalog := testCatalog()
	catalog.Queues[0].Policy = &planner.Policy{BaseTime: 500 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 2 * time.Second}
	fleet.takeOver(2, catalog)
	fleet.planner.SetSlots(planner.Slots{Short: 10, Long: 20})
	for number := range workers / 5 {
		fleet.submit(fmt.Sprintf("%016x", number), newStanding(5))
	}
	for range 30 {
		fleet.advance(50 * time.Millisecond)
		fleet.allowAll()
	}
	b.Logf("%d runs", fleet.runningCount())
	for number, id := range fleet.planner.WorkerIDs() {
		fleet.workers[id].unresponsive = number%5 == 0
	}
	for range 61 {
		fleet.advance(100 * time.Millisecond)
	}
	b.Logf("%d runs, %d queries", fleet.planner.Load().Runs, len(fleet.queries))
	for b.Loop() {
		fleet.planner.Plan(fleet.now)
	}
}
