package planner_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

const (
	overloadTick     = 25 * time.Millisecond
	carriedPerTick   = 20 // starts that the host of the overload's planner carries out in a tick
	overloadTaskTime = time.Second
	overloadInFlight = 400 // starts in flight at most, with a limit
)

// overload plays a planner whose host carries out a limited number of starts, in the order in which they were planned. The workers
// have room for several times as many.
type overload struct {
	*fleet
	limited bool
	tick    int
	queue   []planner.Start // planned and not carried out yet
	carried int             // starts of all queues
	due     map[int][]planner.TaskKey
	urgent  map[string]time.Time // submitted urgent jobs that have not started
	longest time.Duration        // wait of an urgent job until its start
}

func newOverload(t *testing.T, limited bool) *overload {
	return &overload{
		fleet: newFleet(t, testStart, 150), limited: limited, due: map[int][]planner.TaskKey{}, urgent: map[string]time.Time{},
	}
}

// offer submits batch jobs worth a multiple of what the host can carry for a time, and a small urgent job each 250 ms. It returns the
// rate of carried starts as a multiple of what the host can carry.
func (overload *overload) offer(multiple float64, length time.Duration) float64 {
	const tasks = 10
	ticks := int(length / overloadTick)
	before, owed := overload.carried, 0.0
	for range ticks {
		for owed += multiple * carriedPerTick / tasks; owed >= 1; owed-- {
			overload.submitTo("batch", fmt.Sprintf("b-%d-%f", overload.tick, owed), planner.Step{Count: tasks, Size: sizer.Size{MilliCores: 1000}, EstimateMS: 1000})
		}
		if overload.tick%10 == 0 {
			id := fmt.Sprintf("u-%d", overload.tick)
			overload.urgent[id] = overload.now
			overload.submit(id, planner.Step{Count: 1, Size: sizer.Size{MilliCores: 1000}, EstimateMS: 1000})
		}
		overload.playTick()
	}
	return float64(overload.carried-before) / float64(ticks*carriedPerTick)
}

func (overload *overload) playTick() {
	overload.tick++
	overload.now = overload.now.Add(overloadTick)
	for _, key := range overload.due[overload.tick] {
		overload.markEnded(key, planner.EndedDone)
	}
	delete(overload.due, overload.tick)
	if overload.tick%8 == 0 {
		overload.sendPolls()
	}
	if overload.limited {
		overload.planner.SetStartLimit(planner.StartLimit{Available: overloadInFlight - len(overload.queue)})
	}
	overload.planner.Plan(overload.time())
	batch := overload.take()
	overload.queue = append(overload.queue, batch.Starts...)
	batch.Starts = nil
	overload.carryOut(batch)
	for range min(carriedPerTick, len(overload.queue)) {
		start := overload.queue[0]
		overload.queue = overload.queue[1:]
		overload.sendOrder(start)
		overload.carried++
		overload.due[overload.tick+int(overloadTaskTime/overloadTick)] = append(overload.due[overload.tick+int(overloadTaskTime/overloadTick)], start.Key)
		if at, waiting := overload.urgent[start.Key.Job]; waiting {
			overload.longest = max(overload.longest, overload.now.Sub(at))
			delete(overload.urgent, start.Key.Job)
		}
	}
}

// TestOverload guards against priority inversion in a decider that has more to do than it can carry: starts of batch work that were planned
// and not carried out cannot be overtaken, so that urgent work waited behind all of them.
func TestOverload(t *testing.T) {
	const (
		maxUrgentWait = 1400 * time.Millisecond // the target for urgent work
		minCarried    = 0.8                     // of what the host can carry
	)
	overload := newOverload(t, true)
	for _, multiple := range []float64{0.5, 1, 2, 4} {
		carried := overload.offer(multiple, 4*time.Second)
		t.Logf("%.1f times what the host can carry: %.2f carried, urgent jobs wait up to %v", multiple, carried, overload.longest)
		if want := minCarried * min(multiple, 1); carried < want {
			t.Errorf("at %.1f times what the host can carry, %.2f is carried, want %.2f", multiple, carried, want)
		}
		if overload.longest > maxUrgentWait {
			t.Errorf("at %.1f times what the host can carry, urgent jobs wait up to %v, want %v", multiple, overload.longest, maxUrgentWait)
		}
		overload.longest = 0
	}
	if waiting := len(overload.urgent); waiting > 3 {
		t.Errorf("%d urgent jobs have not started", waiting)
	}
}

// TestStartLimit checks that a pass keeps to the limit, in the order of ranks, and that a gang larger than the limit still starts.
func TestStartLimit(t *testing.T) {
	step := planner.Step{Count: 10, Size: sizer.Size{MilliCores: 1000}, EstimateMS: 1000}
	t.Run("urgentFirst", func(t *testing.T) {
		fleet := newFleet(t, testStart, 5)
		fleet.submitTo("batch", "b", step)
		fleet.submit("u", step)
		fleet.planner.SetStartLimit(planner.StartLimit{Available: 12})
		fleet.planner.Plan(fleet.time())
		starts := map[string]int{}
		for _, start := range fleet.take().Starts {
			starts[start.Key.Job]++
		}
		if starts["u"] != 10 || starts["b"] != 2 {
			t.Errorf("started %v, want all 10 of the urgent job and 2 of the other", starts)
		}
	})
	t.Run("gangAboveLimit", func(t *testing.T) {
		fleet := newFleet(t, testStart, 5)
		gang := step
		gang.Gang = true
		fleet.submit("g", gang)
		for _, limit := range []struct{ available, want int }{{0, 0}, {1, 10}} {
			fleet.planner.SetStartLimit(planner.StartLimit{Available: limit.available})
			fleet.planner.Plan(fleet.time())
			if got := len(fleet.take().Starts); got != limit.want {
				t.Errorf("%d starts available: %d tasks of the gang start, want %d", limit.available, got, limit.want)
			}
		}
	})
	t.Run("cutPasses", func(t *testing.T) {
		fleet := newFleet(t, testStart, 5)
		fleet.submit("u", step)
		for _, available := range []int{4, 4, 4, 4} { // the third pass starts the last two tasks
			fleet.planner.SetStartLimit(planner.StartLimit{Available: available})
			fleet.planner.Plan(fleet.time())
			fleet.now = fleet.now.Add(time.Millisecond)
		}
		if got := fleet.planner.Load().CutPasses; got != 2 {
			t.Errorf("%d passes count as ended by the limit, want 2", got)
		}
	})
	t.Run("noneAvailable", func(t *testing.T) {
		fleet := newFleet(t, testStart, 5)
		fleet.submit("u", step)
		fleet.planner.SetStartLimit(planner.StartLimit{Available: -1})
		fleet.planner.Plan(fleet.time())
		if got := len(fleet.take().Starts); got != 0 {
			t.Errorf("%d tasks start, want none", got)
		}
	})
}

// TestGangBesideSingleTasks guards against a gang that never starts under a small limit on starts, since single tasks take each place as it
// comes free.
func TestGangBesideSingleTasks(t *testing.T) {
	const limit, startPasses, gangTasks, passTime = 32, 6, 40, 50 * time.Millisecond
	const maxPasses = int(time.Second / passTime)
	fleet := newFleet(t, testStart, 60)
	single := planner.Step{Count: 1, Size: sizer.Size{MilliCores: 10}, EstimateMS: 100}
	gang := planner.Step{Count: gangTasks, Size: sizer.Size{MilliCores: 10}, EstimateMS: 1000, Gang: true}
	var inFlight [startPasses]int // starts by pass
	for pass := range 4 * maxPasses {
		for number := range 5 {
			fleet.submit(fmt.Sprintf("s-%05d-%d", pass, number), single)
		}
		if pass == 2*startPasses {
			fleet.submit("a-gang", gang)
		}
		busy := 0
		for _, starts := range inFlight {
			busy += starts
		}
		fleet.planner.SetStartLimit(planner.StartLimit{Available: limit - busy})
		fleet.planner.Plan(fleet.time())
		starts := fleet.take().Starts
		copy(inFlight[1:], inFlight[:startPasses-1])
		inFlight[0] = len(starts)
		for _, start := range starts {
			if start.Key.Job == "a-gang" {
				if waited := pass - 2*startPasses; waited > maxPasses {
					t.Errorf("the gang starts after %v, want a second at most", time.Duration(waited)*passTime)
				}
				return
			}
			fleet.sendOrder(start)
			fleet.markEnded(start.Key, planner.EndedDone)
		}
		fleet.now = fleet.now.Add(passTime)
		fleet.sendPolls()
	}
	t.Error("the gang does not start")
}

// scarceLoad is a load that brings more starts than the planner's host carries.
type scarceLoad struct {
	*simulation
	prompt, gangs, batch *workload
}

const (
	carriedStarts = 200 // a second
	scarceTime    = 30 * time.Second
	minGoodput    = 0.8 // of what the host carries
	ampleWorkers  = 400 // with room for all tasks
)

// newScarceLoad returns a load on some workers with a number of urgent jobs a second, beside gangs that need one start in twenty of those that the host
// carries, and batch jobs that need half of them.
func newScarceLoad(t *testing.T, urgent float64, workers int) scarceLoad {
	t.Helper()
	prompt, gangs, batch := mixedWorkloads()
	prompt.perS = urgent
	gangs.perS, gangs.step.Count = 1.3, 8
	batch.perS, batch.runTime = 4.3, 2400*time.Millisecond
	simulation := newSimulation(t, workers, 60, prompt, gangs, batch)
	simulation.carried = int(carriedStarts * simulationTick.Seconds())
	return scarceLoad{simulation, prompt, gangs, batch}
}

// playOutage plays the load with urgent jobs that bring seven tenths of what the host carries. From 4 s to 9 s it cannot store anything.
// Counted are the jobs that are submitted from 2 s after that on.
func playOutage(t *testing.T) scarceLoad {
	t.Helper()
	load := newScarceLoad(t, 55, ampleWorkers)
	load.outage = span{4 * time.Second, 9 * time.Second}
	load.counted = span{load.outage.end + 2*time.Second, scarceTime}
	load.play(scarceTime)
	return load
}

// wantGoodput fails the test unless the jobs that are completed in time take most of the starts that the host carries.
func (scarceLoad scarceLoad) wantGoodput() {
	scarceLoad.t.Helper()
	starts := 0
	for _, workload := range scarceLoad.workloads {
		scarceLoad.t.Log(workload.summary())
		starts += workload.fruitful
	}
	length := scarceLoad.counted.end - scarceLoad.counted.begin
	if share := float64(starts) / (carriedStarts * length.Seconds()); share < minGoodput {
		scarceLoad.t.Errorf("jobs completed in time take %.2f of the starts that the host carries, want %.2f", share, minGoodput)
	}
}

// TestScarceStarts plays loads of which a host carries only a part of the starts.
func TestScarceStarts(t *testing.T) {
	// With the earliest deadlines first, each urgent job was served just before it was of no use, for as long as there was a backlog.
	t.Run("deadlineDomino", func(t *testing.T) {
		load := playOutage(t)
		load.wantInTime(t, load.prompt, minGoodput)
		load.wantGoodput()
	})
	// Gangs, which need few starts for much work, and batch jobs waited behind urgent jobs that were too late.
	t.Run("starvation", func(t *testing.T) {
		load := playOutage(t)
		load.wantInTime(t, load.gangs, minGoodput)
		load.wantInTime(t, load.batch, minGoodput*(0.3-0.05)/0.5) // of what the urgent jobs and the gangs leave
	})
	// Room is scarce too. Gangs that were late took it as fast as it became free, so that those after them were late.
	t.Run("gangDomino", func(t *testing.T) {
		load := newScarceLoad(t, 30, 85)
		load.gangs.perS = 5
		load.outage = span{4 * time.Second, 12 * time.Second}
		load.counted = span{load.outage.end + 2*time.Second, scarceTime}
		load.play(scarceTime)
		load.wantInTime(t, load.gangs, minGoodput)
	})
	// Urgent jobs alone bring more than the host carries, so that all of them were late.
	t.Run("lastingOverload", func(t *testing.T) {
		load := newScarceLoad(t, 90, ampleWorkers)
		load.counted = span{5 * time.Second, scarceTime}
		load.play(scarceTime)
		load.wantGoodput()
	})
}

// TestScarceOrder checks which of several jobs gets the only start while starts are scarce. They have 1 s of work and an objective of 1.75 s.
func TestScarceOrder(t *testing.T) {
	step := planner.Step{Count: 2, Size: sizer.Size{MilliCores: 1000}, EstimateMS: 1000}
	// newScarceFleet returns a fleet in which job a has waited for a time, and in which a pass has just been ended by the limit.
	newScarceFleet := func(t *testing.T, waited time.Duration, available int) *fleet {
		fleet := newFleet(t, testStart, 5)
		fleet.planner.SetStartLimit(planner.StartLimit{Available: available})
		fleet.submit("a", step)
		fleet.planner.Plan(fleet.time())
		fleet.carryOut(fleet.take())
		fleet.now = fleet.now.Add(waited)
		fleet.planner.SetStartLimit(planner.StartLimit{})
		fleet.planner.Plan(fleet.time())
		return fleet
	}
	wantNext := func(t *testing.T, fleet *fleet, want string) {
		t.Helper()
		fleet.planner.SetStartLimit(planner.StartLimit{Available: 1})
		fleet.planner.Plan(fleet.time())
		starts := fleet.take().Starts
		if len(starts) != 1 || starts[0].Key.Job != want {
			t.Errorf("started %+v, want one task of %s", starts, want)
		}
	}
	t.Run("inTimeFirst", func(t *testing.T) {
		fleet := newScarceFleet(t, time.Second, 0)
		fleet.submitTo("batch", "b", step)
		wantNext(t, fleet, "b")
	})
	t.Run("begunKeepsItsPlace", func(t *testing.T) {
		fleet := newScarceFleet(t, time.Second, 1)
		fleet.submit("b", step)
		wantNext(t, fleet, "a")
	})
	t.Run("newestOverdueFirst", func(t *testing.T) {
		fleet := newScarceFleet(t, 500*time.Millisecond, 0)
		fleet.submit("b", step)
		fleet.now = fleet.now.Add(500 * time.Millisecond)
		wantNext(t, fleet, "b")
	})
	t.Run("tooLateToBeOfUse", func(t *testing.T) {
		fleet := newScarceFleet(t, 2500*time.Millisecond, 0)
		batch := step
		batch.EstimateMS = 100
		fleet.submitTo("batch", "b", batch)
		fleet.planner.Plan(fleet.time())
		fleet.now = fleet.now.Add(950 * time.Millisecond)
		fleet.planner.Plan(fleet.time())
		fleet.now = fleet.now.Add(950 * time.Millisecond) // b is overdue, and of use
		wantNext(t, fleet, "b")
	})
}

// TestBacklogAfterOverload guards against a host that accepts more than it can start, so that jobs are left at the end of the load: each has
// to be at work within the users' bound after it.
func TestBacklogAfterOverload(t *testing.T) {
	const finishTime = 14 * time.Second
	load := newScarceLoad(t, 90, ampleWorkers)
	left := -1
	load.after(scarceTime+finishTime, func() { left = load.planner.Load().WaitingTasks })
	load.play(scarceTime)
	if left != 0 {
		t.Errorf("%d tasks wait %v after the end of the load, want none", left, finishTime)
	}
}
