package planner

import "time"

// health is what a worker's outcomes tell of it.
type health struct {
	failedJobs map[string]bool // that failed here since the last success
	barred     time.Time       // until when it gets no new runs
	bar        time.Duration   // length of the last bar
	slow       float64         // run time as a multiple of what others take, 0 while unknown
}

const (
	failuresToBar = 3 // distinct jobs that failed in a row
	firstBar      = 2 * time.Second
	longestBar    = 16 * time.Second
	refusalBar    = 200 * time.Millisecond
	slowWeight    = 0.25 // of the latest run in a worker's average
	ratioWeight   = 0.1  // of the latest run in a queue's average
	leastRatio    = 0.02
)

func (health *health) usable(now time.Time) bool { return !now.Before(health.barred) }

// fail counts a failure, and bars the worker once several jobs in a row failed on it.
func (health *health) fail(job string, now time.Time) {
	if health.failedJobs == nil {
		health.failedJobs = map[string]bool{}
	}
	health.failedJobs[job] = true
	if len(health.failedJobs) < failuresToBar {
		return
	}
	health.bar = min(max(2*health.bar, firstBar), longestBar)
	health.barred = now.Add(health.bar)
	clear(health.failedJobs)
	health.failedJobs[job] = true
}

func (health *health) refuse(now time.Time) {
	if until := now.Add(refusalBar); until.After(health.barred) {
		health.barred = until
	}
}

func (health *health) succeed() {
	clear(health.failedJobs)
	health.bar = 0
}

// learned is how long the tasks of a queue take, as a multiple of their estimates.
type learned struct{ ratio float64 }

func (planner *Planner) learned(queue string) *learned {
	found := planner.queues[queue]
	if found == nil {
		found = &learned{ratio: 1}
		planner.queues[queue] = found
	}
	return found
}

// learn takes what an end tells of the worker and of the queue.
func (planner *Planner) learn(step *step, run *Run, ending Ending, now time.Time) {
	worker := planner.worker(run.Worker)
	switch ending {
	case EndedDone:
		worker.health.succeed()
		planner.learnSpeed(step, worker, run, now)
	case EndedFailed:
		planner.Counters.Failures++
		if !step.Standing {
			worker.health.fail(run.Key.Job, now)
		}
	case EndedStopped, EndedLapsed, EndedBroken, EndedAlone, NeverRan, Vanished:
	}
}

func (planner *Planner) learnSpeed(step *step, worker *Worker, run *Run, now time.Time) {
	if step.EstimateMS <= 0 || step.Standing || step.tasks[run.Key.Index].checkpoint != "" {
		return
	}
	ratio := max(float64(now.Sub(run.Began).Milliseconds())/float64(step.EstimateMS), leastRatio)
	queue := planner.learned(step.job.Queue)
	relative := ratio / queue.ratio
	queue.ratio += ratioWeight * (ratio - queue.ratio)
	if worker.health.slow == 0 {
		worker.health.slow = 1
	}
	worker.health.slow += slowWeight * (min(relative, mostSlow) - worker.health.slow)
}

// mostSlow bounds what one run tells of a worker.
const mostSlow = 10

// slowness returns how long work takes on a worker as a multiple of what others take.
func (worker *Worker) slowness() float64 {
	if worker.health.slow == 0 {
		return 1
	}
	return worker.health.slow
}

// expected returns how long a task of the step should take on a worker of middling speed.
func (planner *Planner) expected(step *Step, queue string) time.Duration {
	return time.Duration(float64(step.EstimateMS) * planner.learned(queue).ratio * float64(time.Millisecond))
}
