package encoder

import (
	"encoding/json"
	"fmt"
	"slices"

	"ebonyshunt.org/library/blamer"
)

// The format versions of a progress record.
const (
	ProgressVersion = 1
	// DividedVersion is that of a progress record whose tasks are in parts. Earlier releases refuse it: they would take the tasks for ones
	// that have not begun.
	DividedVersion = 2
)

// Progress is the journal record of the progress of a job.
type Progress struct {
	Version     int                  `json:"version"`
	State       State                `json:"state"`
	Queue       string               `json:"queue"`
	Team        string               `json:"team,omitempty"`
	EndedMS     int64                `json:"endedMS,omitempty"`      // Unix milliseconds
	StoredAtMS  int64                `json:"storedAtMS,omitempty"`   // on the journal's clock
	AcceptedMS  int64                `json:"acceptedAtMS,omitempty"` // on the journal's clock
	Begun       bool                 `json:"begun,omitempty"`        // whether a worker told that it started a task
	Next        int                  `json:"next,omitempty"`         // number of the next occurrence to create
	Ended       int                  `json:"ended,omitempty"`        // number of completed occurrences
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	DueMS  int64          `json:"dueAtMS,omitempty"` // on the journal's clock
	Steps  []StepProgress `json:"steps,omitempty"`   // empty if the tasks are stored in parts
	// Completed is set, if the tasks are stored in parts, once the occurrence counts in Progress.Ended.
	Completed bool `json:"completed,omitempty"`
}

// StepProgress is the progress of one step. Done, Numbers and Failures have one entry for each task, or none if all
// entries would be zero; Checkpoints is by task index.
type StepProgress struct {
	Done        string         `json:"done,omitempty"`    // 1 for each task that is done, 0 for the others
	Numbers     []int          `json:"numbers,omitempty"` // last run numbers
	Failures    []int          `json:"failures,omitempty"`
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
	Open        []OpenRun      `json:"open,omitempty"`
	// FailedNumber is the number of a gang's last run that counts in Failures, with the progress of its first task.
	FailedNumber int `json:"failedNumber,omitempty"`
	// Hangs holds the numbers of runs that were stopped because they hung, by task index.
	Hangs map[int]int `json:"hangs,omitempty"`
	// Avoided holds the IDs of workers on which a task has failed, by task index.
	Avoided map[int][]string `json:"avoided,omitempty"`
	blamer.Records
}

// OpenRun is a run that may exist.
type OpenRun struct {
	Index       int    `json:"index"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"born,omitempty"`   // Run.Incarnation
	Number      int    `json:"number,omitempty"` // 0 for the task's last run number
	Sound       bool   `json:"sound,omitempty"`  // whether it ran too long for a crash to be its task's fault, see blamer.Sound
	// Settled reports whether the worker's life with this Incarnation has shown it, and has no longer leases than usual.
	Settled bool `json:"settled,omitempty"`
}

// UnmarshalJSON decodes progress, and refuses values out of range and any other format version than ProgressVersion and DividedVersion.
func (progress *Progress) UnmarshalJSON(data []byte) error {
	type plain Progress
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode progress: %w", err)
	}
	if decoded.Version != ProgressVersion && decoded.Version != DividedVersion {
		return Error.New("progress record has format version %d, this program reads versions %d and %d only", decoded.Version, ProgressVersion, DividedVersion)
	}
	if err := (*Progress)(&decoded).check(); err != nil {
		return err
	}
	*progress = Progress(decoded)
	return nil
}

// check returns an error if a value is out of range: another writer may have stored the record.
func (progress *Progress) check() error {
	switch {
	case progress.State != Queued && progress.State != Running && !progress.State.Final():
		return Error.New("progress record has the unknown state %.40q", progress.State)
	case progress.StoredAtMS < 0 || progress.StoredAtMS > MaxJournalMS:
		return Error.New("progress record was stored at %d ms, which is not from 0 to %d", progress.StoredAtMS, MaxJournalMS)
	case !validNumbers(progress.Next, progress.Ended):
		return Error.New("progress record has occurrences %d and %d", progress.Next, progress.Ended)
	}
	for _, occurrence := range progress.Occurrences {
		if !validNumbers(occurrence.Number) || slices.ContainsFunc(occurrence.Steps, StepProgress.invalid) {
			return Error.New("progress record has an index, a run or a count out of range in occurrence %d", occurrence.Number)
		}
	}
	return nil
}

// invalid reports whether an index, the number of a run, or a count is out of range.
func (stepProgress StepProgress) invalid() bool {
	return !stepProgress.Valid(maxNumber) || !validNumbers(stepProgress.FailedNumber) || !validCounts(stepProgress.Hangs) ||
		!validNumbers(stepProgress.Numbers...) || !validNumbers(stepProgress.Failures...) ||
		slices.ContainsFunc(stepProgress.Open, func(open OpenRun) bool { return !validNumbers(open.Index, open.Number) })
}

// AddCheckpoint adds the checkpoint of a task.
func (stepProgress *StepProgress) AddCheckpoint(index int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if stepProgress.Checkpoints == nil {
		stepProgress.Checkpoints = map[int]string{}
	}
	stepProgress.Checkpoints[index] = checkpoint
}

// AddHangs adds how many runs of a task were stopped because they hung.
func (stepProgress *StepProgress) AddHangs(index, hangs int) {
	if hangs == 0 {
		return
	}
	if stepProgress.Hangs == nil {
		stepProgress.Hangs = map[int]int{}
	}
	stepProgress.Hangs[index] = hangs
}

// AddAvoided adds the workers on which a task has failed.
func (stepProgress *StepProgress) AddAvoided(index int, workers []string) {
	if len(workers) == 0 {
		return
	}
	if stepProgress.Avoided == nil {
		stepProgress.Avoided = map[int][]string{}
	}
	stepProgress.Avoided[index] = workers
}

// DropCheckpoints removes the checkpoints of all tasks.
func (progress *Progress) DropCheckpoints() {
	for _, occurrence := range progress.Occurrences {
		for number := range occurrence.Steps {
			occurrence.Steps[number].Checkpoints = nil
		}
	}
}
