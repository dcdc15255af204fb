package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// newFullService returns a simulation of 30 workers that are full of urgent work without checkpoints, more of which waits, and a
// standing job of one task that has waited for a time. It returns the workers that the policy allows the job, which takes 0.8 s.
func newFullService(t *testing.T, waited time.Duration) (*simulation, []planner.Allowance) {
	standing, _, _ := restartWorkloads(30, 1)
	standing.step.Count = 1
	urgent := &workload{
		queue: planner.Queue{Name: "urgent", Stretch: 1.5, TargetLatency: time.Second}, runTime: time.Hour,
		step: planner.Step{Count: 1, Size: sizer.Size{MilliCores: 8000, MemoryMB: 1000}},
	}
	simulation := newSimulation(t, 30, 6, standing, urgent)
	submit := func(count int, id string) {
		simulation.submitTo(urgent.queue.Name, id, planner.Step{Count: count, Size: sizer.Size{MilliCores: 8000, MemoryMB: 1000}, EstimateMS: 3_600_000})
	}
	submit(120, "01aaaaaaaaaaaaaa")
	for range 40 {
		simulation.playTick()
	}
	simulation.submitTo(standing.queue.Name, "00aaaaaaaaaaaaa3", planner.Step{Count: 1, Standing: true, Size: sizer.Size{MilliCores: 8000, MemoryMB: 1000}})
	simulation.playTick()
	submit(40, "01bbbbbbbbbbbbbb")
	for range int(waited / simulationTick) {
		simulation.playTick()
	}
	return simulation, simulation.allowances(planner.PolicyQuery{Step: planner.StepKey{Job: "00aaaaaaaaaaaaa3"}, Workers: simulation.ids()})
}

// TestPermissionIsThereWhenRoomIs guards against a standing task that waits for room on the few workers that its policy allows, and
// for the policy again once there is room: its ticket had expired in the meantime.
func TestPermissionIsThereWhenRoomIs(t *testing.T) {
	for waited := time.Second; waited <= 5*time.Second; waited += 250 * time.Millisecond {
		t.Run(fmt.Sprint(waited), func(t *testing.T) {
			simulation, allowed := newFullService(t, waited)
			for _, allowance := range allowed {
				worker := simulation.workers[allowance.Worker]
				for key := range worker.running {
					simulation.markEnded(key, planner.EndedDone)
					break
				}
			}
			ticks := 0
			for started := false; !started && ticks < 400; ticks++ {
				simulation.playTick()
				started = slices.ContainsFunc(simulation.orders, func(order planner.Order) bool { return order.Key.Job[:2] == "00" })
			}
			if wait := time.Duration(ticks) * simulationTick; wait > maxRestartWait {
				t.Errorf("the task starts %v after there is room on its %d workers, want %v at most", wait, len(allowed), maxRestartWait)
			}
		})
	}
}
