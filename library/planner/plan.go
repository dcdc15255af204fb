package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/sizer"
)

// Plan brings the tables up to the current time and places tasks: it creates the occurrences that are due, closes
// runs whose leases have expired, forgets old jobs, stops hung runs, saves and moves runs of draining workers and zones, and
// starts the waiting tasks.
func (planner *Planner) Plan(now time.Time) {
	planner.now = now
	for _, id := range slices.Sorted(maps.Keys(planner.scheduled)) {
		planner.createDueOccurrences(planner.scheduled[id], now)
	}
	planner.endFormerOrders(now)
	planner.closeExpiredRuns(now)
	planner.forgetEndedJobs(now)
	planner.checkRuns(now)
	planner.saveLeavingRuns(now)
	planner.passCount++
	pass := &pass{
		number: planner.passCount, planner: planner, now: now, reserved: map[string]bool{},
		queriedSize: map[string]sizer.Size{}, pools: map[string]*pool{}, starts: planner.startLimit,
	}
	pass.updateStandbys()
	pass.continueMoves()
	all := planner.rankedSteps(now)
	urgent := urgentSteps(all)
	if len(urgent) == 0 {
		pass.beginMoves(nil) // ahead of all other work, which would take the room as fast as it becomes free
	} else {
		pass.askForMoves()
	}
	pass.run(all)
	if len(urgent) > 0 {
		pass.beginMoves(urgent) // to room that is left
	}
	planner.rebuildBacklog(all, now)
}

// rank orders steps; lower comes first.
type rank struct {
	tier     int
	priority int
	deadline time.Time
}

// The tiers of a rank.
const (
	tierRegular = iota // within the team's rate, and not late
	tierOverdue        // within the team's rate, and likely to be completed after the objective, while starts are scarce
	tierExcess         // above the team's rate, and not late
	tierLate           // later than lateFactor times the objective
)

// Compare orders ranks: the first one goes first.
func (rank rank) Compare(other rank) int {
	byDeadline := rank.deadline.Compare(other.deadline)
	if rank.tier == tierOverdue {
		byDeadline = -byDeadline // the earliest ones are closest to being of no use, however fast others are served
	}
	return cmp.Or(cmp.Compare(rank.tier, other.tier), cmp.Compare(rank.priority, other.priority), byDeadline)
}

// lateFactor is the multiple of its objective after which the completion of a job is of no use to its caller.
const lateFactor = 3

func (planner *Planner) rankOf(step *step, now time.Time) rank {
	queue, _ := planner.catalog.Queue(step.job.Queue)
	objective := planner.objective(step.job, queue)
	rank := rank{priority: queue.Priority, deadline: step.occurrence.due.Add(objective)}
	switch {
	case step.Standing:
		rank.priority = min(rank.priority, 0)
	case now.Sub(step.occurrence.due) > lateFactor*objective:
		rank.tier = tierLate
	case step.job.Excess:
		rank.tier = tierExcess
	}
	if rank.tier != tierLate && planner.startsScarce(now) && step.overtakable() {
		rank.tier = max(rank.tier, planner.scarceTier(step, objective, now))
	}
	return rank
}

// scarceTier returns the tier of a step by when its job would be completed if the step began now. Jobs count as overdue once they have
// waited for half of the time that the objective leaves: whatever the order, under a lasting overload jobs wait until they leave the
// first tier, and those that are served then still have to be in time.
func (planner *Planner) scarceTier(step *step, objective time.Duration, now time.Time) int {
	remaining := planner.remainingChain(step)
	left := objective - now.Add(remaining).Sub(step.occurrence.due)
	switch {
	case left < -(lateFactor-1)*objective:
		return tierLate
	case left < (objective-remaining)/2:
		return tierOverdue
	}
	return tierRegular
}

// overtakable reports whether a step gives way, while starts are scarce, to others that can still be in time.
func (step *step) overtakable() bool { return !step.Standing && !step.occurrence.begun() }

// begun reports whether runs of an occurrence exist or have been completed. What was spent on it would be lost if others overtook it.
func (occurrence *occurrence) begun() bool {
	return slices.ContainsFunc(occurrence.steps, func(step *step) bool { return step.openCount > 0 || step.completedTasks > 0 })
}

// remainingChain returns the expected run time of the longest chain of dependent steps that begins with a step.
func (planner *Planner) remainingChain(step *step) time.Duration {
	entry := step.job
	rest := make([]time.Duration, len(entry.Steps)) // of the chain after each step
	for number := len(entry.Steps) - 1; number > step.key.Step; number-- {
		chain := rest[number] + planner.expectedRunTime(&entry.Steps[number], entry.Queue)
		for _, earlier := range entry.Steps[number].DependsOn {
			rest[earlier] = max(rest[earlier], chain)
		}
	}
	return rest[step.key.Step] + planner.expectedRunTime(step.Step, entry.Queue)
}

// objective returns the time within which a job should be completed: the expected run time of its longest chain of
// dependent steps times the queue's stretch, plus the queue's target latency.
func (planner *Planner) objective(entry *jobEntry, queue Queue) time.Duration {
	return time.Duration(max(queue.Stretch, 1)*float64(planner.longestChain(entry))) + queue.TargetLatency
}

// longestChain returns the expected run time of a job's longest chain of dependent steps.
func (planner *Planner) longestChain(entry *jobEntry) time.Duration {
	chain := make([]time.Duration, len(entry.Steps))
	longest := time.Duration(0)
	for number := range entry.Steps {
		step := &entry.Steps[number]
		for _, earlier := range step.DependsOn {
			chain[number] = max(chain[number], chain[earlier])
		}
		chain[number] += planner.expectedRunTime(step, entry.Queue)
		longest = max(longest, chain[number])
	}
	return longest
}

// ranked is a step with its rank.
type ranked struct {
	step *step
	rank rank
}

// keepOverdueGangs returns overdue gangs to the first tier if steps there have the same priority and are no gangs: single tasks would
// take each place as it comes free, and the gangs would never start.
func keepOverdueGangs(all []ranked) {
	singles := map[int]bool{} // by priority
	for _, ranked := range all {
		if ranked.rank.tier == tierRegular && !ranked.step.Gang {
			singles[ranked.rank.priority] = true
		}
	}
	for index := range all {
		if rank := &all[index].rank; rank.tier == tierOverdue && all[index].step.Gang && singles[rank.priority] {
			rank.tier = tierRegular
		}
	}
}

// rankedSteps returns the steps that have tasks to start, sorted by rank and key. A gang waits until no run of
// it is open.
func (planner *Planner) rankedSteps(now time.Time) []ranked {
	var all []ranked
	for _, step := range planner.steps {
		if len(step.waiting) > 0 && (!step.Gang || step.openCount == 0) {
			all = append(all, ranked{step, planner.rankOf(step, now)})
		}
	}
	keepOverdueGangs(all)
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.step.key.Job, b.step.key.Job),
			cmp.Compare(a.step.key.Occurrence, b.step.key.Occurrence), cmp.Compare(a.step.key.Step, b.step.key.Step))
	})
	return all
}

// A run hangs if it makes no progress for longer than both minHangTime and hangTimeFactor times its expected run
// time. It is then stopped, and its task starts again. After each such stop the task's next run gets twice that time, so
// that a task whose progress is not reported, or that is much longer than estimated, is done in the end.
const (
	minHangTime    = 2500 * time.Millisecond
	hangTimeFactor = 1.0
	// maxReadingAge is the age of a worker's last listing above which it says nothing about the progress of its runs: it is longer than
	// the time between two listings, and shorter than minHangTime.
	maxReadingAge = 2300 * time.Millisecond
	// maxHangTime is the time from which on it is not doubled any more.
	maxHangTime = 30 * 24 * time.Hour
)

// hangCheckInterval is the minimum time between two searches for hung runs.
const hangCheckInterval = 200 * time.Millisecond

// checkRuns tells the estimator which runs are still in progress, and stops those that hang, with a failure of their jobs
// counted against their workers.
func (planner *Planner) checkRuns(now time.Time) {
	if now.Sub(planner.hangsCheckedAt) < hangCheckInterval {
		return
	}
	planner.hangsCheckedAt = now
	for _, worker := range planner.workerList {
		if !worker.RunsKnown {
			continue
		}
		for _, run := range worker.sortedRuns() {
			planner.observeRunning(worker, run, now)
			planner.recordSound(worker, run)
			planner.recordSettled(worker, run)
			if planner.hangs(run, now) {
				planner.countHang(run)
				worker.health.RecordFailure(run.Key.Job, now)
				planner.stopRun(run, now)
			}
		}
	}
}

// hangs reports whether a run has made no progress for too long. Runs of standing steps and gangs never hang.
func (planner *Planner) hangs(run *Run, now time.Time) bool {
	if !run.Confirmed || run.Stopping || now.Sub(run.ProgressAt) < minHangTime || now.Sub(run.readAt) > maxReadingAge {
		return false
	}
	step := planner.steps[run.Key.step()]
	if step == nil || step.Standing || step.Gang {
		return false
	}
	maxStall := time.Duration(hangTimeFactor * float64(planner.highRunTime(step, run)))
	return now.Sub(run.ProgressAt) > doubled(max(minHangTime, maxStall), step.tasks[run.Key.Index].Hangs)
}

// doubled returns a duration that is doubled a number of times, at most maxHangTime unless it was longer before.
func doubled(duration time.Duration, times int) time.Duration {
	for ; times > 0 && duration < maxHangTime; times-- {
		duration *= 2
	}
	return duration
}

// countHang counts a run of a task that hangs.
func (planner *Planner) countHang(run *Run) {
	if step := planner.steps[run.Key.step()]; step != nil {
		step.tasks[run.Key.Index].Hangs++
		step.touch(run.Key.Index)
		planner.markDirty(step.job)
	}
}
