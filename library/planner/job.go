package planner

import (
	"encoding/json"
	"fmt"

	"ebonyshunt.org/library/sizer"
)

// Job is what a caller hands in: steps of tasks that depend on each other, run once or on a schedule.
type Job struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Team       string `json:"team,omitempty"` // empty on a queue that is open to all
	Payload    string `json:"payload"`        // what its tasks are given
	Steps      []Step `json:"steps"`
	FirstRunMS int64  `json:"firstRunMS,omitempty"` // Unix milliseconds at which occurrence 0 is due
	IntervalMS int64  `json:"intervalMS,omitempty"`
	Runs       int    `json:"runs,omitempty"`   // occurrences, 0 for a job without a schedule
	AcceptedMS int64  `json:"acceptedMS"`       // Unix milliseconds
	Excess     bool   `json:"excess,omitempty"` // beyond the rate that its team is owed
}

// Step is a number of like tasks of a job.
type Step struct {
	Count         int        `json:"count"`
	Size          sizer.Size `json:"size"`
	EstimateMS    int64      `json:"estimateMS,omitempty"` // rough run time of a task
	After         []int      `json:"after,omitempty"`      // steps that have to be completed first
	Gang          bool       `json:"gang,omitempty"`       // the tasks run only together
	OneRack       bool       `json:"oneRack,omitempty"`    // the tasks take longer across racks
	Label         string     `json:"label,omitempty"`      // that the worker must have
	DataRack      string     `json:"dataRack,omitempty"`   // elsewhere the tasks take longer
	MostPerWorker int        `json:"mostPerWorker,omitempty"`
	Checkpoints   bool       `json:"checkpoints,omitempty"`
	Speculative   bool       `json:"speculative,omitempty"` // copies may run beside each other
	Standing      bool       `json:"standing,omitempty"`    // runs until the job is canceled
	Image         string     `json:"image,omitempty"`       // tasks of one image behave alike
	TailMS        int64      `json:"tailMS,omitempty"`      // response time that a serving task must stay below
	Filler        bool       `json:"filler,omitempty"`      // processors come from what others leave unused
	MostAway      int        `json:"mostAway,omitempty"`    // tasks of a standing step that may be stopped at once
}

const (
	mostSteps = 1000
	mostTasks = 100_000
)

// UnmarshalJSON decodes a job and refuses one that could never run to its end.
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

// Check reports the first mistake that keeps the job from ever running.
func (job *Job) Check() error {
	switch {
	case job.ID == "":
		return Error.New("job without id")
	case len(job.Steps) == 0:
		return Error.New("job %s has no steps: give it one or more", job.ID)
	case len(job.Steps) > mostSteps:
		return Error.New("job %s has %d steps: at most %d are taken", job.ID, len(job.Steps), mostSteps)
	case job.Runs < 0 || job.IntervalMS < 0:
		return Error.New("job %s has a negative schedule", job.ID)
	}
	for number := range job.Steps {
		if err := job.checkStep(number); err != nil {
			return fmt.Errorf("job %s step %d: %w", job.ID, number, err)
		}
	}
	return nil
}

func (job *Job) checkStep(number int) error {
	step := &job.Steps[number]
	switch {
	case step.Count <= 0:
		return Error.New("count %d: a step needs one task or more", step.Count)
	case step.Count > mostTasks:
		return Error.New("count %d: at most %d tasks are taken", step.Count, mostTasks)
	case step.Size.MilliCores < 0 || step.Size.MemoryMB < 0 || step.Size.Accelerators < 0:
		return Error.New("negative size %s", step.Size)
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= number {
			return Error.New("depends on step %d: only earlier steps can be named", earlier)
		}
	}
	return nil
}

// TaskKey names one task of one occurrence of a job.
type TaskKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Step returns the key of the task's step.
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

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// State is where a job stands.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Canceled  State = "canceled"
)

// Final reports whether a job in this state stays in it.
func (state State) Final() bool {
	return state == Completed || state == Failed || state == Canceled
}

// Ending is how a run of a task ended.
type Ending string

// The endings of a run.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"  // through its own fault or its worker's
	EndedStopped Ending = "stopped" // on our order
	EndedLapsed  Ending = "lapsed"  // its lease ran out
	EndedBroken  Ending = "broken"  // another member of its gang ended
	EndedAlone   Ending = "alone"   // its gang did not assemble in time
	NeverRan     Ending = "neverRan"
	Vanished     Ending = "vanished" // gone with its worker
)
