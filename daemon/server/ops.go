package server

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// WorkerStatus is the state of a worker in the table of its zone's decider.
type WorkerStatus struct {
	Name        string     `json:"name"`
	Zone        string     `json:"zone"`
	Capacity    sizer.Size `json:"capacity"`
	Granted     sizer.Size `json:"granted"`
	Tasks       int        `json:"tasks"`
	Claimed     bool       `json:"claimed"`
	Leaving     bool       `json:"leaving"`
	Usable      bool       `json:"usable"`  // not quarantined after failures
	ReportAgeMS int64      `json:"heardMS"` // since the worker's last report
}

// TaskStatus is the state of a queued or started work item.
type TaskStatus struct {
	Work     string     `json:"work"`
	Team     string     `json:"team"`
	Queue    string     `json:"queue"`
	Service  string     `json:"service"`
	Class    string     `json:"class"`
	State    string     `json:"state"`
	Worker   string     `json:"worker,omitempty"`
	Size     sizer.Size `json:"size"`
	QueuedMS int64      `json:"queuedMS"` // since the work item was queued
}

// TeamStatus is the share, the limit and the use of a team in a zone.
type TeamStatus struct {
	Name     string     `json:"name"`
	Share    float64    `json:"share"`
	Limit    sizer.Size `json:"limit"` // across the fleet; 0 for unlimited
	Slice    sizer.Size `json:"slice"` // part of the limit that the zone may use
	Used     sizer.Size `json:"used"`
	Waiting  int        `json:"waiting"`
	Dominant float64    `json:"dominant"` // current dominant share of the zone's resources
	Average  float64    `json:"average"`  // decayed average of the dominant share
}

// status returns the state of the zone's workers, tasks and teams.
func (tenure *tenure) status() StatusAnswer {
	now := time.Now()
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	answer := StatusAnswer{Zone: tenure.zone, Term: tenure.term}
	for _, worker := range tenure.decider.Workers() {
		answer.Workers = append(answer.Workers, WorkerStatus{
			Name:        worker.Name,
			Zone:        tenure.zone,
			Capacity:    worker.Capacity,
			Granted:     worker.Granted,
			Tasks:       len(worker.Tasks),
			Claimed:     worker.Claimed,
			Leaving:     worker.Leaving,
			Usable:      worker.Usable(now),
			ReportAgeMS: now.Sub(worker.ReportedAt).Milliseconds(),
		})
	}
	for _, task := range tenure.decider.Tasks() {
		answer.Tasks = append(answer.Tasks, taskStatus(task, now))
	}
	total := tenure.decider.TotalCapacity()
	for _, team := range tenure.decider.Teams() {
		answer.Teams = append(answer.Teams, TeamStatus{
			Name:     team.Name,
			Share:    team.Share,
			Limit:    team.Limit,
			Slice:    team.Slice,
			Used:     team.Used,
			Waiting:  team.QueuedTasks,
			Dominant: team.Used.DominantShare(total),
			Average:  team.AverageShare,
		})
	}
	return answer
}

func taskStatus(task decider.Task, now time.Time) TaskStatus {
	return TaskStatus{
		Work:     task.ID,
		Team:     task.Team,
		Queue:    task.Queue,
		Service:  task.Service,
		Class:    task.Class.String(),
		State:    task.State.String(),
		Worker:   task.Grant.Worker,
		Size:     task.Size,
		QueuedMS: now.Sub(task.QueuedAt).Milliseconds(),
	}
}

// FleetStatus is the state of every zone whose decider answered.
type FleetStatus struct {
	Zones       []StatusAnswer `json:"zones"`
	Unreachable []string       `json:"silent,omitempty"` // zones whose decider did not answer
}

func (server *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	zones := server.viewer.View().Fleet.Zones
	answers := make([]StatusAnswer, len(zones))
	var wait sync.WaitGroup
	for i, zone := range zones {
		wait.Go(func() { _ = server.callDecider(ctx, zone, methodStatus, struct{}{}, &answers[i]) })
	}
	wait.Wait()
	var status FleetStatus
	for i, answer := range answers {
		if answer.Zone == "" {
			status.Unreachable = append(status.Unreachable, zones[i])
			continue
		}
		status.Zones = append(status.Zones, answer)
	}
	responder.WriteJSON(w, http.StatusOK, status)
}

// HostStatus is the state of an entry host as known to the host that answers.
type HostStatus struct {
	Name     string      `json:"name"`
	Zone     string      `json:"zone"`
	Listed   bool        `json:"listed"` // in the platform's list of hosts
	Alive    bool        `json:"alive"`
	Leaving  bool        `json:"leaving"`
	Deciding bool        `json:"deciding"`
	Term     fencer.Term `json:"term"`
	AsOf     int64       `json:"asOf"` // log offset of its configuration
}

func (server *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	hosts := map[string]HostStatus{}
	for _, host := range server.listedHosts() {
		if host.Kind == lister.KindEntry {
			hosts[host.Name] = HostStatus{Name: host.Name, Zone: host.Zone, Listed: true, Leaving: host.Leaving}
		}
	}
	for _, peer := range server.peers.Alive(time.Now()) {
		status := HostStatus{Name: peer.Name, Zone: peer.Zone, Alive: true, Leaving: peer.ShuttingDown, Deciding: peer.Deciding, Term: peer.Term, AsOf: peer.AsOf}
		status.Listed = hosts[peer.Name].Listed
		hosts[peer.Name] = status
	}
	self := server.currentHeartbeat()
	hosts[self.Host] = HostStatus{
		Name: self.Host, Zone: self.Zone, Listed: hosts[self.Host].Listed, Alive: true,
		Leaving: self.ShuttingDown, Deciding: self.Deciding, Term: self.Term, AsOf: self.AsOf,
	}
	var answer []HostStatus
	for _, host := range hosts {
		answer = append(answer, host)
	}
	slices.SortFunc(answer, func(a, b HostStatus) int { return strings.Compare(a.Name, b.Name) })
	responder.WriteJSON(w, http.StatusOK, answer)
}

func (server *Server) peerTimelines(ctx context.Context, filter recorder.Filter) [][]recorder.Event {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var mu sync.Mutex
	var timelines [][]recorder.Event
	var wait sync.WaitGroup
	for address := range server.peerAddresses() {
		wait.Go(func() {
			var timeline []recorder.Event
			if err := server.peerPool.Call(ctx, address, methodTimeline, filter, &timeline); err != nil {
				server.log.Debug("failed to fetch the timeline of a peer", "peer", address, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			timelines = append(timelines, timeline)
		})
	}
	wait.Wait()
	return timelines
}

// serveWithdraw cancels or stops a request on behalf of an operator, in whichever zone it is queued or runs.
func (server *Server) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout)
	defer cancel()
	call := WorkCall{Work: chi.URLParam(r, "request")}
	for _, zone := range server.viewer.View().Fleet.Zones {
		if err := server.callDecider(ctx, zone, methodWithdraw, call, nil); err != nil {
			server.log.Warn("failed to withdraw a request from a zone", "peerZone", zone, "error", err)
		}
	}
	w.WriteHeader(http.StatusAccepted)
}

// newJobID returns the ID of a new job of a home zone. With an idempotency key, the ID is derived from the key, so that
// a repeated submission gets the same ID.
func newJobID(zone, key string) string {
	if key == "" {
		return "j." + zone + "." + uuid.NewString()
	}
	return "j." + zone + "." + uuid.NewSHA1(uuid.NameSpaceOID, []byte(key)).String()
}

// zoneOfJob returns the home zone in a job ID, or an empty string if the ID is malformed.
func zoneOfJob(id string) string {
	zone, _ := strings.CutPrefix(id, "j.")
	end := strings.LastIndex(zone, ".")
	if end < 0 {
		return ""
	}
	return zone[:end]
}

func isUnsent(err error) bool { return linker.ErrUnsent.Has(err) }
