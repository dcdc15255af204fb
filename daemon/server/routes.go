package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// routes lays out the HTTP API, which docs/API.md describes.
func (server *Server) routes() http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		server.refuse(w, "", responder.Refuse(http.StatusNotFound, responder.CodeNotFound, "nothing at %s", r.URL.Path))
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", server.serveReady)
	router.Handle("/metrics", promhttp.HandlerFor(server.metrics.registry, promhttp.HandlerOpts{}))
	router.Route("/v1", func(router chi.Router) {
		router.Use(server.refuseStopping)
		router.HandleFunc("/services/{service}", server.serveRequest)
		router.HandleFunc("/services/{service}/*", server.serveRequest)
		router.Post("/handles", server.serveHandle)
		router.Post("/jobs", server.serveSubmit)
		router.Get("/jobs/{job}", server.serveJob)
		router.Get("/jobs/{job}/events", server.serveJobEvents)
		router.Get("/jobs/{job}/tasks/{task}/answer", server.serveJobAnswer)
		router.Delete("/jobs/{job}", server.serveCancel)
		router.Group(func(router chi.Router) {
			router.Use(server.onlyOperators)
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

// serveReady tells the platform's balancer whether to send requests here.
func (server *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := server.notReady()
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (server *Server) notReady() string {
	switch {
	case server.leaving.Load():
		return "stopping"
	case server.viewer.View().AsOf == 0:
		return "no configuration yet"
	case server.listedElsewhere() != "":
		return fmt.Sprintf("settings say zone %s, the platform's list says %s: correct [host] zone", server.settings.Zone, server.listedElsewhere())
	}
	if _, found := server.anyDecider(); !found {
		return "no live host decides for any zone"
	}
	return ""
}

func (server *Server) anyDecider() (string, bool) {
	if server.deciding() != nil {
		return server.settings.Zone, true
	}
	for _, zone := range server.viewer.View().Fleet.Zones {
		if _, found := server.peers.Decider(zone, time.Now()); found {
			return zone, true
		}
	}
	return "", false
}

// refuseStopping turns new requests away once the host is stopping; the balancer sends them elsewhere.
func (server *Server) refuseStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !server.enter() {
			panic(http.ErrAbortHandler)
		}
		defer server.inFlight.Done()
		if server.leaving.Load() && time.Since(server.leavingSince()) > balancerLag {
			problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeStopping, "this host is stopping")
			server.refuse(w, "", problem.After(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operator returns the name of the operator whose key came with a request.
func (server *Server) operator(r *http.Request) (string, bool) {
	bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	return server.operatorOf(bearer)
}

func (server *Server) onlyOperators(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, known := server.operator(r); !known {
			server.refuse(w, "", keyRefused("send Authorization: Bearer with the key of an operator"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveSubmit accepts a job and answers with its handle.
func (server *Server) serveSubmit(w http.ResponseWriter, r *http.Request) {
	view := server.viewer.View()
	team, problem := server.authenticate(view, r)
	if problem == nil {
		problem = checkHeaders(r)
	}
	if problem != nil {
		server.refuse(w, "", problem)
		return
	}
	spec, problem := readSpec(w, r)
	if problem != nil {
		server.refuse(w, "", problem)
		return
	}
	queue, problem := chooseQueue(view, spec.Queue, team, spec.Service)
	if problem != nil {
		server.refuse(w, "", problem)
		return
	}
	spec.Queue = queue.Name
	home := server.settings.Zone
	id := newJobID(home, "")
	if key := r.Header.Get(headerKey); key != "" {
		home, _ = homeOf(view.Fleet.Zones, team, key)
		id = newJobID(home, team+"/"+key)
	}
	var answer JobAnswer
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	err := server.callDecider(ctx, home, methodSubmitJob, SubmitJobCall{ID: id, Team: queue.Team, Spec: spec}, &answer)
	server.answerJob(w, id, answer, err, http.StatusAccepted)
}

func readSpec(w http.ResponseWriter, r *http.Request) (JobSpec, *responder.Problem) {
	var spec JobSpec
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostJobBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return spec, responder.Refuse(http.StatusRequestEntityTooLarge, responder.CodeTooLarge, "a job may have %d bytes", mostJobBytes)
	}
	if err != nil {
		return spec, badRequest("the body was cut off: %v", err)
	}
	if err := json.Unmarshal(data, &spec); err != nil {
		return spec, badRequest("%v", err)
	}
	if !spec.Deadline.IsZero() && spec.Deadline.Before(time.Now()) {
		return spec, responder.Refuse(http.StatusGatewayTimeout, responder.CodeDeadline, "the deadline had passed when the job came")
	}
	return spec, nil
}

// answerJob sends a job, or the problem in its place. Whether a job whose submission got no answer was
// accepted is not known; submitting it again under the same idempotency key is safe.
func (server *Server) answerJob(w http.ResponseWriter, id string, answer JobAnswer, err error, status int) {
	switch {
	case err != nil && unsent(err):
		server.refuse(w, id, responder.Refuse(http.StatusServiceUnavailable, responder.CodeHome, "the zone that keeps %s cannot be reached", id).After(time.Second))
	case err != nil:
		server.refuse(w, id, responder.New(http.StatusBadGateway, responder.CodeHome, responder.Unknown, "the zone that keeps %s gave no answer: %v", id, err).After(time.Second))
	case answer.Problem != nil:
		server.refuse(w, id, answer.Problem)
	default:
		w.Header().Set("Location", "/v1/jobs/"+answer.Job.ID)
		responder.WriteJSON(w, status, answer.Job)
	}
}

// lookupJob asks the home zone's decider for a job, or falls back to a copy kept here.
func (server *Server) lookupJob(r *http.Request, after int64, wait time.Duration) (JobAnswer, error) {
	team, problem := server.authenticate(server.viewer.View(), r)
	if problem != nil {
		return JobAnswer{Problem: problem}, nil
	}
	id := chi.URLParam(r, "job")
	ctx, cancel := context.WithTimeout(r.Context(), wait+clientTimeout)
	defer cancel()
	var answer JobAnswer
	err := server.callDecider(ctx, zoneOfJob(id), methodJob, JobCall{ID: id, Team: team, After: after, WaitMS: wait.Milliseconds()}, &answer)
	if err == nil {
		return answer, nil
	}
	if copied, found := server.kept.Get(id); found {
		var job Job
		if json.Unmarshal(copied.Data, &job) == nil && job.Team == team {
			return JobAnswer{Job: &job}, nil
		}
	}
	return JobAnswer{}, err
}

func (server *Server) serveJob(w http.ResponseWriter, r *http.Request) {
	answer, err := server.lookupJob(r, 0, 0)
	server.answerJob(w, chi.URLParam(r, "job"), answer, err, http.StatusOK)
}

// serveJobEvents streams a job, one version a JSON line, until it is finished. A caller whose stream was
// cut resumes with the query after=VERSION.
func (server *Server) serveJobEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	began := false
	encoder := json.NewEncoder(w)
	for r.Context().Err() == nil && server.abandoned.Err() == nil {
		answer, err := server.lookupJob(r, after, eventsWait)
		if !began && (err != nil || answer.Problem != nil) {
			server.answerJob(w, chi.URLParam(r, "job"), answer, err, http.StatusOK)
			return
		}
		if err != nil || answer.Job == nil {
			return
		}
		if !began {
			w.Header().Set("Content-Type", "application/jsonl")
			began = true
		}
		if answer.Job.Version > after {
			after = answer.Job.Version
			_ = encoder.Encode(answer.Job)
			_ = http.NewResponseController(w).Flush()
		}
		if answer.Job.Finished() || server.leaving.Load() {
			return
		}
	}
}

const eventsWait = 5 * time.Second

func (server *Server) serveJobAnswer(w http.ResponseWriter, r *http.Request) {
	answer, err := server.lookupJob(r, 0, 0)
	if err != nil || answer.Problem != nil {
		server.answerJob(w, chi.URLParam(r, "job"), answer, err, http.StatusOK)
		return
	}
	index, err := strconv.Atoi(chi.URLParam(r, "task"))
	if err != nil || index < 0 || index >= len(answer.Job.Tasks) {
		server.refuse(w, answer.Job.ID, responder.Refuse(http.StatusNotFound, responder.CodeNotFound, "the job has tasks 0 to %d", len(answer.Job.Tasks)-1))
		return
	}
	task := answer.Job.Tasks[index]
	switch {
	case task.State != JobDone:
		server.refuse(w, answer.Job.ID, responder.Refuse(http.StatusConflict, responder.CodeInProgress, "task %d is %s", index, task.State))
	case task.Cut:
		server.refuse(w, answer.Job.ID, responder.New(http.StatusGone, responder.CodeAnswerGone, responder.Answered, "the answer exceeds the %d bytes that are kept", mostKept))
	default:
		_, _ = w.Write(task.Answer)
	}
}

func (server *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	team, problem := server.authenticate(server.viewer.View(), r)
	if problem != nil {
		server.refuse(w, "", problem)
		return
	}
	id := chi.URLParam(r, "job")
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	var answer JobAnswer
	err := server.callDecider(ctx, zoneOfJob(id), methodCancelJob, JobCall{ID: id, Team: team}, &answer)
	server.answerJob(w, id, answer, err, http.StatusOK)
}

// serveTimeline merges the time lines of all hosts that can be reached, or of this one.
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
	lines := [][]recorder.Event{server.Timeline.Events(filter)}
	if !query.Has("own") {
		lines = append(lines, server.peerTimelines(r.Context(), filter)...)
	}
	responder.WriteJSON(w, http.StatusOK, recorder.Merge(lines...))
}
