// Package fencer orders the deciders of a zone and checks the grants that they give.
//
// A worker keeps the highest term that claimed it and refuses starts of any other.
// Neither side compares clocks of two machines: a grant expires on the worker's own clock.
package fencer

import (
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fencer")

// Term identifies one tenure of a decider; terms are totally ordered.
type Term struct {
	Number int64  `json:"number"`
	Holder string `json:"holder"`
}

// Less reports whether term comes before other.
func (term Term) Less(other Term) bool {
	if term.Number != other.Number {
		return term.Number < other.Number
	}
	return term.Holder < other.Holder
}

// Zero reports whether no decider has held this term.
func (term Term) Zero() bool {
	return term.Number == 0
}

// Next returns the first term of holder after term.
func (term Term) Next(holder string) Term {
	return Term{Number: term.Number + 1, Holder: holder}
}

// String formats the term as number@holder.
func (term Term) String() string {
	return fmt.Sprintf("%d@%s", term.Number, term.Holder)
}

// Grant is the permission to start one task on one worker.
type Grant struct {
	Task     string `json:"task"`
	Team     string `json:"team"`
	Worker   string `json:"worker"`
	Address  string `json:"address"`
	Boot     string `json:"boot"`
	Term     Term   `json:"term"`
	NotAfter int64  `json:"notAfter"` // last moment to begin, on the worker's clock, milliseconds since its boot
	Lease    int64  `json:"lease"`    // end of the task's first lease, on the same clock
}

// UnmarshalJSON decodes a grant and refuses one without its fencing members.
func (grant *Grant) UnmarshalJSON(data []byte) error {
	type plain Grant
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode grant: %w", err)
	}
	if decoded.Task == "" || decoded.Boot == "" || decoded.Term.Zero() {
		return Error.New("grant without task, boot or term")
	}
	if decoded.Lease <= decoded.NotAfter {
		return Error.New("grant of task %s has a lease that ends before the task may begin", decoded.Task)
	}
	*grant = Grant(decoded)
	return nil
}

// Refusal says why a worker refuses a start; the zero value accepts.
type Refusal string

// The refusals of a start, each of which proves that the task did not run.
const (
	Accepted  Refusal = ""
	Fenced    Refusal = "fenced"    // another term owns the worker
	Expired   Refusal = "expired"   // the worker's clock passed NotAfter
	Rebooted  Refusal = "rebooted"  // the grant is for an earlier boot
	Duplicate Refusal = "duplicate" // the task is or was here already
)

// Check compares a grant with the worker's claim, boot and clock in milliseconds.
func Check(grant Grant, claim Term, boot string, clock int64) Refusal {
	switch {
	case grant.Boot != boot:
		return Rebooted
	case grant.Term != claim:
		return Fenced
	case clock > grant.NotAfter:
		return Expired
	}
	return Accepted
}
