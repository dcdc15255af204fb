package planner

import "time"

// Verdict is the outcome of a caller's call.
type Verdict int

// The verdicts.
const (
	Granted  Verdict = iota
	Refused          // it was not taken and never will be
	Unproven         // it may have been taken
	Missing          // no such job
)

// String names the verdict for logs.
func (verdict Verdict) String() string {
	return [...]string{"granted", "refused", "unproven", "missing"}[verdict]
}

// Reply is what a caller is told.
type Reply struct {
	Verdict    Verdict       `json:"verdict"`
	State      State         `json:"state,omitempty"`
	Pending    int           `json:"pending,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"` // after which it is worth coming back, where it was refused
	Reason     string        `json:"reason,omitempty"`
}
