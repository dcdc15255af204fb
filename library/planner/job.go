package planner

import (
	"encoding/json"
	"fmt"

	"ebonyshunt.org/library/encoder"
	"ebonyshunt.org/library/sizer"
)

// Job is a submitted job: steps of tasks that depend on each other, run once or on a schedule.
type Job struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Team       string `json:"team,omitempty"` // empty on a queue that takes jobs without a key
	Payload    string `json:"payload"`        // input of its tasks
	Steps      []Step `json:"steps"`
	FirstRunMS int64  `json:"firstRunMS,omitempty"` // Unix milliseconds at which occurrence 0 is due
	IntervalMS int64  `json:"intervalMS,omitempty"` // time between two occurrences
	Runs       int    `json:"runs,omitempty"`       // number of occurrences, 0 for a job without a schedule
	AcceptedMS int64  `json:"acceptedMS"`           // Unix milliseconds
	Excess     bool   `json:"excess,omitempty"`     // submitted above the rate of its team
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count          int        `json:"count"`
	Size           sizer.Size `json:"size"`
	EstimateMS     int64      `json:"estimateMS,omitempty"`    // estimated run time of a task
	DependsOn      []int      `json:"after,omitempty"`         // indexes of the steps that have to be completed first
	Gang           bool       `json:"gang,omitempty"`          // the tasks run only together, all or none
	OneRack        bool       `json:"oneRack,omitempty"`       // the tasks take longer across racks
	Label          string     `json:"label,omitempty"`         // label that the worker must have
	DataRack       string     `json:"dataRack,omitempty"`      // label of the rack of the data; tasks take longer elsewhere
	MaxPerWorker   int        `json:"mostPerWorker,omitempty"` // maximum number of its tasks on one worker, 0 for no limit
	Checkpoints    bool       `json:"checkpoints,omitempty"`   // a stopped task resumes from its checkpoint
	Speculative    bool       `json:"speculative,omitempty"`   // a second run of a task may run beside the first
	Standing       bool       `json:"standing,omitempty"`      // the tasks run until the job is canceled
	Image          string     `json:"image,omitempty"`         // image of the tasks; tasks of one image behave alike
	TailMS         int64      `json:"tailMS,omitempty"`        // bound of the tail latency of a serving task, 0 for others
	Filler         bool       `json:"filler,omitempty"`        // the tasks use only processors that other tasks leave idle
	MaxUnavailable int        `json:"mostAway,omitempty"`      // maximum number of unavailable tasks of a standing step
	facts          stepFacts  // see runtimes.go
}

const (
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 1000
	// maxTasks is the maximum number of tasks of all steps of a job. An occurrence that begins is kept in memory with all of them.
	maxTasks = 100_000
	// maxStoredBytes is the maximum size of a job as it is stored: with its key, it has to fit into one record of the journal.
	maxStoredBytes = 240 << 10
)

// UnmarshalJSON decodes a job that a caller submits, and refuses one that Check refuses.
func (job *Job) UnmarshalJSON(data []byte) error {
	type plain Job
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	if err := (*Job)(&decoded).Check(); err != nil {
		return err
	}
	*job = Job(decoded)
	return nil
}

// maxStoredTasks bounds the tasks of one occurrence of a stored job, which are kept in memory.
const maxStoredTasks = 10 * maxTasks

// decodeStoredJob decodes a job as the journal holds it. It was accepted, so that the limits for new jobs do not apply: those of the
// release that accepted it may have been larger. A job that no release can have accepted is refused: another writer may have stored it.
func decodeStoredJob(data []byte) (Job, error) {
	type plain Job
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Job{}, fmt.Errorf("decode stored job: %w", err)
	}
	job := Job(decoded)
	if err := job.checkFields(); err != nil {
		return Job{}, err
	}
	tasks := 0
	for number := range job.Steps {
		if tasks += min(job.Steps[number].Count, maxStoredTasks+1); tasks > maxStoredTasks {
			return Job{}, Error.New("stored job %s has more than %d tasks", job.ID, maxStoredTasks)
		}
	}
	return job, nil
}

// Check returns an error for the first mistake that would keep the job from completing.
func (job *Job) Check() error {
	if len(job.Steps) > MaxSteps {
		return Error.New("job %s has %d steps: at most %d are allowed", job.ID, len(job.Steps), MaxSteps)
	}
	if err := job.checkFields(); err != nil {
		return err
	}
	for number := range job.Steps {
		if count := job.Steps[number].Count; count > maxTasks {
			return Error.New("job %s step %d: count %d: a step may have at most %d tasks", job.ID, number, count, maxTasks)
		}
	}
	if tasks := job.taskCount(); tasks > maxTasks {
		return Error.New("job %s has %d tasks, the sum of count over its steps: at most %d are allowed", job.ID, tasks, maxTasks)
	}
	return job.checkStoredSize()
}

// checkFields returns an error for the first field that is missing or out of range, apart from limits of size.
func (job *Job) checkFields() error {
	switch {
	case job.ID == "":
		return Error.New("job has no id")
	case len(job.Steps) == 0:
		return Error.New("job %s has no steps: specify at least one", job.ID)
	case job.Runs < 0 || job.IntervalMS < 0:
		return Error.New("job %s has a negative number of occurrences or a negative interval", job.ID)
	}
	for number := range job.Steps {
		if err := job.checkStep(number); err != nil {
			return fmt.Errorf("job %s step %d: %w", job.ID, number, err)
		}
	}
	return nil
}

// taskCount returns the number of tasks of one occurrence.
func (job *Job) taskCount() int {
	tasks := 0
	for number := range job.Steps {
		tasks += job.Steps[number].Count
	}
	return tasks
}

// checkStoredSize returns an error for a job that is larger than maxStoredBytes when it is stored, with the longest values of the fields that
// acceptance sets.
func (job *Job) checkStoredSize() error {
	if job.maxEncodedBytes() <= maxStoredBytes {
		return nil
	}
	accepted := *job
	accepted.AcceptedMS, accepted.Excess = maxDueMS, true
	data, err := json.Marshal(&accepted)
	if err != nil {
		return fmt.Errorf("encode job %s: %w", job.ID, err)
	}
	if len(data) > maxStoredBytes {
		return Error.New("job %s takes %d bytes with its payload and all fields of its steps: at most %d are allowed", job.ID, len(data), maxStoredBytes)
	}
	return nil
}

// memory returns the bytes of memory that the job takes, apart from its tasks.
func (job *Job) memory() int {
	const (
		jobBytes   = 1 << 10 // without texts and steps
		stepBytes  = 256     // without texts and dependencies
		indexBytes = 8       // of a dependency
	)
	size := len(job.Payload)
	if size > 0 { // an ended job has none, and is kept for its state only
		size += jobBytes
	}
	for number := range job.Steps {
		step := &job.Steps[number]
		size += stepBytes + len(step.Label) + len(step.DataRack) + len(step.Image) + indexBytes*len(step.DependsOn)
	}
	return size
}

// maxEncodedBytes returns a number of bytes that the encoded job does not exceed.
func (job *Job) maxEncodedBytes() int {
	const (
		jobFields   = 1 << 10 // bytes of the job without texts and steps
		stepFields  = 512     // bytes of a step without texts and dependencies
		numberBytes = 8       // of the index of a step
		escapeBytes = 6       // of one byte of a text
	)
	texts := len(job.ID) + len(job.Queue) + len(job.Team) + len(job.Payload)
	size := jobFields
	for number := range job.Steps {
		step := &job.Steps[number]
		texts += len(step.Label) + len(step.DataRack) + len(step.Image)
		size += stepFields + numberBytes*len(step.DependsOn)
	}
	return size + escapeBytes*texts
}

func (job *Job) checkStep(number int) error {
	step := &job.Steps[number]
	switch {
	case step.Count <= 0:
		return Error.New("count %d: a step needs at least one task", step.Count)
	case step.Size.MilliCores < 0 || step.Size.MemoryMB < 0 || step.Size.Accelerators < 0:
		return Error.New("size %s has a negative resource", step.Size)
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= number {
			return Error.New("depends on step %d: a step can depend only on earlier steps", earlier)
		}
	}
	return nil
}

// TaskKey identifies one task of one occurrence of a job.
type TaskKey struct {
	Job        string `json:"job"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"index,omitempty"`
}

// step returns the key of the task's step.
func (taskKey TaskKey) step() StepKey {
	return StepKey{Job: taskKey.Job, Occurrence: taskKey.Occurrence, Step: taskKey.Step}
}

// String formats the key for logs.
func (taskKey TaskKey) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", taskKey.Job, taskKey.Occurrence, taskKey.Step, taskKey.Index)
}

// String formats the key for logs.
func (stepKey StepKey) String() string {
	return fmt.Sprintf("%s/%d/%d", stepKey.Job, stepKey.Occurrence, stepKey.Step)
}

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// State is the state of a job.
type State = encoder.State

// The states of a job.
const (
	Queued    = encoder.Queued
	Running   = encoder.Running
	Completed = encoder.Completed
	Failed    = encoder.Failed
	Canceled  = encoder.Canceled
)

// Ending is how a run of a task ended.
type Ending string

// The endings of a run.
const (
	EndedDone           Ending = "done"
	EndedFailed         Ending = "failed"   // the task or its worker failed
	EndedStopped        Ending = "stopped"  // stopped at the planner's request
	EndedLeaseExpired   Ending = "lapsed"   // the lease expired
	EndedGangBroken     Ending = "broken"   // another member of the gang ended
	EndedGangIncomplete Ending = "alone"    // the gang did not assemble in time
	NeverRan            Ending = "neverRan" // the order was refused, or not carried out
	Vanished            Ending = "vanished" // lost with its worker or its lease
	EndedCrashed        Ending = "crashed"  // its worker crashed
)
