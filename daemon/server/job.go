package server

import (
	"encoding/json"
	"fmt"
	"time"

	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/library/viewer"
)

// JobSpec is what a caller submits.
type JobSpec struct {
	Service    string     `json:"service"`
	Queue      string     `json:"queue,omitempty"` // empty: the team's first queue for the service
	Tasks      []TaskSpec `json:"tasks"`
	Gang       bool       `json:"gang,omitempty"`       // all tasks start at once, or none
	Standing   bool       `json:"standing,omitempty"`   // tasks run on and are started again when they end
	Idempotent bool       `json:"idempotent,omitempty"` // tasks may run again after a failure
	Resumable  bool       `json:"resumable,omitempty"`  // tasks may be checkpointed and resumed
	Size       sizer.Size `json:"size,omitzero"`        // of each task, zero for the service's
	Deadline   time.Time  `json:"deadline,omitzero"`    // for the start of each task
	ExpectedMS int64      `json:"expectedMS,omitempty"` // declared run time of each task
}

// TaskSpec is one task: a target below the service, with query, and a body.
type TaskSpec struct {
	Target string `json:"target,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

const (
	mostJobBytes  = 1 << 20
	mostJobTasks  = 10_000
	mostKept      = 64 << 10 // bytes of an answer that is kept
	jobKept       = 10 * time.Minute
	mostAttempts  = 3
	standingPause = time.Second
)

// UnmarshalJSON decodes a spec and refuses one without service or tasks, or with too many.
func (jobSpec *JobSpec) UnmarshalJSON(data []byte) error {
	type plain JobSpec
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	switch {
	case decoded.Service == "":
		return Error.New("job without service")
	case len(decoded.Tasks) == 0 || len(decoded.Tasks) > mostJobTasks:
		return Error.New("job with %d tasks: give 1 to %d", len(decoded.Tasks), mostJobTasks)
	case decoded.ExpectedMS < 0:
		return Error.New("job with a negative expectedMS")
	}
	*jobSpec = JobSpec(decoded)
	return nil
}

// digest identifies the spec, to tell a repeated submission from another one.
func (jobSpec JobSpec) digest() string {
	data, err := json.Marshal(jobSpec)
	if err != nil {
		return ""
	}
	return viewer.Digest(string(data))
}

// JobTaskState is where a task of a job stands.
type JobTaskState string

// The states of a job's task.
const (
	JobQueued   JobTaskState = "queued"
	JobRunning  JobTaskState = "running"
	JobDone     JobTaskState = "done"
	JobFailed   JobTaskState = "failed"
	JobUnknown  JobTaskState = "unknown" // it may have run, in part or whole, and is not run again
	JobCanceled JobTaskState = "canceled"
	JobExpired  JobTaskState = "expired" // not started before its deadline
)

// final reports whether the state is the last one.
func (jobTaskState JobTaskState) final() bool {
	return jobTaskState != JobQueued && jobTaskState != JobRunning
}

// JobTask is one task of a job.
type JobTask struct {
	State    JobTaskState `json:"state"`
	Attempts int          `json:"attempts,omitempty"`
	Worker   string       `json:"worker,omitempty"`
	Task     string       `json:"task,omitempty"` // of the last attempt
	Boot     string       `json:"boot,omitempty"` // of its worker
	Status   int          `json:"status,omitempty"`
	Resume   string       `json:"resume,omitempty"` // checkpoint to resume from
	Avoid    []string     `json:"avoid,omitempty"`
	Answer   []byte       `json:"answer,omitempty"`
	Cut      bool         `json:"cut,omitempty"` // the answer was too large to be kept whole
}

// Job is a job as callers and keepers see it.
type Job struct {
	ID        string    `json:"id"`
	Team      string    `json:"team"`
	Zone      string    `json:"zone"`
	Class     string    `json:"class"`
	Spec      JobSpec   `json:"spec"`
	Digest    string    `json:"digest"` // of the spec as it was submitted
	Tasks     []JobTask `json:"tasks"`
	Canceled  bool      `json:"canceled,omitempty"`
	Submitted time.Time `json:"submitted"`
	Version   int64     `json:"version"`
	Expires   time.Time `json:"expires,omitzero"`
}

// UnmarshalJSON decodes a job and refuses one without ID or whose tasks do not match its spec.
func (job *Job) UnmarshalJSON(data []byte) error {
	type plain Job
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	if decoded.ID == "" || decoded.Spec.Service == "" || len(decoded.Tasks) != len(decoded.Spec.Tasks) {
		return Error.New("job %q without id or service, or with %d tasks for %d specs", decoded.ID, len(decoded.Tasks), len(decoded.Spec.Tasks))
	}
	*job = Job(decoded)
	return nil
}

// Finished reports whether every task is in its last state.
func (job *Job) Finished() bool {
	for _, task := range job.Tasks {
		if !task.State.final() {
			return false
		}
	}
	return true
}

// Outcome returns the outcome of a finished job: the worst of its tasks.
func (job *Job) Outcome() responder.Outcome {
	outcome := responder.Answered
	for _, task := range job.Tasks {
		switch task.State {
		case JobUnknown:
			return responder.Unknown
		case JobFailed:
			outcome = responder.Failed
		case JobCanceled, JobExpired:
			if outcome == responder.Answered {
				outcome = responder.NotRun
			}
		case JobDone, JobQueued, JobRunning:
		}
	}
	return outcome
}
