package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// TestForeignEntry guards against tasks that run twice since an entry of another writer in the list of workers names the machine of a worker
// that is at work: its runs ended for the planner at once, as if the machine had started anew. Seen by review/11.
func TestForeignEntry(t *testing.T) {
	for _, test := range []struct {
		name     string
		service  string
		silent   bool // whether the worker at work does not answer any more
		answers  bool // whether a worker answers under the ID of the entry
		replaced bool
	}{
		{"unknownService", "agents", false, false, false},
		{"unknownServiceAnswers", "agents", true, true, false},
		{"nobodyAnswers", testService, true, false, false},
		{"bothAnswer", testService, false, true, false},
		{"machineStartedAnew", testService, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet(t, testStart, 3)
			for id, worker := range fleet.workers {
				worker.machine = "machine-" + id
			}
			fleet.listWorkers()
			fleet.submit(jobA, newStep(1))
			fleet.settle()
			order := fleet.orders[0]
			worker := fleet.workers[order.Worker]
			fleet.advance(500 * time.Millisecond)
			worker.unresponsive = test.silent
			entry := &fakeWorker{
				id: "w-009", machine: worker.machine, service: test.service, incarnation: worker.incarnation + 1, clockStart: fleet.now,
				running: map[planner.TaskKey]int{}, unresponsive: !test.answers,
			}
			fleet.workers[entry.id] = entry
			fleet.advance(10 * time.Millisecond)
			fleet.listWorkers()
			for range 10 {
				fleet.advance(50 * time.Millisecond)
			}
			if replaced := len(fleet.orders) > 1; replaced != test.replaced {
				t.Errorf("the task was ordered again: %t, want %t", replaced, test.replaced)
			}
		})
	}
}
