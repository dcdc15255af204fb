package planner

import (
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// A run of a standing step on a worker that leaves, or in a drained zone, is moved: another worker is chosen for its task and kept
// free, then the run is stopped, and the task starts there once it has stopped. A standing gang is not moved, since it stops as a
// whole, also where its members may not be missed, and room for all of its members would have to be kept at the same time.

const (
	// maxMoveSearches is the number of runs for which one pass looks for other workers, before and after it places the waiting
	// tasks.
	maxMoveSearches = 4
	// maxMoveQueries bounds the steps that have asked the policy for the sake of moves ahead of work that waits, which needs the
	// places for queries too.
	maxMoveQueries = 2
	// askAheadTime is the time before a worker leaves, in addition to the time that a stop takes, from which on they do: earlier, there
	// is time to wait for a free place.
	askAheadTime = 2 * time.Second
	// maxDrainMoves bounds the tasks that move at the same time, since a worker is kept free for each.
	maxDrainMoves = 8
	// moveMargin is how long a worker is kept free for a task that moves, in addition to the time that a stop takes: the request
	// has to arrive, and the end to be listed. A stop that takes longer is that of a worker that does not answer.
	moveMargin = 800 * time.Millisecond
	// minReadyTime is how long a standing task has to run before it counts as available.
	minReadyTime = 1500 * time.Millisecond
)

// drainMove is a standing task whose run was stopped to leave a worker or zone, and that has not started again.
type drainMove struct {
	key     TaskKey
	number  int    // of the run that was stopped
	target  string // ID of the worker that is kept free for the task
	beganAt time.Time
}

// Move describes a run that was stopped so that its task starts on another worker.
type Move struct {
	Task        TaskKey
	Number      int
	Worker      string
	Target      string
	Leaving     bool          // whether its worker leaves, rather than being in a drained zone
	LeavesIn    time.Duration // minimum time until the worker leaves
	Unavailable int           // number of other tasks of the step that are not available
	Budget      int           // Step.MaxUnavailable
}

// movableRun is a run of a standing step whose task is to start on another worker.
type movableRun struct {
	step    *step
	run     *Run
	worker  *Worker
	leaving bool // whether the worker leaves
	short   bool // whether it leaves so soon that the run has to stop now
}

// movableRuns returns the runs that can be moved from some workers, sorted by worker and key. A worker that does not answer
// cannot stop its runs. While a task of a step waits, another one that stops would have to wait as well.
func (planner *Planner) movableRuns(from func(*Worker) bool) []movableRun {
	var runs []movableRun
	for _, worker := range planner.workerList {
		if !worker.Listed || !worker.RunsKnown || !worker.answeredRecently(planner.now) || !from(worker) {
			continue
		}
		for _, run := range worker.sortedRuns() {
			step := planner.steps[run.Key.step()]
			if step == nil || !step.Standing || step.Gang || len(step.waiting) > 0 || step.held(run.Key.Index, planner.now) {
				continue
			}
			if run.Confirmed && !run.Stopping {
				runs = append(runs, movableRun{step: step, run: run, worker: worker})
			}
		}
	}
	return runs
}

// workersByLeaving returns the draining workers, those that leave first in front.
func (planner *Planner) workersByLeaving() []*Worker {
	var workers []*Worker
	for _, worker := range planner.workerList {
		if worker.Draining && worker.Listed {
			workers = append(workers, worker)
		}
	}
	slices.SortStableFunc(workers, func(a, b *Worker) int { return a.leavesAt.Compare(b.leavesAt) })
	return workers
}

// urgentSteps returns the urgent and the standing ones of the steps that wait, which come before all others.
func urgentSteps(all []ranked) []*step {
	var urgent []*step
	for _, ranked := range all {
		if ranked.rank.tier != tierRegular || ranked.rank.priority > 0 {
			break
		}
		urgent = append(urgent, ranked.step)
	}
	return urgent
}

// continueMoves keeps the targets of the moves free while the runs are being stopped, and starts the tasks whose runs have stopped
// ahead of all other work.
func (pass *pass) continueMoves() {
	moves := pass.planner.drainMoves
	pass.planner.drainMoves = nil
	var stopped []drainMove
	for _, move := range moves {
		step, run := pass.planner.openRun(move.key, move.number)
		switch {
		case step == nil || pass.now.Sub(move.beganAt) > pass.planner.Settings.MaxStopTime+moveMargin:
			continue
		case run == nil:
			stopped = append(stopped, move)
		default:
			pass.planner.drainMoves = append(pass.planner.drainMoves, move)
		}
		pass.reserved[move.target] = true
	}
	for _, move := range stopped {
		delete(pass.reserved, move.target)
		if step := pass.planner.steps[move.key.step()]; slices.Contains(step.waiting, move.key.Index) {
			pass.place(step)
		}
	}
}

// beginMoves stops runs that are to move, as far as their steps may miss another task, and only where another worker can take the
// task at once. Runs on workers that leave come first: they end in any case. Room that the given urgent steps wait for is left to
// them.
func (pass *pass) beginMoves(urgent []*step) {
	pass.moveSome(pass.planner.runsOnLeavingWorkers(pass.now), urgent)
	pass.moveSome(pass.planner.runsInDrainedZones(pass.now), urgent)
}

// moveSome moves some of the given runs. Those whose time is short come first, and otherwise each pass begins with another one, so
// that none is always left out.
func (pass *pass) moveSome(runs []movableRun, urgent []*step) {
	short := 0
	for short < len(runs) && runs[short].short {
		short++
	}
	searches := 0
	for _, part := range [][]movableRun{runs[:short], runs[short:]} {
		for index := range part {
			if searches >= maxMoveSearches || len(pass.planner.drainMoves) >= maxDrainMoves || !pass.starts.allow() {
				return
			}
			movableRun := part[(index+int(pass.number)*maxMoveSearches)%len(part)]
			if pass.planner.withinCap(movableRun.step.job.Team, movableRun.step.Step, 0) {
				searches++
				pass.move(movableRun, urgent)
			}
		}
	}
}

// move stops a run if its step may miss the task and a worker can take it once the run has stopped, and keeps that worker free. If
// only the policy's permission is missing, it asks for it, also while the step may not miss the task yet.
func (pass *pass) move(movableRun movableRun, urgent []*step) {
	step, run := movableRun.step, movableRun.run
	queue, found := pass.planner.catalog.Queue(step.job.Queue)
	if !found {
		return
	}
	target := pass.moveTarget(movableRun, queue, urgent)
	if target == nil {
		pass.ask(movableRun)
		return
	}
	if !movableRun.short && !movableRun.withinBudget(pass.now) {
		return
	}
	pass.planner.stopRun(run, pass.now)
	pass.planner.drainMoves = append(pass.planner.drainMoves, drainMove{run.Key, run.Number, target.ID, pass.now})
	pass.reserved[target.ID] = true
	pass.planner.moves = append(pass.planner.moves, Move{
		Task: run.Key, Number: run.Number, Worker: run.Worker, Target: target.ID, Leaving: movableRun.leaving,
		LeavesIn: movableRun.worker.timeUntilLeaving(pass.now), Unavailable: movableRun.unavailable(pass.now), Budget: step.MaxUnavailable,
	})
}

// askForMoves asks the policy for permission for tasks on workers that leave soon, ahead of the work that waits: it would take each
// place for a query as it becomes free.
func (pass *pass) askForMoves() {
	asking := map[StepKey]bool{}
	var silent []movableRun
	for _, movableRun := range pass.planner.runsOnLeavingWorkers(pass.now) {
		switch timeLeft := movableRun.worker.timeUntilLeaving(pass.now) - pass.planner.Settings.MaxStopTime; {
		case movableRun.step.policy.OpenCount() > 0:
			asking[movableRun.step.key] = true
		case timeLeft <= askAheadTime:
			silent = append(silent, movableRun)
		}
	}
	for index := range min(len(silent), maxMoveSearches) {
		if len(asking) >= maxMoveQueries {
			return
		}
		movableRun := silent[(index+int(pass.number)*maxMoveSearches)%len(silent)]
		if pass.ask(movableRun); movableRun.step.policy.OpenCount() > 0 {
			asking[movableRun.step.key] = true
		}
	}
}

// ask asks the policy for permission for a task if that is what its move needs.
func (pass *pass) ask(movableRun movableRun) {
	step := movableRun.step
	queue, found := pass.planner.catalog.Queue(step.job.Queue)
	if found && queue.Policy != nil && pass.moveTarget(movableRun, queue, nil) == nil && pass.needsPermission(step, queue) {
		pass.queryPolicyFor(step, queue, 1)
	}
}

// moveTarget returns the worker that can take the task of a run once the run has stopped, or nil.
func (pass *pass) moveTarget(movableRun movableRun, queue Queue, urgent []*step) *Worker {
	atRestart := *pass
	stopTime := pass.planner.Settings.MaxStopTime
	if queue.Policy != nil {
		stopTime = min(stopTime, queue.Policy.Validity/2)
	}
	atRestart.now = pass.now.Add(stopTime)
	atRestart.reserved = maps.Clone(pass.reserved)
	for _, step := range urgent {
		pass.claim(step, movableRun.step.chargedSize(), atRestart.reserved)
	}
	return atRestart.chooseWorker(movableRun.step, queue, &movableRun.step.tasks[movableRun.run.Key.Index])
}

// claim adds the workers to a set that an urgent step has asked the policy about, and that have no room for it beside a task of the
// given size.
func (pass *pass) claim(step *step, size sizer.Size, claimed map[string]bool) {
	for id := range step.policy.Queried() {
		if worker := pass.planner.workers[id]; worker != nil && !step.chargedSize().Add(size).Fits(worker.Free()) {
			claimed[id] = true
		}
	}
}

// needsPermission reports whether a worker with room for a task of the step may be allowed by the policy, and has no valid ticket.
func (pass *pass) needsPermission(step *step, queue Queue) bool {
	return slices.ContainsFunc(pass.pool(queue.Service).workers, func(worker *Worker) bool {
		return worker.hasLabel(step.Label) && !step.policy.Denied(worker.ID) && !step.hasTicket(worker, pass.now) &&
			!pass.reserved[worker.ID] && pass.roomFor(step, worker, 1) > 0
	})
}

// withinBudget reports whether the step of a run may miss its task as well.
func (movableRun movableRun) withinBudget(now time.Time) bool {
	return movableRun.unavailable(now) < movableRun.maxMissing()
}

// maxMissing returns how many tasks of a standing step may be unavailable at the same time because of moves: Step.MaxUnavailable.
// From a worker that leaves, tasks are moved one by one if the step names no such number, since they end with the worker.
func (movableRun movableRun) maxMissing() int {
	if movableRun.leaving {
		return max(movableRun.step.MaxUnavailable, 1)
	}
	return movableRun.step.MaxUnavailable
}

// unavailable returns how many tasks of the run's step are not available. A task is available if it has a confirmed run that is not
// being stopped, has reached 100 percent, and was ordered at least minReadyTime ago. On a worker that leaves, the run itself does
// not count: what it has not reached yet is lost in any case.
func (movableRun movableRun) unavailable(now time.Time) int {
	unavailable := 0
	for index := range movableRun.step.tasks {
		run := movableRun.step.tasks[index].run
		if run == movableRun.run && movableRun.leaving {
			continue
		}
		if run == nil || run.Stopping || !run.Confirmed || run.Percent < 100 || now.Sub(run.OrderedAt) < minReadyTime {
			unavailable++
		}
	}
	return unavailable
}
