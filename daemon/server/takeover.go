package server

import (
	"context"
	"time"

	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/recorder"
)

// beginTerm claims the zone's workers under a new term and makes this host the decider. It stops if a later
// term is seen, in a record too, this host is shutting down, or no worker could be claimed.
func (server *Server) beginTerm(ctx context.Context) {
	zone := server.settings.Zone
	former := server.peers.Term(zone)
	term := former.Next(server.settings.Host)
	server.peers.ObserveTerm(zone, term)
	tenure := server.newTenure(term)
	if !server.holderInactive(former) {
		tenure.keyAuthorityFrom = time.Now().Add(keyAuthorityDelay)
	}
	tenure.refresh()
	tenure.claimAll(ctx)
	if server.peers.Term(zone) != term || server.shuttingDown.Load() || !tenure.hasClaimedWorker() {
		tenure.close()
		return
	}
	tenure.tick()
	tenure.gatherRecords(ctx)
	if server.peers.Term(zone) != term {
		tenure.close()
		return
	}
	server.mu.Lock()
	server.tenure = tenure
	server.mu.Unlock()
	tenure.run()
	server.log.Info("term begun", "term", term.String())
	server.Timeline.Record(recorder.Event{Kind: "termBegun", Detail: term.String()})
	server.goroutines.Go(func() { server.sendHeartbeats(ctx) })
}

// holderInactive reports whether the process that held a term can no longer act under it: it ended or is
// shutting down, the holder is this host, or there was no earlier term.
func (server *Server) holderInactive(former fencer.Term) bool {
	if former.Zero() || former.Holder == server.settings.Host {
		return true
	}
	for _, peer := range server.peers.Peers() {
		if peer.Name == former.Holder {
			return peer.ProcessEnded || peer.ShuttingDown
		}
	}
	return false
}

func (tenure *tenure) hasClaimedWorker() bool {
	for _, worker := range tenure.workerRows() {
		if worker.Claimed {
			return true
		}
	}
	return false
}

// workerRows returns copies of the rows of the decider's worker table.
func (tenure *tenure) workerRows() []decider.Worker {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.decider.Workers()
}

// hasKeyAuthority reports whether this tenure alone answers for the zone's idempotency keys: a majority of the
// workers confirmed its term within keyAuthorityDuration, and the authority of the former decider has expired.
func (tenure *tenure) hasKeyAuthority(now time.Time) bool {
	if now.Before(tenure.keyAuthorityFrom) {
		return false
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	confirmed := 0
	for _, schedule := range tenure.claims {
		if now.Sub(schedule.confirmedSentAt) < keyAuthorityDuration {
			confirmed++
		}
	}
	return 2*confirmed > len(tenure.claims)
}

// zoneWorkers returns the workers of this host's zone on the platform's host list.
func (server *Server) zoneWorkers() []decider.WorkerInfo {
	view := server.viewer.View()
	var infos []decider.WorkerInfo
	for _, host := range server.listedHosts() {
		if host.Kind != lister.KindWorker || host.Zone != server.settings.Zone {
			continue
		}
		infos = append(infos, decider.WorkerInfo{
			Name:     host.Name,
			Address:  host.Address,
			Rack:     host.Rack,
			Capacity: host.Capacity,
			Leaving:  host.Leaving || view.Upstreams[host.Name].Drain,
		})
	}
	return infos
}
