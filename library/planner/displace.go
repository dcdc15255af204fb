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
	// gangs and standing are the numbers of the fillers in gangs, whose other members lose their work too, and of those that last.
	gangs, standing int
}

// compare orders displacements by what is lost: work of gangs, then fillers that last, then work that is not saved.
func (displacement displacement) compare(other displacement) int {
	return cmp.Or(cmp.Compare(displacement.gangs, other.gangs), cmp.Compare(displacement.standing, other.standing),
		cmp.Compare(displacement.lost, other.lost), cmp.Compare(len(displacement.fillers), len(other.fillers)))
}

// fillerBarTime is how long a worker gets no fillers after some were stopped there: longer than it takes until a serving task starts in
// their place.
const fillerBarTime = 2 * time.Second

// displaceFillers stops the fillers on as many workers as a serving step has waiting tasks, those first on which this loses least, and
// keeps the workers free. It reports whether it found any.
func (pass *pass) displaceFillers(step *step, queue Queue) bool {
	var options []displacement
	for _, worker := range pass.pool(queue.Service).workers {
		if pass.keptFrom(step, queue, worker) || !pass.couldDisplace(step, queue, worker) ||
			queue.Policy != nil && !step.policy.AllowedBefore(worker.ID) {
			continue
		}
		if option, found := pass.displacementOn(worker, step); found {
			options = append(options, option)
		}
	}
	slices.SortStableFunc(options, displacement.compare)
	displaced := 0
	for _, option := range options {
		if displaced == len(step.waiting) {
			break
		}
		if pass.displace(option) {
			displaced++
		}
	}
	return displaced > 0
}

// displace stops the fillers on a worker that may be stopped now, and keeps the worker free. It reports whether there are any.
func (pass *pass) displace(displacement displacement) bool {
	stopped := 0
	for _, run := range displacement.fillers {
		if pass.mayStopFiller(run, displacement.worker) {
			pass.planner.stopRun(run, pass.now)
			stopped++
		}
	}
	if stopped == 0 && len(displacement.fillers) > 0 {
		return false
	}
	pass.reserved[displacement.worker.ID] = true
	displacement.worker.fillersBarredUntil = pass.now.Add(fillerBarTime)
	return true
}

// mayStopFiller reports whether the disruption budget of a filler that lasts allows that it is stopped now.
func (pass *pass) mayStopFiller(run *Run, worker *Worker) bool {
	filler := pass.planner.steps[run.Key.step()]
	switch {
	case filler == nil || !filler.Standing || filler.MaxUnavailable == 0:
		return true
	case filler.Gang: // all members end
		return filler.Count <= filler.MaxUnavailable
	}
	return movableRun{step: filler, run: run, worker: worker}.withinBudget(pass.now)
}

// couldStart reports whether a step could start on a worker of its pool once all runs there but the standing ones have ended, or the fillers
// were stopped for it.
func (pass *pass) couldStart(step *step, queue Queue, worker *Worker) bool {
	return pass.obstacleOnceEmptied(step, queue, worker) == obstacleNone || pass.couldDisplace(step, queue, worker)
}

// couldDisplace reports whether a step is a serving one that could start on a worker if the fillers there were stopped.
func (pass *pass) couldDisplace(step *step, queue Queue, worker *Worker) bool {
	if step.TailMS == 0 || worker.fillerRuns == 0 {
		return false
	}
	obstacle := pass.obstacleOnceEmptied(step, queue, worker)
	if obstacle == obstacleTooSmall {
		return worker.standingFillers > 0 // displacementOn counts what they leave
	}
	return obstacle == obstacleNone || obstacle == obstacleDisturbed
}

// displacementOn returns the fillers to stop on a worker, and false if the task would not fit without them.
func (pass *pass) displacementOn(worker *Worker, step *step) (displacement, bool) {
	free := worker.Free()
	found := displacement{worker: worker}
	for _, run := range worker.sortedRuns() {
		if !run.Filler {
			continue
		}
		free = free.Add(run.Size)
		filler := pass.planner.steps[run.Key.step()]
		if run.Stopping || filler == nil {
			continue
		}
		found.fillers = append(found.fillers, run)
		switch {
		case filler.Gang:
			found.gangs++
		case filler.Standing:
			found.standing++
		case !filler.Checkpoints:
			found.lost++
		}
	}
	return found, step.chargedSize().Fits(free)
}
