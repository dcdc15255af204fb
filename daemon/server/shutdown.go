package server

import (
	"context"
	"time"

	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/retrier"
)

// loadBalancerDelay is how long the load balancer may still send requests after readiness became false.
const loadBalancerDelay = 2 * time.Second

const (
	drainPollInterval = 50 * time.Millisecond
	handOverTimeout   = time.Second
)

// AbandonedRequests is the list of IDs of the requests that were still in flight when a shutdown closed the server.
type AbandonedRequests []string

// Shutdown stops the server gracefully: readiness becomes false, the zone is handed over to a peer, requests in
// flight are finished, and then the server is closed. If the context ends first, the server is closed immediately.
// Shutdown returns the requests that were still in flight.
func (server *Server) Shutdown(ctx context.Context) AbandonedRequests {
	server.startShutdown()
	server.awaitReplicas(ctx)
	server.handOverZone(ctx)
	server.drain(ctx)
	abandoned := server.unfinishedRequests()
	server.log.Info("stopping", "abandoned", len(abandoned))
	server.Close()
	return abandoned
}

func (server *Server) startShutdown() {
	server.mu.Lock()
	server.shutdownStartedAt = time.Now()
	server.mu.Unlock()
	server.shuttingDown.Store(true)
	server.Timeline.Record(recorder.Event{Kind: "hostLeaving"})
	server.log.Info("shutting down: readiness is false", "inFlight", server.admission.InUse())
}

func (server *Server) shutdownStart() time.Time {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.shutdownStartedAt
}

// handOverZone waits until all jobs are replicated, ends the tenure, and waits up to handOverTimeout until a peer
// is the decider of the zone. Without another host in the zone, this host stays the decider until it is closed.
func (server *Server) handOverZone(ctx context.Context) {
	tenure := server.currentTenure()
	if tenure == nil || !server.hasSuccessor() {
		server.sendHeartbeats(ctx)
		return
	}
	tenure.awaitJobReplication(ctx)
	server.resign(tenure, "the host is shutting down")
	server.sendHeartbeats(ctx)
	deadline := time.Now().Add(handOverTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if _, found := server.peers.Decider(server.settings.Zone, time.Now()); found {
			return
		}
		retrier.Sleep(ctx, drainPollInterval)
	}
}

func (server *Server) hasSuccessor() bool {
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Zone == server.settings.Zone && !peer.ShuttingDown {
			return true
		}
	}
	return false
}

// awaitJobReplication waits until no job has a version that is still being replicated.
func (tenure *tenure) awaitJobReplication(ctx context.Context) {
	for ctx.Err() == nil && tenure.hasUnreplicatedJobs() {
		retrier.Sleep(ctx, drainPollInterval)
	}
}

func (tenure *tenure) hasUnreplicatedJobs() bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, job := range tenure.jobs {
		if job.replicating {
			return true
		}
	}
	return false
}

// drain waits for loadBalancerDelay and then until no request is in flight or the context ends. Halfway to the deadline of
// the context it ends the streams of records, each after a complete record, so that their callers can resume
// through another host.
func (server *Server) drain(ctx context.Context) {
	retrier.Sleep(ctx, loadBalancerDelay)
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(time.Until(deadline)/2, server.endStreams)
		defer timer.Stop()
	}
	for ctx.Err() == nil && len(server.unfinishedRequests()) > 0 {
		retrier.Sleep(ctx, drainPollInterval)
	}
}

// unfinishedRequests returns the IDs of the requests in flight.
func (server *Server) unfinishedRequests() AbandonedRequests {
	var unfinished AbandonedRequests
	server.activeRequests.Range(func(id, _ any) bool {
		unfinished = append(unfinished, id.(string))
		return true
	})
	return unfinished
}
