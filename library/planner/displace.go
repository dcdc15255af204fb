package planner

import (
	"cmp"
	"slices"
	"time"
)

// A serving task and a filler do not share a worker. A serving task that finds no other place goes first: it serves its users all the
// time, while a filler takes what is left over.

// displacement is a worker on which a serving task could start if the fillers there were stopped.
type displacement struct {
	worker  *Worker
	fillers []*Run // that are not being stopped yet
	lost    int    // number of the fillers without checkpoints
}

// fillerBarTime is how long a worker gets no fillers after some were stopped there: longer than it takes until a serving task starts in
// their place.
const fillerBarTime = 2 * time.Second

// displaceFillers stops the fillers on as many workers as a serving step has waiting tasks, those first on which this loses least, and
// keeps the workers free. It reports whether it found any.
func (pass *pass) displaceFillers(step *step, queue Queue) bool {
	var options []displacement
	for _, worker := range pass.pool(queue.Service).workers {
		if worker.fillerRuns == 0 || pass.keptFrom(step, queue, worker) || pass.obstacleOnceEmptied(step, queue, worker) != obstacleNone ||
			queue.Policy != nil && !step.policy.allowedBefore(worker) {
			continue
		}
		if option, found := pass.displacementOn(worker, step); found {
			options = append(options, option)
		}
	}
	slices.SortStableFunc(options, func(a, b displacement) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(len(a.fillers), len(b.fillers)))
	})
	for _, option := range options[:min(len(options), len(step.waiting))] {
		for _, run := range option.fillers {
			pass.planner.stopRun(run, pass.now)
		}
		pass.reserved[option.worker.ID] = true
		option.worker.fillersBarredUntil = pass.now.Add(fillerBarTime)
	}
	return len(options) > 0
}

// displacementOn returns the fillers to stop on a worker, and false if the task would not fit without them, or one is a member of a gang,
// whose other members would lose their work too.
func (pass *pass) displacementOn(worker *Worker, step *step) (displacement, bool) {
	free := worker.Free()
	found := displacement{worker: worker}
	for _, run := range worker.sortedRuns() {
		if !run.Filler {
			continue
		}
		free = free.Add(run.Size)
		if run.Stopping {
			continue
		}
		filler := pass.planner.steps[run.Key.step()]
		if filler == nil || filler.Gang {
			return displacement{}, false
		}
		found.fillers = append(found.fillers, run)
		if !filler.Checkpoints {
			found.lost++
		}
	}
	return found, step.chargedSize().Fits(free)
}
