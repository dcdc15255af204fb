package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
	"pgregory.net/rapid"
)

// TestWaitingProperty draws fleets, what runs there and what waits, and then a small job of any kind of another team. It checks the rule's bound with a
// plain reference: while there is room for the job twice over and under half of the service is in use, the job waits no longer than
// maxStartWait.
func TestWaitingProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		fleet := newWaitingFleet(&rapidTB{T: t}, workers, rapid.Bool().Draw(t, "poolShares"))
		drawWork(t, fleet, "running", workers)
		fleet.passTime(time.Second)
		drawWork(t, fleet, "waiting", workers)
		fleet.passTime(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		if rapid.IntRange(0, 3).Draw(t, "takeover") == 0 {
			fleet.takeOver(3, testCatalog())
			fleet.passTime(time.Second)
		}
		step := tasksOf(rapid.IntRange(1, 3).Draw(t, "tasks"), int64(rapid.IntRange(1, 8).Draw(t, "cores")))
		step.Label = rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "label")
		step.MaxPerWorker = rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "most")
		drawKind(t, &step)
		wanted := fleet.add("other", rapid.SampledFrom([]string{testQueue, "batch"}).Draw(t, "queue"), step)
		fleet.checkWait(t, wanted, step)
	})
}

// drawKind draws what kind of tasks a step has: members of a gang, fillers, serving or standing ones, or none of these.
func drawKind(t *rapid.T, step *planner.Step) {
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		step.Gang = true
	case 1:
		step.Filler = true
	case 2:
		step.Standing, step.TailMS = true, 200
	case 3:
		step.Standing = true
	}
}

// drawWork draws jobs that run for longer than the test if they start.
func drawWork(t *rapid.T, fleet *waitingFleet, when string, workers int) {
	for range rapid.IntRange(0, 8).Draw(t, when) {
		step := tasksOf(rapid.IntRange(1, 2*workers).Draw(t, "count"), rapid.SampledFrom([]int64{1, 2, 4, 8, 16, 24, 30, 31, 32}).Draw(t, "cores"))
		step.Label = rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "label")
		step.MaxPerWorker = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "most")
		step.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
		drawKind(t, &step)
		fleet.add(testTeam, rapid.SampledFrom([]string{testQueue, "batch"}).Draw(t, "queue"), step)
	}
}

// checkWait fails if a job does not begin for longer than maxStartWait while the rule says that it has to.
func (waitingFleet *waitingFleet) checkWait(t *rapid.T, job string, step planner.Step) {
	const tick = 50 * time.Millisecond
	due := time.Duration(0)
	for range 2 * int(maxStartWait/tick) {
		if waitingFleet.runsOf(job) > 0 {
			return
		}
		if due += tick; !waitingFleet.hasRoomTwice(step) {
			due = 0
		}
		if due > maxStartWait {
			for _, blocked := range waitingFleet.planner.Explain(waitingFleet.time(), 0, 1000) {
				if blocked.Step.Job == job {
					t.Logf("workers by obstacle: %v", blocked.Workers)
				}
			}
			t.Fatalf("the job has not begun after %v with room for it twice over", due)
		}
		waitingFleet.advance(tick)
	}
}

// hasRoomTwice reports whether the free parts of the workers take all tasks of a step twice, and under half of each resource is in use.
func (waitingFleet *waitingFleet) hasRoomTwice(step planner.Step) bool {
	capacity := sizer.Size{MilliCores: 32000, MemoryMB: 65536, Accelerators: 8}
	var used, total sizer.Size
	room := 0
	for id, worker := range waitingFleet.workers {
		var here sizer.Size
		disturbs := false
		for key := range worker.running {
			here = here.Add(waitingFleet.sizeOf(key))
			other := waitingFleet.jobs[key.Job].Steps[key.Step]
			disturbs = disturbs || step.Filler && other.TailMS > 0 || step.TailMS > 0 && other.Filler
		}
		used, total = used.Add(here), total.Add(capacity)
		if step.Label != "" && step.Label != waitingFleet.kinds(id) || disturbs {
			continue
		}
		room += countRoom(step, capacity.Sub(here))
	}
	return room >= 2*step.Count && used.DominantShare(total) < 0.5
}

// countRoom returns how many tasks of a step fit into what is free on a worker.
func countRoom(step planner.Step, free sizer.Size) int {
	size := step.Size
	if step.Filler {
		size.MilliCores = 0
	}
	room := 0
	for taken := size; taken.Fits(free) && (step.MaxPerWorker == 0 || room < step.MaxPerWorker); taken = taken.Add(size) {
		room++
	}
	return room
}
