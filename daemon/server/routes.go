package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// routes returns the handler of the HTTP API, which docs/API.md describes.
func (server *Server) routes() http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		server.writeProblem(w, "", responder.Refuse(http.StatusNotFound, responder.CodeNotFound, "no resource at %s", r.URL.Path))
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", server.serveReady)
	router.Handle("/metrics", promhttp.HandlerFor(server.metrics.registry, promhttp.HandlerOpts{}))
	router.Route("/v1", func(router chi.Router) {
		router.Use(server.refuseWhileStopping)
		router.HandleFunc("/services/{service}", server.serveRequest)
		router.HandleFunc("/services/{service}/*", server.serveRequest)
		router.Post("/handles", server.serveHandle)
		router.Post("/jobs", server.serveSubmit)
		router.Get("/jobs/{job}", server.serveJob)
		router.Get("/jobs/{job}/events", server.serveJobEvents)
		router.Get("/jobs/{job}/tasks/{task}/answer", server.serveJobAnswer)
		router.Delete("/jobs/{job}", server.serveCancel)
		router.Group(func(router chi.Router) {
			router.Use(server.requireOperator)
			router.Get("/sections", server.serveSections)
			router.Put("/sections/*", server.servePublish)
			router.Delete("/sections/*", server.servePublish)
			router.Post("/zones/{zone}/forfeit", server.serveForfeit)
			router.Get("/status", server.serveStatus)
			router.Delete("/requests/{request}", server.serveWithdraw)
			router.Get("/hosts", server.serveHosts)
			router.Get("/timeline", server.serveTimeline)
		})
	})
	return router
}

// serveReady answers the readiness probe of the platform's load balancer.
func (server *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := server.unreadyReason()
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (server *Server) unreadyReason() string {
	switch {
	case server.shuttingDown.Load():
		return "stopping"
	case server.viewer.View().AsOf == 0:
		return "no configuration yet"
	case server.conflictingZone() != "":
		return fmt.Sprintf("settings say zone %s, the platform's list says %s: correct [host] zone", server.settings.Zone, server.conflictingZone())
	}
	return server.undecidedReason()
}

// maxDeciderWait is the time after a start in which a host is not ready until it knows the deciders of all zones. A zone
// whose hosts are all lost keeps others unready for no longer than that.
const maxDeciderWait = 5 * time.Second

// undecidedReason returns why this host cannot pass requests on to deciders yet, or an empty text.
func (server *Server) undecidedReason() string {
	if !server.knowsAnyDecider() {
		return "no live host decides for any zone"
	}
	if _, found := server.peers.Decider(server.settings.Zone, time.Now()); found && server.currentTenure() == nil && !server.hasZoneRecords.Load() {
		return "no copies of the zone's records yet"
	}
	if time.Since(server.startedAt) > maxDeciderWait {
		return ""
	}
	for _, zone := range server.viewer.View().Fleet.Zones {
		if !server.knowsDecider(zone) {
			return "the decider of zone " + zone + " is not known yet"
		}
	}
	return ""
}

func (server *Server) knowsAnyDecider() bool {
	return server.currentTenure() != nil || slices.ContainsFunc(server.viewer.View().Fleet.Zones, server.knowsDecider)
}

// knowsDecider reports whether a live host, which may be this one, is known to be the decider of a zone.
func (server *Server) knowsDecider(zone string) bool {
	if zone == server.settings.Zone && server.currentTenure() != nil {
		return true
	}
	_, found := server.peers.Decider(zone, time.Now())
	return found
}

// refuseWhileStopping refuses new requests once the host has been shutting down for longer than loadBalancerDelay.
// Until then, the load balancer may still send requests here.
func (server *Server) refuseWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !server.beginHandler() {
			panic(http.ErrAbortHandler)
		}
		defer server.inFlight.Done()
		if server.shuttingDown.Load() && time.Since(server.shutdownStart()) > loadBalancerDelay {
			problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeStopping, "this host is stopping")
			server.writeProblem(w, "", problem.WithRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operator returns the name of the operator whose key a request carries.
func (server *Server) operator(r *http.Request) (string, bool) {
	bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	return server.operatorByKey(bearer)
}

func (server *Server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, known := server.operator(r); !known {
			server.writeProblem(w, "", keyRefused("send Authorization: Bearer with the key of an operator"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveSubmit accepts a job and answers with the job and its location. A job with an idempotency key is submitted to the
// home zone of the key, any other job to this zone.
func (server *Server) serveSubmit(w http.ResponseWriter, r *http.Request) {
	view := server.viewer.View()
	team, problem := server.authenticate(view, r)
	if problem == nil {
		problem = checkHeaders(r)
	}
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	body, problem := server.receive(w, r, maxJobBytes, "job")
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	defer body.Close()
	spec, problem := decodeJobSpec(body.Data)
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	queue, problem := chooseQueue(view, spec.Queue, team, spec.Service)
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	spec.Queue = queue.Name
	home := server.settings.Zone
	id := newJobID(home, "")
	if key := r.Header.Get(headerKey); key != "" {
		home, _ = homeZone(view.Fleet.Zones, team, key)
		id = newJobID(home, team+"/"+key)
	}
	var answer JobAnswer
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	err := server.callDecider(ctx, home, methodSubmitJob, SubmitJobCall{ID: id, Team: queue.Team, Caller: team, Spec: spec}, &answer)
	body.Close() // a caller that does not read the answer keeps out no other body
	release := server.claimSubmittedJob(w, &answer)
	defer release()
	server.writeJob(w, id, answer, err, http.StatusAccepted)
}

func decodeJobSpec(data []byte) (JobSpec, *responder.Problem) {
	var spec JobSpec
	if err := json.Unmarshal(data, &spec); err != nil {
		return spec, badRequest("%v", err)
	}
	if !spec.Deadline.IsZero() && spec.Deadline.Before(time.Now()) {
		return spec, responder.Refuse(http.StatusGatewayTimeout, responder.CodeDeadline, "the deadline had passed when the job arrived")
	}
	return spec, nil
}

// writeJob sends a job, or the problem of its call. If the call got no answer, it is unknown whether a job was accepted
// or canceled; submitting it again under the same idempotency key is safe.
func (server *Server) writeJob(w http.ResponseWriter, id string, answer JobAnswer, err error, status int) {
	switch {
	case err != nil && isUnsent(err):
		server.writeProblem(w, id, responder.Refuse(http.StatusServiceUnavailable, responder.CodeHomeUnreachable, "the home zone of job %s cannot be reached", id).WithRetryAfter(time.Second))
	case err != nil:
		server.writeProblem(w, id, responder.New(http.StatusBadGateway, responder.CodeHomeUnreachable, responder.Unknown, "the home zone of job %s sent no answer: %v", id, err).WithRetryAfter(time.Second))
	case answer.Problem != nil:
		server.writeProblem(w, id, answer.Problem)
	default:
		w.Header().Set("Location", "/v1/jobs/"+answer.Job.ID)
		responder.WriteJSON(w, status, answer.Job)
	}
}

// jobCall returns the call for the job in a request's path by the team whose key it carries.
func (server *Server) jobCall(r *http.Request) (JobCall, *responder.Problem) {
	team, problem := server.authenticate(server.viewer.View(), r)
	return JobCall{ID: chi.URLParam(r, "job"), Team: team}, problem
}

func (server *Server) serveJob(w http.ResponseWriter, r *http.Request) {
	call, problem := server.jobCall(r)
	if problem != nil {
		server.writeProblem(w, call.ID, problem)
		return
	}
	read := server.readJob(w, r, call)
	defer read.close()
	server.writeJob(w, call.ID, read.JobAnswer, nil, http.StatusOK)
}

// serveJobEvents streams the versions of a job as JSON lines until the job is finished. A caller whose stream was cut
// off resumes with the query parameter after=VERSION.
func (server *Server) serveJobEvents(w http.ResponseWriter, r *http.Request) {
	call, problem := server.jobCall(r)
	if problem != nil {
		server.writeProblem(w, call.ID, problem)
		return
	}
	acceptor.Resumable(r)
	call.After, _ = strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	call.WaitMS = eventsPollTimeout.Milliseconds()
	began := false
	for r.Context().Err() == nil && server.abandonContext.Err() == nil {
		read := server.readJob(w, r, call)
		if read.Problem != nil && !began {
			server.writeProblem(w, call.ID, read.Problem)
			return
		}
		if read.Problem != nil {
			return
		}
		if read.Job != nil && !began {
			w.Header().Set("Content-Type", "application/jsonl")
			began = true
		}
		isLast := sendVersion(w, read, &call)
		read.close()
		if isLast || server.shuttingDown.Load() {
			return
		}
	}
}

// sendVersion sends a version of a job that the caller does not have yet. It reports whether there will be no further one.
func sendVersion(w http.ResponseWriter, read *jobRead, call *JobCall) bool {
	if read.Job == nil {
		return read.Finished
	}
	if read.Job.Version > call.After {
		call.After = read.Job.Version
		_ = json.NewEncoder(w).Encode(read.Job)
		_ = http.NewResponseController(w).Flush()
	}
	return read.Job.Finished()
}

// eventsPollTimeout is how long one call of serveJobEvents waits for the next version of a job.
const eventsPollTimeout = 5 * time.Second

func (server *Server) serveJobAnswer(w http.ResponseWriter, r *http.Request) {
	call, problem := server.jobCall(r)
	if problem != nil {
		server.writeProblem(w, call.ID, problem)
		return
	}
	read := server.readJob(w, r, call)
	defer read.close()
	if read.Problem != nil {
		server.writeProblem(w, call.ID, read.Problem)
		return
	}
	index, err := strconv.Atoi(chi.URLParam(r, "task"))
	if err != nil || index < 0 || index >= len(read.Job.Tasks) {
		server.writeProblem(w, read.Job.ID, responder.Refuse(http.StatusNotFound, responder.CodeNotFound, "the job has tasks 0 to %d", len(read.Job.Tasks)-1))
		return
	}
	task := read.Job.Tasks[index]
	switch {
	case task.State != JobDone:
		server.writeProblem(w, read.Job.ID, responder.Refuse(http.StatusConflict, responder.CodeInProgress, "task %d is %s", index, task.State))
	case task.Truncated:
		server.writeProblem(w, read.Job.ID, responder.New(http.StatusGone, responder.CodeAnswerGone, responder.Answered, "the answer exceeds the limit of %d bytes for stored answers", maxStoredAnswerBytes))
	default:
		_, _ = w.Write(task.Answer)
	}
}

func (server *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	call, problem := server.jobCall(r)
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	if brief, err := server.describeJob(r.Context(), call); err == nil {
		release, problem := server.claimJobAnswer(w, brief.Bytes)
		if problem != nil {
			server.writeProblem(w, call.ID, problem)
			return
		}
		defer release()
	}
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	var answer JobAnswer
	err := server.callDecider(ctx, zoneOfJob(call.ID), methodCancelJob, call, &answer)
	server.writeJob(w, call.ID, answer, err, http.StatusOK)
}

// serveTimeline merges the timelines of all reachable hosts. With the query parameter own, it returns only that of this
// host.
func (server *Server) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := recorder.Filter{
		Request: query.Get("request"),
		Task:    query.Get("task"),
		Worker:  query.Get("worker"),
		Team:    query.Get("team"),
		Section: query.Get("section"),
		Kind:    query.Get("kind"),
	}
	timelines := [][]recorder.Event{server.Timeline.Events(filter)}
	if !query.Has("own") {
		timelines = append(timelines, server.peerTimelines(r.Context(), filter)...)
	}
	responder.WriteJSON(w, http.StatusOK, recorder.Merge(timelines...))
}
