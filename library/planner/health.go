package planner

import (
	"time"

	"ebonyshunt.org/library/blamer"
)

// health is the state of a worker as derived from the outcomes of its runs and orders.
type health struct {
	blamer.Bar
	slowness  float64 // run times as a multiple of the average of other workers, 0 while unknown
	speedRuns int     // number of runs that slowness was learned from, counted with Settings.LearnRunTimes
}

const (
	slownessWeight = 0.2  // weight of the latest run in the moving average of a worker
	ratioWeight    = 0.1  // weight of the latest run in the moving average of a queue
	minRatio       = 0.02 // minimum ratio of a run time to its estimate in that average
)

// queueStats holds moving averages of a queue.
type queueStats struct {
	ratio        float64 // run times of its tasks, as a multiple of their estimates
	allowedShare float64 // share of the workers that its policy allows
}

// ensureQueueStats returns the statistics of a queue and creates them if needed.
func (planner *Planner) ensureQueueStats(queue string) *queueStats {
	stats := planner.queueStats[queue]
	if stats == nil {
		stats = &queueStats{ratio: 1, allowedShare: initialAllowedShare}
		planner.queueStats[queue] = stats
	}
	return stats
}

// recordOutcome updates the health of the worker and the statistics of the queue after the end of a run. Failures of
// standing steps are not counted.
func (planner *Planner) recordOutcome(step *step, run *Run, ending Ending, now time.Time) {
	worker := planner.ensureWorker(run.Worker)
	switch ending {
	case EndedDone:
		worker.health.RecordSuccess()
		planner.recordRunTime(step, worker, run, now)
	case EndedFailed:
		if !step.Standing {
			worker.health.RecordFailure(run.Key.Job, now)
		}
	case EndedStopped:
		planner.recordStopTime(step, run, now)
	case EndedLeaseExpired, EndedGangBroken, EndedGangIncomplete, NeverRan, Vanished, EndedCrashed:
	}
}

// recordRunTime records the run time of a completed task. Run times are compared with those of the same step on other
// workers, whose work is the same, because the estimates may be far off. A task that resumed from a checkpoint is
// not recorded, nor is one that started on a cold worker, whose speed changes.
func (planner *Planner) recordRunTime(step *step, worker *Worker, run *Run, now time.Time) {
	if worker.cold(run.OrderedAt) {
		return
	}
	if planner.learned != nil {
		planner.learnRunTime(step, worker, run, now)
		return
	}
	if step.EstimateMS <= 0 || step.Standing || step.tasks[run.Key.Index].Checkpoint != "" {
		return
	}
	seconds := max(now.Sub(run.OrderedAt).Seconds(), minRunSeconds)
	stats := planner.ensureQueueStats(step.job.Queue)
	stats.ratio += ratioWeight * (max(seconds*1000/float64(step.EstimateMS), minRatio) - stats.ratio)
	step.runTimes = append(step.runTimes, runTime{worker: worker.ID, seconds: seconds})
}

// updateSlowness updates the slowness of the workers that ran the tasks of a completed step: on workers of the same
// speed the tasks would have taken the same time.
func (planner *Planner) updateSlowness(step *step) {
	if len(step.runTimes) < minCompared {
		return
	}
	if planner.learned != nil {
		planner.learnSlowness(step)
		return
	}
	reference := 0.0
	for _, runTime := range step.runTimes {
		reference += runTime.seconds / planner.ensureWorker(runTime.worker).slowness()
	}
	reference /= float64(len(step.runTimes))
	for _, runTime := range step.runTimes {
		worker := planner.ensureWorker(runTime.worker)
		previous := worker.slowness()
		worker.health.slowness = previous + slownessWeight*(min(runTime.seconds/reference, maxSlowness)-previous)
	}
	step.runTimes = nil
}

const (
	maxSlowness   = 10   // maximum slowness that a single run may indicate
	minRunSeconds = 0.01 // minimum run time that is recorded; shorter ones are no measure of speed

	minCompared = 2 // minimum number of tasks to compare
)

// slowness returns a worker's run times as a multiple of the average of other workers, 1 if unknown.
func (worker *Worker) slowness() float64 {
	if worker.health.slowness == 0 {
		return 1
	}
	return worker.health.slowness
}

// expectedRunTime returns the run time of a task of the step on a worker of average speed: its estimate, corrected by
// the queue's statistics, or the median with Settings.LearnRunTimes.
func (planner *Planner) expectedRunTime(step *Step, queue string) time.Duration {
	if planner.learned != nil {
		return planner.runTimeQuantile(step, queue, step.facts.team, medianQuantile)
	}
	return time.Duration(float64(step.EstimateMS) * planner.ensureQueueStats(queue).ratio * float64(time.Millisecond))
}
