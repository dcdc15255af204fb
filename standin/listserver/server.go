// Package listserver implements a stand-in for the platform's list of hosts, which lags behind the actual hosts.
package listserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/responder"
	"github.com/go-chi/chi/v5"
)

// Server serves the list of hosts as it was Lag ago.
type Server struct {
	Lag time.Duration

	mu       sync.Mutex
	versions []version // in the order of time, from the visible one on
}

// version is the list as it was from one change to the next.
type version struct {
	since time.Time
	hosts []lister.Host
}

// New returns a server with an empty list and no lag.
func New() *Server {
	return &Server{}
}

// Add adds a host to the list. It replaces a host with the same name.
func (server *Server) Add(host lister.Host) {
	server.update(func(hosts []lister.Host) []lister.Host {
		hosts = slices.DeleteFunc(hosts, func(other lister.Host) bool { return other.Name == host.Name })
		return append(hosts, host)
	})
}

// Remove removes a host from the list.
func (server *Server) Remove(name string) {
	server.update(func(hosts []lister.Host) []lister.Host {
		return slices.DeleteFunc(hosts, func(host lister.Host) bool { return host.Name == name })
	})
}

// Leave marks a host in the list as leaving.
func (server *Server) Leave(name string) {
	server.update(func(hosts []lister.Host) []lister.Host {
		for i := range hosts {
			hosts[i].Leaving = hosts[i].Leaving || hosts[i].Name == name
		}
		return hosts
	})
}

func (server *Server) update(edit func([]lister.Host) []lister.Host) {
	server.mu.Lock()
	defer server.mu.Unlock()
	var hosts []lister.Host
	if len(server.versions) > 0 {
		hosts = slices.Clone(server.versions[len(server.versions)-1].hosts)
	}
	server.versions = append(server.versions, version{since: time.Now(), hosts: edit(hosts)})
}

// SetLag sets the age of the list that is served.
func (server *Server) SetLag(lag time.Duration) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.Lag = lag
}

// Handler serves the list and, below /faults, changes to it.
func (server *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/hosts", server.serveHosts)
	router.Put("/faults/hosts", func(w http.ResponseWriter, r *http.Request) {
		var host lister.Host
		if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		server.Add(host)
	})
	router.Delete("/faults/hosts/{name}", func(_ http.ResponseWriter, r *http.Request) {
		server.Remove(chi.URLParam(r, "name"))
	})
	router.Post("/faults/hosts/{name}/leave", func(_ http.ResponseWriter, r *http.Request) {
		server.Leave(chi.URLParam(r, "name"))
	})
	return router
}

func (server *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	visible := server.visible()
	etag := strconv.Quote(visible.since.Format(time.RFC3339Nano))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	responder.WriteJSON(w, http.StatusOK, lister.List{Hosts: append([]lister.Host{}, visible.hosts...)})
}

// visible returns the list as it was Lag ago, which is empty if there was none, and discards older versions.
func (server *Server) visible() version {
	server.mu.Lock()
	defer server.mu.Unlock()
	horizon := time.Now().Add(-server.Lag)
	newest := 0
	for i, version := range server.versions {
		if !version.since.After(horizon) {
			newest = i
		}
	}
	server.versions = server.versions[newest:]
	if len(server.versions) == 0 || server.versions[0].since.After(horizon) {
		return version{}
	}
	return server.versions[0]
}
