// Package decider schedules the work of one zone: it decides which task runs on which worker and when.
//
// A Decider is a state machine that does no I/O and reads no clock: events are method calls that pass the
// current time, and Tick returns the effects that the caller has to carry out. The state consists of tables of
// workers, tasks, teams and services, over which each tick runs a fixed sequence of steps. The lease tables of
// the workers are authoritative: a decider that begins a term claims the workers and rebuilds its tables from
// their reports.
package decider

import (
	"container/list"
	"encoding/json"
	"fmt"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("decider")

// Class is the priority of work; a lower value is more urgent.
type Class int

// The classes of work.
const (
	Urgent Class = iota
	Interactive
	Batch
	Standing
)

// ParseClass returns the class with the given name in the configuration.
func ParseClass(name string) (Class, error) {
	for class := Urgent; class <= Standing; class++ {
		if class.String() == name {
			return class, nil
		}
	}
	return 0, Error.New("unknown class %q", name)
}

// String returns the name of the class.
func (class Class) String() string {
	return [...]string{"urgent", "interactive", "batch", "standing"}[class]
}

// Work is a work item: one request, or one task of a job. It keeps its ID over all attempts to run it.
type Work struct {
	ID         string        `json:"id"`
	Team       string        `json:"team"`
	Service    string        `json:"service"`
	Queue      string        `json:"queue"`
	Class      Class         `json:"class"`
	Size       sizer.Size    `json:"size"`
	Origin     string        `json:"origin,omitempty"` // entry host that waits for the grant, empty for a task of a job
	Job        string        `json:"job,omitempty"`
	Gang       int           `json:"gang,omitempty"` // number of tasks of Job that start together, 0 if each starts alone
	Idempotent bool          `json:"idempotent,omitempty"`
	Resumable  bool          `json:"resumable,omitempty"` // can write a checkpoint and resume from it
	Deadline   time.Time     `json:"deadline,omitzero"`   // latest time for the start
	Expected   time.Duration `json:"expected,omitempty"`  // declared run time
	Resume     string        `json:"resume,omitempty"`    // checkpoint to resume from
	Attempt    int           `json:"attempt,omitempty"`   // number of attempts so far
	Avoid      []string      `json:"avoid,omitempty"`     // workers on which it failed
}

// UnmarshalJSON decodes a work item and returns an error if its ID, team, service or size is missing or its class
// is unknown.
func (work *Work) UnmarshalJSON(data []byte) error {
	type plain Work
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode work: %w", err)
	}
	if decoded.ID == "" || decoded.Team == "" || decoded.Service == "" {
		return Error.New("work without id, team or service")
	}
	if decoded.Class < Urgent || decoded.Class > Standing {
		return Error.New("work %s of unknown class %d", decoded.ID, decoded.Class)
	}
	if decoded.Size.Zero() {
		return Error.New("work %s without size", decoded.ID)
	}
	*work = Work(decoded)
	return nil
}

// State is the state of a task.
type State int

// The states of a task.
const (
	Queued  State = iota
	Granted       // granted, but not reported by the worker yet
	Running       // reported as running by the worker
)

// String returns the name of the state.
func (state State) String() string {
	return [...]string{"queued", "granted", "running"}[state]
}

// Task is one row of the task table: a work item with its current attempt.
type Task struct {
	Work
	State        State
	QueuedAt     time.Time
	GrantedAt    time.Time // time of the grant, or of the first report under this term
	Grant        fencer.Grant
	Stopping     bool          // a stop was requested
	unconfirmed  bool          // not reported since the worker rebooted or the term began
	queueElement *list.Element // its element in a taskQueue, nil unless queued
}

// Ending is how an attempt ended.
type Ending string

// The endings of an attempt.
const (
	Completed Ending = "completed"
	Failed    Ending = "failed"
	Stopped   Ending = "stopped"  // by request or because its lease expired; it ran in part
	NeverRan  Ending = "neverRan" // it certainly did not start
	Vanished  Ending = "vanished" // lost with its worker; it may have run
)
