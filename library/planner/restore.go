package planner

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/tracker"
)

// Restore rebuilds the tables from the records of the journal, and returns the keys of those that do not decode.
func (planner *Planner) Restore(records []Record, now time.Time) []string {
	planner.now = now
	jobs := map[string]Job{}
	planner.restoreSettledTerm(records)
	planner.restoreHostCount(records)
	undecodable := planner.restoreHandover(records)
	undecodable = append(undecodable, planner.restoreExpiries(records)...)
	undecodable = append(undecodable, planner.restoreEstimates(records)...)
	for _, record := range records {
		id, isJob := strings.CutPrefix(record.Key, jobPrefix)
		if !isJob {
			continue
		}
		job, err := decodeStoredJob(record.Value)
		if err != nil {
			undecodable = append(undecodable, record.Key)
			continue
		}
		jobs[id] = job
	}
	progresses := map[string]encoder.Progress{}
	for _, record := range records {
		id, isProgress := strings.CutPrefix(record.Key, progressPrefix)
		if !isProgress {
			continue
		}
		var progress encoder.Progress
		if err := json.Unmarshal(record.Value, &progress); err != nil {
			undecodable = append(undecodable, record.Key)
			continue
		}
		progresses[id] = progress
		planner.journalStartMS = max(planner.journalStartMS, progress.StoredAtMS)
	}
	parts, undecodableParts := decodeParts(records)
	for _, key := range slices.Sorted(maps.Keys(undecodableParts)) {
		undecodable = append(undecodable, key)
		delete(progresses, undecodableParts[key]) // like a job whose progress does not decode: its tasks may be running
		delete(parts, undecodableParts[key])
	}
	for _, id := range slices.Sorted(maps.Keys(progresses)) {
		planner.restoreJob(id, jobs[id], progresses[id], parts[id], now)
		delete(parts, id)
	}
	planner.dropStrayParts(parts)
	return undecodable
}

// restoreJob rebuilds one job. Of a job that has ended, the state is restored and the runs that may still exist, which count against
// workers and the team until they have certainly ended.
func (planner *Planner) restoreJob(id string, job Job, progress encoder.Progress, parts []storedPart, now time.Time) {
	job.ID, job.Queue, job.Team = id, progress.Queue, progress.Team
	entry := planner.addJob(job)
	entry.state, entry.storedState = progress.State, progress.State
	entry.acceptedAt = planner.journalTime(progress.AcceptedMS)
	entry.begun = progress.Begun
	entry.endedAtMS, entry.nextOccurrence, entry.completedOccurrences = progress.EndedMS, progress.Next, progress.Ended
	if entry.state.Final() {
		planner.endedJobs = append(planner.endedJobs, endedJob{id: id, endedAt: now})
	}
	for _, stored := range progress.Occurrences {
		occurrence := planner.newOccurrence(entry, stored.Number, planner.journalTime(stored.DueMS))
		for number := range min(len(stored.Steps), len(occurrence.steps)) {
			planner.restoreStep(occurrence.steps[number], 0, stored.Steps[number], now)
		}
	}
	planner.restoreParts(entry, progress, parts, now)
	planner.restoreGangs(entry, now)
	if entry.state.Final() {
		planner.stopRestored(entry, now)
		return
	}
	for _, stored := range progress.Occurrences {
		planner.resumeOccurrence(entry, stored, now)
	}
	planner.createDueOccurrences(entry, now)
}

// stopRestored marks the runs of an ended job as being stopped, but for the members of a completed gang, and drops what has no open run.
func (planner *Planner) stopRestored(entry *jobEntry, now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(entry.occurrences)) {
		occurrence := entry.occurrences[number]
		for _, step := range occurrence.steps {
			if !step.endsTogether() {
				step.markStopping(now)
			}
		}
		planner.dropCompleted(occurrence, entry)
	}
}

// markStopping marks all runs of a step as being stopped. The stops are sent as their workers list them.
func (step *step) markStopping(now time.Time) {
	for index := range step.tasks {
		for _, run := range step.tasks[index].openRuns() {
			run.markStopping(now)
		}
	}
}

// resumeOccurrence makes the tasks of a restored occurrence available to placement.
func (planner *Planner) resumeOccurrence(entry *jobEntry, stored encoder.OccurrenceProgress, now time.Time) {
	occurrence := entry.occurrences[stored.Number]
	if occurrence == nil {
		return // the job was completed with an occurrence before it
	}
	for _, step := range occurrence.steps {
		if step.completedTasks == step.Count {
			occurrence.completedSteps++
		}
	}
	switch {
	case occurrence.completedSteps < len(occurrence.steps) || entry.layout == nil || len(stored.Steps) > 0:
		planner.activateSteps(occurrence)
	case stored.Completed: // the parts may be newer than this record
		planner.markDirty(entry)
		planner.dropCompleted(occurrence, entry)
	default:
		planner.markDirty(entry)
		planner.completeOccurrence(entry, occurrence, now)
	}
}

// restoreStep rebuilds tasks of a step and their runs that may exist. The lists of the stored progress begin with the task with index
// first.
func (planner *Planner) restoreStep(step *step, first int, stored encoder.StepProgress, now time.Time) {
	for _, task := range tracker.Restore(stored, first, step.trackedTask) {
		if task.Done {
			step.completedTasks++
		}
		step.job.begun = step.job.begun || task.Done || task.Failures > 0 // records of earlier releases do not tell
	}
	step.gang.FailedNumber = max(step.gang.FailedNumber, stored.FailedNumber)
	planner.restoreCrashes(step, stored)
	for _, open := range stored.Open {
		if open.Index >= len(step.tasks) {
			continue
		}
		key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: open.Index}
		worker := planner.ensureWorker(open.Worker)
		number := open.Number
		if number == 0 {
			number = step.tasks[open.Index].LastNumber
		}
		run := planner.newRun(step, key, number, worker, now)
		run.learning.restored = true
		run.Incarnation, run.Token, run.Sent = open.Incarnation, 0, true // token 0 is lower than every token of this term
		run.InFlight = planner.Settings.OrderTime > 0
		run.sound, run.answered = open.Sound, open.Sound
		run.shown, run.settled = open.Settled, open.Settled
		planner.addRun(step, run)
		if step.tasks[open.Index].Done && !step.Gang {
			run.markStopping(now) // a copy of a run that completed the task
		}
		planner.steps[step.key] = step
	}
}

// trackedTask returns the progress of the task with an index, nil if there is none.
func (step *step) trackedTask(index int) *tracker.Task {
	if index < 0 || index >= len(step.tasks) {
		return nil
	}
	return &step.tasks[index].Task
}
