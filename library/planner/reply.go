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
	// Conflict reports that a refused job has the ID of a job of another team or queue, so that a retry is of no use.
	Conflict bool `json:"conflict,omitempty"`
}

// Caller is who makes a request.
type Caller struct {
	Team   string `json:"team,omitempty"`   // of the caller's key, empty for none
	Public bool   `json:"public,omitempty"` // whether the queue is open to callers of any team
}

// owns reports whether a caller may read and cancel a job of a team. Jobs that were submitted without a key are open to all callers.
func (caller Caller) owns(team string) bool {
	return caller.Public || team == "" || caller.Team == team
}

// Owns reports whether a job exists in a queue and is open to a caller. A nil caller, from a host of an earlier release, is not checked.
func (planner *Planner) Owns(caller *Caller, queue, id string) bool {
	entry := planner.jobs[id]
	return entry != nil && entry.Queue == queue && (caller == nil || caller.owns(entry.Team))
}
