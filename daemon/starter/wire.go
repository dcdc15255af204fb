// Package starter is the client of the platform's workers.
//
// No other package of the daemon depends on the workers' protocol, which docs/PLATFORM.md describes.
package starter

import (
	"encoding/json"
	"fmt"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("starter")

// ErrFenced marks a call that the worker refused because a later term owns it.
var ErrFenced = errs.Class("fenced")

// ErrNoTask marks a call about a task that the worker does not know.
var ErrNoTask = errs.Class("unknown task")

// Headers of calls to a worker and, for HeaderRefusal, of its responses.
const (
	HeaderGrant   = "Ebonyshunt-Grant"
	HeaderLabel   = "Ebonyshunt-Label"
	HeaderSize    = "Ebonyshunt-Size"
	HeaderRefusal = "Ebonyshunt-Refusal"
	HeaderTerm    = "Ebonyshunt-Term"
	HeaderResume  = "Ebonyshunt-Resume" // checkpoint to resume from
)

// PreferAsync is the value of the Prefer header (RFC 7240) that makes a worker respond to a start at once and store
// the task's answer.
const PreferAsync = "respond-async"

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	Running TaskState = "running"
	Done    TaskState = "done"
	Failed  TaskState = "failed"
	Stopped TaskState = "stopped" // by a call, by an expired lease, or because the connection of its start ended
)

// Task is the state of one task in a worker's report.
type Task struct {
	ID     string     `json:"id"`
	State  TaskState  `json:"state"`
	Label  string     `json:"label,omitempty"`  // from HeaderLabel of the start, opaque to the worker
	Size   sizer.Size `json:"size"`             // granted size
	Used   sizer.Size `json:"used"`             // measured usage, which lags behind the actual usage
	Status int        `json:"status,omitempty"` // HTTP status of the answer, 0 if it has none

	Checkpoint string `json:"checkpoint,omitempty"` // set once the task was stopped with its progress saved
}

// UnmarshalJSON decodes a task and returns an error if the ID is missing or the state is unknown.
func (task *Task) UnmarshalJSON(data []byte) error {
	type plain Task
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode task: %w", err)
	}
	switch decoded.State {
	case Running, Done, Failed, Stopped:
	default:
		return Error.New("task %q has unknown state %q", decoded.ID, decoded.State)
	}
	if decoded.ID == "" {
		return Error.New("task without id")
	}
	*task = Task(decoded)
	return nil
}

// Claim is a call that takes or renews ownership of a worker under a term.
type Claim struct {
	Term     fencer.Term `json:"term"`
	Since    int64       `json:"since,omitempty"`  // report only tasks that changed after this sequence number
	Boot     string      `json:"boot,omitempty"`   // claim the worker only during this boot; empty claims any
	LeaseEnd int64       `json:"lease,omitempty"`  // new end of all leases, on the worker's clock in ms since boot
	Forget   []string    `json:"forget,omitempty"` // ended tasks that need not be reported again
}

// UnmarshalJSON decodes a claim and returns an error if the term is missing.
func (claim *Claim) UnmarshalJSON(data []byte) error {
	type plain Claim
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	if decoded.Term.Zero() || decoded.Term.Holder == "" {
		return Error.New("claim without term")
	}
	*claim = Claim(decoded)
	return nil
}

// Report is a worker's answer to a claim, with its tasks and their states.
type Report struct {
	Worker   string      `json:"worker"`
	Boot     string      `json:"boot"`
	Clock    int64       `json:"clock"` // milliseconds since boot, on the worker's own clock
	Term     fencer.Term `json:"term"`  // term that owns the worker
	Capacity sizer.Size  `json:"capacity"`
	Sequence int64       `json:"sequence"` // number of the worker's latest change of a task
	Full     bool        `json:"whole"`    // Tasks lists all tasks, not only those changed after Claim.Since
	Tasks    []Task      `json:"tasks,omitempty"`
}

// UnmarshalJSON decodes a report and returns an error if the worker or its boot is missing.
func (report *Report) UnmarshalJSON(data []byte) error {
	type plain Report
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode report: %w", err)
	}
	if decoded.Worker == "" || decoded.Boot == "" {
		return Error.New("report without worker or boot")
	}
	*report = Report(decoded)
	return nil
}
