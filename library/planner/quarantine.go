package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/blamer"
)

// hasSuspectBeside reports whether a run of a suspect of another job is on trial on the worker. Suspects of one job are not
// kept apart: a crash under any of them counts against this job alone.
func (worker *Worker) hasSuspectBeside(job string, now time.Time) bool {
	if !worker.isolation.FromSuspects(now) {
		return false
	}
	for key, run := range worker.Runs {
		if key.Job != job && blamer.OnTrial(run.Suspicion, run.OrderedAt, now) {
			return true
		}
	}
	return false
}

// beginTrial keeps other suspects, or all other runs, off a worker that gets a run of a suspect.
func (worker *Worker) beginTrial(run *Run) { worker.isolation.Begin(run.Suspicion, run.OrderedAt) }

// endTrial undoes beginTrial for a run that was removed. Other suspects on the worker are kept apart as before.
func (worker *Worker) endTrial(run *Run) {
	if run.Suspicion == 0 {
		return
	}
	worker.isolation = blamer.Isolation{}
	for _, other := range worker.Runs {
		worker.beginTrial(other)
	}
}

// held reports whether a task, or the gang that it is in, waits until it is known what became of the workers that fell silent under it.
func (step *step) held(index int, now time.Time) bool {
	suspects := step.suspects(index)
	return step.suspected && slices.ContainsFunc(suspects, func(task task) bool { return task.Evidence.Holds(now) })
}

// sortWaiting puts the suspects among the waiting tasks last, so that the others do not wait for them.
func (step *step) sortWaiting() {
	if !step.suspected {
		return
	}
	slices.SortStableFunc(step.waiting, func(a, b int) int {
		return compareBool(step.suspicion(a) > 0, step.suspicion(b) > 0)
	})
}

// mayJoinSuspects reports whether a step has waited so long that its suspects may start beside others.
func (pass *pass) mayJoinSuspects(step *step) bool {
	return !step.blockedSince.IsZero() && pass.now.Sub(step.blockedSince) >= blamer.MaxIsolationWait
}

// placeSuspects starts the waiting tasks of a step, all of which are suspects, as far as there are workers for them.
func (pass *pass) placeSuspects(step *step, queue Queue) {
	missing := false
	for _, index := range slices.Clone(step.waiting) {
		if step.held(index, pass.now) {
			continue
		}
		if !pass.starts.allow() || !pass.planner.withinCap(step.job.Team, step.Step, 1) || !pass.withinShare(step) {
			return
		}
		worker := pass.chooseForSuspect(step, queue, index)
		if worker == nil {
			missing = true
			continue
		}
		step.waiting = slices.DeleteFunc(step.waiting, func(waiting int) bool { return waiting == index })
		pass.startRun(step, index, step.tasks[index].LastNumber+1, worker)
	}
	if !missing {
		step.blockedSince = time.Time{}
		return
	}
	pass.handleMissing(step, queue)
}

// handleMissing processes a step whose suspects found no worker. If there is room beside other suspects, no room has to be
// made.
func (pass *pass) handleMissing(step *step, queue Queue) {
	hasRoom := slices.ContainsFunc(pass.pool(queue.Service).workers, func(worker *Worker) bool {
		return pass.eligible(step, queue, worker, 0)
	})
	if !hasRoom {
		pass.handleBlocked(step, queue)
		return
	}
	if step.blockedSince.IsZero() {
		step.blockedSince = pass.now
	}
	if queue.Policy != nil {
		pass.queryPolicy(step, queue)
	}
}

// chooseForSuspect returns the eligible worker with the lowest cost for a suspect, or nil. Workers with another suspect are
// left out at first, so that a crash tells which of the two caused it.
func (pass *pass) chooseForSuspect(step *step, queue Queue, index int) *Worker {
	var best *Worker
	bestCost := 0.0
	for _, worker := range pass.withoutSuspects(step, pass.pool(queue.Service).workers) {
		if !pass.eligible(step, queue, worker, 0) {
			continue
		}
		cost := pass.cost(step, queue, &step.tasks[index], worker, 0) + blamer.NeighborCost(len(worker.Runs))
		if best == nil || cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	return best
}

// withoutSuspects returns the workers on which the suspects of a step may start.
func (pass *pass) withoutSuspects(step *step, workers []*Worker) []*Worker {
	if pass.mayJoinSuspects(step) {
		return workers
	}
	kept := make([]*Worker, 0, len(workers))
	for _, worker := range workers {
		if !worker.hasSuspectBeside(step.job.ID, pass.now) {
			kept = append(kept, worker)
		}
	}
	return kept
}
