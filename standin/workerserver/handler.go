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

// Handler serves the protocol and, below /faults, the switches.
func (worker *Worker) Handler() http.Handler {
	router := chi.NewRouter()
	router.Group(func(router chi.Router) {
		router.Use(worker.gate)
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

func (worker *Worker) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		worker.pass()
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
	worker.pass()
	if !owned {
		responder.WriteJSON(w, http.StatusConflict, report)
		return
	}
	responder.WriteJSON(w, http.StatusOK, report)
}

// owned reports whether the call comes under the term that owns the worker.
func (worker *Worker) owned(r *http.Request) bool {
	var term fencer.Term
	if err := json.Unmarshal([]byte(r.Header.Get(starter.HeaderTerm)), &term); err != nil {
		return false
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return term == worker.term
}

func (worker *Worker) serveStop(keep bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !worker.owned(r) {
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
		known.keep = keep
		worker.end(known, starter.Stopped, 0)
	}
}

func (worker *Worker) serveThrottle(w http.ResponseWriter, r *http.Request) {
	if !worker.owned(r) {
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

// serveRun starts a task and, unless it is asynchronous, streams its answer.
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
	begun.resume, _ = time.ParseDuration(r.Header.Get(starter.HeaderResume))
	if r.Header.Get("Prefer") == starter.PreferAsync {
		worker.runAsync(w, r, begun)
		return
	}
	worker.runAttached(w, r, begun)
}
