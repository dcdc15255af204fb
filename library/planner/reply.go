package planner

import "time"

// Verdict is the outcome of a caller's request.
type Verdict int

// The verdicts.
const (
	Granted     Verdict = iota
	Refused             // the request was not accepted and never will be
	Unconfirmed         // the request may have been accepted
	Missing             // the job does not exist
)

// String returns the verdict's name for logs.
func (verdict Verdict) String() string {
	return [...]string{"granted", "refused", "unproven", "missing"}[verdict]
}

// Reply is the answer to a caller's request.
type Reply struct {
	Verdict    Verdict       `json:"verdict"`
	State      State         `json:"state,omitempty"`
	Pending    int           `json:"pending,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"` // when to retry a refused request
	Reason     string        `json:"reason,omitempty"`
}
