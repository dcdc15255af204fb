package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// TestMixedLoad plays prompt jobs, wide gangs and batch jobs beside each other, under a policy service whose answers
// are slow for gangs and batch. The load takes nine tenths of the processors.
func TestMixedLoad(t *testing.T) {
	prompt, gangs, batch := mixedWorkloads()
	simulation := newSimulation(t, 240, 28, prompt, gangs, batch)
	simulation.play(20 * time.Second)
	t.Run("headOfLineBlocking", func(t *testing.T) { simulation.wantInTime(t, batch, 0.95) })
	t.Run("gangAssembly", func(t *testing.T) { simulation.wantInTime(t, gangs, 0.95) })
	t.Run("promptJobs", func(t *testing.T) { simulation.wantInTime(t, prompt, 0.95) })
}

// mixedWorkloads returns workloads of prompt jobs, gangs and batch jobs for 240 workers.
func mixedWorkloads() (prompt, gangs, batch *workload) {
	prompt = &workload{
		queue: planner.Queue{
			Name: "prompt", Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
			Policy: &planner.Policy{BaseTime: 11 * time.Millisecond, PerWorker: 160 * time.Microsecond, Validity: 2 * time.Second},
		},
		perS: 55, step: planner.Step{Count: 3, Size: sizer.Size{MilliCores: 5000, MemoryMB: 5000}}, runTime: time.Second, allowed: 0.7,
	}
	gangs = &workload{
		queue: planner.Queue{
			Name: "gangs", Priority: 1, Stretch: 2.2, TargetLatency: time.Second,
			Policy: &planner.Policy{BaseTime: 340 * time.Millisecond, PerWorker: 4900 * time.Microsecond, Validity: 2 * time.Second},
		},
		perS: 6.6, step: planner.Step{Count: 20, Gang: true, Size: sizer.Size{MilliCores: 9000, MemoryMB: 9000}}, runTime: 4 * time.Second, allowed: 0.3,
	}
	batch = &workload{
		queue: planner.Queue{
			Name: "batch", Priority: 2, Stretch: 4, TargetLatency: 3 * time.Second,
			Policy: &planner.Policy{BaseTime: 100 * time.Millisecond, PerWorker: 1400 * time.Microsecond, Validity: 2 * time.Second},
		},
		perS: 7, step: planner.Step{Count: 25, MaxPerWorker: 3, Size: sizer.Size{MilliCores: 3500, MemoryMB: 4000}}, runTime: 2700 * time.Millisecond, allowed: 0.45,
	}
	return prompt, gangs, batch
}
