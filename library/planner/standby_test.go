package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// maxRestartWait is the maximum time from the end of a standing task's lease to its next start.
const maxRestartWait = 200 * time.Millisecond

// restarts measures how long standing tasks wait after the leases of their lost runs have expired.
type restarts struct {
	*simulation
	standing *workload
	lostAt   map[planner.TaskKey]time.Time // when a run vanished
	waits    []time.Duration
	events   int // number of checked events
	orders   int // number of checked orders
}

// restartWorkloads returns standing tasks whose policy is slow and allows a tenth of the workers, and batch and urgent jobs that
// take a share of the rest of some workers.
func restartWorkloads(workers int, share float64) (standing, urgent, batch *workload) {
	standing = &workload{
		queue: planner.Queue{
			Name: "watch", Priority: 1, Stretch: 2.2, TargetLatency: 2500 * time.Millisecond,
			Policy: &planner.Policy{BaseTime: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 2 * time.Second},
		},
		step: planner.Step{Count: 3, Standing: true, Size: sizer.Size{MilliCores: 8000, MemoryMB: 5000}}, runTime: time.Hour, allowed: 0.1,
	}
	prompt, _, batch := mixedWorkloads()
	cores := share * 32 * float64(workers)
	batch.step.Checkpoints = true
	batch.perS = 0.9 * cores / (25 * 3.5 * 2.7)
	prompt.perS = 0.1 * cores / (3 * 5)
	return standing, prompt, batch
}

// newRestarts returns a simulation with a standing task on about a third of the workers, and the given load of other work.
func newRestarts(t *testing.T, workers int, share float64) *restarts {
	standing, urgent, batch := restartWorkloads(workers, share)
	restarts := &restarts{simulation: newSimulation(t, workers, 6, standing, urgent, batch), standing: standing, lostAt: map[planner.TaskKey]time.Time{}}
	for number := range workers / 9 {
		restarts.submitJob(standing, fmt.Sprintf("00%014x", number))
	}
	return restarts
}

// load submits the jobs of the other workloads for a time.
func (restarts *restarts) load(length time.Duration) {
	for number, workload := range restarts.workloads {
		if workload == restarts.standing {
			continue
		}
		gap := time.Duration(float64(time.Second) / workload.perS)
		for at := gap / 2; at < length; at += gap {
			id := fmt.Sprintf("%02x%014x", number, (restarts.now.Sub(testStart) + at).Microseconds())
			restarts.after(at, func() { restarts.submitJob(workload, id) })
		}
	}
}

// pass lets time pass and measures the waits.
func (restarts *restarts) pass(length time.Duration) {
	for range int(length / simulationTick) {
		restarts.playTick()
		for _, event := range restarts.fleet.events[restarts.events:] {
			if event.Ending == planner.Vanished && restarts.isStanding(event.Task) {
				restarts.lostAt[event.Task] = restarts.now
			}
		}
		for _, order := range restarts.fleet.orders[restarts.orders:] {
			if lostAt, found := restarts.lostAt[order.Key]; found {
				restarts.waits = append(restarts.waits, restarts.now.Sub(lostAt))
				delete(restarts.lostAt, order.Key)
			}
		}
		restarts.events, restarts.orders = len(restarts.fleet.events), len(restarts.fleet.orders)
	}
}

func (restarts *restarts) isStanding(key planner.TaskKey) bool {
	return restarts.workloadOf(key.Job) == restarts.standing
}

// silence lets the first worker with a standing task stop answering, and returns its ID.
func (restarts *restarts) silence() string {
	for _, id := range restarts.ids() {
		worker := restarts.workers[id]
		for key := range worker.running {
			if restarts.isStanding(key) && !worker.unresponsive {
				worker.unresponsive = true
				return id
			}
		}
	}
	restarts.t.Fatal("no worker runs a standing task")
	return ""
}

// wantRestarts checks that a number of tasks at least started again, each in time.
func (restarts *restarts) wantRestarts(t *testing.T, count int) {
	t.Helper()
	slices.Sort(restarts.waits)
	t.Logf("waits %v", restarts.waits)
	if len(restarts.lostAt) > 0 || len(restarts.waits) < count {
		t.Errorf("%d tasks started again, %d wait, want %d and none", len(restarts.waits), len(restarts.lostAt), count)
	}
	if longest := slices.Max(append(restarts.waits, 0)); longest > maxRestartWait {
		t.Errorf("a task started %v after the end of its lease, want %v at most", longest, maxRestartWait)
	}
}

// TestStandbyUnderLoad loses workers with standing tasks, one after another, while batch and urgent work takes most of the service
// and the policy service takes 0.8 s to allow a tenth of the workers. A standing task must start when its lease ends, rather than
// wait for a permission and for room first.
func TestStandbyUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name  string
		share float64 // of the service that batch and urgent work asks for
	}{{"mostlyFree", 0.2}, {"nearlyFull", 0.75}, {"full", 0.9}} {
		t.Run(test.name, func(t *testing.T) {
			restarts := newRestarts(t, 60, test.share)
			restarts.load(70 * time.Second)
			restarts.pass(8 * time.Second)
			for range 6 {
				silent := restarts.workers[restarts.silence()]
				restarts.pass(9 * time.Second)
				silent.unresponsive = false
			}
			restarts.wantRestarts(t, 6)
			urgent := restarts.workloads[1]
			t.Log(urgent.summary(), restarts.workloads[2].summary(), len(restarts.queries), len(restarts.stops))
		})
	}
}

// TestStandby guards against permissions and room that are got ready too late, too early or for nothing.
func TestStandby(t *testing.T) {
	t.Run("afterATakeover", func(t *testing.T) {
		restarts := newRestarts(t, 60, 0.2)
		restarts.pass(8 * time.Second)
		restarts.silence()
		restarts.pass(time.Second)
		restarts.takeOver(3, restarts.planner.Catalog())
		restarts.planner.SetSlots(planner.Slots{Short: 2, Long: 4})
		restarts.pass(20 * time.Second)
		restarts.wantRestarts(t, 1)
	})
	t.Run("workerThatLeftTheList", func(t *testing.T) {
		restarts := newRestarts(t, 60, 0.2)
		restarts.pass(8 * time.Second)
		restarts.workers[restarts.silence()].gone = true
		restarts.listWorkers()
		restarts.pass(9 * time.Second)
		restarts.wantRestarts(t, 1)
	})
	t.Run("queriesOnlyShortlyBefore", func(t *testing.T) {
		restarts := newRestarts(t, 60, 0.2)
		restarts.pass(8 * time.Second)
		restarts.silence()
		before := len(restarts.queries)
		restarts.pass(4 * time.Second) // the lease lasts for 6 s from a poll in the next 2 s
		if after := len(restarts.queries) - before; after > 0 {
			t.Errorf("%d queries while the lease lasts", after)
		}
		restarts.pass(5 * time.Second)
		restarts.wantRestarts(t, 1)
		if after := len(restarts.queries) - before; after > 2 {
			t.Errorf("%d queries for one task, want 2 at most", after)
		}
	})
	t.Run("workerAnswersAgain", func(t *testing.T) {
		restarts := newRestarts(t, 60, 0.2)
		restarts.pass(8 * time.Second)
		silent := restarts.workers[restarts.silence()]
		silent.leaseEnd = restarts.now.Add(20 * time.Second) // a poll whose answer is lost renews it
		before := len(restarts.queries)
		for len(restarts.queries) == before {
			restarts.pass(simulationTick)
		}
		restarts.pass(1200 * time.Millisecond)
		silent.unresponsive = false
		running, orders := len(silent.running), len(restarts.fleet.orders)
		restarts.pass(4 * time.Second)
		if running == 0 || len(silent.running) != running || len(restarts.fleet.orders) != orders {
			t.Errorf("%d runs and %d more orders, want the %d runs of before", len(silent.running), len(restarts.fleet.orders)-orders, running)
		}
		restarts.wantAllFree(t)
	})
	// Guards against standbys that take the slots of the policy service from urgent work.
	t.Run("urgentWorkIsAskedForFirst", func(t *testing.T) {
		restarts := newRestarts(t, 60, 0.2)
		restarts.pass(8 * time.Second)
		urgent := restarts.workloads[1].queue
		urgent.Policy = restarts.standing.queue.Policy // so that it uses the same slots
		restarts.setQueues(restarts.standing.queue, urgent)
		restarts.planner.SetSlots(planner.Slots{Short: 1, Long: 1})
		restarts.silence()
		before := len(restarts.queries)
		for number := 0; len(restarts.lostAt) == 0; number++ {
			restarts.submitJob(restarts.workloads[1], fmt.Sprintf("01%014x", number))
			restarts.pass(250 * time.Millisecond)
		}
		for _, query := range restarts.queries[before:] {
			if query.Step.Job[:2] == "00" {
				t.Error("the policy is asked for a standing task whose lease lasts, while urgent work waits")
			}
		}
	})
	// Guards against a lost zone whose standing tasks take the place of other work for longer than their restart takes.
	t.Run("zoneIsLost", func(t *testing.T) {
		restarts := newRestarts(t, 60, 0.4)
		restarts.load(30 * time.Second)
		restarts.pass(8 * time.Second)
		for _, worker := range restarts.workers {
			worker.unresponsive = restarts.zoneOf(worker.id) == "a"
		}
		restarts.pass(12 * time.Second)
		restarts.wantRestarts(t, 6)
		restarts.wantInTime(t, restarts.workloads[1], 0.85) // some were on the lost workers
	})
}

// setQueues replaces the queues of the catalog.
func (restarts *restarts) setQueues(queues ...planner.Queue) {
	catalog := testCatalog()
	catalog.Version, catalog.Queues = restarts.planner.Catalog().Version+1, queues
	restarts.planner.SetCatalog(catalog)
}

// wantAllFree checks that a batch job finds room on each worker at once.
func (restarts *restarts) wantAllFree(t *testing.T) {
	t.Helper()
	orders := len(restarts.fleet.orders)
	restarts.setQueues(planner.Queue{Name: "free", Service: testService, Priority: 2, TargetLatency: time.Second})
	restarts.submitTo("free", "02ffffffffffffff", planner.Step{Count: len(restarts.workers), Size: sizer.Size{MilliCores: 1000}, MaxPerWorker: 1})
	restarts.pass(simulationTick)
	if count := len(restarts.fleet.orders) - orders; count != len(restarts.workers) {
		t.Errorf("a batch job starts on %d workers, want all %d", count, len(restarts.workers))
	}
}
