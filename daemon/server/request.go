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

// call is one request of a caller on its way through this host.
type call struct {
	asked
	id       string
	arrived  time.Time
	w        http.ResponseWriter
	r        *http.Request
	target   string
	body     *body
	zone     string // where it was last placed
	attempts int
	avoid    []string
	answer   *keptCopy         // of the answer, for its idempotency key
	ended    responder.Outcome // of an answer that was delivered
	home     string            // zone that keeps the key
	take     *TakeKeyCall      // nil without a key
}

const (
	longestSearch = 5 * time.Second // for a decider, before a request is refused
	firstSearch   = 20 * time.Millisecond
	slowestSearch = 200 * time.Millisecond
	finishTimeout = 2 * time.Second
)

// serveRequest takes a request of a caller from its key to its answer.
func (server *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	asked, problem := server.check(r, chi.URLParam(r, "service"))
	if problem != nil {
		server.refuse(w, "", problem)
		return
	}
	call := &call{asked: asked, id: newID("r", server.settings.Host), arrived: time.Now(), w: w, r: r, body: newBody(w, r, asked.service.MaxBody)}
	call.target = callTarget(r)
	if !server.gate.Enter(call.team) {
		problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded, "this host has too many requests in flight")
		server.refuse(w, call.id, problem.After(time.Second))
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
	server.conclude(call, server.attempt(call))
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

// conclude tells the caller of a problem, and notes the outcome. A problem after the answer began can
// only cut it.
func (server *Server) conclude(call *call, problem *responder.Problem) {
	outcome := responder.Answered
	if call.ended != "" {
		outcome = call.ended
	}
	if problem != nil {
		outcome = problem.Outcome
	}
	server.metrics.ended(call, outcome)
	server.Timeline.Record(recorder.Event{Kind: "requestEnded", Request: call.id, Team: call.team, Detail: string(outcome)})
	if problem == nil {
		return
	}
	server.log.Info("request not answered", "request", call.id, "team", call.team, "error", problem.Error())
	if call.answer != nil && call.answer.began {
		panic(http.ErrAbortHandler)
	}
	server.refuse(call.w, call.id, problem)
}

func (server *Server) refuse(w http.ResponseWriter, id string, problem *responder.Problem) {
	problem.Request = id
	if problem.Status == http.StatusRequestEntityTooLarge || problem.Code() == responder.CodeStopping {
		w.Header().Set("Connection", "close")
	}
	server.metrics.refused(problem)
	problem.Write(w)
}

// attempt places and starts the request until it has an answer or a final problem.
func (server *Server) attempt(call *call) *responder.Problem {
	server.budget.First(call.budgetKey())
	for {
		grant, problem := server.place(call)
		if problem != nil {
			return problem
		}
		problem = server.withdrawn(call.asked)
		if problem == nil {
			problem = server.verifyKey(call)
		}
		if problem != nil {
			server.finish(call, grant, decider.NeverRan, 0)
			return problem
		}
		problem, again := server.start(call, grant)
		if !again {
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

// place gets a grant: from the zone's own decider where it has room, else from another zone that does,
// else by waiting in the queue of the own zone.
func (server *Server) place(call *call) (fencer.Grant, *responder.Problem) {
	backoff := retrier.Backoff{First: firstSearch, Longest: slowestSearch}
	until := time.Now().Add(longestSearch)
	for {
		answer, err := server.placeOnce(call)
		if err == nil && answer.Problem != nil {
			return fencer.Grant{}, answer.Problem
		}
		if err == nil {
			call.attempts = answer.Attempt
			return *answer.Grant, nil
		}
		if problem := server.giveUp(call, err, until); problem != nil {
			return fencer.Grant{}, problem
		}
		sleep(call.r.Context(), backoff.Next())
	}
}

// giveUp returns the final problem of a request that found no decider in time, or whose caller left.
func (server *Server) giveUp(call *call, err error, until time.Time) *responder.Problem {
	switch {
	case call.r.Context().Err() != nil:
		server.withdraw(call)
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeCanceled, "the caller went away before the start")
	case server.abandoned.Err() != nil:
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeStopping, "this host is stopping").After(time.Second)
	case !call.deadline.IsZero() && time.Now().After(call.deadline):
		return deadlinePassed()
	case time.Now().After(until):
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeNoDecider, "no host can place the request: %v", err).After(time.Second)
	}
	return nil
}

func (server *Server) placeOnce(call *call) (PlaceAnswer, error) {
	ctx, cancel := server.callContext(call.r.Context())
	defer cancel()
	work := call.work(server.settings.Host)
	own := server.settings.Zone
	answer, err := server.placeIn(ctx, call, own, PlaceCall{Work: work, Spill: true})
	if err == nil && !answer.Spill {
		return answer, nil
	}
	first, firstErr := answer, err
	for _, zone := range server.otherZones() {
		answer, err := server.placeIn(ctx, call, zone, PlaceCall{Work: work, Spill: true})
		if err == nil && answer.Problem == nil {
			return answer, nil
		}
		if err != nil && !linker.ErrUnsent.Has(err) {
			return PlaceAnswer{}, err
		}
	}
	if firstErr != nil || first.Problem.Code() == responder.CodeNeverFits {
		return first, firstErr
	}
	return server.placeIn(ctx, call, own, PlaceCall{Work: work})
}

func (server *Server) placeIn(ctx context.Context, call *call, zone string, place PlaceCall) (PlaceAnswer, error) {
	call.zone = zone
	var answer PlaceAnswer
	err := server.callDecider(ctx, zone, methodPlace, place, &answer)
	return answer, err
}

// callContext ends with the caller's connection or when shutdown stops waiting.
func (server *Server) callContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(server.abandoned, cancel)
	return ctx, func() { stop(); cancel() }
}

// withdraw takes a request out of the decider's queue, without waiting.
func (server *Server) withdraw(call *call) {
	server.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandoned, finishTimeout)
		defer cancel()
		_ = server.callDecider(ctx, call.zone, methodWithdraw, WorkCall{Work: call.id}, nil)
	})
}

// finish tells the decider how an attempt went, without waiting. An empty ending lets it find out.
func (server *Server) finish(call *call, grant fencer.Grant, ending decider.Ending, status int) {
	zone := call.zone
	server.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandoned, finishTimeout)
		defer cancel()
		finish := FinishCall{Task: grant.Task, Ending: ending, Status: status}
		if err := server.callDecider(ctx, zone, methodFinish, finish, nil); err != nil {
			server.log.Debug("end of task not told", "task", grant.Task, "error", err)
		}
	})
}

// start sends the request to its worker and streams the answer. It reports true when the attempt is
// proved not to have run, or may be run again, so that another attempt can follow.
func (server *Server) start(call *call, grant fencer.Grant) (*responder.Problem, bool) {
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
		Header:  forwarded(call.r.Header),
		Body:    call.body.reader(),
		Length:  call.r.ContentLength,
	})
	if err != nil {
		return server.startFailed(call, grant, err)
	}
	defer response.Body.Close()
	call.answer = newKeptCopy(call.w, response, call.key != "")
	stop := context.AfterFunc(server.ending, func() {
		if call.answer.end() {
			cancel()
		}
	})
	defer stop()
	return server.stream(call, grant, response), false
}

// startFailed finds out whether an attempt without an answer ran.
func (server *Server) startFailed(call *call, grant fencer.Grant, err error) (*responder.Problem, bool) {
	server.log.Debug("start failed", "request", call.id, "task", grant.Task, "worker", grant.Worker, "error", err)
	var tooLarge *http.MaxBytesError
	if provedUnsent(err) {
		server.finish(call, grant, decider.NeverRan, 0)
		var refused *starter.RefusedError
		if !errors.As(err, &refused) {
			call.avoid = append(call.avoid, grant.Worker)
		}
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeUpstream, "worker %s took no start: %v", grant.Worker, err), call.body.untouched()
	}
	ending, known := server.settled(call, grant)
	if known && ending == decider.NeverRan {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeUpstream, "worker %s never began the task", grant.Worker), call.body.untouched()
	}
	if errors.As(err, &tooLarge) {
		return responder.New(http.StatusRequestEntityTooLarge, responder.CodeTooLarge, responder.Unknown, "the body exceeds %d bytes", tooLarge.Limit), false
	}
	if call.r.Context().Err() != nil {
		return responder.New(http.StatusBadGateway, responder.CodeCanceled, responder.Unknown, "the caller went away after the start"), false
	}
	problem := responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown, "worker %s gave no answer: it may have run the request", grant.Worker)
	again := known && ending != decider.Completed && call.idempotent && call.body.untouched()
	return problem, again
}

// settled asks the decider how an attempt ended.
func (server *Server) settled(call *call, grant fencer.Grant) (decider.Ending, bool) {
	ctx, cancel := context.WithTimeout(server.abandoned, resolveWait+callTimeout)
	defer cancel()
	var answer ResolveAnswer
	resolve := ResolveCall{Work: call.id, Task: grant.Task}
	if err := server.callDecider(ctx, call.zone, methodResolve, resolve, &answer); err != nil || answer.Pending || !answer.Known {
		return "", false
	}
	return answer.Ending, true
}

// stream passes the worker's answer on as it comes. The outcome follows as a trailer, so that a caller
// can tell a whole answer from a cut one.
func (server *Server) stream(call *call, grant fencer.Grant, response *http.Response) *responder.Problem {
	header := call.w.Header()
	copyHeader(header, response.Header)
	header.Set("Ebonyshunt-Request", call.id)
	header.Set("Trailer", responder.HeaderOutcome+", "+headerDelivered)
	call.w.WriteHeader(response.StatusCode)
	call.answer.began = true
	_, err := io.Copy(call.answer, response.Body)
	if err != nil {
		server.finish(call, grant, "", 0)
	}
	if err != nil && call.answer.ended() {
		header.Set(responder.HeaderOutcome, string(responder.Unknown))
		header.Set(headerDelivered, strconv.FormatInt(call.answer.delivered, 10))
		call.ended = responder.Unknown
		return nil
	}
	if err != nil {
		return responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown, "the answer of worker %s was cut: %v", grant.Worker, err)
	}
	outcome, ending := responder.Answered, decider.Completed
	if response.StatusCode >= http.StatusInternalServerError {
		outcome, ending = responder.Failed, decider.Failed
	}
	header.Set(responder.HeaderOutcome, string(outcome))
	server.finish(call, grant, ending, response.StatusCode)
	call.ended = outcome
	return nil
}

// hopByHop are the headers that concern one connection only (RFC 9110, section 7.6.1), and those that
// do not leave the system.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Idempotency-Key", "Content-Length", "Expect", "Prefer",
}

// forwarded returns the caller's headers that go to the worker.
func forwarded(header http.Header) http.Header {
	passed := http.Header{}
	copyHeader(passed, header)
	passed.Set("Expect", "100-continue")
	return passed
}

func copyHeader(to, from http.Header) {
	listed := strings.Split(from.Get("Connection"), ",")
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
	for _, name := range append(hopByHop, listed...) {
		to.Del(strings.TrimSpace(name))
	}
}

const headerPrefix = "Ebonyshunt-"

// headerDelivered is the trailer with the bytes of a stream that was ended behind a record.
const headerDelivered = "Ebonyshunt-Delivered"
