package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/placer"
	"ebonyshunt.org/library/sizer"
)

// pass is one placement pass over all steps with waiting tasks.
type pass struct {
	planner *Planner
	now     time.Time
	// reserved holds the IDs of workers that get no more runs in this pass, to make room for a blocked step.
	reserved map[string]bool

	number int64
	starts StartLimit // of which the runs that the pass places are subtracted
	shares shares
	// limitShares reports whether the current round limits each team to its share.
	limitShares bool
	tier        int // tier of the steps of the current round
	// queriedSize is the total size, by service, of the waiting tasks of steps with an open policy query.
	queriedSize map[string]sizer.Size
	pools       map[string]*pool // by service
	// standbyTargets is the number of workers that are reserved for standbys.
	standbyTargets  int
	standbysQueried bool // whether the policy has been queried for the standbys
}

// pool holds the workers of a service that accept runs, and counters of the pass.
type pool struct {
	workers     []*Worker  // sorted by ID
	totalFree   sizer.Size // total free capacity of the workers at the start of the pass
	largestFree sizer.Size // largest free capacity on one worker, of each resource
	capacity    sizer.Size // total capacity of the workers
	// blockedShapes holds the shapes of the steps that found no room, and blockedCount the number of these and of steps without a shape.
	blockedShapes map[shape]*blockedShape
	blockedCount  int
	roomSearches  int    // number of searches for workers to reserve or to preempt on, for the steps that come first
	searchTurns   int    // the same for the other steps
	exhausted     bool   // whether the pass leaves out the remaining steps of the service, but for those whose turn it is
	turns         int    // number of steps that had their turn
	racks         []rack // sorted by label, nil until first used
}

// run places the steps in order of their ranks. Among steps of the same tier and priority, a first round limits
// teams to their shares of the fleet, and a second round does not. Copies come last.
func (pass *pass) run(all []ranked) {
	if pass.planner.Settings.PoolShares {
		pass.planner.updatePools(all, pass.now)
	} else {
		pass.shares = pass.planner.computeShares()
	}
	for len(all) > 0 {
		count := 1
		for count < len(all) && all[count].rank.tier == all[0].rank.tier && all[count].rank.priority == all[0].rank.priority {
			count++
		}
		if all[0].rank.tier > tierRegular || all[0].rank.priority > 0 {
			pass.queryForStandbys() // urgent work that waits goes before
		}
		pass.tier = all[0].rank.tier
		for _, pass.limitShares = range []bool{true, false} {
			for _, ranked := range pass.ordered(all[:count]) {
				pass.place(ranked.step)
			}
		}
		all = all[count:]
	}
	pass.queryForStandbys()
	pass.endRounds()
	pass.limitShares = false
	pass.startCopies()
	pass.hedgeStragglers()
}

// place starts the waiting tasks of a step as far as there is room.
func (pass *pass) place(step *step) {
	if len(step.waiting) == 0 || step.blockedPass == pass.number || !pass.mayStart() || !pass.withinShare(step) {
		return
	}
	queue, found := pass.planner.catalog.Queue(step.job.Queue)
	if !found {
		return
	}
	pool := pass.pool(queue.Service)
	if pool.exhausted && !pass.hasTurn(step, queue.Service, pool) {
		return
	}
	pass.planner.counts.examinedSteps++
	step.examinedPass = pass.number
	if !step.chargedSize().Fits(pool.largestFree) || pass.findsNoRoom(step, queue, pool) {
		pass.handleBlocked(step, queue)
		return
	}
	if step.Gang {
		pass.placeGang(step, queue)
		return
	}
	pass.placeTasks(step, queue)
}

// placeTasks starts the waiting tasks of a step that is not a gang as far as there is room.
func (pass *pass) placeTasks(step *step, queue Queue) {
	var chooser *chooser // nil if it has to be built again
	step.sortWaiting()
	for len(step.waiting) > 0 {
		index := step.waiting[0]
		if step.suspicion(index) > 0 {
			pass.placeSuspects(step, queue)
			return
		}
		task := &step.tasks[index]
		if !pass.mayStart() || !pass.planner.withinCap(step.job.Team, step.Step, 1) || !pass.withinShare(step) {
			return
		}
		var worker *Worker
		usesChooser := len(task.Avoided) == 0 && task.run == nil
		if usesChooser {
			if chooser == nil {
				chooser = pass.newChooser(step, queue, pass.placeable(step, queue))
			}
			worker = chooser.best()
		} else {
			worker = pass.chooseWorker(step, queue, task)
		}
		if worker == nil {
			pass.handleBlocked(step, queue)
			return
		}
		firstOfOccurrence := step.occurrence.zone == ""
		step.waiting = step.waiting[1:]
		pass.startRun(step, index, task.LastNumber+1, worker)
		if !usesChooser || firstOfOccurrence {
			chooser = nil // the costs of other workers have changed
		} else {
			chooser.update(0)
		}
	}
	step.blockedSince = time.Time{}
}

// withinCap reports whether a team's cap allows count more tasks of a step.
func (planner *Planner) withinCap(name string, step *Step, count int64) bool {
	team, found := planner.catalog.Teams[name]
	if !found {
		return true
	}
	used := planner.ensureTeam(name).used.Add(step.Size.Mul(count))
	return withinLimit(used.MilliCores, team.Cap.MilliCores) && withinLimit(used.MemoryMB, team.Cap.MemoryMB) &&
		withinLimit(used.Accelerators, team.Cap.Accelerators)
}

// withinLimit reports whether usage stays within a limit, where 0 means no limit.
func withinLimit(used, limit int64) bool { return limit == 0 || used <= limit }

// startRun starts a run of a task, and counts it against the limit on starts.
func (pass *pass) startRun(step *step, index, number int, worker *Worker) {
	pass.starts.Available--
	pass.planner.startRun(step, index, number, worker, pass.now)
}

// startRun adds a run of a task. Its order is sent once the run is stored.
func (planner *Planner) startRun(step *step, index, number int, worker *Worker, now time.Time) {
	key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: index}
	step.tasks[index].LastNumber = number
	if step.occurrence.zone == "" {
		step.occurrence.zone = worker.Zone
	}
	planner.addRun(step, planner.newRun(step, key, number, worker, now))
	if step.job.state == Queued {
		step.job.state = Running
	}
	planner.markDirty(step.job)
	planner.starts = append(planner.starts, Start{Key: key, Number: number})
}

func (planner *Planner) newRun(step *step, key TaskKey, number int, worker *Worker, now time.Time) *Run {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	return &Run{
		Suspicion: step.suspicion(key.Index),
		Urgent:    queue.Priority == 0 && !step.Standing,
		Standing:  step.Standing,
		Key:       key, Number: number, Worker: worker.ID, Incarnation: worker.Incarnation, Size: step.chargedSize(), Token: worker.Token,
		OrderedAt: now, ProgressAt: now, placedAt: now, Filler: step.Filler, Serving: step.TailMS > 0, learning: planner.expectRun(step, worker),
	}
}

// chooseWorker returns the eligible worker with the lowest cost for a task, or nil. A task that runs already gets
// another worker.
func (pass *pass) chooseWorker(step *step, queue Queue, task *task) *Worker {
	var best *Worker
	bestCost := 0.0
	for _, worker := range pass.pool(queue.Service).workers {
		if task.run != nil && task.run.Worker == worker.ID || !pass.eligible(step, queue, worker, 0) {
			continue
		}
		cost := pass.cost(step, queue, task, worker, 0)
		if best == nil || cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	return best
}

// pool returns the pool of a service and creates it on first use.
func (pass *pass) pool(service string) *pool {
	if existing := pass.pools[service]; existing != nil {
		return existing
	}
	created := &pool{}
	for _, worker := range pass.planner.workerList {
		if worker.Service != service || !worker.Listed || worker.Draining || pass.planner.drainedZones[worker.Zone] || !pass.planner.acceptsRuns(worker, pass.now) {
			continue
		}
		free := worker.Free().Max(sizer.Size{})
		created.workers = append(created.workers, worker)
		worker.poolPass = pass.number
		created.totalFree = created.totalFree.Add(free)
		created.capacity = created.capacity.Add(worker.Capacity)
		created.largestFree = created.largestFree.Max(free)
	}
	pass.pools[service] = created
	return created
}

// acceptsRuns reports whether a worker may get new runs: it may be given a lease, lists no unknown runs, has
// answered recently enough, and is not barred.
func (planner *Planner) acceptsRuns(worker *Worker, now time.Time) bool {
	return planner.leasable(worker) && worker.unknownRuns == 0 && (worker.answeredRecently(now) || worker.idleWithinLimit(now)) && worker.health.Usable(now)
}

// belowWorkerLimit reports whether a worker may get one more task of the step under Step.MaxPerWorker, in addition
// to the assigned ones, which have no runs yet.
func (planner *Planner) belowWorkerLimit(step *step, worker *Worker, assigned int) bool {
	if step.MaxPerWorker <= 0 {
		return true
	}
	count := assigned
	for key := range worker.Runs {
		if key.step() == step.key {
			count++
		}
	}
	return count < step.MaxPerWorker
}

// cost rates a worker for a task, or for any task of the step if task is nil. The worker has been assigned some tasks of the step that have no
// runs yet.
func (pass *pass) cost(step *step, queue Queue, task *task, worker *Worker, assigned int) float64 {
	rated := placer.Task{
		Size: step.chargedSize().Mul(int64(assigned + 1)), DataRack: step.DataRack, CrossRack: pass.planner.Settings.CrossRackFactor,
		Zone: step.occurrence.zone, Urgent: queue.Priority == 0, Gang: step.Gang, Serving: step.TailMS > 0,
		Suspected: step.Gang && step.suspicion(0) > 0,
	}
	row := placer.Worker{
		Zone: worker.Zone, Labels: worker.Labels, Slowness: worker.slowness(), Capacity: worker.Capacity, Free: worker.Free(),
		Runs: len(worker.Runs), ServingRuns: worker.servingRuns,
		Unresponsive: !worker.answeredRecently(pass.now), Cold: worker.cold(pass.now),
		KeptFree: pass.planner.Settings.PoolShares && worker.reservedPass == pass.number-1,
	}
	if task != nil {
		row.HasFailed = slices.Contains(task.Avoided, worker.ID)
		row.HasCopyNear = task.run != nil && pass.planner.ensureWorker(task.run.Worker).Zone == worker.Zone
	}
	return rated.Cost(&row)
}
