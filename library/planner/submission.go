package planner

import (
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/partitioner"
)

// Submit adds a job, and reports false if a job with its ID exists already.
func (planner *Planner) Submit(job Job, now time.Time) bool {
	planner.now = now
	if _, known := planner.jobs[job.ID]; known {
		return false
	}
	job.AcceptedMS = planner.Settings.TimeOfDay().UnixMilli()
	job.Excess = !planner.withinRate(job.Team, now)
	entry := planner.addJob(job)
	entry.acceptedAt = now
	planner.newJobs[job.ID] = true
	planner.markDirty(entry)
	planner.createDueOccurrences(entry, now)
	planner.recordSubmission(&entry.Job, now)
	return true
}

// Withdraw removes a submitted job and reports true if no batch that stores the job was taken yet and no run of it is
// open. Such a job was never accepted and never will be.
func (planner *Planner) Withdraw(id string) bool {
	entry := planner.jobs[id]
	if entry == nil || !planner.newJobs[id] {
		return false
	}
	for _, occurrence := range entry.occurrences {
		for _, step := range occurrence.steps {
			if step.openCount > 0 {
				return false
			}
			delete(planner.steps, step.key)
		}
	}
	planner.removeOccurrences(entry)
	planner.removeJob(entry)
	delete(planner.newJobs, id)
	delete(planner.scheduled, id)
	return true
}

// HasMemoryFor reports whether a job may be kept in memory beside the others. There is always room for one job alone.
func (planner *Planner) HasMemoryFor(job *Job) bool {
	limit := planner.Settings.MaxJobBytes
	return limit <= 0 || planner.jobBytes == 0 || planner.jobBytes+job.memory() <= limit
}

// HasRoomFor reports whether the tasks of one occurrence of a job may be kept in memory beside those of the other jobs. There is always room
// for one job alone.
func (planner *Planner) HasRoomFor(job *Job) bool {
	limit := planner.Settings.MaxTasks
	return limit <= 0 || planner.taskCount == 0 || planner.taskCount+job.taskCount() <= limit
}

// addJob adds a job to the table.
func (planner *Planner) addJob(job Job) *jobEntry {
	planner.learned.initFacts(&job)
	entry := &jobEntry{Job: job, state: Queued, storedState: Queued, occurrences: map[int]*occurrence{}}
	entry.layout = entry.newLayout()
	planner.jobs[job.ID] = entry
	planner.countMemory(entry)
	return entry
}

// countMemory counts the memory of a job anew.
func (planner *Planner) countMemory(entry *jobEntry) {
	memory := entry.memory()
	planner.jobBytes += memory - entry.countedBytes
	entry.countedBytes = memory
}

// dropPayload removes the payload of an ended job that has no runs any more: no task of it starts again.
func (planner *Planner) dropPayload(entry *jobEntry) {
	entry.Payload = ""
	planner.countMemory(entry)
}

// removeJob removes a job from the table.
func (planner *Planner) removeJob(entry *jobEntry) {
	delete(planner.jobs, entry.ID)
	delete(planner.dirty, entry.ID)
	planner.jobBytes -= entry.countedBytes
	entry.countedBytes = 0
}

// removeOccurrences removes all occurrences of a job.
func (planner *Planner) removeOccurrences(entry *jobEntry) {
	for _, occurrence := range entry.occurrences {
		planner.removeOccurrence(occurrence, entry)
	}
}

// rateBurst is the burst size of a team's submission rate, as the time in which the rate allows that many jobs.
const rateBurst = 3 * time.Second

// withinRate takes a token for one job from the token bucket of a team and reports whether there was one. The bucket
// is refilled with Team.Weight tokens per second. Teams without a weight are not limited.
func (planner *Planner) withinRate(name string, now time.Time) bool {
	team, found := planner.catalog.Teams[name]
	if !found || team.Weight <= 0 {
		return true
	}
	usage := planner.ensureTeam(name)
	maxTokens := max(1, team.Weight*rateBurst.Seconds())
	if usage.refilledAt.IsZero() {
		usage.tokens = maxTokens
	} else {
		usage.tokens = min(maxTokens, usage.tokens+team.Weight*now.Sub(usage.refilledAt).Seconds())
	}
	usage.refilledAt = now
	if usage.tokens < 1 {
		return false
	}
	usage.tokens--
	return true
}

// createDueOccurrences creates the occurrences of a job that are due. A job without a schedule has one occurrence,
// which is due when the job is accepted.
func (planner *Planner) createDueOccurrences(entry *jobEntry, now time.Time) {
	if entry.Runs == 0 {
		if entry.nextOccurrence == 0 {
			entry.nextOccurrence = 1
			planner.activateSteps(planner.newOccurrence(entry, 0, entry.acceptedAt))
		}
		return
	}
	for entry.nextOccurrence < entry.Runs {
		late := planner.Settings.TimeOfDay().Sub(entry.dueAt(entry.nextOccurrence))
		if late < 0 || len(entry.occurrences) >= entry.maxOccurrences() || !planner.HasRoomFor(&entry.Job) {
			planner.scheduled[entry.ID] = entry
			return
		}
		planner.activateSteps(planner.newOccurrence(entry, entry.nextOccurrence, now.Add(-late)))
		entry.nextOccurrence++
		planner.markDirty(entry)
	}
	delete(planner.scheduled, entry.ID)
}

const (
	// maxOpenOccurrences limits the occurrences of a job that are not completed, and maxTasks their tasks. Further ones are created as
	// these are completed.
	maxOpenOccurrences = 1000
	// maxDueMS is the latest due time, the end of the year 9999 in Unix milliseconds.
	maxDueMS = 253_402_300_799_999
)

// maxOccurrences returns how many occurrences of the job may be in memory at the same time.
func (job *Job) maxOccurrences() int {
	return min(job.occurrences(), maxOpenOccurrences, max(1, maxTasks/max(1, job.taskCount())))
}

// dueAt returns when an occurrence is due, at most maxDueMS before or after 1970.
func (job *Job) dueAt(number int) time.Time {
	firstMS := min(max(job.FirstRunMS, -maxDueMS), maxDueMS)
	if job.IntervalMS > 0 && int64(number) > (maxDueMS-firstMS)/job.IntervalMS {
		return time.UnixMilli(maxDueMS)
	}
	return time.UnixMilli(firstMS + int64(number)*job.IntervalMS)
}

// occurrences returns the total number of occurrences of the job.
func (job *Job) occurrences() int { return max(1, job.Runs) }

// Cancel cancels a job unless it has ended, and reports whether the job is known.
func (planner *Planner) Cancel(id string, now time.Time) bool {
	planner.now = now
	entry, known := planner.jobs[id]
	if !known {
		return false
	}
	if !entry.state.Final() {
		planner.finishJob(entry, Canceled, now)
	}
	return true
}

// finishJob puts a job into a final state and stops its runs. The members of a completed gang end together without it.
func (planner *Planner) finishJob(entry *jobEntry, state State, now time.Time) {
	entry.state = state
	entry.endedAtMS = planner.Settings.TimeOfDay().UnixMilli()
	planner.markDirty(entry)
	expected, runs := planner.expectJob(entry)
	planner.recordJobEnd(entry, now)
	planner.events = append(planner.events, EndEvent{
		Job: entry.ID, Queue: entry.Queue, Team: entry.Team, State: state, Duration: now.Sub(entry.acceptedAt), Expected: expected, ExpectedRuns: runs,
	})
	delete(planner.scheduled, entry.ID)
	entry.parts.TouchStored(func(partitioner.Part) bool { return true })
	for _, number := range slices.Sorted(maps.Keys(entry.occurrences)) {
		for _, step := range entry.occurrences[number].steps {
			step.waiting = nil
			if !step.endsTogether() {
				planner.stopRuns(step, now)
			}
			if step.openCount == 0 {
				delete(planner.steps, step.key)
			}
		}
		planner.dropCompleted(entry.occurrences[number], entry)
	}
	planner.endedJobs = append(planner.endedJobs, endedJob{id: entry.ID, endedAt: now})
}

// endsTogether reports whether the step is a gang that is completed, whose members end without being stopped.
func (step *step) endsTogether() bool { return step.Gang && step.completedTasks == step.Count }

// hasOpenRuns reports whether a run of the job exists or may exist.
func (jobEntry *jobEntry) hasOpenRuns() bool {
	for _, occurrence := range jobEntry.occurrences {
		if occurrence.hasOpenRuns() {
			return true
		}
	}
	return false
}

// forgetEndedJobs removes the jobs that ended more than Settings.StatusRetention ago. One with open runs is kept for that time again: a
// later planner has to know of them.
func (planner *Planner) forgetEndedJobs(now time.Time) {
	for len(planner.endedJobs) > 0 && now.Sub(planner.endedJobs[0].endedAt) > planner.Settings.StatusRetention {
		id := planner.endedJobs[0].id
		planner.endedJobs = planner.endedJobs[1:]
		entry := planner.jobs[id]
		if entry == nil || !entry.state.Final() {
			continue // it was withdrawn after it had ended, and may have been submitted again
		}
		if entry.hasOpenRuns() {
			planner.endedJobs = append(planner.endedJobs, endedJob{id: id, endedAt: now})
			continue
		}
		planner.removeOccurrences(entry)
		planner.removeJob(entry)
		planner.forgottenJobs = append(planner.forgottenJobs, id)
	}
}

// stopRuns stops all runs of a step.
func (planner *Planner) stopRuns(step *step, now time.Time) {
	for index := range step.tasks {
		for _, run := range step.tasks[index].openRuns() {
			planner.stopRun(run, now)
		}
	}
}

// stopRetryInterval is the minimum time between two stop requests for the same run.
const stopRetryInterval = 400 * time.Millisecond

// markStopping records that a run is to be stopped.
func (run *Run) markStopping(now time.Time) {
	run.chargeStop()
	if !run.Stopping {
		run.Stopping, run.stopRequestedAt = true, now
	}
}

// stopRun requests the end of a run, unless the last request for it is less than stopRetryInterval old.
func (planner *Planner) stopRun(run *Run, now time.Time) {
	run.markStopping(now)
	if !run.StopSentAt.IsZero() && now.Sub(run.StopSentAt) < stopRetryInterval {
		return
	}
	run.StopSentAt = now
	worker := planner.ensureWorker(run.Worker)
	planner.effects = append(planner.effects, Stop{
		Key: run.Key, Number: run.Number, Worker: worker.ID, Address: worker.Address, Token: worker.Token,
	})
}
