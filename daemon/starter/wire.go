// Package starter is the adapter to the platform's workers.
//
// Nothing else knows the workers' protocol, which docs/PLATFORM.md describes.
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

// The headers of a start.
const (
	HeaderGrant   = "Ebonyshunt-Grant"
	HeaderLabel   = "Ebonyshunt-Label"
	HeaderSize    = "Ebonyshunt-Size"
	HeaderRefusal = "Ebonyshunt-Refusal"
	HeaderTerm    = "Ebonyshunt-Term"
	HeaderResume  = "Ebonyshunt-Resume" // checkpoint to resume from
)

// PreferAsync asks a worker to answer a start at once and keep the task's answer (RFC 7240).
const PreferAsync = "respond-async"

// TaskState is where a task of a worker stands.
type TaskState string

// The states of a task.
const (
	Running TaskState = "running"
	Done    TaskState = "done"
	Failed  TaskState = "failed"
	Stopped TaskState = "stopped" // by call, by a lapsed lease or by the end of its connection
)

// Task is one task in a worker's report.
type Task struct {
	ID     string     `json:"id"`
	State  TaskState  `json:"state"`
	Label  string     `json:"label,omitempty"` // as given at the start, opaque to the worker
	Size   sizer.Size `json:"size"`            // as granted
	Used   sizer.Size `json:"used"`            // measured, with a lag
	Status int        `json:"status,omitempty"`

	Checkpoint string `json:"checkpoint,omitempty"` // set once stopped with its progress kept
}

// UnmarshalJSON decodes a task and refuses one without ID or of unknown state.
func (task *Task) UnmarshalJSON(data []byte) error {
	type plain Task
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode task: %w", err)
	}
	switch decoded.State {
	case Running, Done, Failed, Stopped:
	default:
		return Error.New("task %q in unknown state %q", decoded.ID, decoded.State)
	}
	if decoded.ID == "" {
		return Error.New("task without id")
	}
	*task = Task(decoded)
	return nil
}

// Claim asks for ownership of a worker under a term, or renews it.
type Claim struct {
	Term   fencer.Term `json:"term"`
	Since  int64       `json:"since,omitempty"`  // report only tasks changed after this sequence
	Boot   string      `json:"boot,omitempty"`   // claim only this boot; empty claims any
	Lease  int64       `json:"lease,omitempty"`  // new end of all leases, on the worker's clock
	Forget []string    `json:"forget,omitempty"` // ended tasks that need not be reported again
}

// UnmarshalJSON decodes a claim and refuses one without a term.
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

// Report is a worker's lease table, whole or since a sequence.
type Report struct {
	Worker   string      `json:"worker"`
	Boot     string      `json:"boot"`
	Clock    int64       `json:"clock"` // milliseconds since boot, on the worker's own clock
	Term     fencer.Term `json:"term"`
	Capacity sizer.Size  `json:"capacity"`
	Sequence int64       `json:"sequence"`
	Whole    bool        `json:"whole"`
	Tasks    []Task      `json:"tasks,omitempty"`
}

// UnmarshalJSON decodes a report and refuses one without worker or boot.
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
