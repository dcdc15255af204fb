// Package fencer implements fencing tokens: it orders the terms of a zone's deciders and checks the grants
// that deciders issue to workers.
//
// A worker stores the highest term that claimed it and refuses starts under any other term.
// The clocks of two machines are never compared: a grant expires on the clock of the worker it is issued to.
package fencer

import (
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fencer")

// Term is the fencing token of one period in which a host is the decider of its zone.
// Terms are totally ordered, first by number, then by holder.
type Term struct {
	Number int64  `json:"number"`
	Holder string `json:"holder"` // name of the deciding host
}

// Less reports whether term is older than other.
func (term Term) Less(other Term) bool {
	if term.Number != other.Number {
		return term.Number < other.Number
	}
	return term.Holder < other.Holder
}

// Zero reports whether term has number 0, which no decider holds.
func (term Term) Zero() bool {
	return term.Number == 0
}

// Next returns the term that follows term and is held by holder.
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
	Address  string `json:"address"` // of the worker
	Boot     string `json:"boot"`    // ID of the worker's boot; the grant is invalid after a reboot
	Term     Term   `json:"term"`
	NotAfter int64  `json:"notAfter"` // latest start of the task, in milliseconds since the worker's boot, on the worker's clock
	LeaseEnd int64  `json:"lease"`    // end of the task's first lease, in the same unit and on the same clock
}

// UnmarshalJSON decodes a grant and returns an error if task, boot or term is missing,
// or if the lease does not end after NotAfter.
func (grant *Grant) UnmarshalJSON(data []byte) error {
	type plain Grant
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode grant: %w", err)
	}
	if decoded.Task == "" || decoded.Boot == "" || decoded.Term.Zero() {
		return Error.New("grant without task, boot or term")
	}
	if decoded.LeaseEnd <= decoded.NotAfter {
		return Error.New("grant of task %s: the lease does not end after the latest start", decoded.Task)
	}
	*grant = Grant(decoded)
	return nil
}

// Refusal is the reason why a worker refuses to start a task; the zero value means that the start is accepted.
type Refusal string

// The refusals of a start. Each of them except Duplicate proves that the task did not run.
const (
	Accepted  Refusal = ""
	Fenced    Refusal = "fenced"    // the worker is claimed by a term other than that of the grant
	Expired   Refusal = "expired"   // the worker's clock is past NotAfter
	Rebooted  Refusal = "rebooted"  // the grant is for another boot of the worker
	Duplicate Refusal = "duplicate" // the worker runs or ran the task already
)

// Check returns the reason why a worker has to refuse a grant, or Accepted. Claim is the term that claimed
// the worker, boot its boot ID and clock the time since that boot in milliseconds. Check never returns
// Duplicate: it has no record of the tasks that the worker ran.
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
