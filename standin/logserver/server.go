// Package logserver is a stand-in for the platform's log service, with faults that are switched on over HTTP.
package logserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/library/responder"
	"github.com/go-chi/chi/v5"
)

// Faults are the ways in which the service misbehaves; the zero value is healthy.
type Faults struct {
	Down        bool          `json:"down"`
	Delay       time.Duration `json:"delay"`       // before each answer, nanoseconds
	LoseAnswers int           `json:"loseAnswers"` // next appends that take effect without an answer
}

// Server keeps streams in memory.
type Server struct {
	Retain int // records kept a stream
	Rate   int // appends a second over all streams, 0 for no ceiling

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	second  int64
	appends int
	total   int64
}

type stream struct {
	oldest  int64
	entries []logger.Entry
	changed chan struct{}
}

const (
	defaultRetain = 100_000
	defaultRate   = 400
	mostPage      = 500
	mostBody      = 16 << 20
)

// New returns an empty, healthy service.
func New() *Server {
	return &Server{Retain: defaultRetain, Rate: defaultRate, streams: map[string]*stream{}}
}

// SetFaults replaces the faults.
func (server *Server) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
}

// SetRetain changes how many records a stream keeps.
func (server *Server) SetRetain(records int) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.Retain = records
}

// Appends returns how many appends took effect.
func (server *Server) Appends() int64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.total
}

// Handler serves the protocol and, below /faults, the switches.
func (server *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/streams/{stream}/records", server.append)
	router.Get("/v1/streams/{stream}/records", server.read)
	router.Put("/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		server.SetFaults(faults)
	})
	return router
}

func (server *Server) append(w http.ResponseWriter, r *http.Request) {
	var request logger.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := server.currentFaults()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	offset, lost, ok := server.add(chi.URLParam(r, "stream"), request.Data)
	if !ok {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	responder.WriteJSON(w, http.StatusOK, logger.AppendAnswer{Offset: offset})
}

func (server *Server) currentFaults() Faults {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.faults
}

func (server *Server) add(name string, data json.RawMessage) (offset int64, lost, ok bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.admit() {
		return 0, false, false
	}
	found := server.stream(name)
	offset = found.oldest + int64(len(found.entries))
	found.entries = append(found.entries, logger.Entry{Offset: offset, Data: data})
	if excess := len(found.entries) - server.Retain; excess > 0 {
		found.entries = found.entries[excess:]
		found.oldest += int64(excess)
	}
	close(found.changed)
	found.changed = make(chan struct{})
	server.total++
	if server.faults.LoseAnswers > 0 {
		server.faults.LoseAnswers--
		return offset, true, true
	}
	return offset, false, true
}

func (server *Server) admit() bool {
	now := time.Now().Unix()
	if now != server.second {
		server.second, server.appends = now, 0
	}
	server.appends++
	return server.Rate == 0 || server.appends <= server.Rate
}

func (server *Server) stream(name string) *stream {
	found, ok := server.streams[name]
	if !ok {
		found = &stream{oldest: 1, changed: make(chan struct{})}
		server.streams[name] = found
	}
	return found
}

func (server *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("from: %v", err), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMS"), 10, 64)
	faults := server.currentFaults()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	page, changed := server.page(chi.URLParam(r, "stream"), from)
	if len(page.Entries) == 0 && wait > 0 {
		waitFor(r, changed, time.Duration(wait)*time.Millisecond)
		page, _ = server.page(chi.URLParam(r, "stream"), from)
	}
	if server.currentFaults().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	responder.WriteJSON(w, http.StatusOK, page)
}

func waitFor(r *http.Request, changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (server *Server) page(name string, from int64) (logger.Page, <-chan struct{}) {
	server.mu.Lock()
	defer server.mu.Unlock()
	found := server.stream(name)
	first := max(from, found.oldest) - found.oldest
	page := logger.Page{Oldest: found.oldest, Next: found.oldest + int64(len(found.entries))}
	if first < int64(len(found.entries)) {
		last := min(int64(len(found.entries)), first+mostPage)
		page.Entries = append(page.Entries, found.entries[first:last]...)
	}
	return page, found.changed
}
