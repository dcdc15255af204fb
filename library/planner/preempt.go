package planner

import (
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

const (
	holdAfter   = 150 * time.Millisecond // of waiting, before workers are kept free for a step
	mostHeld    = 4                      // workers kept free in one pass
	preemptWait = 100 * time.Millisecond // of urgent work before it preempts

	mostPassed   = 150 // steps of a service that find no room, after which a pass looks at no more of them
	mostSearches = 4   // of a service in one pass, for workers to make free
)

// wait deals with a step that found no room: it asks the policy, keeps a worker free, or preempts.
func (pass *pass) wait(step *step, queue Queue) {
	if step.blocked.IsZero() {
		step.blocked = pass.now
	}
	if queue.Policy != nil {
		pass.ask(step, queue)
	}
	pool := pass.pool(queue.Service)
	step.passed = pass.number
	pool.passed++
	pool.exhaustion = pool.passed >= mostPassed
	waited := pass.now.Sub(step.blocked)
	if waited < preemptWait || pool.searches >= mostSearches {
		return
	}
	pool.searches++
	if queue.Priority == 0 || step.Standing {
		pass.preempt(step, queue)
	}
	if waited >= holdAfter && len(pass.held) < mostHeld {
		if worker := pass.emptiest(step, queue); worker != nil {
			pass.held[worker.ID] = true
		}
	}
}

// open reports whether a worker may be made free for a step.
func (pass *pass) open(step *step, queue Queue, worker *Worker) bool {
	return worker.hasLabel(step.Label) && step.charge().Fits(worker.Capacity) && !pass.held[worker.ID] &&
		(queue.Policy == nil || !step.policy.denied[worker.ID]) && pass.planner.apart(step, worker, 0)
}

// emptiest returns the worker that could run the step and has the most room.
func (pass *pass) emptiest(step *step, queue Queue) *Worker {
	var best *Worker
	most := -1.0
	for _, worker := range pass.pool(queue.Service).workers {
		if !pass.open(step, queue, worker) {
			continue
		}
		if free := worker.Free().Max(sizer.Size{}).Dominant(worker.Capacity); free > most {
			best, most = worker, free
		}
	}
	return best
}

// preempt stops runs of less pressing work with checkpoints, where that makes room for a task.
func (pass *pass) preempt(step *step, queue Queue) {
	var best []*Run
	for _, worker := range pass.pool(queue.Service).workers {
		if !pass.open(step, queue, worker) {
			continue
		}
		if victims := pass.victims(worker, step, queue); victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, run := range best {
		pass.planner.stop(run, pass.now)
		pass.held[run.Worker] = true
	}
}

// victims returns the fewest runs whose end makes room on a worker, or nil; room that is being freed
// already counts.
func (pass *pass) victims(worker *Worker, step *step, queue Queue) []*Run {
	free := worker.Free()
	var stoppable []*Run
	for _, run := range worker.sorted() {
		if run.Stopping {
			free = free.Add(run.Size)
			continue
		}
		if pass.stoppable(run, queue) {
			stoppable = append(stoppable, run)
		}
	}
	slices.SortStableFunc(stoppable, func(a, b *Run) int {
		return -compareSizes(a.Size, b.Size, worker.Capacity)
	})
	victims := []*Run{}
	for _, run := range stoppable {
		if step.charge().Fits(free) {
			break
		}
		free = free.Add(run.Size)
		victims = append(victims, run)
	}
	if !step.charge().Fits(free) {
		return nil
	}
	return victims
}

func compareSizes(a, b, capacity sizer.Size) int {
	switch left, right := a.Dominant(capacity), b.Dominant(capacity); {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

func (pass *pass) stoppable(run *Run, queue Queue) bool {
	step := pass.planner.steps[run.Key.step()]
	if step == nil || !run.Started || step.Standing || step.Gang || !step.Checkpoints {
		return false
	}
	other, found := pass.planner.catalog.Queue(step.job.Queue)
	return found && other.Priority > queue.Priority
}
