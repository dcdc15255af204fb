package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/retrier"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// call is one request of a caller while this host serves it.
type call struct {
	checkedRequest
	id          string
	arrived     time.Time
	w           http.ResponseWriter
	r           *http.Request
	target      string // path below the service, with the query
	body        *body
	zone        string            // zone of the latest placement call
	attempts    int               // number of the latest attempt
	avoid       []string          // workers that a start could not reach
	answer      *answerWriter     // nil until a worker answers
	outcome     responder.Outcome // set once an answer was delivered, or ended by a shutdown
	home        string            // zone that stores the idempotency key
	takeKeyCall *TakeKeyCall      // nil without an idempotency key
}

const (
	deciderSearchTimeout = 5 * time.Second // total time before a request is refused because no decider answers
	minSearchDelay       = 20 * time.Millisecond
	maxSearchDelay       = 200 * time.Millisecond
	// reportTimeout limits the calls to a decider that withdraw a request or report how a request or an attempt ended.
	reportTimeout = 2 * time.Second
)

// serveRequest authenticates a request, places it on a worker and streams the answer to the caller.
func (server *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	checked, problem := server.checkRequest(r, chi.URLParam(r, "service"))
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	call := &call{checkedRequest: checked, id: newID("r", server.settings.Host), arrived: time.Now(), w: w, r: r, body: newBody(w, r, checked.service.MaxBody)}
	call.target = callTarget(r)
	if !server.gate.Enter(call.team) {
		problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "this host has too many requests in flight")
		server.writeProblem(w, call.id, problem.After(time.Second))
		return
	}
	defer server.gate.Leave(call.team)
	server.requests.Store(call.id, time.Now())
	defer server.requests.Delete(call.id)
	server.Timeline.Record(recorder.Event{Kind: "requestReceived", Request: call.id, Team: call.team, Detail: call.service.Name})
	if call.key != "" {
		server.serveKeyed(call)
		return
	}
	server.completeRequest(call, server.runAttempts(call))
}

func newID(prefix, host string) string {
	return prefix + "-" + host + "-" + uuid.NewString()
}

// callTarget returns the path below the service, with the query.
func callTarget(r *http.Request) string {
	target := "/" + strings.TrimPrefix(chi.URLParam(r, "*"), "/")
	if target == "/" {
		target = ""
	}
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// completeRequest records the outcome of a request and sends the problem, if any, to the caller. After the
// answer has begun, a problem can only be signaled by aborting the connection.
func (server *Server) completeRequest(call *call, problem *responder.Problem) {
	outcome := responder.Answered
	if call.outcome != "" {
		outcome = call.outcome
	}
	if problem != nil {
		outcome = problem.Outcome
	}
	server.metrics.ended(call, outcome)
	server.Timeline.Record(recorder.Event{Kind: "requestEnded", Request: call.id, Team: call.team, Detail: string(outcome)})
	if problem == nil {
		return
	}
	server.log.Info("request ended with a problem", "request", call.id, "team", call.team, "error", problem.Error())
	if call.answer != nil && call.answer.began {
		panic(http.ErrAbortHandler)
	}
	server.writeProblem(call.w, call.id, problem)
}

func (server *Server) writeProblem(w http.ResponseWriter, id string, problem *responder.Problem) {
	problem.Request = id
	if problem.Status == http.StatusRequestEntityTooLarge || problem.Code() == responder.CodeStopping {
		w.Header().Set("Connection", "close")
	}
	server.metrics.refused(problem)
	problem.Write(w)
}

// runAttempts places and starts the request until it has an answer or a problem that is not retried. Retries
// are limited by the budget of the team and service.
func (server *Server) runAttempts(call *call) *responder.Problem {
	server.budget.First(call.budgetKey())
	for {
		grant, problem := server.place(call)
		if problem != nil {
			return problem
		}
		problem = server.checkWithdrawn(call.checkedRequest)
		if problem == nil {
			problem = server.verifyKey(call)
		}
		if problem != nil {
			server.reportEnding(call, grant, decider.NeverRan, 0)
			return problem
		}
		problem, retry := server.startAttempt(call, grant)
		if !retry {
			return problem
		}
		if !server.budget.Retry(call.budgetKey()) {
			return problem.After(time.Second)
		}
	}
}

func (call *call) budgetKey() string { return call.team + "/" + call.service.Name }

func (call *call) work(origin string) decider.Work {
	return decider.Work{
		ID:         call.id,
		Team:       call.team,
		Service:    call.service.Name,
		Queue:      call.queue,
		Class:      call.class,
		Size:       call.service.Size,
		Origin:     origin,
		Idempotent: call.idempotent,
		Deadline:   call.deadline,
		Attempt:    call.attempts,
		Avoid:      call.avoid,
	}
}

// place obtains a grant. It retries with backoff while no decider answers, for at most
// deciderSearchTimeout.
func (server *Server) place(call *call) (fencer.Grant, *responder.Problem) {
	backoff := retrier.Backoff{First: minSearchDelay, Longest: maxSearchDelay}
	searchDeadline := time.Now().Add(deciderSearchTimeout)
	for {
		answer, err := server.placeOnce(call)
		if err == nil && answer.Problem != nil {
			return fencer.Grant{}, answer.Problem
		}
		if err == nil {
			call.attempts = answer.Attempt
			return *answer.Grant, nil
		}
		if problem := server.placementProblem(call, err, searchDeadline); problem != nil {
			return fencer.Grant{}, problem
		}
		sleep(call.r.Context(), backoff.Next())
	}
}

// placementProblem returns the problem that ends a placement after a failed call, or nil if the call is to be
// retried.
func (server *Server) placementProblem(call *call, err error, searchDeadline time.Time) *responder.Problem {
	switch {
	case call.r.Context().Err() != nil:
		server.withdraw(call)
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeCanceled, "the caller disconnected before the start")
	case server.abandoned.Err() != nil:
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeStopping, "this host is stopping").After(time.Second)
	case !call.deadline.IsZero() && time.Now().After(call.deadline):
		return deadlinePassed()
	case time.Now().After(searchDeadline):
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeNoDecider, "no host can place the request: %v", err).After(time.Second)
	}
	return nil
}

// placeOnce asks this host's own zone for a grant, then the other zones in turn. If no zone has room soon, the request
// waits in the queue of its own zone. A failed call to another zone ends the search unless it is known not to have
// been sent, because that zone may have queued the request.
func (server *Server) placeOnce(call *call) (PlaceAnswer, error) {
	ctx, cancel := server.callContext(call.r.Context())
	defer cancel()
	work := call.work(server.settings.Host)
	ownZone := server.settings.Zone
	answer, err := server.placeIn(ctx, call, ownZone, PlaceCall{Work: work, Spill: true})
	if err == nil && !answer.Spill {
		return answer, nil
	}
	ownAnswer, ownErr := answer, err
	for _, zone := range server.otherZones() {
		answer, err := server.placeIn(ctx, call, zone, PlaceCall{Work: work, Spill: true})
		if err == nil && answer.Problem == nil {
			return answer, nil
		}
		if err != nil && !linker.ErrUnsent.Has(err) {
			return PlaceAnswer{}, err
		}
	}
	if ownErr != nil || ownAnswer.Problem.Code() == responder.CodeNeverFits {
		return ownAnswer, ownErr
	}
	return server.placeIn(ctx, call, ownZone, PlaceCall{Work: work})
}

func (server *Server) placeIn(ctx context.Context, call *call, zone string, place PlaceCall) (PlaceAnswer, error) {
	call.zone = zone
	var answer PlaceAnswer
	err := server.callDecider(ctx, zone, methodPlace, place, &answer)
	return answer, err
}

// callContext returns a context that ends with its parent, or when shutdown stops waiting for requests in flight.
func (server *Server) callContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(server.abandoned, cancel)
	return ctx, func() { stop(); cancel() }
}

// withdraw asks the decider, in the background, to remove a request from its queue.
func (server *Server) withdraw(call *call) {
	server.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandoned, reportTimeout)
		defer cancel()
		_ = server.callDecider(ctx, call.zone, methodWithdraw, WorkCall{Work: call.id}, nil)
	})
}

// reportEnding reports to the decider, in the background, how an attempt ended. With an empty ending, the decider
// queries the worker.
func (server *Server) reportEnding(call *call, grant fencer.Grant, ending decider.Ending, status int) {
	zone := call.zone
	server.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandoned, reportTimeout)
		defer cancel()
		finish := FinishCall{Task: grant.Task, Ending: ending, Status: status}
		if err := server.callDecider(ctx, zone, methodFinish, finish, nil); err != nil {
			server.log.Debug("failed to report the end of a task to its decider", "task", grant.Task, "error", err)
		}
	})
}

// startAttempt sends the request to its worker and streams the answer. It reports true if another attempt may
// follow: the attempt is proved not to have run, or the request may safely be repeated.
func (server *Server) startAttempt(call *call, grant fencer.Grant) (*responder.Problem, bool) {
	label, err := decider.Label(call.work(server.settings.Host))
	if err != nil {
		return responder.Refuse(http.StatusInternalServerError, responder.CodeBadRequest, "%v", err), false
	}
	ctx, cancel := server.callContext(call.r.Context())
	defer cancel()
	response, err := server.workers.Send(ctx, starter.Start{
		Grant:   grant,
		Label:   label,
		Size:    call.service.Size,
		Service: call.service.Name,
		Method:  call.r.Method,
		Target:  call.target,
		Header:  forwardedHeaders(call.r.Header),
		Body:    call.body.reader(),
		Length:  call.r.ContentLength,
	})
	if err != nil {
		return server.handleStartError(call, grant, err)
	}
	defer response.Body.Close()
	call.answer = newAnswerWriter(call.w, response, call.key != "")
	stop := context.AfterFunc(server.ending, func() {
		if call.answer.requestEnd() {
			cancel()
		}
	})
	defer stop()
	return server.streamAnswer(call, grant, response), false
}

// handleStartError returns the problem of an attempt that got no answer, and whether another attempt may follow. If
// the error does not prove that the task did not run, it asks the decider.
func (server *Server) handleStartError(call *call, grant fencer.Grant, err error) (*responder.Problem, bool) {
	server.log.Debug("failed to start task on worker", "request", call.id, "task", grant.Task, "worker", grant.Worker, "error", err)
	var tooLarge *http.MaxBytesError
	if provedUnsent(err) {
		server.reportEnding(call, grant, decider.NeverRan, 0)
		var refused *starter.RefusedError
		if !errors.As(err, &refused) {
			call.avoid = append(call.avoid, grant.Worker)
		}
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeUpstream, "worker %s did not accept the start: %v", grant.Worker, err), call.body.canResend()
	}
	ending, known := server.resolveAttempt(call, grant)
	if known && ending == decider.NeverRan {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeUpstream, "worker %s did not begin the task", grant.Worker), call.body.canResend()
	}
	if errors.As(err, &tooLarge) {
		return responder.New(http.StatusRequestEntityTooLarge, responder.CodeTooLarge, responder.Unknown, "the body exceeds %d bytes", tooLarge.Limit), false
	}
	if call.r.Context().Err() != nil {
		return responder.New(http.StatusBadGateway, responder.CodeCanceled, responder.Unknown, "the caller disconnected after the start"), false
	}
	problem := responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown, "worker %s sent no answer: it may have run the request", grant.Worker)
	retry := known && ending != decider.Completed && call.idempotent && call.body.canResend()
	return problem, retry
}

// resolveAttempt asks the decider how an attempt ended. It reports false if the ending is not known in time.
func (server *Server) resolveAttempt(call *call, grant fencer.Grant) (decider.Ending, bool) {
	ctx, cancel := context.WithTimeout(server.abandoned, resolveWait+callTimeout)
	defer cancel()
	var answer ResolveAnswer
	resolve := ResolveCall{Work: call.id, Task: grant.Task}
	if err := server.callDecider(ctx, call.zone, methodResolve, resolve, &answer); err != nil || answer.Pending || !answer.Known {
		return "", false
	}
	return answer.Ending, true
}

// streamAnswer forwards the worker's answer to the caller as it arrives. The outcome follows as a trailer, so that
// callers can distinguish a complete answer from a truncated one.
func (server *Server) streamAnswer(call *call, grant fencer.Grant, response *http.Response) *responder.Problem {
	header := call.w.Header()
	copyHeader(header, response.Header)
	header.Set("Ebonyshunt-Request", call.id)
	header.Set("Trailer", responder.HeaderOutcome+", "+headerDelivered)
	call.w.WriteHeader(response.StatusCode)
	call.answer.began = true
	_, err := io.Copy(call.answer, response.Body)
	if err != nil {
		server.reportEnding(call, grant, "", 0)
	}
	if err != nil && call.answer.endedAtRecord() {
		header.Set(responder.HeaderOutcome, string(responder.Unknown))
		header.Set(headerDelivered, strconv.FormatInt(call.answer.deliveredBytes, 10))
		call.outcome = responder.Unknown
		return nil
	}
	if err != nil {
		return responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown, "the answer of worker %s was cut off: %v", grant.Worker, err)
	}
	outcome, ending := responder.Answered, decider.Completed
	if response.StatusCode >= http.StatusInternalServerError {
		outcome, ending = responder.Failed, decider.Failed
	}
	header.Set(responder.HeaderOutcome, string(outcome))
	server.reportEnding(call, grant, ending, response.StatusCode)
	call.outcome = outcome
	return nil
}

// unforwardedHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1) and headers that are for this system only.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Idempotency-Key", "Content-Length", "Expect", "Prefer",
}

// forwardedHeaders returns the caller's headers that are sent to the worker.
func forwardedHeaders(header http.Header) http.Header {
	forwarded := http.Header{}
	copyHeader(forwarded, header)
	forwarded.Set("Expect", "100-continue")
	return forwarded
}

// copyHeader copies headers except unforwardedHeaders, those of this system, and those that the Connection header names.
func copyHeader(to, from http.Header) {
	connectionHeaders := strings.Split(from.Get("Connection"), ",")
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
	for _, name := range append(unforwardedHeaders, connectionHeaders...) {
		to.Del(strings.TrimSpace(name))
	}
}

// headerPrefix begins the names of this system's own headers.
const headerPrefix = "Ebonyshunt-"

// headerDelivered is the trailer with the number of bytes delivered of a stream that was ended after a complete record.
const headerDelivered = "Ebonyshunt-Delivered"
