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
	slowWeight    = 0.2 // of the latest run in a worker's average
	ratioWeight   = 0.1 // of the latest run in a queue's average
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
		if !step.Standing {
			worker.health.fail(run.Key.Job, now)
		}
	case EndedStopped, EndedLapsed, EndedBroken, EndedAlone, NeverRan, Vanished:
	}
}

// learnSpeed compares a run with those of the same step on other workers, whose work is alike, while the
// declared run times may be far off.
func (planner *Planner) learnSpeed(step *step, worker *Worker, run *Run, now time.Time) {
	if step.EstimateMS <= 0 || step.Standing || step.tasks[run.Key.Index].checkpoint != "" {
		return
	}
	seconds := max(now.Sub(run.Began).Seconds(), leastSeconds)
	queue := planner.learned(step.job.Queue)
	queue.ratio += ratioWeight * (max(seconds*1000/float64(step.EstimateMS), leastRatio) - queue.ratio)
	step.took = append(step.took, took{worker: worker.ID, seconds: seconds})
}

// compareSpeeds learns from all tasks of a step that is completed: on workers of like speed they would
// have taken like times.
func (planner *Planner) compareSpeeds(step *step) {
	if len(step.took) < leastCompared {
		return
	}
	base := 0.0
	for _, took := range step.took {
		base += took.seconds / planner.worker(took.worker).slowness()
	}
	base /= float64(len(step.took))
	for _, took := range step.took {
		worker := planner.worker(took.worker)
		slow := worker.slowness()
		worker.health.slow = slow + slowWeight*(min(took.seconds/base, mostSlow)-slow)
	}
	step.took = nil
}

const (
	mostSlow     = 10   // bounds what one run tells of a worker
	leastSeconds = 0.01 // shorter runs tell nothing of speed

	leastCompared = 2 // tasks that a comparison needs
)

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
