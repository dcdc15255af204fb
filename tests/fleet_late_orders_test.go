package tests

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

// manyTasksJob has enough tasks for each worker of a fleet, and so for each delegate.
const manyTasksJob = `{"spec":"s","steps":[{"count":24,"cpu":1000,"memMb":10,"estimateMs":20000}]}`

// rebootWorker ends a worker's process, all its runs and connections, and starts it anew under its ID.
func (fleet *fleet) rebootWorker(worker *emulator.Worker) {
	worker.Restart()
	fleet.fabric.Reset(worker.ID)
}

// TestFleetLateOrders guards against tasks that run twice since an order reached a worker long after the decider had given it up: a host
// that passes orders on stood still with them in its socket, or had them in hand, and meanwhile the workers were started anew under
// their IDs, so that they knew no fencing token. Seen by review/12 and by the soak's seed 1050.
func TestFleetLateOrders(t *testing.T) {
	for _, frozen := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 3400 * time.Millisecond, 8 * time.Second} {
		for _, rebootedBefore := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("frozen%v/rebooted%v", frozen, rebootedBefore), func(t *testing.T) {
				checkLateOrders(t, frozen, rebootedBefore)
			})
		}
	}
}

// checkLateOrders freezes all hosts but the decider one after the other for a time, submits a job to each fleet so disturbed, and
// reboots all workers at a time before the host goes on.
func checkLateOrders(t *testing.T, frozen, rebootedBefore time.Duration) {
	runFleet(t, 6, 1, func(fleet *fleet) {
		for _, worker := range fleet.workers {
			worker.RunTime = 30 * time.Second
		}
		decider := fleet.decidingHost()
		for number, name := range fleet.hostNames {
			if name == decider {
				continue
			}
			zone := name[6:7]
			fleet.fabric.Pause(name)
			if answer := fleet.call("POST", decider, fleetPathPrefix+jobID(number), fleetKey, manyTasksJob); answer.status != http.StatusOK {
				fleet.Fatalf("job: status %d, want 200", answer.status)
			}
			time.Sleep(frozen - rebootedBefore)
			for _, worker := range fleet.workers {
				if worker.Zone == zone {
					fleet.rebootWorker(worker)
				}
			}
			time.Sleep(rebootedBefore)
			fleet.fabric.Resume(name)
			time.Sleep(2 * time.Second)
			if answer := fleet.call("DELETE", decider, fleetPathPrefix+jobID(number), fleetKey, ""); answer.status != http.StatusOK {
				fleet.Fatalf("cancel: status %d, want 200", answer.status)
			}
			time.Sleep(12 * time.Second)
			decider = fleet.decidingHost()
		}
		if !slices.ContainsFunc(fleet.workers, func(worker *emulator.Worker) bool { return len(worker.History()) > 0 }) {
			fleet.Error("no task ran")
		}
	})
}
