// Package responder defines how a request ends: its outcome, and the problem body that tells a caller.
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

// Outcome is the one way in which a request ended.
type Outcome string

// The outcomes; every accepted request ends in exactly one.
const (
	Answered Outcome = "answered" // the upstream's whole answer was delivered
	Failed   Outcome = "failed"   // the upstream ran the request and failed it
	NotRun   Outcome = "notRun"   // proved: no upstream began it
	Unknown  Outcome = "unknown"  // an upstream may have run it, in part or whole
)

// Code names the cause of a problem; it ends the problem's type URI.
type Code string

// The codes that callers and operators may meet.
const (
	CodeBadRequest   Code = "badRequest"
	CodeKey          Code = "keyRefused"
	CodeOtherTeam    Code = "otherTeam"
	CodeNoService    Code = "unknownService"
	CodeNoQueue      Code = "unknownQueue"
	CodeNotFound     Code = "notFound"
	CodeTooLarge     Code = "bodyTooLarge"
	CodeMediaType    Code = "mediaType"
	CodeNeverFits    Code = "neverFits"
	CodeDeadline     Code = "deadlinePassed"
	CodeOverloaded   Code = "overloaded"
	CodeNotKept      Code = "notKept"
	CodeHome         Code = "homeUnreachable"
	CodeNoDecider    Code = "noDecider"
	CodeInProgress   Code = "inProgress"
	CodeKeyReused    Code = "keyReused"
	CodeAnswerGone   Code = "answerGone"
	CodeUpstream     Code = "upstreamFailed"
	CodeUpstreamCut  Code = "upstreamCut"
	CodeCanceled     Code = "canceled"
	CodeConflict     Code = "versionConflict"
	CodeOwner        Code = "otherOwner"
	CodeCheck        Code = "checkFailed"
	CodeLog          Code = "logUnavailable"
	CodeConfigAbsent Code = "noConfiguration"
	CodeStopping     Code = "stopping"
)

// TypePrefix begins the type URI of every problem.
const TypePrefix = "urn:ebonyshunt:problem:"

// MediaType is the content type of a problem body (RFC 9457).
const MediaType = "application/problem+json"

// HeaderOutcome carries the outcome on every answer, as header or as trailer.
const HeaderOutcome = "Ebonyshunt-Outcome"

// Problem is an RFC 9457 problem body with the outcome added.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Outcome    Outcome `json:"outcome"`
	Request    string  `json:"request,omitempty"`
	RetryAfter int     `json:"retryAfter,omitempty"` // seconds
}

// New returns a problem whose title is the code.
func New(status int, code Code, outcome Outcome, format string, args ...any) *Problem {
	return &Problem{
		Type:    TypePrefix + string(code),
		Title:   string(code),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
	}
}

// Refuse returns a problem for a request that was proved not to have run.
func Refuse(status int, code Code, format string, args ...any) *Problem {
	return New(status, code, NotRun, format, args...)
}

// After sets when the caller may ask again, rounded up to whole seconds.
func (problem *Problem) After(wait time.Duration) *Problem {
	problem.RetryAfter = max(1, int((wait+time.Second-1)/time.Second))
	return problem
}

// Code returns the cause.
func (problem *Problem) Code() Code {
	return Code(problem.Title)
}

// Error formats the problem for logs.
func (problem *Problem) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", problem.Title, problem.Status, problem.Outcome, problem.Detail)
}

// UnmarshalJSON decodes a problem and refuses one without status or title.
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

// Write sends the problem as the whole response.
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

// WriteJSON sends a value as the whole response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
