package planner

import (
	"slices"
	"strings"
	"time"
)

const (
	// copyQuiet is how long a worker has to be silent before its speculative tasks are started elsewhere too.
	copyQuiet = 300 * time.Millisecond
	// overdueFactor is the multiple of what its like take, after which an urgent run gets a copy.
	overdueFactor = 2
	// overdueLeast is the least time that such a run has to take.
	overdueLeast = 500 * time.Millisecond
)

// copyTasks starts second runs of speculative tasks whose first run may be lost or is far behind, with the
// room that other work leaves. The first run that is done counts (see Dean and Barroso, "The Tail at Scale",
// 2013, on hedged requests).
func (pass *pass) copyTasks() {
	var steps []*step
	for _, step := range pass.planner.steps {
		if step.Speculative && !step.Gang && !step.Standing && step.open > 0 && !step.job.state.Final() {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return strings.Compare(a.key.String(), b.key.String()) })
	for _, step := range steps {
		queue, found := pass.planner.catalog.Queue(step.job.Queue)
		if !found || pass.pool(queue.Service).exhaustion {
			continue
		}
		for index := range step.tasks {
			if pass.lags(step, &step.tasks[index], queue) {
				pass.copyTask(step, index, queue)
			}
		}
	}
}

// lags reports whether the only run of a task may be lost, or takes much longer than its like.
func (pass *pass) lags(step *step, task *task, queue Queue) bool {
	run := task.run
	if task.done || run == nil || task.copy != nil || run.Stopping {
		return false
	}
	worker := pass.planner.worker(run.Worker)
	if !worker.Looked {
		return pass.now.Sub(worker.Quiet) >= copyQuiet && pass.now.Sub(run.Began) >= copyQuiet
	}
	if queue.Priority > 0 || !run.Started {
		return false
	}
	usual := pass.planner.expected(step.Step, step.job.Queue)
	for _, took := range step.took {
		usual = max(usual, time.Duration(took.seconds*float64(time.Second)))
	}
	return pass.now.Sub(run.Began) > max(overdueFactor*usual, overdueLeast)
}

func (pass *pass) copyTask(step *step, index int, queue Queue) {
	task := &step.tasks[index]
	if !pass.planner.within(step.job.Team, step.Step, 1) {
		return
	}
	if worker := pass.choose(step, queue, task, nil, ""); worker != nil {
		pass.planner.start(step, index, task.number+1, worker, pass.now)
	}
}
