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

// TestFleetLateOrdersInConnections is TestFleetLateOrders for orders that wait for a connection of the decider to a worker: the path between
// them is cut and heals as the worker starts anew.
func TestFleetLateOrdersInConnections(t *testing.T) {
	for healsAfter := 50 * time.Millisecond; healsAfter <= 3*time.Second; healsAfter = healsAfter * 3 / 2 {
		t.Run(healsAfter.String(), func(t *testing.T) {
			runFleet(t, 4, noDelegates, func(fleet *fleet) {
				for _, worker := range fleet.workers {
					worker.RunTime = 30 * time.Second
				}
				decider := fleet.decidingHost()
				for number, worker := range fleet.workers {
					heal := fleet.fabric.Cut([]string{decider}, []string{worker.ID})
					fleet.fabric.Reset(worker.ID) // so that orders wait for new connections
					if answer := fleet.call("POST", decider, fleetPathPrefix+jobID(number), fleetKey, manyTasksJob); answer.status != http.StatusOK {
						fleet.Fatalf("job: status %d, want 200", answer.status)
					}
					time.Sleep(healsAfter)
					fleet.rebootWorker(worker)
					heal()
					time.Sleep(2 * time.Second)
					if answer := fleet.call("DELETE", decider, fleetPathPrefix+jobID(number), fleetKey, ""); answer.status != http.StatusOK {
						fleet.Fatalf("cancel: status %d, want 200", answer.status)
					}
					time.Sleep(12 * time.Second)
				}
			})
		})
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

// TestFleetLateOrdersAtTakeover guards against tasks that run twice since a decider that was stopped or killed left orders with a host that
// stood still: its successor read the workers, and one was started anew before the orders arrived, still in their time.
func TestFleetLateOrdersAtTakeover(t *testing.T) {
	for name, end := range map[string]func(fleet *fleet, host string){
		"stopped": func(fleet *fleet, host string) { fleet.stopHost(host) },
		"killed":  func(fleet *fleet, host string) { fleet.killHost(host) },
	} {
		for wakesAfter := 100 * time.Millisecond; wakesAfter <= 400*time.Millisecond; wakesAfter += 20 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", name, wakesAfter), func(t *testing.T) { checkLateOrdersAtTakeover(t, end, 0, wakesAfter) })
		}
	}
}

// TestFleetLateOrdersOfSlowDecider is TestFleetLateOrdersAtTakeover for a decider whose messages take long, and which therefore gives its
// orders more time.
func TestFleetLateOrdersOfSlowDecider(t *testing.T) {
	for name, end := range map[string]func(fleet *fleet, host string){
		"stopped": func(fleet *fleet, host string) { fleet.stopHost(host) },
		"killed":  func(fleet *fleet, host string) { fleet.killHost(host) },
	} {
		for _, delay := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
			for wakesAfter := 150 * time.Millisecond; wakesAfter <= 900*time.Millisecond; wakesAfter += 50 * time.Millisecond {
				t.Run(fmt.Sprintf("%s/slow%v/%v", name, delay, wakesAfter), func(t *testing.T) {
					checkLateOrdersAtTakeover(t, end, delay, wakesAfter)
				})
			}
		}
	}
}

// checkLateOrdersAtTakeover freezes a host, submits a job to the decider, whose messages take a delay, and ends the decider. A time after the
// answer, a worker is started anew and the frozen host goes on.
func checkLateOrdersAtTakeover(t *testing.T, end func(fleet *fleet, host string), delay, wakesAfter time.Duration) {
	// The tasks take three quarters of the fleet, so that some are ordered in each zone and may start again in another one.
	const job = `{"spec":"s","steps":[{"count":9,"cpu":8000,"memMb":10,"estimateMs":20000}]}`
	const ordersLeave = 50 * time.Millisecond // the decider has sent all orders
	runFleet(t, 6, 1, func(fleet *fleet) {
		for _, worker := range fleet.workers {
			worker.RunTime = 30 * time.Second
		}
		decider, frozen := fleet.decidingHost(), fleet.hostNames[0]
		if frozen == decider {
			frozen = fleet.hostNames[1]
		}
		if delay > 0 {
			fleet.fabric.SetDelay(decider, delay)
			time.Sleep(5 * time.Second) // the decider has learned of it
		}
		fleet.fabric.Pause(frozen)
		if answer := fleet.call("POST", decider, fleetPathPrefix+jobID(1), fleetKey, job); answer.status != http.StatusOK {
			fleet.Fatalf("job: status %d, want 200", answer.status)
		}
		answeredAt := time.Now()
		time.Sleep(ordersLeave)
		done := make(chan struct{})
		go func() {
			end(fleet, decider)
			close(done)
		}()
		time.Sleep(time.Until(answeredAt.Add(wakesAfter)))
		isInZone := func(worker *emulator.Worker) bool { return worker.Zone == frozen[6:7] }
		fleet.rebootWorker(fleet.workers[slices.IndexFunc(fleet.workers, isInZone)])
		fleet.fabric.Resume(frozen)
		<-done
		time.Sleep(5 * time.Second)
		if running := fleet.countRunning(); running != 9 {
			fleet.Errorf("%d tasks run in the end, want 9", running)
		}
	})
}

// countRunning returns the number of runs that go on.
func (fleet *fleet) countRunning() int {
	count := 0
	for _, worker := range fleet.workers {
		for _, run := range worker.History() {
			if run.Ended.IsZero() {
				count++
			}
		}
	}
	return count
}
