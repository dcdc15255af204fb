package planner_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

const (
	simulationTick    = 25 * time.Millisecond
	simulationRenewal = 2 * time.Second // time between two polls of a worker without ends
)

// workload is the stream of jobs of one queue. Sizes and run times vary around their means by up to half of them.
type workload struct {
	queue    planner.Queue
	perS     float64 // jobs a second
	step     planner.Step
	runTime  time.Duration // mean run time of a task
	allowed  float64       // share of the workers on which the policy allows a step
	estimate time.Duration // estimate of its jobs, 0 for the mean run time
	team     string        // team of its jobs, empty for testTeam
	accepted int
	inTime   int // jobs completed within their objective
	late     int // jobs completed later
	useful   int // jobs completed within 3 times their objective
	fruitful int // tasks of jobs completed within their objective
	waits    []time.Duration
}

// simulation plays workloads on a fleet: tasks run for their time, and the policy service answers one query at a time
// for each of its lanes.
type simulation struct {
	*fleet
	workloads  []*workload
	lanes      []time.Time // when each lane of the policy service is free again
	random     *rand.Rand
	tick       int
	due        map[int][]func() // events by the number of their tick
	orderCount int              // number of orders whose ends are scheduled
	queryCount int              // number of policy queries whose answers are scheduled
	submitted  map[string]time.Time
	tasks      map[string]int // number of tasks by job
	started    map[string]bool
	ended      map[string]bool
	runs       map[planner.TaskKey]interval // of the last run of each task
	carried    int                          // starts that the planner's host carries in a tick, 0 for no limit
	outage     span                         // in which no pass is made, since the planner's host cannot reach the store
	counted    span                         // in which jobs are counted by when they are submitted, zero for always
}

// span is a time of a simulation, from its beginning.
type span struct{ begin, end time.Duration }

// contains reports whether a time is in the span.
func (span span) contains(at time.Duration) bool { return at >= span.begin && at < span.end }

// interval is the time in which a run is at work.
type interval struct{ begin, end time.Time }

// newSimulation returns a simulation with a fixed seed, of a fleet with some workers and lanes of the policy service.
func newSimulation(t testing.TB, workers, lanes int, workloads ...*workload) *simulation {
	t.Helper()
	simulation := &simulation{
		fleet: newFleet(t, testStart, workers), workloads: workloads, lanes: make([]time.Time, lanes),
		random: rand.New(rand.NewPCG(1, 2)), due: map[int][]func(){}, submitted: map[string]time.Time{}, tasks: map[string]int{},
		started: map[string]bool{}, ended: map[string]bool{},
		runs: map[planner.TaskKey]interval{},
	}
	simulation.percent = simulation.progress
	catalog := testCatalog()
	catalog.Queues = nil
	for _, workload := range workloads {
		workload.queue.Service = testService
		catalog.Queues = append(catalog.Queues, workload.queue)
	}
	simulation.takeOver(2, catalog)
	simulation.planner.SetSlots(planner.Slots{Short: max(1, lanes/3), Long: lanes - lanes/3})
	return simulation
}

// after schedules an event.
func (simulation *simulation) after(delay time.Duration, event func()) {
	tick := simulation.tick + max(1, int((delay+simulationTick-1)/simulationTick))
	simulation.due[tick] = append(simulation.due[tick], event)
}

// play submits the jobs of all workloads for a time, and lets the fleet run on for the same time without new jobs.
func (simulation *simulation) play(length time.Duration) {
	for number, workload := range simulation.workloads {
		gap := time.Duration(float64(time.Second) / workload.perS)
		for at := gap / 2; at < length; at += gap {
			id := fmt.Sprintf("%02x%014x", number, at.Microseconds())
			simulation.after(at, func() { simulation.submitJob(workload, id) })
		}
	}
	for range int(2 * length / simulationTick) {
		simulation.playTick()
	}
	for id, at := range simulation.submitted {
		if !simulation.started[id] {
			workload := simulation.workloadOf(id)
			workload.waits = append(workload.waits, simulation.now.Sub(at))
		}
	}
}

func (simulation *simulation) playTick() {
	simulation.tick++
	simulation.now = simulation.now.Add(simulationTick)
	for _, event := range simulation.due[simulation.tick] {
		event()
	}
	delete(simulation.due, simulation.tick)
	renewalTicks := int(simulationRenewal / simulationTick)
	for number, id := range simulation.ids() {
		if number%renewalTicks == simulation.tick%renewalTicks || len(simulation.workers[id].ended) > 0 {
			simulation.sendPoll(id)
		}
	}
	if simulation.outage.contains(simulation.age(simulation.now)) {
		return
	}
	if simulation.carried > 0 {
		simulation.planner.SetStartLimit(planner.StartLimit{Available: simulation.carried})
	}
	simulation.planner.Plan(simulation.now)
	batch := simulation.take()
	simulation.carryOut(batch)
	simulation.recordEnds(batch.Events)
	simulation.scheduleEnds()
	simulation.scheduleAnswers()
}

// age returns the time from the beginning of the simulation to a time.
func (simulation *simulation) age(at time.Time) time.Duration { return at.Sub(testStart) }

// counts reports whether a job that is submitted at a time is counted.
func (simulation *simulation) counts(at time.Time) bool {
	return simulation.counted == span{} || simulation.counted.contains(simulation.age(at))
}

// ids returns the IDs of the workers in order.
func (simulation *simulation) ids() []string {
	ids := make([]string, 0, len(simulation.workers))
	for id := range simulation.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (simulation *simulation) workloadOf(job string) *workload {
	var number int
	if _, err := fmt.Sscanf(job[:2], "%x", &number); err != nil {
		simulation.t.Fatalf("job %s of no workload: %v", job, err)
	}
	return simulation.workloads[number]
}

// vary returns a random multiple of a mean between half of it and one and a half.
func (simulation *simulation) vary(mean int64) int64 {
	return int64(float64(mean) * (0.5 + simulation.random.Float64()))
}

func (simulation *simulation) submitJob(workload *workload, id string) {
	step := workload.step
	step.Count = max(1, int(simulation.vary(int64(step.Count))))
	step.Size = sizer.Size{MilliCores: simulation.vary(step.Size.MilliCores), MemoryMB: step.Size.MemoryMB}
	step.EstimateMS = workload.runTime.Milliseconds()
	if workload.estimate > 0 {
		step.EstimateMS = workload.estimate.Milliseconds()
	}
	if simulation.counts(simulation.now) {
		workload.accepted++
	}
	simulation.submitted[id], simulation.tasks[id] = simulation.now, step.Count
	simulation.submitFor(cmp.Or(workload.team, testTeam), workload.queue.Name, id, step)
}

// progress returns the share of a run that is done, in percent.
func (simulation *simulation) progress(key planner.TaskKey) int {
	run := simulation.runs[key]
	return int(100 * simulation.now.Sub(run.begin) / max(1, run.end.Sub(run.begin)))
}

// scheduleEnds schedules the ends of the runs that were ordered last. The members of a gang end together.
func (simulation *simulation) scheduleEnds() {
	gangs := map[string]time.Duration{}
	for _, order := range simulation.orders[simulation.orderCount:] {
		workload := simulation.workloadOf(order.Key.Job)
		if !simulation.started[order.Key.Job] {
			simulation.started[order.Key.Job] = true
			workload.waits = append(workload.waits, simulation.now.Sub(simulation.submitted[order.Key.Job]))
		}
		runTime := time.Duration(simulation.vary(int64(workload.runTime)))
		if workload.step.Gang {
			if _, found := gangs[order.Key.Job]; !found {
				gangs[order.Key.Job] = runTime
			}
			runTime = gangs[order.Key.Job]
		}
		simulation.runs[order.Key] = interval{simulation.now, simulation.now.Add(runTime)}
		simulation.after(runTime, func() {
			if simulation.workers[order.Worker].running[order.Key] == order.Number {
				simulation.markEnded(order.Key, planner.EndedDone)
			}
		})
	}
	simulation.orderCount = len(simulation.orders)
}

// scheduleAnswers schedules the answers of the policy service, which takes each query into its first free lane.
func (simulation *simulation) scheduleAnswers() {
	for _, query := range simulation.queries[simulation.queryCount:] {
		lane := 0
		for number := range simulation.lanes {
			if simulation.lanes[number].Before(simulation.lanes[lane]) {
				lane = number
			}
		}
		begin := simulation.now
		if simulation.lanes[lane].After(begin) {
			begin = simulation.lanes[lane]
		}
		simulation.lanes[lane] = begin.Add(query.AnswerTime)
		simulation.after(simulation.lanes[lane].Sub(simulation.now), func() {
			simulation.planner.HandlePolicyAnswer(query, simulation.allowances(query), simulation.now)
		})
	}
	simulation.queryCount = len(simulation.queries)
}

// allowances returns the workers on which the policy allows a step, which are always the same.
func (simulation *simulation) allowances(query planner.PolicyQuery) []planner.Allowance {
	var allowed []planner.Allowance
	for _, worker := range query.Workers {
		hash := fnv.New32a()
		fmt.Fprintf(hash, "%s %s", query.Step, worker)
		if float64(hash.Sum32()%1000) < 1000*simulation.workloadOf(query.Step.Job).allowed {
			allowed = append(allowed, planner.Allowance{Worker: worker, Ticket: "t-" + worker})
		}
	}
	return allowed
}

// recordEnds counts the jobs that were completed.
func (simulation *simulation) recordEnds(events []planner.EndEvent) {
	for _, event := range events {
		if event.State != planner.Completed || simulation.ended[event.Job] {
			continue
		}
		simulation.ended[event.Job] = true
		if !simulation.counts(simulation.submitted[event.Job]) {
			continue
		}
		workload := simulation.workloadOf(event.Job)
		objective := time.Duration(workload.queue.Stretch*float64(workload.runTime)) + workload.queue.TargetLatency
		if event.Duration <= 3*objective {
			workload.useful++
		}
		if event.Duration <= objective {
			workload.inTime++
			workload.fruitful += simulation.tasks[event.Job]
		} else {
			workload.late++
		}
	}
}

// summary describes the results of a workload.
func (workload *workload) summary() string {
	slices.Sort(workload.waits)
	return fmt.Sprintf("%s: %d jobs, %d in time, %d late, wait p50 %s, p90 %s", workload.queue.Name, workload.accepted, workload.inTime,
		workload.late, workload.waits[len(workload.waits)/2], workload.waits[len(workload.waits)*9/10])
}

// wantInTime fails the test unless at least the given share of a workload's jobs was completed within the objective.
func (simulation *simulation) wantInTime(t *testing.T, workload *workload, share float64) {
	t.Helper()
	t.Log(workload.summary())
	if float64(workload.inTime) < share*float64(workload.accepted) {
		t.Errorf("%s: %d of %d jobs in time, want %.2f", workload.queue.Name, workload.inTime, workload.accepted, share)
	}
}
