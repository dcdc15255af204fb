// Package decider decides what runs where in one zone.
//
// It is a state machine without input, output or clock of its own: events come in as method calls with
// the current time, and Tick returns the effects to carry out. Entities stand in tables (workers, tasks,
// teams, services) and systems run over them each tick. The lease tables of the workers are the truth:
// a decider that begins a term claims the workers and rebuilds its tables from their reports.
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

// Class orders work by how pressing it is; lower is more pressing.
type Class int

// The classes of work.
const (
	Urgent Class = iota
	Interactive
	Batch
	Standing
)

// ParseClass reads a class by its name in the configuration.
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

// Work is what is asked for: one request, or one task of a job. It is the same over all attempts.
type Work struct {
	ID         string        `json:"id"`
	Team       string        `json:"team"`
	Service    string        `json:"service"`
	Queue      string        `json:"queue"`
	Class      Class         `json:"class"`
	Size       sizer.Size    `json:"size"`
	Origin     string        `json:"origin,omitempty"` // entry host that waits for the grant of a request
	Job        string        `json:"job,omitempty"`
	Gang       int           `json:"gang,omitempty"` // tasks of Job that start together, 0 where each starts alone
	Idempotent bool          `json:"idempotent,omitempty"`
	Resumable  bool          `json:"resumable,omitempty"` // may be checkpointed and resumed
	Deadline   time.Time     `json:"deadline,omitzero"`   // for the start
	Expected   time.Duration `json:"expected,omitempty"`  // declared run time
	Resume     string        `json:"resume,omitempty"`    // checkpoint to resume from
	Attempt    int           `json:"attempt,omitempty"`
	Avoid      []string      `json:"avoid,omitempty"` // workers that failed it
}

// UnmarshalJSON decodes a work and refuses one without ID, team, service or size, or of unknown class.
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

// State is where a task stands.
type State int

// The states of a task.
const (
	Queued  State = iota
	Granted       // a start may be on its way
	Running       // the worker reported it
)

// String returns the name of the state.
func (state State) String() string {
	return [...]string{"queued", "granted", "running"}[state]
}

// Task is one row of the task table: a work with its present attempt.
type Task struct {
	Work
	State    State
	Queued   time.Time
	Began    time.Time // of the grant
	Grant    fencer.Grant
	Stopping bool          // its end was asked for
	lost     bool          // its worker rebooted and has not reported it
	place    *list.Element // in its lane, while queued
}

// Ending is how an attempt ended.
type Ending string

// The endings of an attempt.
const (
	Completed Ending = "completed"
	Failed    Ending = "failed"
	Stopped   Ending = "stopped" // by call or lapsed lease; it ran in part
	NeverRan  Ending = "neverRan"
	Vanished  Ending = "vanished" // its worker was lost with it; it may have run
)
