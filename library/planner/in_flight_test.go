package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"pgregory.net/rapid"
)

// arrive lets an order that is in flight arrive at its worker, which refuses it only if the life that receives it knows of a higher token.
func (fleet *fleet) arrive(index int) {
	order := fleet.takeInFlight(index)
	worker := fleet.workers[order.Worker]
	if order.Token < worker.token {
		fleet.planner.HandleOrderOutcome(order, planner.RefusedFence, 0, fleet.time())
		return
	}
	worker.token = order.Token
	fleet.accept(worker, order)
	fleet.planner.HandleOrderOutcome(order, planner.Accepted, fleet.clockMS(worker), fleet.time())
}

// endFlight gives an order that is in flight an outcome without letting it arrive.
func (fleet *fleet) endFlight(index int, outcome planner.Outcome) {
	fleet.planner.HandleOrderOutcome(fleet.takeInFlight(index), outcome, 0, fleet.time())
}

func (fleet *fleet) takeInFlight(index int) planner.Order {
	order := fleet.inFlight[index]
	fleet.inFlight = append(fleet.inFlight[:index:index], fleet.inFlight[index+1:]...)
	return order
}

// TestOrderInFlight guards against a task that runs twice since its worker restarted while an order was in flight: the decider read the new
// life, which knew nothing of the run, and started the task elsewhere, and the order reached a life that came later still.
func TestOrderInFlight(t *testing.T) {
	for _, test := range []struct {
		name   string
		end    func(fleet *fleet)
		orders int // in all, once the flight has ended and the workers were polled
	}{
		{"arrives", func(fleet *fleet) { fleet.arrive(0) }, 1},
		{"dropped", func(fleet *fleet) { fleet.endFlight(0, planner.Dropped) }, 2},
		{"noAnswer", func(fleet *fleet) { fleet.endFlight(0, planner.Unknown) }, 2},
		{"refused", func(fleet *fleet) { fleet.endFlight(0, planner.RefusedFence) }, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet(t, testStart, 3)
			fleet.holdsOrders = true
			fleet.submit(jobA, newStep(1))
			fleet.settle()
			worker := fleet.workers[fleet.orders[0].Worker]
			for range 2 {
				(&checkedFleet{fleet: fleet}).restart(worker)
				for range 3 {
					fleet.sendPolls()
					fleet.settle()
				}
			}
			if len(fleet.orders) != 1 {
				t.Fatalf("%d orders while the first one is in flight, want 1", len(fleet.orders))
			}
			(&checkedFleet{fleet: fleet}).restart(worker)
			test.end(fleet)
			fleet.holdsOrders = false
			for range 3 {
				fleet.sendPolls()
				fleet.settle()
			}
			fleet.wantRunning(1)
			if len(fleet.orders) != test.orders {
				t.Errorf("%d orders, want %d", len(fleet.orders), test.orders)
			}
		})
	}
}

// TestInFlightProperty draws orders that arrive late, are dropped or get no answer, and workers that are polled, stop answering or restart
// meanwhile, and checks that no task runs twice and that each task runs in the end.
func TestInFlightProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkedFleet := newCheckedFleet(t, eventKind{noCopies: true})
		checkedFleet.deferStores, checkedFleet.holdsOrders = false, true
		for job := range rapid.IntRange(1, 3).Draw(t, "jobs") {
			step := newStep(rapid.IntRange(1, 2).Draw(t, "tasks"))
			step.EstimateMS = 600_000 // so that no run counts as hanging
			checkedFleet.submit(fmt.Sprintf("%016x", job), step)
		}
		checkedFleet.settle()
		for range rapid.IntRange(5, 40).Draw(t, "events") {
			worker := checkedFleet.workers[fmt.Sprintf("w-%03d", rapid.IntRange(0, 3).Draw(t, "worker"))]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				checkedFleet.endOneFlight(t)
			case 3, 4:
				checkedFleet.restart(worker)
				if rapid.Bool().Draw(t, "read") { // so that the planner learns of this life before the next one
					checkedFleet.sendPolls()
				}
			case 5:
				checkedFleet.sendPoll(worker.id)
			case 6:
				checkedFleet.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			case 7:
				worker.unresponsive = !worker.unresponsive
			}
			checkedFleet.settle()
			checkedFleet.check(t)
		}
		checkedFleet.holdsOrders = false
		for len(checkedFleet.inFlight) > 0 {
			checkedFleet.endFlight(0, planner.Dropped)
		}
		for _, worker := range checkedFleet.workers {
			worker.unresponsive = false
		}
		for range 60 { // longer than the longest lease
			checkedFleet.advance(500 * time.Millisecond)
			checkedFleet.settle()
			checkedFleet.check(t)
		}
		wanted := 0
		for _, job := range checkedFleet.jobs {
			if state, _ := checkedFleet.planner.State(job.ID); state != planner.Failed { // a job is given up after several crashes of its workers
				wanted += job.Steps[0].Count
			}
		}
		if running := checkedFleet.runningCount(); running != wanted {
			t.Fatalf("%d tasks run in the end, want %d", running, wanted)
		}
	})
}

// endOneFlight draws an order that is in flight, if there is one, and how its flight ends.
func (checkedFleet *checkedFleet) endOneFlight(t *rapid.T) {
	if len(checkedFleet.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(checkedFleet.inFlight)-1).Draw(t, "order")
	if rapid.Bool().Draw(t, "arrives") {
		checkedFleet.arrive(index)
		return
	}
	checkedFleet.endFlight(index, rapid.SampledFrom([]planner.Outcome{planner.Dropped, planner.Unknown, planner.NotSent}).Draw(t, "outcome"))
}
