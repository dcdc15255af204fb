package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/placer"
)

const (
	// reserveDelay is how long a step has to be blocked before a worker is reserved for it.
	reserveDelay = 150 * time.Millisecond
	// maxReserved limits the workers that are reserved in one pass. Those reserved by preemption are counted, but not
	// limited; those reserved for tasks that move and for standbys are not counted.
	maxReserved = 4
	// reservedDivisor gives the part of a service's workers that may be reserved in one pass instead, if that is more: a
	// quarter, so that most of the service always takes small tasks.
	reservedDivisor = 4
	// maxReservedDivisor gives the part of a service's workers that may be reserved at most, rounded up: a half, so that a small service takes
	// small tasks as well.
	maxReservedDivisor = 2
	// maxReservedWait is how long a step waits for which there is room on reserved workers only, while its service is lightly used or the
	// step lasts. Then it starts there.
	maxReservedWait = time.Second
	// lightUse is the share of the capacity of a service up to which the service is lightly used.
	lightUse = 0.6
	// preemptDelay is how long an urgent or standing step has to be blocked before it preempts other runs.
	preemptDelay = 100 * time.Millisecond

	// maxRoomSearches is the maximum number of searches in one pass for workers of a service to preempt on or to
	// reserve, for the steps that come first. maxSearchTurns is that number for the others, which have them in turn.
	maxRoomSearches = 4
	maxSearchTurns  = 2
)

// handleBlocked processes a step that found no room: it queries the policy, preempts runs of lower priority, and
// reserves a worker.
func (pass *pass) handleBlocked(step *step, queue Queue) {
	if step.blockedSince.IsZero() {
		step.blockedSince = pass.now
	}
	if queue.Policy != nil {
		pass.queryPolicy(step, queue)
	}
	pool := pass.pool(queue.Service)
	step.blockedPass = pass.number
	pass.recordBlocked(step, queue, pool)
	waited := pass.now.Sub(step.blockedSince)
	if pass.planner.Settings.PoolShares {
		pass.giveBack(step, queue, waited)
	}
	if waited < preemptDelay || !pass.maySearch(step, queue, pool) || !pass.isWorthRoom(step, queue, pool) {
		return
	}
	if pass.mayPreempt(step, queue) {
		pass.makeRoom(step, queue)
	}
	if waited >= reserveDelay {
		pass.reserve(step, queue)
	}
}

// reserve reserves workers for a blocked step: one, or with shares of each service one for each of its tasks and more in
// total. Otherwise the small tasks of a queue, which fit anywhere, overtake its large ones all the time.
func (pass *pass) reserve(step *step, queue Queue) {
	count, limit := 1, maxReserved
	workers := len(pass.pool(queue.Service).workers)
	if pass.planner.Settings.PoolShares {
		count, limit = len(step.waiting), max(limit, workers/reservedDivisor)
	}
	if step.Gang {
		count = step.Count
	}
	limit = min(limit, (workers+maxReservedDivisor-1)/maxReservedDivisor)
	for _, worker := range pass.mostFreeWorkers(step, queue, min(count, limit-len(pass.reserved)+len(pass.planner.drainMoves)+pass.standbyTargets)) {
		pass.reserved[worker.ID] = true
		worker.reservedPass = pass.number
	}
}

// keptFrom reports whether a worker is reserved, and not open to a step that has waited for too long for room on such workers only.
func (pass *pass) keptFrom(step *step, queue Queue, worker *Worker) bool {
	if !pass.reserved[worker.ID] {
		return false
	}
	return worker.reservedPass != pass.number || !pass.usesReserved(step, queue.Service)
}

// usesReserved reports whether a step may start on workers that are reserved for blocked steps: one that lasts however much of the service
// is used, since it serves all the time.
func (pass *pass) usesReserved(step *step, service string) bool {
	return !step.blockedSince.IsZero() && pass.now.Sub(step.blockedSince) >= maxReservedWait && (step.Standing || pass.pool(service).isLightlyUsed())
}

// isLightlyUsed reports whether the runs at the start of the pass used little of each resource of the pool.
func (pool *pool) isLightlyUsed() bool {
	used := pool.capacity.Sub(pool.totalFree)
	return used.DominantShare(pool.capacity) <= lightUse
}

// hasRoom reports whether some worker of a pool has room for a task of the step, whether or not the policy allows it.
func (pass *pass) hasRoom(step *step, pool *pool) bool {
	size := step.chargedSize()
	return size.Fits(pool.largestFree) && slices.ContainsFunc(pool.workers, func(worker *Worker) bool { return size.Fits(worker.Free()) })
}

// mayPreempt reports whether a step may preempt other runs: it is urgent or standing, and has been blocked for
// preemptDelay.
func (pass *pass) mayPreempt(step *step, queue Queue) bool {
	return (queue.Priority == 0 || step.Standing) && pass.now.Sub(step.blockedSince) >= preemptDelay
}

// mostFreeWorkers returns the reservable workers with the largest free shares of their capacity, at most count of them.
func (pass *pass) mostFreeWorkers(step *step, queue Queue, count int) []*Worker {
	mostFree := placer.MostFree[*Worker]{Count: count}
	for _, worker := range pass.pool(queue.Service).workers {
		if pass.reservable(step, queue, worker) {
			mostFree.Add(worker, worker.Free(), worker.Capacity)
		}
	}
	return mostFree.Workers
}

// makeRoom stops runs for a step: fillers, if those are all that keeps a serving step out, or else runs of lower priority.
func (pass *pass) makeRoom(step *step, queue Queue) {
	if step.TailMS > 0 && pass.displaceFillers(step, queue) {
		return
	}
	pass.preempt(step, queue)
}

// preempt makes room for a task of the step on the worker where this stops the fewest runs, and reserves that
// worker. Only runs of lower priority with checkpoints are stopped.
func (pass *pass) preempt(step *step, queue Queue) {
	var best []*Run
	for _, worker := range pass.pool(queue.Service).workers {
		if !pass.reservable(step, queue, worker) {
			continue
		}
		if victims, found := pass.victims(worker, step, queue); found && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, run := range best {
		pass.planner.stopRun(run, pass.now)
		pass.reserved[run.Worker] = true
	}
}

// victims returns the runs to stop to make room for a task of the step on a worker, and false if that does not make enough room. The
// capacity of runs that are being stopped counts as free.
func (pass *pass) victims(worker *Worker, step *step, queue Queue) ([]*Run, bool) {
	free := worker.Free()
	var candidates []placer.Run[*Run]
	for _, run := range worker.Runs {
		switch {
		case run.Stopping:
			free = free.Add(run.Size)
		case pass.preemptible(run, queue):
			candidates = append(candidates, placer.Run[*Run]{Run: run, Size: run.Size})
		}
	}
	slices.SortFunc(candidates, func(a, b placer.Run[*Run]) int { return a.Run.Key.compare(b.Run.Key) })
	return placer.Victims(candidates, step.chargedSize(), free, worker.Capacity)
}

// preemptible reports whether a run may be stopped for a step of the queue: it is confirmed, has checkpoints, is
// neither standing nor in a gang, and has lower priority.
func (pass *pass) preemptible(run *Run, queue Queue) bool {
	step := pass.planner.steps[run.Key.step()]
	if step == nil || !run.Confirmed || step.Standing || step.Gang || !step.Checkpoints {
		return false
	}
	runQueue, found := pass.planner.catalog.Queue(step.job.Queue)
	return found && runQueue.Priority > queue.Priority
}
