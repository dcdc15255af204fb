package planner

import (
	"cmp"
	"container/heap"
)

// chooser returns the workers for the tasks of one step, best first. It rates each worker once, and again after each
// task that it gets, which gives the same choices as calling chooseWorker for each task.
type chooser struct {
	pass    *pass
	step    *step
	queue   Queue
	choices choices
}

// choice is a worker that can take one more task of the step.
type choice struct {
	worker   *Worker
	cost     float64
	assigned int // number of tasks that it was assigned and has no runs of
}

// choices is a heap of choices by cost, then by worker ID.
type choices []choice

// Len returns the number of choices.
func (choices choices) Len() int { return len(choices) }

// Less reports whether one choice is better than another.
func (choices choices) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(choices[i].cost, choices[j].cost), cmp.Compare(choices[i].worker.ID, choices[j].worker.ID)) < 0
}

// Swap exchanges two choices.
func (choices choices) Swap(i, j int) { choices[i], choices[j] = choices[j], choices[i] }

// Push appends a choice.
func (choices *choices) Push(added any) { *choices = append(*choices, added.(choice)) }

// Pop removes the last choice.
func (choices *choices) Pop() any {
	last := (*choices)[len(*choices)-1]
	*choices = (*choices)[:len(*choices)-1]
	return last
}

// newChooser returns a chooser for a step among some workers of its pool.
func (pass *pass) newChooser(step *step, queue Queue, among []*Worker) *chooser {
	chooser := &chooser{pass: pass, step: step, queue: queue}
	for _, worker := range among {
		if pass.eligible(step, queue, worker, 0) {
			chooser.choices = append(chooser.choices, choice{worker: worker, cost: pass.cost(step, queue, nil, worker, 0)})
		}
	}
	heap.Init(&chooser.choices)
	return chooser
}

// placeable returns the workers among which tasks of the step can be placed: those with a ticket if the queue has a
// policy, or else the whole pool.
func (pass *pass) placeable(step *step, queue Queue) []*Worker {
	pool := pass.pool(queue.Service)
	if queue.Policy == nil || len(step.policy.allowed) > len(pool.workers)/2 {
		return pool.workers
	}
	workers := make([]*Worker, 0, len(step.policy.allowed))
	for id := range step.policy.allowed {
		if worker := pass.planner.workers[id]; worker != nil && worker.poolPass == pass.number && worker.Service == queue.Service {
			workers = append(workers, worker)
		}
	}
	return workers
}

// best returns the best worker, or nil if no worker can take a task.
func (chooser *chooser) best() *Worker {
	if len(chooser.choices) == 0 {
		return nil
	}
	return chooser.choices[0].worker
}

// update rates the best worker again after it got a task; assigned is the number of tasks without runs that this
// adds to it.
func (chooser *chooser) update(assigned int) {
	best := &chooser.choices[0]
	best.assigned += assigned
	if !chooser.pass.eligible(chooser.step, chooser.queue, best.worker, best.assigned) {
		heap.Pop(&chooser.choices)
		return
	}
	best.cost = chooser.pass.cost(chooser.step, chooser.queue, nil, best.worker, best.assigned)
	heap.Fix(&chooser.choices, 0)
}
