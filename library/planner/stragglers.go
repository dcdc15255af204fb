package planner

import (
	"cmp"
	"slices"
	"time"

	"ebonyshunt.org/library/hedger"
)

const (
	// maxStragglerSearches is the number of late runs for which one pass looks for another worker.
	maxStragglerSearches = 4
	// maxWorkerSpeed is an optimistic speed, as a multiple of the average, for the first check of a late run: a run that would be
	// kept even beside a worker of this speed needs no search for one.
	maxWorkerSpeed = 2
	// minComparedSiblings is the number of tasks of a step on other workers from which on their run times replace the
	// estimate.
	minComparedSiblings = 2
	// restartTimeDivisor is the inverse of the weight of the latest measurement in the averages of stop and start times.
	restartTimeDivisor = 8
	// slowWorkerFactor is the multiple of the expected run time from which on a run counts as slow, and the slowness from which on
	// a worker does.
	slowWorkerFactor = 1.5
	// readInterval is the time after which the percent of a late run is read again.
	readInterval = 200 * time.Millisecond
	// readAgeDivisor is the inverse of the part of its time for which a late run is not read again: the longer it has run, the
	// less its pace changes.
	readAgeDivisor = 2
	// maxReadings is the number of workers that one pass has read.
	maxReadings = 4
	// initialStartTime is the expected time between the placement of a run and its acceptance before one is measured.
	initialStartTime = 100 * time.Millisecond
)

// hedging is what the planner remembers about copies and moves of late runs, besides the runs. Another planner begins
// without it.
type hedging struct {
	budgets   map[string]*hedger.Budget // by service
	records   map[bool]*hedger.Record   // outcomes of moves, by HedgeEvent.SlowWorker
	stopTime  time.Duration             // average time to stop a run without checkpoints
	saveTime  time.Duration             // the same for a run with checkpoints
	startTime time.Duration             // average time between the placement of a run and its acceptance
	events    []HedgeEvent
}

// taskHedges is the history of a task's copies and moves.
type taskHedges struct {
	count int
	work  time.Duration // least work of the task according to its moved runs, 0 if unknown
	open  HedgeEvent    // the last hedge
	// endsBy is when the run of the last hedge would have ended by itself.
	endsBy time.Time
}

// HedgeEvent describes a copy or move of a late run, or its outcome, for logs and metrics. The durations are as of the
// decision.
type HedgeEvent struct {
	Kind      hedger.Kind
	Outcome   HedgeOutcome
	Task      TaskKey
	Number    int // run number of the late run
	Worker    string
	Target    string // best worker with room
	Percent   int
	ReadAge   time.Duration // age of Percent
	Elapsed   time.Duration
	Expected  time.Duration // 0.5 quantile of the run time on a worker of average speed
	Remaining time.Duration // expected time until the late run ends
	Restarted time.Duration // expected time until the new run ends
	TimeLeft  time.Duration // time until the run has to end for the job to meet its deadline
	Hedges    int           // number of earlier copies and moves of the task
	// SlowWorker reports whether the worker is known to be slow, or other runs on it are late too, so that the run is
	// probably late because of its worker.
	SlowWorker bool
	Chance     float64 // probability that a move helps, from the outcomes of earlier ones
}

// HedgeOutcome is what became of a copy or move.
type HedgeOutcome string

// The outcomes of a copy or move.
const (
	HedgeBegun HedgeOutcome = "begun"
	HedgeWon   HedgeOutcome = "won"  // the task was done earlier than it would have been without
	HedgeLost  HedgeOutcome = "lost" // it was not
)

// newHedging returns the state of a planner that has seen no run yet. A stop is expected to take half of its maximum time.
func newHedging(settings Settings) hedging {
	return hedging{
		budgets: map[string]*hedger.Budget{}, records: map[bool]*hedger.Record{false: {}, true: {}}, stopTime: settings.MaxStopTime / 2, saveTime: settings.MaxStopTime / 2,
		startTime: initialStartTime,
	}
}

// hedgeStragglers copies or moves urgent runs that make their jobs late.
func (pass *pass) hedgeStragglers() {
	planner := pass.planner
	if !planner.Settings.MoveStragglers {
		return
	}
	planner.refillBudgets(pass.now)
	searches, readings := 0, 0
	steps := pass.hedgedSteps()
	pass.reserveTargets(steps)
	for _, step := range steps {
		queue, _ := planner.catalog.Queue(step.job.Queue)
		timeLeft := planner.timeLeft(step, pass.now)
		for index := range step.tasks {
			if !planner.mayHedge(step, index) {
				continue
			}
			run := planner.hedgedRun(step, &step.tasks[index], pass.now)
			run.TimeLeft = timeLeft
			if readings < maxReadings && pass.requestReading(step, index, run) {
				readings++
			}
			if searches >= maxStragglerSearches || !pass.completeRun(step, index, queue, &run) {
				continue
			}
			searches++
			if !pass.hedge(step, index, queue, run) {
				break // there is no room for the step
			}
		}
	}
}

// reserveTargets reserves the workers on which there was room for moved runs that have not ended yet, so that the same room
// does not cause several moves.
func (pass *pass) reserveTargets(steps []*step) {
	for _, step := range steps {
		for index := range step.tasks {
			task := &step.tasks[index]
			if task.run != nil && task.run.Stopping && task.hedges != nil && task.hedges.open.Kind == hedger.Move {
				pass.reserved[task.hedges.open.Target] = true
			}
		}
	}
}

// refillBudgets adds what the budget of each service has gained since the last pass.
func (planner *Planner) refillBudgets(now time.Time) {
	for service := range planner.catalog.Services {
		planner.budgetOf(service).Refill(now)
	}
}

// budgetOf returns the budget of a service and creates it if needed.
func (planner *Planner) budgetOf(service string) *hedger.Budget {
	budget := planner.hedging.budgets[service]
	if budget == nil {
		budget = &hedger.Budget{}
		planner.hedging.budgets[service] = budget
	}
	return budget
}

// taskFraction returns the fraction, from 0 to 1, that one task of a step takes of the capacity of the service's workers that
// accept runs.
func (pass *pass) taskFraction(step *step, queue Queue) float64 {
	pool := pass.pool(queue.Service)
	return step.chargedSize().DominantShare(pool.capacity)
}

// hedgedSteps returns the steps whose runs may be copied or moved for being late and for which there is room, those that are
// due first come first. Steps of jobs whose completion is of no use any more are left out.
func (pass *pass) hedgedSteps() []*step {
	planner := pass.planner
	var steps []*step
	for _, step := range planner.steps {
		if step.openCount == 0 || step.Standing || step.Gang || step.job.state.Final() {
			continue
		}
		queue, found := planner.catalog.Queue(step.job.Queue)
		if !found || queue.Priority > 0 {
			continue
		}
		if pool := pass.pool(queue.Service); pool.exhausted || !step.chargedSize().Fits(pool.largestFree) {
			continue
		}
		if pass.now.Sub(step.occurrence.due) <= lateFactor*planner.objective(step.job, queue) {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(a.occurrence.due.Compare(b.occurrence.due), cmp.Compare(a.key.Job, b.key.Job),
			cmp.Compare(a.key.Occurrence, b.key.Occurrence), cmp.Compare(a.key.Step, b.key.Step))
	})
	return steps
}

// completeRun sets the expectations, chance and budget of a run, with maxWorkerSpeed as its BestSpeed, and reports whether the
// run would then be copied or moved. Unless it returns true, the run may be incomplete.
func (pass *pass) completeRun(step *step, index int, queue Queue, run *hedger.Run) bool {
	if remaining, known := run.Remaining(); known && remaining <= run.TimeLeft {
		return false
	}
	pass.planner.addExpectations(run, step, step.tasks[index].run, pass.now)
	run.Chance = pass.planner.hedging.records[pass.planner.onSlowWorker(step.tasks[index].run, pass.now)].Chance(pass.now)
	run.BestSpeed, run.Budget = maxWorkerSpeed, pass.planner.budgetOf(queue.Service).Left(pass.taskFraction(step, queue))
	return hedger.Decide(*run).Kind != hedger.Keep
}

// requestReading has the worker of a run list its runs now if the run takes longer than expected, and the last reading is old
// and does not show that it ends in time. The polls that renew leases may wait for an end for longer than an urgent task
// takes. It reports whether it did.
func (pass *pass) requestReading(step *step, index int, hedged hedger.Run) bool {
	run := step.tasks[index].run
	worker := pass.planner.ensureWorker(run.Worker)
	interval := max(readInterval, hedged.Elapsed/readAgeDivisor)
	if pass.now.Sub(run.OrderedAt) < readInterval || pass.now.Sub(run.readAt) < interval || pass.now.Sub(worker.readRequestedAt) < readInterval {
		return false
	}
	if remaining, known := hedged.Remaining(); known && hedged.Percent > 0 && remaining <= hedged.TimeLeft {
		return false
	}
	median, _ := pass.planner.runTimeQuantiles(step, run, pass.now)
	if median <= 0 || hedged.Elapsed <= time.Duration(float64(median)*worker.slowness()) {
		return false
	}
	worker.readRequestedAt = pass.now
	pass.planner.effects = append(pass.planner.effects, Reading{Worker: worker.ID})
	return true
}

// mayHedge reports whether a task has one run, which its worker has confirmed and is not stopping. Suspects of crashes are
// left alone.
func (planner *Planner) mayHedge(step *step, index int) bool {
	task := &step.tasks[index]
	return !task.Done && task.run != nil && task.copy == nil && !task.run.Stopping && task.run.Confirmed &&
		planner.ensureWorker(task.run.Worker).RunsKnown && step.suspicion(index) == 0
}

// hedgedRun returns the facts about the run of a task that do not depend on its job or on other runs.
func (planner *Planner) hedgedRun(step *step, task *task, now time.Time) hedger.Run {
	run := task.run
	hedged := hedger.Run{
		Elapsed: now.Sub(run.OrderedAt), Percent: run.Percent, BasePercent: run.basePercent, ReadAge: now.Sub(run.readAt),
		Speed: 1 / planner.ensureWorker(run.Worker).slowness(), MayCopy: step.Speculative, Checkpoints: step.Checkpoints,
		StopTime: planner.hedging.stopTime, StartTime: planner.hedging.startTime,
	}
	if !run.basedAt.IsZero() {
		hedged.Elapsed = now.Sub(run.basedAt)
	}
	if run.readAt.IsZero() {
		hedged.ReadAge = 0
	}
	if step.Checkpoints {
		hedged.StopTime = planner.hedging.saveTime
	}
	if task.hedges != nil {
		hedged.EarlierHedges, hedged.EarlierRunWork = task.hedges.count, task.hedges.work
	}
	return hedged
}

// onSlowWorker reports whether the worker of a run is known to be slow, or at least half of the other runs on it whose progress
// is known are late too.
func (planner *Planner) onSlowWorker(run *Run, now time.Time) bool {
	worker := planner.ensureWorker(run.Worker)
	if worker.slowness() >= slowWorkerFactor {
		return true
	}
	late, known := 0, 0
	for _, other := range worker.Runs {
		step := planner.steps[other.Key.step()]
		if other == run || step == nil || step.Standing || step.Gang || other.Percent <= other.basePercent {
			continue
		}
		work, readable := planner.hedgedRun(step, &step.tasks[other.Key.Index], now).Work()
		median, _ := planner.runTimeQuantiles(step, other, now)
		if !readable || median <= 0 {
			continue
		}
		known++
		if float64(work) >= slowWorkerFactor*float64(median) {
			late++
		}
	}
	return known > 0 && 2*late >= known
}

// addExpectations adds the expected run time of a run, and whether its step waits for no other runs than late ones.
func (planner *Planner) addExpectations(hedged *hedger.Run, step *step, run *Run, now time.Time) {
	hedged.Median, hedged.P90 = planner.runTimeQuantiles(step, run, now)
	hedged.OnlyLateRunsLeft = true
	for index := range step.tasks {
		task := &step.tasks[index]
		if task.Done || task.run == run || task.run != nil && task.run.Stopping {
			continue
		}
		if task.run == nil {
			hedged.OnlyLateRunsLeft = false
			return
		}
		other := planner.hedgedRun(step, task, now)
		other.P90 = hedged.P90
		if remaining, known := other.Remaining(); !known || remaining <= hedged.Median {
			hedged.OnlyLateRunsLeft = false
			return
		}
	}
}

// runTimeQuantiles returns the 0.5 and 0.9 quantiles of the run time of a task on a worker of average speed. The best
// predictors are the tasks of the same step on other workers, which do the same work: the times of those that are done, and
// what the percents of the others indicate. With too few of them, it is what is expected of the step; without learned run times,
// the 0.9 quantile is lagFactor times as much.
func (planner *Planner) runTimeQuantiles(step *step, run *Run, now time.Time) (median, p90 time.Duration) {
	median = planner.expectedRunTime(step.Step, step.job.Queue)
	var works []time.Duration
	longest := time.Duration(0)
	for _, runTime := range step.runTimes {
		work := time.Duration(runTime.seconds / planner.ensureWorker(runTime.worker).slowness() * float64(time.Second))
		longest = max(longest, work)
		if runTime.worker != run.Worker {
			works = append(works, work)
		}
	}
	for index := range step.tasks {
		task := &step.tasks[index]
		if task.run == nil || task.run.Worker == run.Worker || task.run.Percent <= task.run.basePercent {
			continue
		}
		if work, known := planner.hedgedRun(step, task, now).Work(); known {
			works = append(works, work)
		}
	}
	if len(works) >= minComparedSiblings {
		slices.Sort(works)
		median = works[len(works)/2]
	}
	if planner.learned != nil {
		return median, max(planner.runTimeQuantile(step.Step, step.job.Queue, step.job.Team, highQuantile), median, longest)
	}
	return median, max(lagFactor*max(median, longest), minLagTime)
}

// timeLeft returns the time until a run of a step has to end for the job to meet its deadline: later steps need the rest.
func (planner *Planner) timeLeft(step *step, now time.Time) time.Duration {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	chain := make([]time.Duration, len(step.job.Steps))
	longest := time.Duration(0)
	for number := step.key.Step + 1; number < len(chain); number++ {
		later := &step.job.Steps[number]
		for _, earlier := range later.DependsOn {
			if earlier == step.key.Step || chain[earlier] > 0 {
				chain[number] = max(chain[number], chain[earlier]+max(planner.expectedRunTime(later, step.job.Queue), 1))
			}
		}
		longest = max(longest, chain[number])
	}
	return step.occurrence.due.Add(planner.objective(step.job, queue) - longest).Sub(now)
}

// hedge copies or moves a late run if a worker with room makes that worth it. It reports whether any worker has room. If
// only the policy's permission is missing, it asks for it.
func (pass *pass) hedge(step *step, index int, queue Queue, run hedger.Run) bool {
	task := &step.tasks[index]
	worker := pass.chooseWorker(step, queue, task)
	if worker == nil {
		if queue.Policy != nil {
			pass.queryPolicyFor(step, queue, 1)
		}
		return false
	}
	run.BestSpeed = 1 / worker.slowness()
	action := hedger.Decide(run)
	planner := pass.planner
	switch {
	case action.Kind == hedger.Keep:
		return true
	case action.Kind == hedger.Copy && !planner.withinCap(step.job.Team, step.Step, 1):
		return true
	case !planner.budgetOf(queue.Service).Spend(pass.taskFraction(step, queue), action.Price):
		return true
	}
	planner.recordHedge(task, run, action, worker, pass.now)
	if action.Kind == hedger.Copy {
		planner.startRun(step, index, task.LastNumber+1, worker, pass.now)
		return true
	}
	task.Avoid(task.run.Worker) // so that it starts elsewhere; this is no failed attempt
	planner.stopRun(task.run, pass.now)
	pass.reserved[worker.ID] = true
	return true
}

// recordHedge records a copy or move of the run of a task.
func (planner *Planner) recordHedge(task *task, run hedger.Run, action hedger.Action, target *Worker, now time.Time) {
	if task.hedges == nil {
		task.hedges = &taskHedges{}
	}
	hedges := task.hedges
	if hedges.count > 0 {
		planner.endHedge(hedges.open, HedgeLost, now) // the new run is late too
	}
	if work, known := run.Work(); known && (hedges.work == 0 || work < hedges.work) {
		hedges.work = work
	}
	hedges.open = HedgeEvent{
		Kind: action.Kind, Outcome: HedgeBegun, Task: task.run.Key, Number: task.run.Number, Worker: task.run.Worker, Target: target.ID,
		Percent: run.Percent, ReadAge: run.ReadAge, Elapsed: run.Elapsed, Expected: run.Median, Remaining: action.Remaining,
		Restarted: action.Restarted, TimeLeft: run.TimeLeft, Hedges: hedges.count,
		SlowWorker: planner.onSlowWorker(task.run, now), Chance: run.Chance,
	}
	hedges.endsBy = now.Add(action.Remaining)
	hedges.count++
	planner.hedging.events = append(planner.hedging.events, hedges.open)
}

// recordHedgeOutcome records what became of the last copy or move of a task that a run completed. A copy has won if it was
// done first, a move if the task was done before the moved run would have been.
func (planner *Planner) recordHedgeOutcome(task *task, run *Run, now time.Time) {
	if task.hedges == nil {
		return
	}
	event, outcome := task.hedges.open, HedgeLost
	if run.Number > event.Number && (event.Kind == hedger.Copy || now.Before(task.hedges.endsBy)) {
		outcome = HedgeWon
		if event.SlowWorker && !planner.ensureWorker(event.Worker).cold(now) {
			planner.recordSlowRun(event, run, now)
		}
	}
	planner.endHedge(event, outcome, now)
}

// endHedge records the outcome of a copy or move.
func (planner *Planner) endHedge(event HedgeEvent, outcome HedgeOutcome, now time.Time) {
	event.Outcome = outcome
	planner.hedging.events = append(planner.hedging.events, event)
	if event.Kind == hedger.Move {
		planner.hedging.records[event.SlowWorker].Add(outcome == HedgeWon, now)
	}
}

// recordSlowRun updates the slowness of the slow worker of a late run after another run completed the task. The late run is
// stopped and its time never recorded, so that the worker would get new runs as before.
func (planner *Planner) recordSlowRun(event HedgeEvent, run *Run, now time.Time) {
	seconds := max(now.Sub(run.OrderedAt).Seconds(), minRunSeconds) / planner.ensureWorker(run.Worker).slowness()
	slow := planner.ensureWorker(event.Worker)
	previous := slow.slowness()
	slow.health.slowness = previous + slownessWeight*(min((event.Elapsed+event.Remaining).Seconds()/seconds, maxSlowness)-previous)
}

// takeHedgeEvents returns the copies and moves since the last call, and their outcomes.
func (planner *Planner) takeHedgeEvents() []HedgeEvent {
	events := planner.hedging.events
	planner.hedging.events = nil
	return events
}

// recordReading records the percent of a run that a worker listed. For a run of an earlier planner, whose start is not
// known, the first reading is the base of the later ones.
func (run *Run) recordReading(percent int, now time.Time) {
	if run.Token == 0 && run.readAt.IsZero() {
		run.basePercent, run.basedAt = percent, now
	}
	run.readAt = now
}

// HandleReading processes a worker's answer to a Reading. If the worker has answered anything else since the poll was sent,
// the answer may be the older one of the two, and is ignored.
func (planner *Planner) HandleReading(id string, listing Listing, now time.Time) {
	if worker := planner.workers[id]; worker != nil && worker.AnsweredAt.After(listing.SentAt) {
		return
	}
	planner.HandleListing(id, listing, now)
}

// recordStopTime records how long a stop took, from the request until the end was listed.
func (planner *Planner) recordStopTime(step *step, run *Run, now time.Time) {
	if run.stopRequestedAt.IsZero() || step.Standing {
		return
	}
	average := &planner.hedging.stopTime
	if step.Checkpoints {
		average = &planner.hedging.saveTime
	}
	*average += (now.Sub(run.stopRequestedAt) - *average) / restartTimeDivisor
}

// recordStartTime records how long it took from the placement of a run until its worker accepted the order.
func (planner *Planner) recordStartTime(run *Run, now time.Time) {
	planner.hedging.startTime += (now.Sub(run.placedAt) - planner.hedging.startTime) / restartTimeDivisor
}
