// Package logserver implements a stand-in for the platform's log service, with faults that can be injected over HTTP.
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

// Faults configures the faults that the service injects. The zero value injects none.
type Faults struct {
	Down        bool          `json:"down"`        // every request gets status 503
	Delay       time.Duration `json:"delay"`       // added to each request, in nanoseconds in JSON
	LoseAnswers int           `json:"loseAnswers"` // number of coming appends that take effect, but get no response
}

// Server serves streams of records that it keeps in memory.
type Server struct {
	Retain int // maximum number of records to keep per stream
	Rate   int // maximum appends per second over all streams, 0 for no limit

	mu           sync.Mutex
	faults       Faults
	streams      map[string]*stream
	rateSecond   int64 // Unix time in seconds that rateAppends counts
	rateAppends  int   // appends requested in that second
	totalAppends int64 // appends that took effect
}

type stream struct {
	oldestOffset int64 // of the first entry
	entries      []logger.Entry
	changed      chan struct{} // closed and replaced at each append
}

const (
	defaultRetain  = 100_000
	defaultRate    = 400
	maxPageEntries = 500
	maxBodyBytes   = 16 << 20
)

// New returns a service without streams or faults.
func New() *Server {
	return &Server{Retain: defaultRetain, Rate: defaultRate, streams: map[string]*stream{}}
}

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
}

// SetRetain sets the maximum number of records to keep per stream.
func (server *Server) SetRetain(records int) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.Retain = records
}

// Appends returns the number of appends that took effect.
func (server *Server) Appends() int64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.totalAppends
}

// Handler serves the protocol of the log service and, below /faults, the control of faults.
func (server *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/streams/{stream}/records", server.serveAppend)
	router.Get("/v1/streams/{stream}/records", server.serveRead)
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

func (server *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request logger.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := server.currentFaults()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	offset, lost, ok := server.appendEntry(chi.URLParam(r, "stream"), request.Data)
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

// appendEntry appends an entry to a stream and returns its offset. Lost is true if the response has to be lost, and ok
// is false if the append exceeds the rate.
func (server *Server) appendEntry(name string, data json.RawMessage) (offset int64, lost, ok bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.withinRate() {
		return 0, false, false
	}
	found := server.stream(name)
	offset = found.oldestOffset + int64(len(found.entries))
	found.entries = append(found.entries, logger.Entry{Offset: offset, Data: data})
	if excess := len(found.entries) - server.Retain; excess > 0 {
		found.entries = found.entries[excess:]
		found.oldestOffset += int64(excess)
	}
	close(found.changed)
	found.changed = make(chan struct{})
	server.totalAppends++
	if server.faults.LoseAnswers > 0 {
		server.faults.LoseAnswers--
		return offset, true, true
	}
	return offset, false, true
}

// withinRate counts an append and reports whether it is within the rate. The caller holds the lock.
func (server *Server) withinRate() bool {
	now := time.Now().Unix()
	if now != server.rateSecond {
		server.rateSecond, server.rateAppends = now, 0
	}
	server.rateAppends++
	return server.Rate == 0 || server.rateAppends <= server.Rate
}

func (server *Server) stream(name string) *stream {
	found, ok := server.streams[name]
	if !ok {
		found = &stream{oldestOffset: 1, changed: make(chan struct{})}
		server.streams[name] = found
	}
	return found
}

// serveRead returns the entries from an offset on. If there are none, it waits up to the parameter waitMS.
func (server *Server) serveRead(w http.ResponseWriter, r *http.Request) {
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
		waitForChange(r, changed, time.Duration(wait)*time.Millisecond)
		page, _ = server.page(chi.URLParam(r, "stream"), from)
	}
	if server.currentFaults().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	responder.WriteJSON(w, http.StatusOK, page)
}

// waitForChange waits until changed is closed, the wait is over or the request is canceled.
func waitForChange(r *http.Request, changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// page returns up to maxPageEntries entries from an offset on, and a channel that is closed at the next append.
func (server *Server) page(name string, from int64) (logger.Page, <-chan struct{}) {
	server.mu.Lock()
	defer server.mu.Unlock()
	found := server.stream(name)
	first := max(from, found.oldestOffset) - found.oldestOffset
	page := logger.Page{Oldest: found.oldestOffset, Next: found.oldestOffset + int64(len(found.entries))}
	if first < int64(len(found.entries)) {
		last := min(int64(len(found.entries)), first+maxPageEntries)
		page.Entries = append(page.Entries, found.entries[first:last]...)
	}
	return page, found.changed
}
