package planner

import "ebonyshunt.org/library/placer"

// chooser returns the workers for the tasks of one step, best first.
type chooser struct {
	pass    *pass
	step    *step
	queue   Queue
	choices *placer.Choices[*Worker]
}

// newChooser returns a chooser for a step among some workers of its pool.
func (pass *pass) newChooser(step *step, queue Queue, among []*Worker) *chooser {
	var choices []placer.Choice[*Worker]
	for _, worker := range among {
		if pass.eligible(step, queue, worker, 0) {
			choices = append(choices, placer.Choice[*Worker]{Worker: worker, ID: worker.ID, Cost: pass.cost(step, queue, nil, worker, 0)})
		}
	}
	return &chooser{pass: pass, step: step, queue: queue, choices: placer.New(choices)}
}

// placeable returns the workers among which tasks of the step can be placed: those with a ticket if the queue has a
// policy, or else the whole pool.
func (pass *pass) placeable(step *step, queue Queue) []*Worker {
	pool := pass.pool(queue.Service)
	if queue.Policy == nil || step.policy.AllowedCount() > len(pool.workers)/2 {
		return pool.workers
	}
	workers := make([]*Worker, 0, step.policy.AllowedCount())
	for id := range step.policy.Allowed() {
		if worker := pass.planner.workers[id]; worker != nil && worker.poolPass == pass.number && worker.Service == queue.Service {
			workers = append(workers, worker)
		}
	}
	return workers
}

// best returns the best worker, or nil if no worker can take a task.
func (chooser *chooser) best() *Worker {
	if best, found := chooser.choices.Best(); found {
		return best.Worker
	}
	return nil
}

// update rates the best worker again after it got a task; assigned is the number of tasks without runs that this
// adds to it.
func (chooser *chooser) update(assigned int) {
	best, found := chooser.choices.Best()
	if !found {
		return
	}
	best.Assigned += assigned
	if !chooser.pass.eligible(chooser.step, chooser.queue, best.Worker, best.Assigned) {
		chooser.choices.Drop()
		return
	}
	chooser.choices.Rate(chooser.pass.cost(chooser.step, chooser.queue, nil, best.Worker, best.Assigned))
}
