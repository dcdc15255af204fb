package planner

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"ebonyshunt.org/library/forecaster"
	"ebonyshunt.org/library/sizer"
)

const (
	// maxBacklogAge is the age of the backlog from which on no job is refused: no plan was made meanwhile.
	maxBacklogAge = time.Second
	// maxMeanMultiple is the multiple of a queue's mean run time above which an estimate is not believed.
	maxMeanMultiple = 10
)

// Refusal describes why a job is refused.
type Refusal struct {
	Cause      RefusalCause
	RetryAfter time.Duration
	// Verdict and Backlog are the forecast and its inputs, as of BacklogAge ago. They are zero for a job that cannot be served.
	Verdict    forecaster.Verdict
	Backlog    forecaster.Backlog
	BacklogAge time.Duration
}

// RefusalCause is why a job is refused, as a label of metrics.
type RefusalCause string

// The causes of refusals.
const (
	RefusedPoolBusy   = RefusalCause(forecaster.PoolBusy)
	RefusedTeamCapped = RefusalCause(forecaster.TeamCapped)
	RefusedTooLarge   = RefusalCause("tooLarge") // no worker with the label was listed that can hold a task
	RefusedLabel      = RefusalCause("label")    // no worker with the label was listed
	RefusedAboveCap   = RefusalCause("aboveCap") // a task, or a gang, is larger than the cap of its team
)

// Admit returns why a new job is refused, and false if it is accepted. Standing and scheduled jobs are always accepted.
func (planner *Planner) Admit(job *Job, now time.Time) (Refusal, bool) {
	queue, found := planner.catalog.Queue(job.Queue)
	if !planner.Settings.ForecastAdmission || !found || !job.finite() {
		return Refusal{}, false
	}
	if cause := planner.unservable(job, queue, now); cause != "" {
		return Refusal{Cause: cause, RetryAfter: forecaster.MaxRetryAfter}, true
	}
	pool := planner.admission.pools[queue.Service]
	age := now.Sub(planner.admission.builtAt)
	if pool == nil || pool.capacity.Zero() || age > maxBacklogAge {
		return Refusal{}, false
	}
	candidate := planner.candidate(job, queue, now)
	rank := planner.submissionRank(job, queue, planner.aboveRate(job.Team, now), now)
	current := pool.level(rank.level())
	current.offered += candidate.Work.Seconds(pool.capacity) / offeredSeconds
	backlog := planner.backlog(job, queue.Service, rank, now)
	verdict := forecaster.Forecast(backlog, candidate)
	if verdict.Refused && pool.capped {
		planner.boundByCaps(&backlog, queue.Service, rank, forecaster.LimitFactor*candidate.Objective)
		verdict = forecaster.Forecast(backlog, candidate)
	}
	if verdict.Refused && backlog.Above == (forecaster.Work{}) && backlog.Peers == (forecaster.Work{}) {
		backlog.Free = planner.freeNow(queue.Service, now) // runs may have ended since the rebuild, and nobody waits for their room
		verdict = forecaster.Forecast(backlog, candidate)
	}
	if !verdict.Refused {
		return Refusal{}, false
	}
	current.pressedAt, current.promisedUntil = now, now.Add(verdict.Promised)
	return Refusal{Cause: RefusalCause(verdict.Reason), RetryAfter: verdict.RetryAfter, Verdict: verdict, Backlog: backlog, BacklogAge: age}, true
}

// freeNow returns the free capacity of each worker of a service that accepts runs.
func (planner *Planner) freeNow(service string, now time.Time) []sizer.Size {
	var free []sizer.Size
	for _, worker := range planner.workerList {
		if worker.Service == service && planner.takesRuns(worker, now) {
			free = append(free, worker.Free().Max(sizer.Size{}))
		}
	}
	return free
}

// takesRuns reports whether a worker takes new runs.
func (planner *Planner) takesRuns(worker *Worker, now time.Time) bool {
	return worker.Listed && !worker.Draining && !planner.drainedZones[worker.Zone] && planner.acceptsRuns(worker, now)
}

// finite reports whether a job runs once and ends by itself.
func (job *Job) finite() bool {
	return job.Runs == 0 && !slices.ContainsFunc(job.Steps, func(step Step) bool { return step.Standing })
}

// submissionRank returns the rank that a job gets when it is accepted now.
func (planner *Planner) submissionRank(job *Job, queue Queue, excess bool, now time.Time) rank {
	rank := rank{priority: queue.Priority, deadline: now.Add(planner.objective(&jobEntry{Job: *job}, queue))}
	if excess {
		rank.tier = tierExcess
	}
	return rank
}

// aboveRate reports whether one more job of a team would be above its rate. It takes no token.
func (planner *Planner) aboveRate(name string, now time.Time) bool {
	team, found := planner.catalog.Teams[name]
	usage := planner.teams[name]
	if !found || team.Weight <= 0 || usage == nil || usage.refilledAt.IsZero() {
		return false
	}
	return usage.tokens+team.Weight*now.Sub(usage.refilledAt).Seconds() < 1
}

// candidate returns a job as the input of a forecast. The run time of a step is the larger one of its own expectation and the
// queue's mean, since an estimate that is too low would make the objective of the job too short.
func (planner *Planner) candidate(job *Job, queue Queue, now time.Time) forecaster.Candidate {
	candidate := forecaster.Candidate{Jitter: jitter(job.ID, now.Sub(planner.startedAt))}
	mean, known := planner.meanOf(job.Queue), true
	runTimes := make([]time.Duration, len(job.Steps))
	for number := range job.Steps {
		step := &job.Steps[number]
		runTimes[number] = max(planner.expectedRunTime(step, job.Queue), mean)
		known = known && runTimes[number] > 0
		if len(step.DependsOn) == 0 {
			candidate.Ready = append(candidate.Ready, forecaster.Tasks{Size: step.chargedSize(), Count: step.Count})
		}
		candidate.Needs = candidate.Needs.Max(step.chargedSize())
		candidate.Work = candidate.Work.Add(forecaster.Of(step.chargedSize(), step.Count, max(planner.backlogRunTime(step, job.Queue), mean)))
	}
	chain, length := job.longestChain(runTimes)
	if known {
		candidate.Chain = chain
	}
	candidate.Objective = time.Duration(max(queue.Stretch, 1)*float64(length)) + queue.TargetLatency
	return candidate
}

// longestChain returns the run times of the longest chain of dependent steps, last step first, and their sum.
func (job *Job) longestChain(runTimes []time.Duration) ([]time.Duration, time.Duration) {
	ends, previous, last := make([]time.Duration, len(runTimes)), make([]int, len(runTimes)), 0
	for number := range runTimes {
		previous[number] = -1
		for _, earlier := range job.Steps[number].DependsOn {
			if ends[earlier] > ends[number] {
				ends[number], previous[number] = ends[earlier], earlier
			}
		}
		ends[number] += runTimes[number]
		if ends[number] > ends[last] {
			last = number
		}
	}
	var chain []time.Duration
	for number := last; number >= 0; number = previous[number] {
		chain = append(chain, runTimes[number])
	}
	return chain, ends[last]
}

// backlogRunTime returns the expected run time of a task: the queue's mean if the step has no valid estimate, and at most
// maxMeanMultiple times the mean.
func (planner *Planner) backlogRunTime(step *Step, queue string) time.Duration {
	expected, mean := planner.expectedRunTime(step, queue), planner.meanOf(queue)
	switch {
	case expected <= 0:
		return mean
	case mean > 0:
		return min(expected, maxMeanMultiple*mean)
	}
	return expected
}

// meanOf returns the mean run time of the tasks of a queue, 0 if none has ended.
func (planner *Planner) meanOf(queue string) time.Duration {
	if mean := planner.admission.means[queue]; mean != nil {
		return time.Duration(mean.seconds * float64(time.Second))
	}
	return 0
}

// jitter returns a number from 0 to 1, exclusive, that differs from job to job and, since a refused job may return, from one
// age of the planner to another.
func jitter(id string, age time.Duration) float64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, age, id) // never fails
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}

// recordSubmission adds an accepted job to the backlog.
func (planner *Planner) recordSubmission(job *Job, now time.Time) {
	pool, queue := planner.poolOf(job.Queue)
	if pool == nil || !job.finite() {
		return
	}
	rank := planner.submissionRank(job, queue, job.Excess, now)
	candidate := planner.candidate(job, queue, now)
	planner.admission.recent = append(planner.admission.recent, backlogEntry{rank, queue.Service, job.Team, candidate.Work})
	pool.level(rank.level()).accepted += candidate.Work.Seconds(pool.capacity) / acceptedSeconds
	pool.team(job.Team) // boundByCaps looks for its recent work there
	pool.capped = pool.capped || !planner.catalog.Teams[job.Team].Cap.Zero()
	forecaster.Reserve(pool.free, candidate.Ready)
}

// recordJobEnd notes that a job ended too late to be of use.
func (planner *Planner) recordJobEnd(entry *jobEntry, now time.Time) {
	pool, queue := planner.poolOf(entry.Queue)
	if pool == nil || entry.state != Completed || !entry.finite() {
		return
	}
	if now.Sub(entry.acceptedAt) > forecaster.LimitFactor*planner.candidate(&entry.Job, queue, now).Objective {
		pool.level(planner.submissionRank(&entry.Job, queue, entry.Excess, now).level()).pressedAt = now
	}
}

// recordRunEnd updates the measured speed of a pool and the mean run time of a queue. Runs that an earlier planner ordered, and
// those that resumed from a checkpoint, say nothing about them.
func (planner *Planner) recordRunEnd(step *step, run *Run, ending Ending, now time.Time) {
	pool, _ := planner.poolOf(step.job.Queue)
	if pool == nil || step.Standing || run.Token == 0 || step.tasks[run.Key.Index].Checkpoint != "" {
		return
	}
	share, seconds := run.Size.DominantShare(pool.capacity), now.Sub(run.OrderedAt).Seconds()
	if ending != EndedDone {
		if run.Confirmed {
			pool.spent += share * seconds
		}
		return
	}
	mean := planner.admission.means[step.job.Queue]
	if mean == nil {
		mean = &meanRunTime{seconds: seconds}
		planner.admission.means[step.job.Queue] = mean
	}
	mean.seconds += ratioWeight * (seconds - mean.seconds)
	pool.expected += share * planner.backlogRunTime(step.Step, step.job.Queue).Seconds()
	pool.spent += share * seconds
}
