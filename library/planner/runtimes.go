package planner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"ebonyshunt.org/library/estimator"
)

// The quantiles of run times that the planner uses.
const (
	medianQuantile = 0.5 // for the objective of a job, and so the order of jobs
	highQuantile   = 0.9 // for whether a run ends by a given time
)

const (
	// expectationAge is how long an expectation of a step is used before it is computed again. Plan asks for the
	// expectations of all waiting steps many times a second.
	expectationAge = 500 * time.Millisecond
	// minObservedRunning is the minimum time of a run in progress that is observed.
	minObservedRunning = 250 * time.Millisecond
	// maxEstimateMS is the longest estimate that can be expressed as a time.Duration, in milliseconds.
	maxEstimateMS = math.MaxInt64 / int64(time.Millisecond)
)

const (
	// estimatesKey is the key of the journal record of the learned run times.
	estimatesKey = "estimates"
	// estimatesInterval is the minimum time between two such records. It bounds what they add to the journal to 13 KB a
	// second.
	estimatesInterval = 5 * time.Second
	// estimatesDelay is how much longer the record waits for a batch without starts. It takes 52 ms on a link of 10 Mbit/s,
	// and starts are sent only once their batch is stored.
	estimatesDelay = 5 * time.Second
)

// learnedRunTimes is what the planner learned from runs with Settings.LearnRunTimes.
type learnedRunTimes struct {
	estimator    *estimator.Estimator
	calibrations map[string]*Calibration // by queue
	storedAt     time.Time               // when a batch last got the record of estimatesKey, at first when the planner began
}

// newLearnedRunTimes returns nil unless the settings switch learning on.
func newLearnedRunTimes(settings Settings, now time.Time) *learnedRunTimes {
	if !settings.LearnRunTimes {
		return nil
	}
	return &learnedRunTimes{estimator: estimator.New(), calibrations: map[string]*Calibration{}, storedAt: now}
}

// Calibration is how often the expectations for the runs of a queue held. Only runs are counted that were done, had an
// expectation, and whose whole run time is known.
type Calibration struct {
	Queue        string
	Runs         int
	WithinMedian int // runs that took no longer than the 0.5 quantile
	WithinHigh   int // runs that took no longer than the 0.9 quantile
}

// stepFacts is what the planner adds to a step of a job to learn its run time.
type stepFacts struct {
	number int // index of the step in its job
	team   string
	// median and high are the expected run times as of expectedAt, zero before the first.
	median     time.Duration
	high       time.Duration
	expectedAt time.Time
}

// runLearning is what the planner notes about a run to learn from it.
type runLearning struct {
	median       time.Duration // expected run time on its worker as of when it was placed, 0 if not known
	high         time.Duration // the same for the high quantile
	observedTime time.Duration // its time when it was last observed in progress
	resumed      bool          // whether its order carried a checkpoint
	restored     bool          // whether an earlier planner started it, so that its start is not known
}

// initFacts stores the index and the team in each step of a job that is added to the table, for the estimator. The slice of
// steps is copied first, since callers may share it. It does nothing on a nil receiver.
func (learnedRunTimes *learnedRunTimes) initFacts(job *Job) {
	if learnedRunTimes == nil {
		return
	}
	job.Steps = slices.Clone(job.Steps)
	for number := range job.Steps {
		job.Steps[number].facts = stepFacts{number: number, team: job.Team}
	}
}

// factsOf returns the facts about a step for the estimator. A step that is not in the table of jobs counts as the first
// one of its job.
func factsOf(step *Step, queue, team string) estimator.Facts {
	facts := estimator.Facts{Queue: queue, Team: team, Step: step.facts.number, Tasks: step.Count}
	if step.EstimateMS <= maxEstimateMS {
		facts.Estimate = time.Duration(step.EstimateMS) * time.Millisecond
	}
	return facts
}

// runTimeQuantile returns a quantile, from 0 to 1, of the run time of a task of the step on a worker of average speed, 0 if
// nothing is known. The 0.5 and 0.9 quantiles may be up to expectationAge old. Without Settings.LearnRunTimes it returns the
// expected run time for every quantile.
func (planner *Planner) runTimeQuantile(step *Step, queue, team string, quantile float64) time.Duration {
	if planner.learned == nil {
		return planner.expectedRunTime(step, queue)
	}
	if team != step.facts.team || quantile != medianQuantile && quantile != highQuantile {
		return planner.learned.estimator.Expect(factsOf(step, queue, team), quantile).Duration
	}
	cached := &step.facts
	if cached.expectedAt.IsZero() || planner.now.Sub(cached.expectedAt) >= expectationAge {
		facts := factsOf(step, queue, team)
		cached.median = planner.learned.estimator.Expect(facts, medianQuantile).Duration
		cached.high = planner.learned.estimator.Expect(facts, highQuantile).Duration
		cached.expectedAt = planner.now
	}
	if quantile == highQuantile {
		return cached.high
	}
	return cached.median
}

// highRunTime returns the time within which a run is expected to end on its worker: the high quantile at the worker's
// speed, or the expected run time without Settings.LearnRunTimes.
func (planner *Planner) highRunTime(step *step, run *Run) time.Duration {
	if planner.learned == nil {
		return planner.expectedRunTime(step.Step, step.job.Queue)
	}
	expected := planner.runTimeQuantile(step.Step, step.job.Queue, step.job.Team, highQuantile)
	return scaled(expected, planner.ensureWorker(run.Worker).slowness())
}

// endsWithin reports whether a run is expected to end in timeLeft. A learned expectation that has passed already says
// nothing about the end.
func (planner *Planner) endsWithin(step *step, run *Run, timeLeft time.Duration, now time.Time) bool {
	remaining := run.OrderedAt.Add(planner.highRunTime(step, run)).Sub(now)
	if planner.learned != nil && remaining < 0 {
		return false
	}
	return remaining <= timeLeft
}

// expectRun notes how long a run is expected to take on a worker.
func (planner *Planner) expectRun(step *step, worker *Worker) runLearning {
	if planner.learned == nil || step.Standing {
		return runLearning{}
	}
	return runLearning{
		median: scaled(planner.runTimeQuantile(step.Step, step.job.Queue, step.job.Team, medianQuantile), worker.slowness()),
		high:   scaled(planner.runTimeQuantile(step.Step, step.job.Queue, step.job.Team, highQuantile), worker.slowness()),
	}
}

// expectJob returns the expected run time of a job's longest chain of steps, and the smallest number of earlier runs behind
// the expectation of a step. Both are 0 without Settings.LearnRunTimes.
func (planner *Planner) expectJob(entry *jobEntry) (time.Duration, int) {
	if planner.learned == nil || len(entry.Steps) == 0 {
		return 0, 0
	}
	fewest := math.MaxInt
	for number := range entry.Steps {
		step := &entry.Steps[number]
		fewest = min(fewest, planner.learned.estimator.Expect(factsOf(step, entry.Queue, entry.Team), medianQuantile).Runs)
	}
	return planner.longestChain(entry), fewest
}

// scaled returns a multiple of a duration.
func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// learnRunTime records the run time of a completed task. Runs that resumed from a checkpoint, and runs that an earlier
// planner started, tell nothing, since only a part of their time is known.
func (planner *Planner) learnRunTime(step *step, worker *Worker, run *Run, now time.Time) {
	if step.Standing || run.learning.resumed || run.learning.restored {
		return
	}
	seconds := max(now.Sub(run.OrderedAt).Seconds(), minRunSeconds)
	took := time.Duration(seconds * float64(time.Second))
	planner.learned.calibrate(step.job.Queue, run, took)
	planner.learned.estimator.Observe(factsOf(step.Step, step.job.Queue, step.job.Team), scaled(took, 1/worker.slowness()))
	step.runTimes = append(step.runTimes, runTime{worker: worker.ID, seconds: seconds})
}

// maxLearnedSlowness is the maximum slowness that a single run may indicate: a task that takes 7 times as long as the others of
// its step tells more about the task than about the worker.
const maxLearnedSlowness = 3

// learnSlowness updates the slowness of the workers that ran the tasks of a completed step. The first runs on a worker count
// more than later ones, so that a slow one is known after some tasks. The reference is the median, which a single long task
// does not move.
func (planner *Planner) learnSlowness(step *step) {
	references := make([]float64, len(step.runTimes))
	for index, runTime := range step.runTimes {
		references[index] = runTime.seconds / planner.ensureWorker(runTime.worker).slowness()
	}
	slices.Sort(references)
	middle := len(references) / 2
	reference := (references[middle] + references[len(references)-1-middle]) / 2
	for _, runTime := range step.runTimes {
		worker := planner.ensureWorker(runTime.worker)
		worker.health.speedRuns++
		// The prior slowness of 1 counts as one run.
		weight := max(1/float64(worker.health.speedRuns+1), slownessWeight)
		previous := worker.slowness()
		worker.health.slowness = previous + weight*(min(runTime.seconds/reference, maxLearnedSlowness)-previous)
	}
	step.runTimes = nil
}

// observeRunning records that a run is still in progress, once it has taken as long as expected and each time that its
// time has doubled since.
func (planner *Planner) observeRunning(worker *Worker, run *Run, now time.Time) {
	if planner.learned == nil || !run.Confirmed || run.Stopping {
		return
	}
	elapsed := now.Sub(run.OrderedAt)
	if elapsed < max(2*run.learning.observedTime, run.learning.median, minObservedRunning) {
		return
	}
	run.learning.observedTime = elapsed
	step := planner.steps[run.Key.step()]
	if step == nil || step.Standing {
		return
	}
	planner.learned.estimator.ObserveRunning(factsOf(step.Step, step.job.Queue, step.job.Team), scaled(elapsed, 1/worker.slowness()))
}

// appendEstimates adds the record of the learned run times to a batch that has other records, if they changed and the
// last record is old enough.
func (planner *Planner) appendEstimates(batch *Batch) error {
	learned := planner.learned
	if learned == nil || len(batch.Records) == 0 || !learned.estimator.Changed() {
		return nil
	}
	interval := estimatesInterval
	if len(batch.Starts) > 0 {
		interval += estimatesDelay
	}
	if planner.now.Sub(learned.storedAt) < interval {
		return nil
	}
	data, err := learned.estimator.Snapshot()
	if err != nil {
		return fmt.Errorf("encode learned run times: %w", err)
	}
	learned.storedAt = planner.now
	batch.Records = append(batch.Records, Record{Key: estimatesKey, Value: data})
	return nil
}

// restoreEstimates restores the learned run times, and returns the key of their record if it does not decode. Without
// Settings.LearnRunTimes the record is ignored.
func (planner *Planner) restoreEstimates(records []Record) []string {
	if planner.learned == nil {
		return nil
	}
	for _, record := range records {
		if record.Key != estimatesKey {
			continue
		}
		if err := planner.learned.estimator.Restore(record.Value); err != nil {
			return []string{record.Key}
		}
	}
	return nil
}

// calibrate counts whether a run took as long as expected.
func (learnedRunTimes *learnedRunTimes) calibrate(queue string, run *Run, took time.Duration) {
	if run.learning.median == 0 {
		return
	}
	calibration := learnedRunTimes.calibrations[queue]
	if calibration == nil {
		calibration = &Calibration{Queue: queue}
		learnedRunTimes.calibrations[queue] = calibration
	}
	calibration.Runs++
	if took <= run.learning.median {
		calibration.WithinMedian++
	}
	if took <= run.learning.high {
		calibration.WithinHigh++
	}
}

// takeCalibrations returns the counts since the last call, sorted by queue.
func (learnedRunTimes *learnedRunTimes) takeCalibrations() []Calibration {
	if learnedRunTimes == nil || len(learnedRunTimes.calibrations) == 0 {
		return nil
	}
	var calibrations []Calibration
	for _, queue := range slices.Sorted(maps.Keys(learnedRunTimes.calibrations)) {
		calibrations = append(calibrations, *learnedRunTimes.calibrations[queue])
	}
	clear(learnedRunTimes.calibrations)
	return calibrations
}
