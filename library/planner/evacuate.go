package planner

import "time"

// evacuationLeadTime is the time before a draining worker leaves at which its runs have to be stopped to save checkpoints or to
// move, in addition to the time that a stop takes.
const evacuationLeadTime = time.Second

// saveLeavingRuns stops runs with checkpoints on draining workers that would not end before the worker leaves, so that their tasks
// resume elsewhere.
func (planner *Planner) saveLeavingRuns(now time.Time) {
	for _, worker := range planner.workerList {
		if !worker.Draining || !worker.Listed {
			continue
		}
		timeLeft := worker.timeUntilLeaving(now) - planner.Settings.MaxStopTime
		for _, run := range worker.sortedRuns() {
			step := planner.steps[run.Key.step()]
			if step != nil && !run.Stopping && run.Confirmed && planner.shouldCheckpoint(step, run, timeLeft, now) {
				planner.stopRun(run, now)
			}
		}
	}
}

// shouldCheckpoint reports whether a run on a worker that leaves in timeLeft has to be stopped to save a checkpoint:
// it is not expected to end in that time.
func (planner *Planner) shouldCheckpoint(step *step, run *Run, timeLeft time.Duration, now time.Time) bool {
	if step.Standing || !step.Checkpoints || timeLeft > evacuationLeadTime {
		return false
	}
	return !planner.endsWithin(step, run, timeLeft, now)
}

// runsOnLeavingWorkers returns the runs of standing steps on draining workers, which end with these workers: those whose time is
// short come first.
func (planner *Planner) runsOnLeavingWorkers(now time.Time) []movableRun {
	runs := planner.movableRuns(func(worker *Worker) bool { return worker.Draining })
	var short, others []movableRun
	for _, movableRun := range runs {
		movableRun.leaving, movableRun.short = true, planner.timeIsShort(movableRun.worker, now)
		if movableRun.short {
			short = append(short, movableRun)
		} else {
			others = append(others, movableRun)
		}
	}
	return append(short, others...)
}

// timeIsShort reports whether there is only time for one more stop before a draining worker leaves.
func (planner *Planner) timeIsShort(worker *Worker, now time.Time) bool {
	return worker.timeUntilLeaving(now) <= planner.Settings.MaxStopTime+evacuationLeadTime
}

// StayingRun describes why a run of a standing step stays on a worker that leaves.
type StayingRun struct {
	Task        TaskKey
	Number      int
	Worker      string
	LeavesIn    time.Duration  // minimum time until the worker leaves, negative once it is over
	Reason      string         // see stayReason
	Unavailable int            // number of other tasks of the step that are not available
	Budget      int            // Step.MaxUnavailable
	Workers     map[string]int // as BlockedStep.Workers
	QueryOpen   bool           // whether a policy query for the step is open
}

// ExplainStaying returns the runs of standing steps that stay on workers that leave, in the order in which these leave, at most
// limit of them.
func (planner *Planner) ExplainStaying(now time.Time, limit int) []StayingRun {
	var staying []StayingRun
	for _, worker := range planner.workersByLeaving() {
		for _, run := range worker.sortedRuns() {
			if len(staying) >= limit {
				return staying
			}
			if step := planner.steps[run.Key.step()]; step != nil && step.Standing && !run.Stopping {
				staying = append(staying, planner.explainStaying(step, worker, run, now))
			}
		}
	}
	return staying
}

func (planner *Planner) explainStaying(step *step, worker *Worker, run *Run, now time.Time) StayingRun {
	explained := planner.explainStep(step, now)
	movableRun := movableRun{step: step, run: run, worker: worker, leaving: true, short: planner.timeIsShort(worker, now)}
	return StayingRun{
		Task: run.Key, Number: run.Number, Worker: worker.ID, LeavesIn: worker.timeUntilLeaving(now),
		Reason: planner.stayReason(movableRun, now), Unavailable: movableRun.unavailable(now), Budget: step.MaxUnavailable,
		Workers: explained.Workers, QueryOpen: explained.QueryOpen,
	}
}

// stayReason returns the first reason why a run stays on a worker that leaves. It is "noTarget" if only another worker is missing;
// StayingRun.Workers counts the obstacles.
func (planner *Planner) stayReason(movableRun movableRun, now time.Time) string {
	step, run := movableRun.step, movableRun.run
	switch {
	case step.Gang:
		return "gang"
	case !run.Confirmed || !movableRun.worker.RunsKnown:
		return "unconfirmed"
	case !movableRun.worker.answeredRecently(now):
		return "unanswered"
	case step.held(run.Key.Index, now):
		return "held"
	case len(step.waiting) > 0:
		return "taskWaits"
	case !planner.withinCap(step.job.Team, step.Step, 0):
		return "capped"
	case len(planner.drainMoves) >= maxDrainMoves:
		return "tooManyMoves"
	case !movableRun.short && !movableRun.withinBudget(now):
		return "unavailable"
	}
	return "noTarget"
}
