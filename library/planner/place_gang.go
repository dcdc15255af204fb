package planner

import (
	"cmp"
	"strings"
	"time"
)

// placeGang starts all tasks of a gang or none. They get one run number, above all earlier ones, and start from one
// checkpoint, the latest.
func (pass *pass) placeGang(step *step, queue Queue) {
	if !pass.planner.withinCap(step.job.Team, step.Step, int64(step.Count)) {
		return
	}
	if step.held(0, pass.now) {
		return
	}
	workers := pass.chooseGang(step, queue)
	if workers == nil {
		pass.handleBlocked(step, queue)
		return
	}
	checkpoint := ""
	for index := range step.tasks {
		checkpoint = laterCheckpoint(checkpoint, step.tasks[index].Checkpoint)
	}
	number := step.lastGangNumber() + 1
	step.waiting = nil
	step.blockedSince = time.Time{}
	for index, worker := range workers {
		step.tasks[index].Checkpoint = checkpoint
		pass.startRun(step, index, number, worker)
	}
}

// laterCheckpoint returns the later one of two checkpoints, which are numbers of any length in a fixed base.
func laterCheckpoint(a, b string) string {
	if order := cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b)); order < 0 {
		return b
	}
	return a
}

// chooseGang returns a worker for each task of a gang, or nil. A gang that is slower across racks gets workers of
// one rack if possible.
func (pass *pass) chooseGang(step *step, queue Queue) []*Worker {
	if step.OneRack {
		for _, rack := range pass.racksOf(queue.Service) {
			if workers := pass.chooseWorkers(step, queue, rack.workers); workers != nil {
				return workers
			}
		}
	}
	return pass.chooseWorkers(step, queue, pass.placeable(step, queue))
}

// chooseWorkers returns one of the given workers for each task of a gang, or nil.
func (pass *pass) chooseWorkers(step *step, queue Queue, among []*Worker) []*Worker {
	if step.suspicion(0) > 0 {
		among = pass.withoutSuspects(step, among)
	}
	chooser := pass.newChooser(step, queue, among)
	workers := make([]*Worker, 0, step.Count)
	for range step.tasks {
		worker := chooser.best()
		if worker == nil {
			return nil
		}
		chooser.update(1)
		workers = append(workers, worker)
	}
	return workers
}
