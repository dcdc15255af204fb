// Package forecaster forecasts when a job would complete behind the work that is ahead of it, and whether to accept it. It has
// no state, I/O or clock.
package forecaster

import (
	"time"

	"ebonyshunt.org/library/sizer"
)

// Backlog is the work ahead of a candidate in its pool. Waiting work is ahead if it has a higher rank: first by tier and
// priority, then by deadline.
type Backlog struct {
	Capacity sizer.Size // of the pool's workers, without what standing tasks hold
	// Free is the free capacity of each worker after the latest placement.
	Free     []sizer.Size
	Observed time.Duration // for how long the pool has been observed
	// Rate is the expected work that the pool completes per second while work waits, as a multiple of Capacity. 0 stands for 1.
	Rate float64
	// Inflow is the work per second that arrives at a higher tier or priority than the candidate's, as a share of Capacity.
	Inflow float64
	// Pressed reports whether a job of the candidate's tier and priority was refused, or ended after LimitFactor times its
	// objective, in the last PressureTime.
	Pressed bool
	// Offered is the work per second that callers submit at the candidate's tier and priority or higher, also if it is
	// refused, as a share of Capacity.
	Offered float64
	Running Work          // what is left of the runs
	RunTime time.Duration // mean run time of the runs
	Above   Work          // waiting work of higher tiers and priorities
	Peers   Work          // waiting work of the candidate's tier and priority that is ahead of it, of all teams
	Own     Work          // part of Peers that belongs to the candidate's team
	Share   float64       // part of the pool that the candidate's team is entitled to, from 0 to 1, 0 for none
	Cap     sizer.Size    // maximum size of the team's runs, 0 for a resource without limit
	// What counts against Cap, in all pools: the size of the team's runs, what is left of them, their mean run time, and the
	// team's waiting work ahead of the candidate.
	TeamUsed    sizer.Size
	TeamRunning Work
	TeamRunTime time.Duration
	TeamAhead   Work
	// Promised is how long from now the pool needs for the jobs that it refused before and whose callers were told when to
	// return, 0 for none.
	Promised time.Duration
}

// Candidate is a job to accept or to refuse.
type Candidate struct {
	Ready     []Tasks         // tasks that depend on no others
	Needs     sizer.Size      // largest amount of each resource that a task needs
	Work      Work            // expected work of all tasks
	Chain     []time.Duration // expected run times of the steps of the longest chain, nil if any is unknown
	Objective time.Duration   // time within which the job has its full value
	Jitter    float64         // pseudorandom number from 0 to 1, exclusive
}

// Tasks is a number of tasks of one size.
type Tasks struct {
	Size  sizer.Size
	Count int
}

// Reason is why a job was accepted or refused.
type Reason string

// The reasons. PoolBusy and TeamCapped are refusals.
const (
	InTime     Reason = "inTime"     // it is expected to complete in time
	RoomFree   Reason = "roomFree"   // the tasks that are ready can start now
	Unobserved Reason = "unobserved" // the pool was observed for less than MinObserved, or run times are unknown
	PoolBusy   Reason = "poolBusy"   // the pool is busy for too long
	TeamCapped Reason = "teamCapped" // the work ahead keeps the team at its cap for too long
)

// Verdict is the outcome of a forecast.
type Verdict struct {
	Refused    bool
	Reason     Reason
	Start      time.Duration // time until the candidate is expected to start
	Completion time.Duration // time until the candidate is expected to complete
	Limit      time.Duration // a refused candidate's Completion is later than this
	RetryAfter time.Duration // when a refused caller may return
	// Promised replaces Backlog.Promised after a refusal.
	Promised time.Duration
}

const (
	// LimitFactor is the multiple of its objective from which on the completion of a job is of no use.
	LimitFactor = 3
	// MinObserved is for how long a pool is observed before a job is refused.
	MinObserved = 2 * time.Second
	// MinRetryAfter is the lower bound of Verdict.RetryAfter.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the upper bound of Verdict.RetryAfter.
	MaxRetryAfter = 30 * time.Second

	// PressureTime is for how long a pool counts as pressed after a refusal or a late job: until the last refused caller is back.
	PressureTime = MaxRetryAfter

	// clearMargin is the factor by which a forecast has to exceed the limit. Forecasts are not exact, and a wrong refusal costs
	// a caller more than a job that is a little late.
	clearMargin = 1.1
	// pressedMargin replaces clearMargin in a pressed pool, and in one whose backlog does not shrink. In a lasting overload
	// the backlog grows until the forecasts reach the threshold, so with a margin above 1 every accepted job would end too late.
	pressedMargin = 0.85
	// pressedLoad is the offered load from which on the backlog counts as one that does not shrink, as a share of the rate.
	pressedLoad = 0.9
	// minResidual is the least part of the rate that is assumed to be left to a priority by the higher ones.
	minResidual = 0.1
	// jitterShare is the window over which returning callers are spread, as a share of the forecast wait.
	jitterShare = 0.5
)

// Forecast returns when a candidate is expected to complete, and whether to refuse it. A refusal says that the candidate would
// complete clearly too late to be of use, and has no room now.
func Forecast(backlog Backlog, candidate Candidate) Verdict {
	wait, capWait := backlog.wait(candidate), backlog.capWait(candidate)
	verdict := Verdict{Reason: InTime, Limit: backlog.threshold(candidate.Objective), Start: max(wait, capWait), Promised: backlog.Promised}
	verdict.Completion = verdict.Start + backlog.duration(candidate)
	switch {
	case backlog.Observed < MinObserved || len(candidate.Chain) == 0:
		verdict.Reason = Unobserved
		return verdict
	case verdict.Completion <= verdict.Limit:
		return verdict
	case capWait == 0 && Fits(backlog.Free, candidate.Ready):
		verdict.Reason = RoomFree
		return verdict
	}
	verdict.Refused, verdict.Reason = true, PoolBusy
	if capWait > wait {
		verdict.Reason = TeamCapped
	}
	backlog.setRetryAfter(&verdict, candidate)
	return verdict
}

// rate returns Rate, or 1 if it is not known.
func (backlog *Backlog) rate() float64 {
	if backlog.Rate <= 0 {
		return 1
	}
	return backlog.Rate
}

// wait returns how long the pool is busy with the work ahead. Work of higher priorities also arrives meanwhile. Among the
// peers, the team gets its share at least, whatever the others submit. Runs that end one after another make room from now on;
// only as far as they began together, the next ones wait for them.
func (backlog *Backlog) wait(candidate Candidate) time.Duration {
	capacity := neededOf(backlog.Capacity, candidate.Needs)
	rate := backlog.rate()
	residual := max(rate-backlog.Inflow, minResidual*rate)
	peers := backlog.Peers.Seconds(capacity)
	if backlog.Share > 0 {
		peers = min(peers, backlog.Own.Seconds(capacity)/backlog.Share)
	}
	running := max(0, backlog.Running.Seconds(capacity)/rate-backlog.RunTime.Seconds()/2)
	return toDuration(running + (backlog.Above.Seconds(capacity)+peers)/residual)
}

// capWait returns how long the team's work ahead keeps it at its cap, 0 if the tasks that are ready fit below the cap.
func (backlog *Backlog) capWait(candidate Candidate) time.Duration {
	used := backlog.TeamUsed
	for _, tasks := range candidate.Ready {
		used = used.Add(tasks.Size.Mul(int64(tasks.Count)))
	}
	if backlog.TeamAhead == (Work{}) && withinCap(used, backlog.Cap) {
		return 0
	}
	limit := neededOf(backlog.Cap, candidate.Needs)
	running := max(0, backlog.TeamRunning.Seconds(limit)-backlog.TeamRunTime.Seconds()/2)
	return toDuration(running + backlog.TeamAhead.Seconds(limit))
}

// withinCap reports whether a size stays within a cap, where 0 stands for a resource without a cap.
func withinCap(size, limit sizer.Size) bool {
	return (limit.MilliCores == 0 || size.MilliCores <= limit.MilliCores) && (limit.MemoryMB == 0 || size.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || size.Accelerators <= limit.Accelerators)
}

// duration returns how long the candidate runs once it has started: its longest chain, or longer if the pool or the cap of its
// team is small for it.
func (backlog *Backlog) duration(candidate Candidate) time.Duration {
	busy := max(candidate.Work.Seconds(backlog.Capacity)/backlog.rate(), candidate.Work.Seconds(backlog.Cap))
	return max(sum(candidate.Chain), toDuration(busy))
}

// threshold returns the time to completion from which on a job with an objective is refused.
func (backlog *Backlog) threshold(objective time.Duration) time.Duration {
	margin := clearMargin
	if backlog.Pressed || backlog.Offered > pressedLoad*backlog.rate() {
		margin = pressedMargin
	}
	return time.Duration(margin * LimitFactor * float64(objective))
}

// Fits reports whether all of some tasks fit into the free capacity of workers. Tasks of different sizes are counted one by one.
func Fits(free []sizer.Size, ready []Tasks) bool {
	for _, tasks := range ready {
		left := int64(tasks.Count)
		for _, size := range free {
			if left -= fitting(tasks.Size, size); left <= 0 {
				break
			}
		}
		if left > 0 {
			return false
		}
	}
	return len(ready) > 0
}

// Reserve takes the room of tasks from the free capacity of workers, as far as there is room.
func Reserve(free []sizer.Size, ready []Tasks) {
	for _, tasks := range ready {
		left := int64(tasks.Count)
		for index := range free {
			if count := min(left, fitting(tasks.Size, free[index])); count > 0 {
				free[index] = free[index].Sub(tasks.Size.Mul(count))
				left -= count
			}
			if left == 0 {
				break
			}
		}
	}
}

// fitting returns how many tasks of a size fit into a free capacity.
func fitting(size, free sizer.Size) int64 {
	if !size.Fits(free) {
		return 0
	}
	count := int64(maxFitting)
	for _, resource := range [...][2]int64{{size.MilliCores, free.MilliCores}, {size.MemoryMB, free.MemoryMB}, {size.Accelerators, free.Accelerators}} {
		if resource[0] > 0 {
			count = min(count, resource[1]/resource[0])
		}
	}
	return count
}

// maxFitting is the number of tasks without a size that fit on a worker.
const maxFitting = 1 << 20

// setRetryAfter sets RetryAfter and Promised of a refusal: the caller may return once the backlog has fallen to the limit and
// the callers refused before it have been served. Jitter spreads callers over a further window.
func (backlog *Backlog) setRetryAfter(verdict *Verdict, candidate Candidate) {
	slot := max(verdict.Completion-verdict.Limit, backlog.Promised)
	verdict.Promised = min(slot+toDuration(candidate.Work.Seconds(backlog.Capacity)/backlog.rate()), MaxRetryAfter)
	window := min(max(toDuration(jitterShare*(verdict.Start+slot).Seconds()), MinRetryAfter), MaxRetryAfter/2)
	slot = min(max(slot, MinRetryAfter), MaxRetryAfter-window)
	verdict.RetryAfter = slot + time.Duration(candidate.Jitter*float64(window))
}

// maxForecast is the longest time that is forecast.
const maxForecast = 30 * 24 * time.Hour

// toDuration returns a number of seconds as a duration of at most maxForecast.
func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxForecast.Seconds()) * float64(time.Second))
}

func sum(durations []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, duration := range durations {
		total += duration
	}
	return total
}
