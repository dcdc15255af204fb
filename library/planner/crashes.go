package planner

import (
	"slices"
	"time"
)

// A task may crash every worker that starts it. A crash is certain only once the worker is back as another incarnation,
// or its machine as another worker. It counts against all tasks whose runs were lost in it, since nothing tells which of
// them caused it. These suspects start again apart from each other (see quarantine.go), so that the next crash tells more.

const (
	// maxCrashes is the number of crashes of workers under a task after which it is given up.
	maxCrashes = 3
	// maxCrashesAlone is the same number if nothing else ran on the worker that crashed last.
	maxCrashesAlone = 2
	// maxUnansweredCrashes is the same number if crashes of workers that did not answer the task's order count too: such a worker may
	// have crashed before the order arrived.
	maxUnansweredCrashes = 5
	// soundRunTime is the run time of a standing task after which a crash of its worker is no evidence against it.
	soundRunTime = 30 * time.Second
)

// lostRun is a run that was on a worker that fell silent or crashed.
type lostRun struct {
	worker      string
	incarnation int64 // Run.Incarnation
	number      int
	alone       bool // whether no run of another step, or of another task that is not in the same gang, was on the worker
	unanswered  bool // whether the worker did not answer the order, and may never have had the run
	sound       bool // whether its task is standing and had run for soundRunTime
	// closedAt is when the run was closed without it being known whether the worker crashed.
	closedAt time.Time
}

// CrashEvent describes the crash of a worker, for logs.
type CrashEvent struct {
	Worker   string
	Suspects []Suspect
}

// Suspect is a task that had a run on a worker when it crashed.
type Suspect struct {
	Task    TaskKey
	Number  int  // number of the run
	Crashes int  // number of crashes that count against the task
	Alone   bool // whether nothing else ran on the worker
	GivenUp bool // whether the job of the task has failed for it
	// Unanswered is the number of further crashes, of workers that did not answer the task's order.
	Unanswered int
}

// suspicion returns the number of crashes that count against a task, or may do so: a lost run counts until the worker is
// heard of again. The tasks of a gang, which start together, have the highest suspicion among them.
func (step *step) suspicion(index int) int {
	if !step.suspected {
		return 0
	}
	highest := 0
	suspects := step.suspects(index)
	for position := range suspects {
		answered, unanswered := suspects[position].crashCounts()
		highest = max(highest, answered+unanswered)
	}
	return highest
}

// suspects returns the tasks whose crashes tell when a task may start: all of a gang, otherwise the task alone.
func (step *step) suspects(index int) []task {
	if step.Gang {
		return step.tasks
	}
	return step.tasks[index : index+1]
}

// crashCounts returns the numbers of crashes that count against a task, or may do so: those of workers that answered the task's order,
// and those of the others.
func (task *task) crashCounts() (answered, unanswered int) {
	answered, unanswered = task.crashes, task.unansweredCrashes
	for _, lost := range task.lost {
		if lost.unanswered {
			unanswered++
		} else {
			answered++
		}
	}
	return answered, unanswered
}

// markLosses notes what a worker ran when it fell silent or crashed. A worker that is draining leaves as planned.
func (planner *Planner) markLosses(worker *Worker) {
	if worker.Draining {
		return
	}
	for _, run := range worker.Runs {
		if run.Sent && run.loss == nil {
			run.loss = planner.lossOf(worker, run)
		}
	}
}

func (planner *Planner) lossOf(worker *Worker, run *Run) *lostRun {
	loss := &lostRun{worker: worker.ID, incarnation: run.Incarnation, number: run.Number, alone: true, unanswered: !run.answered}
	step := planner.steps[run.Key.step()]
	if step != nil && step.Standing && run.Confirmed {
		loss.sound = worker.AnsweredAt.Sub(run.ConfirmedAt) >= soundRunTime
	}
	for _, other := range worker.Runs {
		sameGang := step != nil && step.Gang && other.Key.step() == run.Key.step()
		if other != run && other.Sent && !sameGang {
			loss.alone = false
		}
	}
	return loss
}

// recordLoss counts the crash of a run's worker against its task, or keeps the loss of the run until it is known whether
// the worker crashed.
func (planner *Planner) recordLoss(step *step, run *Run, ending Ending) {
	if run.loss == nil || step.job.state.Final() || step.tasks[run.Key.Index].done {
		return
	}
	switch ending {
	case EndedCrashed:
		planner.countCrash(step, run.Key, *run.loss)
	case Vanished:
		task, worker := &step.tasks[run.Key.Index], planner.ensureWorker(run.Worker)
		run.loss.closedAt = planner.now
		task.lost = append(task.lost, *run.loss)
		worker.lostTasks = append(worker.lostTasks, run.Key)
		step.suspected = true
	case EndedDone, EndedFailed, EndedStopped, EndedLeaseExpired, EndedGangBroken, EndedGangIncomplete, NeverRan:
	}
}

// countCrash counts a crash against a task, and gives the task up if that is enough: its job has then failed. The crashes under
// different tasks of a gang are not added up: each of these workers may have crashed by itself.
func (planner *Planner) countCrash(step *step, key TaskKey, loss lostRun) {
	task := &step.tasks[key.Index]
	if step.job.state.Final() || task.done {
		return
	}
	planner.markDirty(step.job)
	if loss.sound {
		task.crashes, task.unansweredCrashes = 0, 0
		return
	}
	step.suspected = true
	if loss.unanswered {
		task.unansweredCrashes++
	} else {
		task.crashes++
	}
	givenUp := givesUp(task.crashes, task.unansweredCrashes) || loss.alone && !loss.unanswered && task.crashes >= maxCrashesAlone
	planner.recordSuspect(loss.worker, Suspect{
		Task: key, Number: loss.number, Crashes: task.crashes, Unanswered: task.unansweredCrashes, Alone: loss.alone, GivenUp: givenUp,
	})
	if givenUp {
		planner.finishJob(step.job, Failed, planner.now)
	}
}

// givesUp reports whether crashes are enough to give a task up, whatever else ran on the workers.
func givesUp(answered, unanswered int) bool {
	return answered >= maxCrashes || answered+unanswered >= maxUnansweredCrashes
}

// recordSuspect adds a suspect to the event of its worker's crash.
func (planner *Planner) recordSuspect(worker string, suspect Suspect) {
	for index := range planner.crashes {
		if planner.crashes[index].Worker == worker {
			planner.crashes[index].Suspects = append(planner.crashes[index].Suspects, suspect)
			return
		}
	}
	planner.crashes = append(planner.crashes, CrashEvent{Worker: worker, Suspects: []Suspect{suspect}})
}

// resolveLosses decides about the runs that were lost on a worker, now that it is known whether it crashed.
func (planner *Planner) resolveLosses(worker *Worker, crashed func(lostRun) bool) {
	keys := worker.lostTasks
	worker.lostTasks = nil
	for _, key := range keys {
		step := planner.steps[key.step()]
		if step == nil || key.Index >= len(step.tasks) {
			continue
		}
		task := &step.tasks[key.Index]
		resolved := slices.Clone(task.lost)
		task.lost = slices.DeleteFunc(task.lost, func(lost lostRun) bool { return lost.worker == worker.ID })
		for _, lost := range resolved {
			if lost.worker != worker.ID {
				continue
			}
			planner.markDirty(step.job)
			if crashed(lost) {
				planner.countCrash(step, key, lost)
			}
		}
	}
}

// resolveAnswered decides about the lost runs of a worker that answers again: it crashed if it is another incarnation.
func (planner *Planner) resolveAnswered(worker *Worker) {
	worker.replaced = false
	if len(worker.lostTasks) > 0 {
		planner.resolveLosses(worker, func(lost lostRun) bool {
			return lost.incarnation != 0 && worker.Incarnation != 0 && lost.incarnation != worker.Incarnation
		})
	}
}

// resolveGone decides about the lost runs of a worker that has left the list without a word: they count as lost in a
// crash, but never as alone, since the worker may only be cut off.
func (planner *Planner) resolveGone(worker *Worker) {
	for _, key := range worker.lostTasks {
		if step := planner.steps[key.step()]; step != nil && key.Index < len(step.tasks) {
			step.tasks[key.Index].weakenLosses(worker.ID)
		}
	}
	planner.resolveReplaced(worker)
}

// weakenLosses marks the runs of a task that were lost on a worker as not alone there.
func (task *task) weakenLosses(worker string) {
	for index := range task.lost {
		if task.lost[index].worker == worker {
			task.lost[index].alone = false
		}
	}
}

// resolveReplaced counts the lost runs of a worker whose machine is back as another worker.
func (planner *Planner) resolveReplaced(worker *Worker) {
	planner.resolveLosses(worker, func(lostRun) bool { return true })
}

// markEarlierIncarnation notes which runs of a worker were placed on an incarnation before the one that answers.
func (planner *Planner) markEarlierIncarnation(worker *Worker) {
	for _, run := range worker.Runs {
		if run.Sent && run.loss == nil && run.Incarnation != 0 && worker.Incarnation != 0 && run.Incarnation != worker.Incarnation {
			run.loss = planner.lossOf(worker, run)
		}
	}
}

// detectReplaced finds the workers whose machines have started anew as other workers: they have crashed, unless they were
// draining. Times of day alone do not tell which worker of a machine is the latest, since its clock may go back: the later
// one must also have been listed after the earlier one, both in this term.
func (planner *Planner) detectReplaced() {
	newest := map[string]*Worker{} // by machine
	for _, worker := range planner.workers {
		if current := newest[worker.Machine]; current == nil || worker.Incarnation > current.Incarnation {
			newest[worker.Machine] = worker
		}
	}
	delete(newest, "")
	for _, worker := range planner.workerList {
		successor := newest[worker.Machine]
		if successor != nil && !worker.replaced && !worker.Draining && worker.precedes(successor) {
			planner.closeReplaced(worker)
		}
	}
}

// precedes reports whether a worker is certainly older than another one of its machine.
func (worker *Worker) precedes(other *Worker) bool {
	return worker.Incarnation != 0 && worker.Incarnation < other.Incarnation &&
		!worker.firstListedAt.IsZero() && worker.firstListedAt.Before(other.firstListedAt)
}

// closeReplaced closes the runs of a worker whose machine has started anew as another worker. The machine runs nothing of
// before, and orders that are still on their way name the former worker, so that the end of the leases is not awaited.
func (planner *Planner) closeReplaced(worker *Worker) {
	worker.replaced = true
	if worker.RunsKnown {
		planner.invalidateRuns(worker)
	}
	planner.markLosses(worker)
	for _, run := range worker.sortedRuns() {
		planner.closeRefused(run, planner.now)
	}
	planner.resolveReplaced(worker)
}
