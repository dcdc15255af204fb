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

// clientRequest is one request of a caller while this host serves it.
type clientRequest struct {
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
	request := &clientRequest{checkedRequest: checked, id: newID("r", server.settings.Host), arrived: time.Now(), w: w, r: r, body: newBody(w, r, checked.service.MaxBody)}
	request.target = requestTarget(r)
	if !server.admission.TryAcquire(request.team) {
		problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "this host has too many requests in flight")
		server.writeProblem(w, request.id, problem.WithRetryAfter(time.Second))
		return
	}
	defer server.admission.Release(request.team)
	server.activeRequests.Store(request.id, time.Now())
	defer server.activeRequests.Delete(request.id)
	server.Timeline.Record(recorder.Event{Kind: "requestReceived", Request: request.id, Team: request.team, Detail: request.service.Name})
	if request.key != "" {
		server.serveKeyed(request)
		return
	}
	server.completeRequest(request, server.runAttempts(request))
}

func newID(prefix, host string) string {
	return prefix + "-" + host + "-" + uuid.NewString()
}

// requestTarget returns the path below the service, with the query.
func requestTarget(r *http.Request) string {
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
func (server *Server) completeRequest(request *clientRequest, problem *responder.Problem) {
	outcome := responder.Answered
	if request.outcome != "" {
		outcome = request.outcome
	}
	if problem != nil {
		outcome = problem.Outcome
	}
	server.metrics.observeRequest(request, outcome)
	server.Timeline.Record(recorder.Event{Kind: "requestEnded", Request: request.id, Team: request.team, Detail: string(outcome)})
	if problem == nil {
		return
	}
	server.log.Info("request ended with a problem", "request", request.id, "team", request.team, "error", problem.Error())
	if request.answer != nil && request.answer.began {
		panic(http.ErrAbortHandler)
	}
	server.writeProblem(request.w, request.id, problem)
}

func (server *Server) writeProblem(w http.ResponseWriter, id string, problem *responder.Problem) {
	problem.Request = id
	if problem.Status == http.StatusRequestEntityTooLarge || problem.Code() == responder.CodeStopping {
		w.Header().Set("Connection", "close")
	}
	server.metrics.countProblem(problem)
	problem.Write(w)
}

// runAttempts places and starts the request until it has an answer or a problem that is not retried. Retries
// are limited by the budget of the team and service.
func (server *Server) runAttempts(request *clientRequest) *responder.Problem {
	server.retryBudget.RecordFirstAttempt(request.budgetKey())
	for {
		grant, problem := server.place(request)
		if problem != nil {
			return problem
		}
		problem = server.checkWithdrawn(request.checkedRequest)
		if problem == nil {
			problem = server.verifyKey(request)
		}
		if problem != nil {
			server.reportEnding(request, grant, decider.NeverRan, 0)
			return problem
		}
		problem, retry := server.startAttempt(request, grant)
		if !retry {
			return problem
		}
		if !server.retryBudget.Retry(request.budgetKey()) {
			return problem.WithRetryAfter(time.Second)
		}
	}
}

func (clientRequest *clientRequest) budgetKey() string {
	return clientRequest.team + "/" + clientRequest.service.Name
}

func (clientRequest *clientRequest) work(origin string) decider.Work {
	return decider.Work{
		ID:         clientRequest.id,
		Team:       clientRequest.team,
		Service:    clientRequest.service.Name,
		Queue:      clientRequest.queue,
		Class:      clientRequest.class,
		Size:       clientRequest.service.Size,
		Origin:     origin,
		Idempotent: clientRequest.idempotent,
		Deadline:   clientRequest.deadline,
		Attempt:    clientRequest.attempts,
		Avoid:      clientRequest.avoid,
	}
}

// place obtains a grant. It retries with backoff while no decider answers, for at most
// deciderSearchTimeout.
func (server *Server) place(request *clientRequest) (fencer.Grant, *responder.Problem) {
	backoff := retrier.Backoff{Initial: minSearchDelay, Max: maxSearchDelay}
	searchDeadline := time.Now().Add(deciderSearchTimeout)
	for {
		answer, err := server.placeOnce(request)
		if err == nil && answer.Problem != nil {
			return fencer.Grant{}, answer.Problem
		}
		if err == nil {
			request.attempts = answer.Attempt
			return *answer.Grant, nil
		}
		if problem := server.placementProblem(request, err, searchDeadline); problem != nil {
			return fencer.Grant{}, problem
		}
		retrier.Sleep(request.r.Context(), backoff.Next())
	}
}

// placementProblem returns the problem that ends a placement after a failed call, or nil if the call is to be
// retried.
func (server *Server) placementProblem(request *clientRequest, err error, searchDeadline time.Time) *responder.Problem {
	switch {
	case request.r.Context().Err() != nil:
		server.withdraw(request)
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeCanceled, "the caller disconnected before the start")
	case server.abandonContext.Err() != nil:
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeStopping, "this host is stopping").WithRetryAfter(time.Second)
	case !request.deadline.IsZero() && time.Now().After(request.deadline):
		return deadlineProblem()
	case time.Now().After(searchDeadline):
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeNoDecider, "no host can place the request: %v", err).WithRetryAfter(time.Second)
	}
	return nil
}

// placeOnce requests a grant from this host's own zone, then from the other zones in turn. If no zone has room soon,
// the request waits in the queue of its own zone. A failed call to another zone ends the search unless it is known not
// to have been sent, because that zone may have queued the request.
func (server *Server) placeOnce(request *clientRequest) (PlaceAnswer, error) {
	ctx, cancel := server.requestContext(request.r.Context())
	defer cancel()
	work := request.work(server.settings.Host)
	ownZone := server.settings.Zone
	answer, err := server.placeIn(ctx, request, ownZone, PlaceCall{Work: work, Spill: true})
	if err == nil && !answer.Spill {
		return answer, nil
	}
	ownAnswer, ownErr := answer, err
	for _, zone := range server.spillZones() {
		answer, err := server.placeIn(ctx, request, zone, PlaceCall{Work: work, Spill: true})
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
	return server.placeIn(ctx, request, ownZone, PlaceCall{Work: work})
}

func (server *Server) placeIn(ctx context.Context, request *clientRequest, zone string, place PlaceCall) (PlaceAnswer, error) {
	request.zone = zone
	var answer PlaceAnswer
	err := server.callDecider(ctx, zone, methodPlace, place, &answer)
	return answer, err
}

// requestContext returns a context that ends with its parent, or when shutdown stops waiting for requests in flight.
func (server *Server) requestContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(server.abandonContext, cancel)
	return ctx, func() { stop(); cancel() }
}

// withdraw requests, in the background, that the decider remove a request from its queue.
func (server *Server) withdraw(request *clientRequest) {
	server.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandonContext, reportTimeout)
		defer cancel()
		_ = server.callDecider(ctx, request.zone, methodWithdraw, WorkCall{Work: request.id}, nil)
	})
}

// reportEnding reports to the decider, in the background, how an attempt ended. With an empty ending, the decider
// queries the worker.
func (server *Server) reportEnding(request *clientRequest, grant fencer.Grant, ending decider.Ending, status int) {
	zone := request.zone
	server.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandonContext, reportTimeout)
		defer cancel()
		finish := FinishCall{Task: grant.Task, Ending: ending, Status: status}
		if err := server.callDecider(ctx, zone, methodFinish, finish, nil); err != nil {
			server.log.Debug("failed to report the end of a task to its decider", "task", grant.Task, "error", err)
		}
	})
}

// startAttempt sends the request to its worker and streams the answer. It reports true if another attempt may
// follow: the attempt is proved not to have run, or the request may safely be repeated.
func (server *Server) startAttempt(request *clientRequest, grant fencer.Grant) (*responder.Problem, bool) {
	label, err := decider.Label(request.work(server.settings.Host))
	if err != nil {
		return responder.Refuse(http.StatusInternalServerError, responder.CodeBadRequest, "%v", err), false
	}
	ctx, cancel := server.requestContext(request.r.Context())
	defer cancel()
	response, err := server.workerClient.Send(ctx, starter.StartRequest{
		Grant:   grant,
		Label:   label,
		Size:    request.service.Size,
		Service: request.service.Name,
		Method:  request.r.Method,
		Target:  request.target,
		Header:  forwardedHeaders(request.r.Header),
		Body:    request.body.reader(),
		Length:  request.r.ContentLength,
	})
	if err != nil {
		return server.handleStartError(request, grant, err)
	}
	defer response.Body.Close()
	request.answer = newAnswerWriter(request.w, response, request.key != "")
	stop := context.AfterFunc(server.endStreamsContext, func() {
		if request.answer.requestEnd() {
			cancel()
		}
	})
	defer stop()
	return server.streamAnswer(request, grant, response), false
}

// handleStartError returns the problem of an attempt that got no answer, and whether another attempt may follow. If
// the error does not prove that the task did not run, it queries the decider.
func (server *Server) handleStartError(request *clientRequest, grant fencer.Grant, err error) (*responder.Problem, bool) {
	server.log.Debug("failed to start task on worker", "request", request.id, "task", grant.Task, "worker", grant.Worker, "error", err)
	var tooLarge *http.MaxBytesError
	if provesNotStarted(err) {
		server.reportEnding(request, grant, decider.NeverRan, 0)
		var refused *starter.RefusedError
		if !errors.As(err, &refused) {
			request.avoid = append(request.avoid, grant.Worker)
		}
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeUpstream, "worker %s did not accept the start: %v", grant.Worker, err), request.body.canResend()
	}
	ending, known := server.resolveAttempt(request, grant)
	if known && ending == decider.NeverRan {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeUpstream, "worker %s did not begin the task", grant.Worker), request.body.canResend()
	}
	if errors.As(err, &tooLarge) {
		return responder.New(http.StatusRequestEntityTooLarge, responder.CodeTooLarge, responder.Unknown, "the body exceeds %d bytes", tooLarge.Limit), false
	}
	if request.r.Context().Err() != nil {
		return responder.New(http.StatusBadGateway, responder.CodeCanceled, responder.Unknown, "the caller disconnected after the start"), false
	}
	problem := responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown, "worker %s sent no answer: it may have run the request", grant.Worker)
	retry := known && ending != decider.Completed && request.idempotent && request.body.canResend()
	return problem, retry
}

// resolveAttempt queries the decider for how an attempt ended. It reports false if the ending is not known in time.
func (server *Server) resolveAttempt(request *clientRequest, grant fencer.Grant) (decider.Ending, bool) {
	ctx, cancel := context.WithTimeout(server.abandonContext, resolveTimeout+callTimeout)
	defer cancel()
	var answer ResolveAnswer
	resolve := ResolveCall{Work: request.id, Task: grant.Task}
	if err := server.callDecider(ctx, request.zone, methodResolve, resolve, &answer); err != nil || answer.Pending || !answer.Known {
		return "", false
	}
	return answer.Ending, true
}

// streamAnswer forwards the worker's answer to the caller as it arrives. The outcome follows as a trailer, so that
// callers can distinguish a complete answer from a truncated one.
func (server *Server) streamAnswer(request *clientRequest, grant fencer.Grant, response *http.Response) *responder.Problem {
	header := request.w.Header()
	copyHeader(header, response.Header)
	header.Set("Ebonyshunt-Request", request.id)
	header.Set("Trailer", responder.HeaderOutcome+", "+headerDelivered)
	request.w.WriteHeader(response.StatusCode)
	request.answer.began = true
	_, err := io.Copy(request.answer, response.Body)
	if err != nil {
		server.reportEnding(request, grant, "", 0)
	}
	if err != nil && request.answer.endedAtRecord() {
		header.Set(responder.HeaderOutcome, string(responder.Unknown))
		header.Set(headerDelivered, strconv.FormatInt(request.answer.deliveredBytes, 10))
		request.outcome = responder.Unknown
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
	server.reportEnding(request, grant, ending, response.StatusCode)
	request.outcome = outcome
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
