package planner

import "ebonyshunt.org/library/blamer"

// The rules about crashes of workers are in package blamer. Here is which runs were lost on which worker, and which workers
// have crashed.

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
		highest = max(highest, suspects[position].Evidence.Suspicion())
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

func (planner *Planner) lossOf(worker *Worker, run *Run) *blamer.Loss {
	loss := &blamer.Loss{Worker: worker.ID, Incarnation: run.Incarnation, Number: run.Number, Alone: true, Unanswered: !run.answered}
	step := planner.steps[run.Key.step()]
	loss.Sound = run.sound || run.ranLong(worker)
	for _, other := range worker.Runs {
		sameGang := step != nil && step.Gang && other.Key.step() == run.Key.step()
		if other != run && other.Sent && !sameGang {
			loss.Alone = false
		}
	}
	return loss
}

// ranLong reports whether this planner saw the run, which is of a standing step, run for long enough. The worker is the run's.
func (run *Run) ranLong(worker *Worker) bool {
	return run.Standing && run.Confirmed && blamer.Sound(worker.AnsweredAt.Sub(run.ConfirmedAt))
}

// recordSound stores of a run that it has run long, since later planners do not know when it began.
func (planner *Planner) recordSound(worker *Worker, run *Run) {
	if run.sound || !run.ranLong(worker) {
		return
	}
	if step := planner.steps[run.Key.step()]; step != nil {
		run.sound = true
		step.touch(run.Key.Index)
		planner.markDirty(step.job)
	}
}

// recordLoss counts the crash of a run's worker against its task, or keeps the loss of the run until it is known whether
// the worker crashed.
func (planner *Planner) recordLoss(step *step, run *Run, ending Ending) {
	if run.loss == nil || step.job.state.Final() || step.tasks[run.Key.Index].Done {
		return
	}
	switch ending {
	case EndedCrashed:
		planner.countCrash(step, run.Key, *run.loss)
	case Vanished:
		evidence, worker := &step.tasks[run.Key.Index].Evidence, planner.ensureWorker(run.Worker)
		run.loss.ClosedAt = planner.now
		evidence.Lost = append(evidence.Lost, *run.loss)
		worker.lostTasks = append(worker.lostTasks, run.Key)
		step.suspected = true
	case EndedDone, EndedFailed, EndedStopped, EndedLeaseExpired, EndedGangBroken, EndedGangIncomplete, NeverRan:
	}
}

// countCrash counts a crash against a task, and gives the task up if that is enough: its job has then failed. The crashes under
// different tasks of a gang are not added up: each of these workers may have crashed by itself.
func (planner *Planner) countCrash(step *step, key TaskKey, loss blamer.Loss) {
	task := &step.tasks[key.Index]
	if step.job.state.Final() || task.Done {
		return
	}
	planner.markDirty(step.job)
	step.touch(key.Index)
	verdict := task.Evidence.Count(loss)
	if verdict == blamer.Cleared {
		return
	}
	step.suspected = true
	planner.recordSuspect(loss.Worker, Suspect{
		Task: key, Number: loss.Number, Crashes: task.Evidence.Crashes, Unanswered: task.Evidence.Unanswered, Alone: loss.Alone,
		GivenUp: verdict == blamer.GivenUp,
	})
	if verdict == blamer.GivenUp {
		planner.finishJob(step.job, Failed, planner.now)
	}
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
func (planner *Planner) resolveLosses(worker *Worker, crashed func(blamer.Loss) bool) {
	keys := worker.lostTasks
	worker.lostTasks = nil
	for _, key := range keys {
		step := planner.steps[key.step()]
		if step == nil || key.Index >= len(step.tasks) {
			continue
		}
		for _, lost := range step.tasks[key.Index].Evidence.TakeLost(worker.ID) {
			planner.markDirty(step.job)
			step.touch(key.Index)
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
		planner.resolveLosses(worker, func(lost blamer.Loss) bool {
			return blamer.Restarted(lost.Incarnation, worker.Incarnation)
		})
	}
}

// resolveGone decides about the lost runs of a worker that has left the list without a word: they count as lost in a
// crash, but never as alone, since the worker may only be cut off.
func (planner *Planner) resolveGone(worker *Worker) {
	for _, key := range worker.lostTasks {
		if step := planner.steps[key.step()]; step != nil && key.Index < len(step.tasks) {
			step.tasks[key.Index].Evidence.Weaken(worker.ID)
		}
	}
	planner.resolveReplaced(worker)
}

// resolveReplaced counts the lost runs of a worker whose machine is back as another worker.
func (planner *Planner) resolveReplaced(worker *Worker) {
	planner.resolveLosses(worker, func(blamer.Loss) bool { return true })
}

// markEarlierIncarnation notes which runs of a worker were placed on an incarnation before the one that answers.
func (planner *Planner) markEarlierIncarnation(worker *Worker) {
	for _, run := range worker.Runs {
		if run.Sent && run.loss == nil && blamer.Restarted(run.Incarnation, worker.Incarnation) {
			run.loss = planner.lossOf(worker, run)
		}
	}
}

// detectReplaced finds the workers whose machines have started anew as other workers: they have crashed, unless they were
// draining. Times of day alone do not tell which worker of a machine is the latest, since its clock may go back: the later
// one must also have been listed after the earlier one, both in this term. An entry in the list may come from another writer: the later
// one must have answered as a worker of a service in the configuration.
func (planner *Planner) detectReplaced() {
	newest := map[string]*Worker{} // by machine
	for _, worker := range planner.workers {
		if !planner.hasShownItself(worker) {
			continue
		}
		if current := newest[worker.Machine]; current == nil || worker.Incarnation > current.Incarnation {
			newest[worker.Machine] = worker
		}
	}
	delete(newest, "")
	for _, worker := range planner.workerList {
		if successor := newest[worker.Machine]; successor != nil {
			planner.closeIfReplaced(worker, successor)
		}
	}
}

// detectReplacedBy is detectReplaced for a worker that has answered for the first time.
func (planner *Planner) detectReplacedBy(successor *Worker) {
	if successor.Machine == "" || !planner.hasShownItself(successor) {
		return
	}
	for _, worker := range planner.workerList {
		if worker.Machine == successor.Machine {
			planner.closeIfReplaced(worker, successor)
		}
	}
}

// hasShownItself reports whether a worker has answered, and belongs to a service of the configuration.
func (planner *Planner) hasShownItself(worker *Worker) bool {
	_, configured := planner.catalog.Services[worker.Service]
	return configured && !worker.AnsweredAt.IsZero()
}

func (planner *Planner) closeIfReplaced(worker, successor *Worker) {
	if !worker.replaced && !worker.Draining && worker.precedes(successor) {
		planner.closeReplaced(worker)
	}
}

// precedes reports whether a worker is certainly older than another one of its machine, and has not answered since that one was listed.
func (worker *Worker) precedes(other *Worker) bool {
	return worker.Incarnation != 0 && worker.Incarnation < other.Incarnation &&
		!worker.firstListedAt.IsZero() && worker.firstListedAt.Before(other.firstListedAt) && worker.AnsweredAt.Before(other.firstListedAt)
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
