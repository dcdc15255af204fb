package server

import (
	"context"
	"time"

	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/recorder"
)

// begin claims the zone's workers under a new term and starts to decide, unless a later term shows up.
func (server *Server) begin(ctx context.Context) {
	zone := server.settings.Zone
	former := server.peers.Term(zone)
	term := former.Next(server.settings.Host)
	server.peers.See(zone, term)
	tenure := server.newTenure(term)
	if !server.surelyGone(former) {
		tenure.keysFrom = time.Now().Add(authorityWait)
	}
	tenure.refresh()
	tenure.claimAll(ctx)
	if server.peers.Term(zone) != term || server.leaving.Load() || !tenure.anyClaimed() {
		tenure.close()
		return
	}
	tenure.tick()
	tenure.gather(ctx)
	server.mu.Lock()
	server.tenure = tenure
	server.mu.Unlock()
	tenure.run()
	server.log.Info("term begun", "term", term.String())
	server.Timeline.Record(recorder.Event{Kind: "termBegun", Detail: term.String()})
	server.wait.Go(func() { server.beatAll(ctx) })
}

// surelyGone reports whether the process that held a term cannot act under it any more.
func (server *Server) surelyGone(former fencer.Term) bool {
	if former.Zero() || former.Holder == server.settings.Host {
		return true
	}
	for _, peer := range server.peers.Known() {
		if peer.Name == former.Holder {
			return peer.Gone || peer.Leaving
		}
	}
	return false
}

func (tenure *tenure) anyClaimed() bool {
	for _, worker := range tenure.rows() {
		if worker.Claimed {
			return true
		}
	}
	return false
}

// rows returns copies of the worker rows.
func (tenure *tenure) rows() []decider.Worker {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.decider.Workers()
}

// authority reports whether this tenure alone answers for the zone's keys: most workers confirmed its
// term a short while ago, and the authority of a former decider has run out.
func (tenure *tenure) authority(now time.Time) bool {
	if now.Before(tenure.keysFrom) {
		return false
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	confirmed := 0
	for _, call := range tenure.calls {
		if now.Sub(call.owned) < authoritySpan {
			confirmed++
		}
	}
	return 2*confirmed > len(tenure.calls)
}

// zoneWorkers returns the listed workers of this host's zone.
func (server *Server) zoneWorkers() []decider.WorkerInfo {
	view := server.viewer.View()
	var infos []decider.WorkerInfo
	for _, host := range server.listed() {
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
