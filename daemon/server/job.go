package server

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/library/viewer"
)

// JobSpec describes a job that a caller submits.
type JobSpec struct {
	Service    string     `json:"service"`
	Queue      string     `json:"queue,omitempty"` // empty for the team's first queue that takes the service
	Tasks      []TaskSpec `json:"tasks"`
	Gang       bool       `json:"gang,omitempty"`       // all tasks start at the same time, or none does
	Standing   bool       `json:"standing,omitempty"`   // tasks run until canceled and are restarted when they end
	Idempotent bool       `json:"idempotent,omitempty"` // tasks may run again after a failure
	Resumable  bool       `json:"resumable,omitempty"`  // tasks may be checkpointed and resumed
	Size       sizer.Size `json:"size,omitzero"`        // of each task; zero for the size of the service
	Deadline   time.Time  `json:"deadline,omitzero"`    // latest start of each task
	ExpectedMS int64      `json:"expectedMS,omitempty"` // declared run time of each task, in milliseconds
}

// TaskSpec describes one task of a job.
type TaskSpec struct {
	Target string `json:"target,omitempty"` // path below the service, with the query
	Body   []byte `json:"body,omitempty"`
}

const (
	maxJobBytes          = 1 << 20
	maxJobTasks          = 10_000
	maxStoredAnswerBytes = 64 << 10         // of an answer stored with a job or under an idempotency key
	jobRetention         = 10 * time.Minute // of a finished job
	maxAttempts          = 3                // of a task that fails
	standingRestartDelay = time.Second      // between the end of a standing task and its restart
)

// UnmarshalJSON decodes a spec. It returns an error for a spec without service or tasks, with more than maxJobTasks
// tasks or with a negative run time.
func (jobSpec *JobSpec) UnmarshalJSON(data []byte) error {
	type plain JobSpec
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	switch {
	case decoded.Service == "":
		return Error.New("job without service")
	case len(decoded.Tasks) == 0 || len(decoded.Tasks) > maxJobTasks:
		return Error.New("job with %d tasks: give 1 to %d", len(decoded.Tasks), maxJobTasks)
	case decoded.ExpectedMS < 0:
		return Error.New("job with a negative expectedMS")
	}
	*jobSpec = JobSpec(decoded)
	return nil
}

// digest returns a digest of the spec, to distinguish a repeated submission from another job.
func (jobSpec JobSpec) digest() string {
	data, err := json.Marshal(jobSpec)
	if err != nil {
		return ""
	}
	return viewer.Digest(string(data))
}

// JobTaskState is the state of a task of a job.
type JobTaskState string

// The states of a job's task.
const (
	JobQueued   JobTaskState = "queued"
	JobRunning  JobTaskState = "running"
	JobDone     JobTaskState = "done"
	JobFailed   JobTaskState = "failed"
	JobUnknown  JobTaskState = "unknown" // may have run, in part or completely; not run again
	JobCanceled JobTaskState = "canceled"
	JobExpired  JobTaskState = "expired" // not started before its deadline
)

// final reports whether the state never changes again.
func (jobTaskState JobTaskState) final() bool {
	return jobTaskState != JobQueued && jobTaskState != JobRunning
}

// JobTask is the progress of one task of a job.
type JobTask struct {
	State     JobTaskState `json:"state"`
	Attempts  int          `json:"attempts,omitempty"`
	Worker    string       `json:"worker,omitempty"`
	Task      string       `json:"task,omitempty"`   // ID of the latest attempt
	Boot      string       `json:"boot,omitempty"`   // boot ID of the worker of the latest attempt
	Status    int          `json:"status,omitempty"` // HTTP status of the answer
	Resume    string       `json:"resume,omitempty"` // checkpoint to resume from
	Avoid     []string     `json:"avoid,omitempty"`  // workers on which the task failed
	Answer    []byte       `json:"answer,omitempty"` // at most maxStoredAnswerBytes
	Truncated bool         `json:"cut,omitempty"`    // the answer exceeds maxStoredAnswerBytes
}

// Job is a job with its progress, as sent to callers and replicated to other hosts.
type Job struct {
	ID        string    `json:"id"`
	Team      string    `json:"team"`
	Submitter string    `json:"submitter,omitempty"` // team that submitted it to an open queue of Team, empty if that is Team itself
	Zone      string    `json:"zone"`                // home zone
	Class     string    `json:"class"`
	Spec      JobSpec   `json:"spec"`
	Digest    string    `json:"digest"` // of the spec as submitted
	Tasks     []JobTask `json:"tasks"`
	Canceled  bool      `json:"canceled,omitempty"`
	Submitted time.Time `json:"submitted"`
	Version   int64     `json:"version"`
	Expires   time.Time `json:"expires,omitzero"` // zero until the job is finished
}

// isOwnedBy reports whether a team submitted the job. No other team may read or cancel it, also not the one whose queue it is in.
func (job *Job) isOwnedBy(team string) bool {
	return team == cmp.Or(job.Submitter, job.Team)
}

// UnmarshalJSON decodes a job. It returns an error for a job without ID or service, or whose number of tasks differs
// from its spec.
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

// Finished reports whether every task is in a final state.
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
