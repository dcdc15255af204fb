package planner

import (
	"slices"
	"strings"
	"time"
)

const (
	// unresponsiveCopyDelay is the time without an answer of a worker after which its speculative tasks get copies elsewhere.
	unresponsiveCopyDelay = 300 * time.Millisecond
	// lagFactor is the multiple of the expected run time after which an urgent run gets a copy.
	lagFactor = 2
	// minLagTime is the minimum run time after which an urgent run gets a copy.
	minLagTime = 500 * time.Millisecond
)

// startCopies starts second runs of speculative tasks whose first run may be lost or takes much longer than expected,
// in the room that other steps leave. The run that is done first completes the task (see Dean and Barroso, "The
// Tail at Scale", 2013, on hedged requests).
func (pass *pass) startCopies() {
	var steps []*step
	for _, step := range pass.planner.steps {
		if step.Speculative && !step.Gang && !step.Standing && step.openCount > 0 && !step.job.state.Final() {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return strings.Compare(a.key.String(), b.key.String()) })
	for _, step := range steps {
		queue, found := pass.planner.catalog.Queue(step.job.Queue)
		if !found || pass.pool(queue.Service).exhausted {
			continue
		}
		for index := range step.tasks {
			if step.suspicion(index) == 0 && pass.needsCopy(step, &step.tasks[index], queue) {
				pass.startCopy(step, index, queue)
			}
		}
	}
}

// needsCopy reports whether a task has only one run, and this run is on an unresponsive worker or, if it is urgent,
// takes
// much longer than expected and than the completed tasks of the step.
func (pass *pass) needsCopy(step *step, task *task, queue Queue) bool {
	run := task.run
	if task.Done || run == nil || task.copy != nil || run.Stopping {
		return false
	}
	worker := pass.planner.ensureWorker(run.Worker)
	if !worker.RunsKnown {
		return pass.now.Sub(worker.AnsweredAt) >= unresponsiveCopyDelay && pass.now.Sub(run.OrderedAt) >= unresponsiveCopyDelay
	}
	if queue.Priority > 0 || !run.Confirmed || pass.planner.Settings.MoveStragglers {
		return false
	}
	expected := pass.planner.expectedRunTime(step.Step, step.job.Queue)
	for _, runTime := range step.runTimes {
		expected = max(expected, time.Duration(runTime.seconds*float64(time.Second)))
	}
	return pass.now.Sub(run.OrderedAt) > max(lagFactor*expected, minLagTime)
}

// startCopy starts a second run of a task if the team's cap and the workers have room for it.
func (pass *pass) startCopy(step *step, index int, queue Queue) {
	task := &step.tasks[index]
	if pass.starts.Available <= 0 || !pass.planner.withinCap(step.job.Team, step.Step, 1) {
		return
	}
	if worker := pass.chooseWorker(step, queue, task); worker != nil {
		pass.startRun(step, index, task.LastNumber+1, worker)
	}
}
