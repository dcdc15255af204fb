package soaker

import (
	"cmp"
	"slices"
	"time"

	"ebonyshunt.org/standin/caller"
	"ebonyshunt.org/standin/emulator"
	"ebonyshunt.org/tests/auditor"
)

// placedRun is a run with its worker's number.
type placedRun struct {
	emulator.RunRecord
	worker int
}

// allRuns returns the runs of all workers in the order of their starts.
func (soak *soak) allRuns() []placedRun {
	var runs []placedRun
	for index, worker := range soak.platform.workers {
		for _, run := range worker.History() {
			runs = append(runs, placedRun{run, index + 1})
		}
	}
	slices.SortStableFunc(runs, func(a, b placedRun) int { return a.At.Compare(b.At) })
	return runs
}

// runsOf returns the runs of a job.
func (soak *soak) runsOf(id string) []placedRun {
	return slices.DeleteFunc(soak.allRuns(), func(run placedRun) bool { return !emulator.IsTaskOf(run.Task, id) })
}

// countMissing returns how many tasks of a step had not ended as done at a time. One end stands for a whole gang.
func countMissing(runs []placedRun, number int, step caller.Step, at time.Time) int {
	done := map[string]bool{}
	for _, run := range runs {
		if _, ofStep := emulator.SplitTask(run.Task); ofStep == number && run.Outcome == emulator.Done && !run.Ended.After(at) {
			done[run.Task] = true
		}
	}
	if step.Gang && len(done) > 0 {
		return 0
	}
	return step.Count - len(done)
}

// checkRuns checks all runs so far.
func (soak *soak) checkRuns() {
	for _, violation := range auditor.CheckRuns(soak.platform.workers) {
		soak.report("TWICE: %s", violation)
	}
	runs := soak.allRuns()
	byJob := map[string][]placedRun{}
	for _, run := range runs {
		id := jobOf(run)
		byJob[id] = append(byJob[id], run)
	}
	jobs := map[string]*job{}
	for _, job := range soak.jobs.all() {
		jobs[job.ID] = job
		soak.checkJobRuns(job, byJob[job.ID])
	}
	for id, unknown := range byJob {
		if jobs[id] == nil {
			soak.report("UNASKED: %s started, and no client submitted it", unknown[0].Task)
		}
	}
	soak.checkCapacity(runs, jobs)
	soak.checkDrains(runs)
	soak.checkZoneDrains(runs)
}

// checkZoneDrains checks that no task starts in a drained zone, later while faults were under way since the request. The slack
// before the end of a request covers the time between its withdrawal and the note of it.
func (soak *soak) checkZoneDrains(runs []placedRun) {
	for _, drain := range soak.timeline.drains() {
		zoneDrain, isZone := drain.fault.(ZoneDrain)
		if !isZone {
			continue
		}
		for _, run := range runs {
			since := run.At.Sub(drain.from)
			if soak.platform.workers[run.worker-1].Zone != zoneDrain.Zone || since <= zoneDrainWithin || !run.At.Before(drain.to.Add(-lossSlack)) {
				continue
			}
			if since > zoneDrainWithin+zoneDrainExtra || soak.timeline.isFaultFree(drain.from, run.At, isUnplanned) {
				soak.report("ZONE: %s run %d started on worker %d %v after the request to drain zone %s", run.Task, run.Run, run.worker, since, zoneDrain.Zone)
			}
		}
	}
}

// checkDrains checks that no task starts on a worker that drains, unless faults were under way shortly before.
func (soak *soak) checkDrains(runs []placedRun) {
	for _, drain := range soak.timeline.drains() {
		for _, run := range runs {
			since := run.At.Sub(drain.from)
			isOn := drain.fault == Draining{run.worker}
			if isOn && since > drainWithin && run.At.Before(drain.to) && soak.timeline.isFaultFree(run.At.Add(-reconnectTime), run.At, isUnplanned) {
				soak.report("DRAIN: %s run %d started on worker %d, which had drained for %v", run.Task, run.Run, run.worker, since)
			}
		}
	}
}

// checkJobRuns checks the runs of one job: the order of its steps, and no run after a refusal or a cancel.
func (soak *soak) checkJobRuns(job *job, runs []placedRun) {
	seen := job.observations()
	if len(runs) > 0 && seen.rejected == seen.attempts && isClosed(soak.trafficEnded) {
		soak.report("REFUSED: %s started, and all %d submissions were refused", runs[0].Task, seen.attempts)
	}
	for _, run := range runs {
		_, number := emulator.SplitTask(run.Task)
		for _, dependency := range job.Steps[number].DependsOn {
			if missing := countMissing(runs, dependency, job.Steps[dependency], run.At); missing > 0 {
				soak.report("ORDER: %s run %d started, and %d tasks of step %d had not ended as done", run.Task, run.Run, missing, dependency)
			}
		}
		if !seen.canceledAt.IsZero() && run.At.Sub(seen.canceledAt) > cancelWithin {
			soak.report("UNASKED: %s run %d started %v after its job's cancel was acknowledged", run.Task, run.Run, run.At.Sub(seen.canceledAt))
		}
	}
}

// usageChange is the start or the end of a run, as a change of what its worker and its team use.
type usageChange struct {
	at  time.Time
	run placedRun
	job *job
	cpu int64 // negative for an end
}

// usageChanges returns the starts and ends of runs in order. Of changes at one time, ends come first.
func usageChanges(runs []placedRun, jobs map[string]*job) []usageChange {
	changes := make([]usageChange, 0, 2*len(runs))
	for _, run := range runs {
		job := jobs[jobOf(run)]
		if job == nil {
			continue
		}
		cpu := cpuOf(job, run)
		changes = append(changes, usageChange{run.At, run, job, cpu})
		if !run.Ended.IsZero() {
			changes = append(changes, usageChange{run.Ended, run, job, -cpu})
		}
	}
	slices.SortStableFunc(changes, func(a, b usageChange) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.cpu, b.cpu))
	})
	return changes
}

// checkCapacity checks that no worker and no team is ever above its limit. It looks at each run twice only, since it shares
// its process with the emulator.
func (soak *soak) checkCapacity(runs []placedRun, jobs map[string]*job) {
	workers, team := map[int]int64{}, int64(0)
	for _, change := range usageChanges(runs, jobs) {
		run := change.run
		workers[run.worker] += change.cpu
		if change.job.Key == cappedKey {
			team += change.cpu
		}
		if change.cpu <= 0 {
			continue
		}
		if used := workers[run.worker]; used > workerCPU {
			soak.report("LIMIT: %s run %d brings worker %d to %d of %d", run.Task, run.Run, run.worker, used, workerCPU)
		}
		if limit := int64(float64(soak.plan.CapCPU)*(1+capOverage)) + change.cpu; change.job.Key == cappedKey && team > limit {
			soak.report("QUOTA: %s run %d brings its team to %d, its cap is %d", run.Task, run.Run, team, soak.plan.CapCPU)
		}
	}
}

func jobOf(run placedRun) string {
	id, _ := emulator.SplitTask(run.Task)
	return id
}

func cpuOf(job *job, run placedRun) int64 {
	_, number := emulator.SplitTask(run.Task)
	return job.Steps[number].CPU
}

// checkStanding checks that each standing task ran again in time, unless faults were under way shortly before.
func (soak *soak) checkStanding(job *job, until time.Time) {
	byTask := map[string][]placedRun{}
	for _, run := range soak.runsOf(job.ID) {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	if len(byTask) < job.Steps[0].Count {
		soak.report("STANDING: only %d tasks of job %s ever ran", len(byTask), job.ID)
	}
	for task, runs := range byTask {
		for index, run := range runs {
			if run.Ended.IsZero() {
				continue
			}
			next := until
			if index+1 < len(runs) {
				next = runs[index+1].At
			}
			soak.checkGap(task, run.Ended, next)
		}
	}
}

// checkGap checks the time between two runs of a standing task.
func (soak *soak) checkGap(task string, ended, next time.Time) {
	for due := ended.Add(standingWithin); due.Before(next); due = due.Add(probeInterval) {
		if soak.timeline.isFaultFree(due.Add(-standingFaultFree), due, isAny) {
			soak.report("STANDING: %s did not run for %v", task, next.Sub(ended))
			return
		}
	}
}
