package server

import (
	"context"
	"time"

	"ebonyshunt.org/library/recorder"
)

// balancerLag is how long the balancer may still send requests after readiness went false.
const balancerLag = 2 * time.Second

const (
	drainPoll   = 50 * time.Millisecond
	handOverFor = time.Second
)

// Abandoned lists the requests that a shutdown did not wait for.
type Abandoned []string

// Shutdown ends the process gracefully: readiness goes false, the zone is handed to a peer, requests in
// flight are finished, and then all is closed. When the context ends first, it closes at once and
// returns what it abandoned.
func (server *Server) Shutdown(ctx context.Context) Abandoned {
	server.leave()
	server.handOver(ctx)
	server.drain(ctx)
	abandoned := server.unfinished()
	server.log.Info("stopping", "abandoned", len(abandoned))
	server.Close()
	return abandoned
}

func (server *Server) leave() {
	server.mu.Lock()
	server.leftAt = time.Now()
	server.mu.Unlock()
	server.leaving.Store(true)
	server.Timeline.Record(recorder.Event{Kind: "hostLeaving"})
	server.log.Info("leaving: readiness is false", "inFlight", server.gate.Total())
}

func (server *Server) leavingSince() time.Time {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.leftAt
}

// handOver ends the tenure, after its records are with the peers, and waits until one of them decides.
// A zone without another host is decided for until the end.
func (server *Server) handOver(ctx context.Context) {
	tenure := server.deciding()
	if tenure == nil || !server.hasSuccessor() {
		server.beatAll(ctx)
		return
	}
	tenure.flush(ctx)
	server.resign(tenure, "the host is leaving")
	server.beatAll(ctx)
	until := time.Now().Add(handOverFor)
	for time.Now().Before(until) && ctx.Err() == nil {
		if _, found := server.peers.Decider(server.settings.Zone, time.Now()); found {
			return
		}
		sleep(ctx, drainPoll)
	}
}

func (server *Server) hasSuccessor() bool {
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Zone == server.settings.Zone && !peer.Leaving {
			return true
		}
	}
	return false
}

// flush waits until all versions of all jobs are with the keepers.
func (tenure *tenure) flush(ctx context.Context) {
	for ctx.Err() == nil && tenure.unsaved() {
		sleep(ctx, drainPoll)
	}
}

func (tenure *tenure) unsaved() bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, row := range tenure.jobs {
		if row.saving {
			return true
		}
	}
	return false
}

// drain waits until the balancer has noticed and no request is in flight. Half way to its end it ends the
// streams of records, each behind a whole record, so that their callers can resume elsewhere.
func (server *Server) drain(ctx context.Context) {
	sleep(ctx, balancerLag)
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(time.Until(deadline)/2, server.endAll)
		defer timer.Stop()
	}
	for ctx.Err() == nil && len(server.unfinished()) > 0 {
		sleep(ctx, drainPoll)
	}
}

// unfinished lists the requests in flight.
func (server *Server) unfinished() Abandoned {
	var left Abandoned
	server.requests.Range(func(id, _ any) bool {
		left = append(left, id.(string))
		return true
	})
	return left
}
