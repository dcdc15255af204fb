package planner

import (
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/tracker"
)

// The journal holds two records for each job: the job as submitted, which is deleted once the job has ended and none of its runs is open, and
// its progress. These are their key prefixes, followed by the job's ID. The values are in package encoder.
const (
	jobPrefix      = "job/"
	progressPrefix = "run/"
)

// Dirty reports whether Take would return any record, effect or start.
func (planner *Planner) Dirty() bool {
	return len(planner.dirty) > 0 || len(planner.effects) > 0 || len(planner.starts) > 0 || len(planner.forgottenJobs) > 0 || len(planner.staleKeys) > 0 || len(planner.changedExpiries) > 0 || planner.settles() || planner.hostCountGrew() ||
		planner.handingOver.changed
}

// Take returns the records to store next, and the effects and starts in the order of the events that caused them.
// Batches that have records are numbered from 1. A batch without records has number 0, and its starts and effects
// need not wait for the journal.
func (planner *Planner) Take() (Batch, error) {
	batch := Batch{Effects: planner.effects, Starts: planner.starts, Events: planner.events}
	planner.effects, planner.starts, planner.events = nil, nil, nil
	batch.Crashes, planner.crashes = planner.crashes, nil
	batch.Restarts, planner.restarts = planner.restarts, nil
	batch.Silences, planner.silences = planner.silences, nil
	batch.Hedges = planner.takeHedgeEvents()
	batch.Calibrations = planner.learned.takeCalibrations()
	batch.GiveBacks, planner.giveBacks = planner.giveBacks, nil
	batch.Moves, planner.moves = planner.moves, nil
	for _, id := range slices.Sorted(maps.Keys(planner.dirty)) {
		entry := planner.jobs[id]
		if entry == nil {
			continue
		}
		if err := planner.appendRecords(&batch, entry); err != nil {
			return batch, err
		}
		batch.JobIDs = append(batch.JobIDs, id)
		batch.states = append(batch.states, entry.state)
	}
	clear(planner.dirty)
	for _, id := range planner.forgottenJobs {
		batch.Records = append(batch.Records, Record{Key: jobPrefix + id}, Record{Key: progressPrefix + id})
	}
	planner.forgottenJobs = nil
	for _, key := range planner.staleKeys {
		batch.Records = append(batch.Records, Record{Key: key})
	}
	planner.staleKeys = nil
	expiries, err := planner.expiryRecords()
	if err != nil {
		return batch, err
	}
	batch.Records = append(batch.Records, expiries...)
	batch.Records = append(batch.Records, planner.settledRecord()...)
	batch.Records = append(batch.Records, planner.hostCountRecord()...)
	handover, err := planner.handoverRecord()
	if err != nil {
		return batch, err
	}
	batch.Records = append(batch.Records, handover...)
	if err := planner.appendEstimates(&batch); err != nil {
		return batch, err
	}
	if len(batch.Records) > 0 {
		planner.lastBatch++
		batch.Number = planner.lastBatch
	}
	return batch, nil
}

// appendRecords adds the records of a job to a batch: the job itself if it is new, its progress, and the deletion
// of the job's record once a later planner does not need it any more.
func (planner *Planner) appendRecords(batch *Batch, entry *jobEntry) error {
	if planner.newJobs[entry.ID] {
		delete(planner.newJobs, entry.ID)
		data, err := json.Marshal(&entry.Job)
		if err != nil {
			return fmt.Errorf("encode job %s: %w", entry.ID, err)
		}
		batch.Records = append(batch.Records, Record{Key: jobPrefix + entry.ID, Value: data})
	}
	parts, deletedParts, err := planner.partRecords(entry)
	if err != nil {
		return err
	}
	progress := planner.progressOf(entry)
	record, err := planner.encode(progressPrefix+entry.ID, &progress)
	if err != nil {
		return err
	}
	// An append to the store may end between any two records. The parts that the progress refers to are stored before it, and those that
	// it no longer refers to are deleted after it. The end of a job is stored before the ends of the runs that caused it: without them, the
	// next planner reads them again and comes to the same end; without the end of the job, it would start the tasks again.
	ordered := [][]Record{parts, {record}, deletedParts}
	if entry.state.Final() {
		ordered = [][]Record{{record}, parts, deletedParts}
	}
	batch.Records = append(batch.Records, slices.Concat(ordered...)...)
	if entry.state.Final() && (!entry.hasOpenRuns() || entry.unstorable) {
		batch.Records = append(batch.Records, Record{Key: jobPrefix + entry.ID})
		planner.dropPayload(entry)
	}
	return nil
}

// MarkStored records that a batch and all batches before it are stored: State returns the batch's states from now on, and
// polls acknowledge the ended runs whose consequences it stored.
func (planner *Planner) MarkStored(batch Batch) {
	planner.storedBatch = max(planner.storedBatch, batch.Number)
	for index, id := range batch.JobIDs {
		if entry := planner.jobs[id]; entry != nil && batch.Number >= entry.storedStateBatch {
			entry.storedState, entry.storedStateBatch = batch.states[index], batch.Number
		}
	}
	for _, worker := range planner.workerList {
		worker.acknowledge(planner.storedBatch)
	}
}

// acknowledge advances AckCursor over the ended runs whose batches are stored.
func (worker *Worker) acknowledge(storedBatch int64) {
	for len(worker.pendingEnds) > 0 && worker.pendingEnds[0].batch <= storedBatch {
		worker.AckCursor = worker.pendingEnds[0].sequence
		worker.pendingEnds = worker.pendingEnds[1:]
	}
}

// journalMS returns a time on the journal's clock, in milliseconds. That clock counts the time of all terms, but not the
// time between two of them, so that the ages of jobs do not depend on the clocks of different hosts.
func (planner *Planner) journalMS(at time.Time) int64 {
	return planner.journalStartMS + at.Sub(planner.startedAt).Milliseconds()
}

// journalTime is the inverse of journalMS.
func (planner *Planner) journalTime(journalMS int64) time.Time {
	return planner.startedAt.Add(journalDuration(planner.journalStartMS, journalMS))
}

// journalDuration returns the time between two readings of the journal's clock. A client may ask for an occurrence that was due
// before any clock of this program began: the second one counts as within encoder.MaxJournalMS of 0.
func journalDuration(fromMS, toMS int64) time.Duration {
	toMS = min(max(toMS, -encoder.MaxJournalMS), encoder.MaxJournalMS)
	return time.Duration(toMS-fromMS) * time.Millisecond
}

// progressOf returns the job's progress as it is stored.
func (planner *Planner) progressOf(jobEntry *jobEntry) encoder.Progress {
	progress := encoder.Progress{
		Version: encoder.ProgressVersion, State: jobEntry.state, Queue: jobEntry.Queue, Team: jobEntry.Team,
		EndedMS: jobEntry.endedAtMS, Next: jobEntry.nextOccurrence, Ended: jobEntry.completedOccurrences,
		StoredAtMS: planner.journalMS(planner.now), AcceptedMS: planner.journalMS(jobEntry.acceptedAt),
		Begun: jobEntry.begun,
	}
	if jobEntry.unstorable {
		return progress
	}
	if jobEntry.layout != nil {
		progress.Version = encoder.DividedVersion
	}
	for _, number := range slices.Sorted(maps.Keys(jobEntry.occurrences)) {
		occurrence := jobEntry.occurrences[number]
		stored := encoder.OccurrenceProgress{Number: number, DueMS: planner.journalMS(occurrence.due)}
		if jobEntry.layout != nil {
			stored.Completed = occurrence.completedSteps == len(occurrence.steps)
			progress.Occurrences = append(progress.Occurrences, stored)
			continue
		}
		for _, step := range occurrence.steps {
			stored.Steps = append(stored.Steps, step.progress(0, len(step.tasks)))
		}
		progress.Occurrences = append(progress.Occurrences, stored)
	}
	return progress
}

// progress returns the progress of the step's tasks from index first to before index end as it is stored.
func (step *step) progress(first, end int) encoder.StepProgress {
	progress := tracker.Encode(step.tracked(first, end), end-first)
	if first == 0 {
		progress.FailedNumber = step.gang.FailedNumber
	}
	for index := first; index < end; index++ {
		for _, run := range step.tasks[index].openRuns() {
			open := encoder.OpenRun{Index: index, Worker: run.Worker, Incarnation: run.Incarnation, Sound: run.sound, Settled: run.settled}
			if run.Number != step.tasks[index].LastNumber {
				open.Number = run.Number
			}
			progress.Open = append(progress.Open, open)
		}
	}
	return progress
}

// tracked returns the progress of the step's tasks from index first to before index end, by index.
func (step *step) tracked(first, end int) iter.Seq2[int, *tracker.Task] {
	return func(yield func(int, *tracker.Task) bool) {
		for index := first; index < end; index++ {
			if !yield(index, &step.tasks[index].Task) {
				return
			}
		}
	}
}

// HasUnstoredChanges reports whether a job has changes that are not stored yet.
func (planner *Planner) HasUnstoredChanges(id string) bool {
	entry := planner.jobs[id]
	return entry != nil && entry.lastChangeBatch > planner.storedBatch
}

// BatchOf returns the number of the batch that stores the latest change of a job, 0 if the job is unknown.
func (planner *Planner) BatchOf(id string) int64 {
	if entry := planner.jobs[id]; entry != nil {
		return entry.lastChangeBatch
	}
	return 0
}

// TakeEffects returns the pending effects. They can be carried out without a record in the journal.
func (planner *Planner) TakeEffects() []Effect {
	effects := planner.effects
	planner.effects = nil
	return effects
}
