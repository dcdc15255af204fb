package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The journal holds two records a job: what was handed in, dropped once the job has ended, and its progress.
const (
	jobPrefix      = "job/"
	progressPrefix = "run/"
	journalVersion = 1
)

// Progress is what is stored of a job beside what was handed in.
type Progress struct {
	Version     int                  `json:"version"`
	State       State                `json:"state"`
	Queue       string               `json:"queue"`
	Team        string               `json:"team,omitempty"`
	EndedMS     int64                `json:"endedMS,omitempty"`
	Next        int                  `json:"next,omitempty"`
	Ended       int                  `json:"ended,omitempty"`
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is what is stored of one occurrence.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	Steps  []StepProgress `json:"steps"`
}

// StepProgress is what is stored of one step; a member without entries stands for tasks never started.
type StepProgress struct {
	Done        string         `json:"done,omitempty"` // a 1 for each task that is done, else 0
	Numbers     []int          `json:"numbers,omitempty"`
	Failures    []int          `json:"failures,omitempty"`
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
	Open        []OpenRun      `json:"open,omitempty"`
}

// OpenRun is a run that may exist.
type OpenRun struct {
	Index  int    `json:"index"`
	Worker string `json:"worker"`
	Born   int64  `json:"born,omitempty"`
	Number int    `json:"number,omitempty"` // where it is not the task's last run
}

// UnmarshalJSON decodes progress and refuses that of a later format.
func (progress *Progress) UnmarshalJSON(data []byte) error {
	type plain Progress
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode progress: %w", err)
	}
	if decoded.Version != journalVersion {
		return Error.New("progress of format %d, this program reads %d", decoded.Version, journalVersion)
	}
	*progress = Progress(decoded)
	return nil
}

// Dirty reports whether Take has anything to give.
func (planner *Planner) Dirty() bool {
	return len(planner.dirty) > 0 || len(planner.effects) > 0 || len(planner.starts) > 0 || len(planner.drop) > 0 || len(planner.lapses) > 0
}

// Take returns the records to store next and the effects, in the order of the events that caused them. A
// batch without records has no number, and there is nothing to wait for.
func (planner *Planner) Take() (Batch, error) {
	batch := Batch{Effects: planner.effects, Starts: planner.starts, Notes: planner.notes}
	planner.effects, planner.starts, planner.notes = nil, nil, nil
	for _, id := range slices.Sorted(maps.Keys(planner.dirty)) {
		row := planner.jobs[id]
		if row == nil {
			continue
		}
		if err := planner.record(&batch, row); err != nil {
			return batch, err
		}
		batch.Shown = append(batch.Shown, id)
		batch.states = append(batch.states, row.state)
	}
	clear(planner.dirty)
	for _, id := range planner.drop {
		batch.Records = append(batch.Records, Record{Key: jobPrefix + id}, Record{Key: progressPrefix + id})
	}
	planner.drop = nil
	lapses, err := planner.lapseRecords()
	if err != nil {
		return batch, err
	}
	batch.Records = append(batch.Records, lapses...)
	if len(batch.Records) > 0 {
		planner.batch++
		batch.Number = planner.batch
	}
	return batch, nil
}

func (planner *Planner) record(batch *Batch, row *row) error {
	if planner.fresh[row.ID] {
		delete(planner.fresh, row.ID)
		data, err := json.Marshal(&row.Job)
		if err != nil {
			return fmt.Errorf("encode job %s: %w", row.ID, err)
		}
		batch.Records = append(batch.Records, Record{Key: jobPrefix + row.ID, Value: data})
	}
	progress := row.progress()
	data, err := json.Marshal(&progress)
	if err != nil {
		return fmt.Errorf("encode progress of %s: %w", row.ID, err)
	}
	batch.Records = append(batch.Records, Record{Key: progressPrefix + row.ID, Value: data})
	if row.state.Final() {
		batch.Records = append(batch.Records, Record{Key: jobPrefix + row.ID})
	}
	return nil
}

// Stored takes note that a batch is stored, and so is every one before it: its states are shown, and the
// ends that led to it may be acknowledged.
func (planner *Planner) Stored(batch Batch) {
	planner.durable = max(planner.durable, batch.Number)
	for index, id := range batch.Shown {
		if row := planner.jobs[id]; row != nil && batch.Number >= row.shownBatch {
			row.shown, row.shownBatch = batch.states[index], batch.Number
		}
	}
	for _, worker := range planner.workers {
		worker.acknowledge(planner.durable)
	}
}

// acknowledge lets the ends be acknowledged whose consequences are stored.
func (worker *Worker) acknowledge(durable int64) {
	for len(worker.pending) > 0 && worker.pending[0].batch <= durable {
		worker.Durable = worker.pending[0].number
		worker.pending = worker.pending[1:]
	}
}

func (row *row) progress() Progress {
	progress := Progress{
		Version: journalVersion, State: row.state, Queue: row.Queue, Team: row.Team,
		EndedMS: row.endedAt, Next: row.next, Ended: row.ended,
	}
	for _, number := range slices.Sorted(maps.Keys(row.occurrences)) {
		of := OccurrenceProgress{Number: number}
		for _, step := range row.occurrences[number].steps {
			of.Steps = append(of.Steps, step.progress())
		}
		progress.Occurrences = append(progress.Occurrences, of)
	}
	return progress
}

func (step *step) progress() StepProgress {
	var progress StepProgress
	var done strings.Builder
	begun, failed := false, false
	numbers, failures := make([]int, len(step.tasks)), make([]int, len(step.tasks))
	for index := range step.tasks {
		task := &step.tasks[index]
		mark := byte('0')
		if task.done {
			mark = '1'
		}
		done.WriteByte(mark)
		numbers[index], failures[index] = task.number, task.failures
		begun = begun || task.number > 0
		failed = failed || task.failures > 0
		if task.checkpoint != "" && !task.done {
			if progress.Checkpoints == nil {
				progress.Checkpoints = map[int]string{}
			}
			progress.Checkpoints[index] = task.checkpoint
		}
		for _, run := range task.runs() {
			open := OpenRun{Index: index, Worker: run.Worker, Born: run.Born}
			if run.Number != task.number {
				open.Number = run.Number
			}
			progress.Open = append(progress.Open, open)
		}
	}
	if step.done > 0 {
		progress.Done = done.String()
	}
	if begun {
		progress.Numbers = numbers
	}
	if failed {
		progress.Failures = failures
	}
	return progress
}

// Restore rebuilds the tables from the records of the journal, and returns the keys that did not decode.
func (planner *Planner) Restore(records []Record, now time.Time) []string {
	planner.now = now
	jobs := map[string]Job{}
	unread := planner.restoreLapses(records)
	for _, record := range records {
		id, isJob := strings.CutPrefix(record.Key, jobPrefix)
		if !isJob {
			continue
		}
		var job Job
		if err := json.Unmarshal(record.Value, &job); err != nil {
			unread = append(unread, record.Key)
			continue
		}
		jobs[id] = job
	}
	for _, record := range records {
		id, isProgress := strings.CutPrefix(record.Key, progressPrefix)
		if !isProgress {
			continue
		}
		var progress Progress
		if err := json.Unmarshal(record.Value, &progress); err != nil {
			unread = append(unread, record.Key)
			continue
		}
		planner.restore(id, jobs[id], progress, now)
	}
	return unread
}

// restore rebuilds one job. Of one that has ended only the state and the runs that may exist are left.
func (planner *Planner) restore(id string, job Job, progress Progress, now time.Time) {
	job.ID, job.Queue, job.Team = id, progress.Queue, progress.Team
	row := planner.adopt(job)
	row.state, row.shown = progress.State, progress.State
	row.endedAt, row.next, row.ended = progress.EndedMS, progress.Next, progress.Ended
	if row.state.Final() {
		planner.retired = append(planner.retired, retiredJob{id: id, at: now})
		return
	}
	for _, stored := range progress.Occurrences {
		of := planner.newOccurrence(row, stored.Number, planner.dueOf(row, stored.Number))
		for number := range min(len(stored.Steps), len(of.steps)) {
			planner.restoreStep(of.steps[number], stored.Steps[number], now)
			if of.steps[number].done == of.steps[number].Count {
				of.done++
			}
		}
		planner.begin(of, now)
	}
	planner.materialize(row, now)
}

func (planner *Planner) dueOf(row *row, number int) time.Time {
	if row.Runs == 0 {
		return time.UnixMilli(row.AcceptedMS)
	}
	return time.UnixMilli(row.FirstRunMS + int64(number)*row.IntervalMS)
}

func (planner *Planner) restoreStep(step *step, stored StepProgress, now time.Time) {
	for index := range step.tasks {
		task := &step.tasks[index]
		if index < len(stored.Done) && stored.Done[index] == '1' {
			task.done = true
			step.done++
		}
		if index < len(stored.Numbers) {
			task.number = stored.Numbers[index]
			step.gang = max(step.gang, task.number)
		}
		if index < len(stored.Failures) {
			task.failures = stored.Failures[index]
		}
		task.checkpoint = stored.Checkpoints[index]
	}
	for _, open := range stored.Open {
		if open.Index >= len(step.tasks) {
			continue
		}
		key := TaskKey{Job: step.key.Job, Occurrence: step.key.Occurrence, Step: step.key.Step, Index: open.Index}
		worker := planner.worker(open.Worker)
		number := open.Number
		if number == 0 {
			number = step.tasks[open.Index].number
		}
		run := planner.newRun(step, key, number, worker, now)
		run.Born, run.Token = open.Born, 0 // below every token of this term
		planner.attach(step, run)
		planner.steps[step.key] = step
	}
}

// Unstored reports whether a job has changes that are not known to be stored.
func (planner *Planner) Unstored(id string) bool {
	row := planner.jobs[id]
	return row != nil && row.batch > planner.durable
}

// BatchOf returns the number of the batch that stores the latest change of a job.
func (planner *Planner) BatchOf(id string) int64 {
	if row := planner.jobs[id]; row != nil {
		return row.batch
	}
	return 0
}

// TakeEffects returns the effects that need no record.
func (planner *Planner) TakeEffects() []Effect {
	effects := planner.effects
	planner.effects = nil
	return effects
}
