package server

import (
	"context"
	"time"

	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/recorder"
)

// peerContext is the context of the calls to one incarnation of a peer.
type peerContext struct {
	ctx         context.Context
	cancel      context.CancelFunc
	incarnation string
}

// contextWhileDeciding returns a context that is canceled when the peer is considered dead, was restarted, or
// is no longer a decider.
func (server *Server) contextWhileDeciding(peer detector.Peer) context.Context {
	server.mu.Lock()
	defer server.mu.Unlock()
	known, found := server.peerContexts[peer.Name]
	if !found || known.incarnation != peer.Incarnation || known.ctx.Err() != nil {
		known.ctx, known.cancel = context.WithCancel(server.abandonContext)
		known.incarnation = peer.Incarnation
		server.peerContexts[peer.Name] = known
	}
	return known.ctx
}

// checkPeers cancels the calls to peers that are no longer deciders, and runs checkTerm.
func (server *Server) checkPeers(ctx context.Context) {
	now := time.Now()
	server.mu.Lock()
	for name, known := range server.peerContexts {
		peer, alive := server.peers.Peer(name, now)
		if !alive || peer.Incarnation != known.incarnation || !peer.Deciding {
			known.cancel()
			delete(server.peerContexts, name)
		}
	}
	server.mu.Unlock()
	server.checkTerm(ctx)
}

// checkTerm begins a term if this host should be the decider of its zone, and ends a term that was superseded.
func (server *Server) checkTerm(ctx context.Context) {
	zone := server.settings.Zone
	if tenure := server.currentTenure(); tenure != nil {
		if server.peers.Term(zone) != tenure.term {
			server.resign(tenure, "a later term was seen")
		}
		return
	}
	now := time.Now()
	self := detector.Peer{Name: server.settings.Host, Zone: zone, ShuttingDown: server.shuttingDown.Load()}
	if now.Sub(server.startedAt) < peerTimeout || server.conflictingZone() != "" {
		return
	}
	if !server.peers.ShouldDecide(self, now) || len(server.zoneWorkers()) == 0 {
		return
	}
	server.beginTerm(ctx)
}

// resign ends a tenure if it is still the current one. The reason goes to the log and the timeline.
func (server *Server) resign(ended *tenure, reason string) {
	server.mu.Lock()
	current := server.tenure == ended
	if current {
		server.tenure = nil
	}
	server.mu.Unlock()
	if !current {
		return
	}
	server.log.Info("term ended", "term", ended.term.String(), "reason", reason)
	server.Timeline.Record(recorder.Event{Kind: "termEnded", Detail: ended.term.String() + ": " + reason})
	server.goroutines.Go(ended.close)
}

func (server *Server) replaceTenure(next *tenure) {
	server.mu.Lock()
	former := server.tenure
	server.tenure = next
	server.mu.Unlock()
	if former != nil {
		former.close()
	}
}
