package workerserver

import (
	"encoding/json"
	"net/http"
	"time"

	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
	"github.com/go-chi/chi/v5"
)

const refusalMalformed = "malformed"

// Handler serves the workers' protocol, which pauses affect, and below /faults the control of faults, which
// pauses do not affect.
func (worker *Worker) Handler() http.Handler {
	router := chi.NewRouter()
	router.Group(func(router chi.Router) {
		router.Use(worker.holdWhilePaused)
		router.Post("/v1/claim", worker.serveClaim)
		router.HandleFunc("/v1/run/{task}/{service}", worker.serveRun)
		router.HandleFunc("/v1/run/{task}/{service}/*", worker.serveRun)
		router.Delete("/v1/tasks/{task}", worker.serveStop(false))
		router.Post("/v1/tasks/{task}/checkpoint", worker.serveStop(true))
		router.Post("/v1/tasks/{task}/throttle", worker.serveThrottle)
		router.Get("/v1/tasks/{task}/answer", worker.serveAnswer)
	})
	router.Put("/faults", worker.serveFaults)
	router.Post("/faults/pause", func(http.ResponseWriter, *http.Request) { worker.Pause() })
	router.Post("/faults/resume", func(http.ResponseWriter, *http.Request) { worker.Resume() })
	router.Post("/faults/reboot", func(http.ResponseWriter, *http.Request) { worker.Reboot() })
	return router
}

// holdWhilePaused is middleware that delays each call until the worker is not paused.
func (worker *Worker) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		worker.waitWhilePaused()
		next.ServeHTTP(w, r)
	})
}

func (worker *Worker) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	worker.SetFaults(faults)
}

func (worker *Worker) serveClaim(w http.ResponseWriter, r *http.Request) {
	var claim starter.Claim
	if err := json.NewDecoder(r.Body).Decode(&claim); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, owned := worker.claim(claim)
	worker.waitWhilePaused()
	if !owned {
		responder.WriteJSON(w, http.StatusConflict, report)
		return
	}
	responder.WriteJSON(w, http.StatusOK, report)
}

// callerOwnsWorker reports whether the term of a call is the one that owns the worker.
func (worker *Worker) callerOwnsWorker(r *http.Request) bool {
	var term fencer.Term
	if err := json.Unmarshal([]byte(r.Header.Get(starter.HeaderTerm)), &term); err != nil {
		return false
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return term == worker.term
}

// serveStop returns a handler that stops a task, with a checkpoint if keepCheckpoint is set.
func (worker *Worker) serveStop(keepCheckpoint bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !worker.callerOwnsWorker(r) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		worker.mu.Lock()
		defer worker.mu.Unlock()
		known := worker.tasks[chi.URLParam(r, "task")]
		if known == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		known.keepCheckpoint = keepCheckpoint
		worker.end(known, starter.Stopped, 0)
	}
}

func (worker *Worker) serveThrottle(w http.ResponseWriter, r *http.Request) {
	if !worker.callerOwnsWorker(r) {
		w.WriteHeader(http.StatusConflict)
	}
}

func (worker *Worker) serveAnswer(w http.ResponseWriter, r *http.Request) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	known := worker.tasks[chi.URLParam(r, "task")]
	switch {
	case known == nil:
		w.WriteHeader(http.StatusNotFound)
	case known.State == starter.Running:
		w.WriteHeader(http.StatusConflict)
	default:
		_, _ = w.Write(known.answer)
	}
}

// serveRun starts a task. Unless the start is asynchronous, the response is the task's answer, streamed.
func (worker *Worker) serveRun(w http.ResponseWriter, r *http.Request) {
	var grant fencer.Grant
	var size sizer.Size
	err := json.Unmarshal([]byte(r.Header.Get(starter.HeaderGrant)), &grant)
	if err == nil {
		err = json.Unmarshal([]byte(r.Header.Get(starter.HeaderSize)), &size)
	}
	if err != nil || grant.Task != chi.URLParam(r, "task") {
		w.Header().Set(starter.HeaderRefusal, refusalMalformed)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	begun, refusal := worker.begin(grant, size, r.Header.Get(starter.HeaderLabel), r.URL.RequestURI())
	if refusal != fencer.Accepted {
		w.Header().Set(starter.HeaderRefusal, string(refusal))
		w.WriteHeader(http.StatusConflict)
		return
	}
	begun.completedWork, _ = time.ParseDuration(r.Header.Get(starter.HeaderResume))
	if r.Header.Get("Prefer") == starter.PreferAsync {
		worker.runAsync(w, r, begun)
		return
	}
	worker.runSync(w, r, begun)
}
