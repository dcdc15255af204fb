// Package responder defines the outcomes of a request and the problem body (RFC 9457) that reports an error to the caller.
package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("responder")

// Outcome is the final state of a request.
type Outcome string

// The outcomes. Every accepted request ends with exactly one of them.
const (
	Answered Outcome = "answered" // the upstream's answer was delivered completely
	Failed   Outcome = "failed"   // the upstream ran the request and reported a failure
	NotRun   Outcome = "notRun"   // it is certain that no upstream started the request
	Unknown  Outcome = "unknown"  // an upstream may have run the request, partly or completely
)

// Code identifies the cause of a problem. It is the last part of the problem's type URI.
type Code string

// The codes of the problems that callers and operators can receive.
const (
	CodeBadRequest      Code = "badRequest"
	CodeKeyRefused      Code = "keyRefused" // the API key is missing, unknown or withdrawn, or cannot be checked
	CodeOtherTeam       Code = "otherTeam"
	CodeNoService       Code = "unknownService"
	CodeNoQueue         Code = "unknownQueue"
	CodeNotFound        Code = "notFound"
	CodeTooLarge        Code = "bodyTooLarge"
	CodeMediaType       Code = "mediaType"
	CodeNeverFits       Code = "neverFits" // a task exceeds the team's limit or the capacity of every worker
	CodeDeadline        Code = "deadlinePassed"
	CodeOverloaded      Code = "overloaded"
	CodeNotKept         Code = "notKept"         // a job or idempotency key could not be replicated, or its records were lost
	CodeHomeUnreachable Code = "homeUnreachable" // the home zone of a job or idempotency key did not answer
	CodeNoDecider       Code = "noDecider"
	CodeInProgress      Code = "inProgress"
	CodeKeyReused       Code = "keyReused"  // the idempotency key was used with another request
	CodeAnswerGone      Code = "answerGone" // the request ended, but its answer is not stored
	CodeUpstream        Code = "upstreamFailed"
	CodeUpstreamCut     Code = "upstreamCut" // an upstream may have run the request, but its answer did not arrive completely
	CodeCanceled        Code = "canceled"
	CodeConflict        Code = "versionConflict" // the section has another version than the one to be replaced, or a forfeited zone is in use
	CodeOtherOwner      Code = "otherOwner"      // the section belongs to another operator
	CodeCheckFailed     Code = "checkFailed"     // the published section has mistakes
	CodeLogUnavailable  Code = "logUnavailable"  // a record could not be appended to the log, or was not confirmed in time
	CodeConfigAbsent    Code = "noConfiguration" // the host has no configuration yet
	CodeStopping        Code = "stopping"        // the host is shutting down
)

// TypePrefix is the prefix of every problem's type URI; the code follows it.
const TypePrefix = "urn:ebonyshunt:problem:"

// MediaType is the content type of a problem body (RFC 9457).
const MediaType = "application/problem+json"

// HeaderOutcome is the name of the header or trailer that carries the outcome on every response.
const HeaderOutcome = "Ebonyshunt-Outcome"

// Problem is a problem body as defined by RFC 9457, extended by the outcome, the request ID and the retry delay.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Outcome    Outcome `json:"outcome"`
	Request    string  `json:"request,omitempty"`    // request ID
	RetryAfter int     `json:"retryAfter,omitempty"` // seconds
}

// New returns a problem with the code as its title and last part of its type, and a formatted detail.
func New(status int, code Code, outcome Outcome, format string, args ...any) *Problem {
	return &Problem{
		Type:    TypePrefix + string(code),
		Title:   string(code),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
	}
}

// Refuse returns a problem with the outcome NotRun, for a request that certainly did not run.
func Refuse(status int, code Code, format string, args ...any) *Problem {
	return New(status, code, NotRun, format, args...)
}

// WithRetryAfter sets the delay after which the caller may retry and returns the problem. The delay is rounded up to
// whole seconds and is at least 1 s.
func (problem *Problem) WithRetryAfter(delay time.Duration) *Problem {
	problem.RetryAfter = max(1, int((delay+time.Second-1)/time.Second))
	return problem
}

// Code returns the code of the problem, which is its title.
func (problem *Problem) Code() Code {
	return Code(problem.Title)
}

// Error formats the problem for logs.
func (problem *Problem) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", problem.Title, problem.Status, problem.Outcome, problem.Detail)
}

// UnmarshalJSON decodes a problem and returns an error if status or title is missing.
func (problem *Problem) UnmarshalJSON(data []byte) error {
	type plain Problem
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode problem: %w", err)
	}
	if decoded.Status == 0 || decoded.Title == "" {
		return Error.New("problem without status or title")
	}
	*problem = Problem(decoded)
	return nil
}

// Write writes the problem as the complete response: status, headers and body. Errors while the body is
// written are ignored.
func (problem *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", MediaType)
	header.Set(HeaderOutcome, string(problem.Outcome))
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(problem.RetryAfter))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// WriteJSON writes a status and a JSON-encoded value as the complete response. Errors while the body is written are
// ignored.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
