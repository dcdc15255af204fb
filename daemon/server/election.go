package server

import (
	"context"
	"time"

	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/recorder"
)

// peerCall bounds the calls to one incarnation of a peer.
type peerCall struct {
	ctx         context.Context
	cancel      context.CancelFunc
	incarnation string
}

// whileAlive returns a context that ends when a peer is taken for dead, was restarted, or stops deciding.
func (server *Server) whileAlive(peer detector.Peer) context.Context {
	server.mu.Lock()
	defer server.mu.Unlock()
	known, found := server.peerCalls[peer.Name]
	if !found || known.incarnation != peer.Incarnation || known.ctx.Err() != nil {
		known.ctx, known.cancel = context.WithCancel(server.abandoned)
		known.incarnation = peer.Incarnation
		server.peerCalls[peer.Name] = known
	}
	return known.ctx
}

// checkPeers ends the calls to peers that no longer decide, and begins a term where that is due.
func (server *Server) checkPeers(ctx context.Context) {
	now := time.Now()
	server.mu.Lock()
	for name, call := range server.peerCalls {
		peer, alive := server.peers.Peer(name, now)
		if !alive || peer.Incarnation != call.incarnation || !peer.Deciding {
			call.cancel()
			delete(server.peerCalls, name)
		}
	}
	server.mu.Unlock()
	server.elect(ctx)
}

// elect begins a term when this host should decide for its zone, and ends one that was superseded.
func (server *Server) elect(ctx context.Context) {
	zone := server.settings.Zone
	if tenure := server.deciding(); tenure != nil {
		if server.peers.Term(zone) != tenure.term {
			server.resign(tenure, "a later term was seen")
		}
		return
	}
	now := time.Now()
	self := detector.Peer{Name: server.settings.Host, Zone: zone, Leaving: server.leaving.Load()}
	if now.Sub(server.started) < peerTimeout || server.listedElsewhere() != "" {
		return
	}
	if !server.peers.ShouldDecide(self, now) || len(server.zoneWorkers()) == 0 {
		return
	}
	server.begin(ctx)
}

// resign ends a tenure that is still the present one.
func (server *Server) resign(ended *tenure, reason string) {
	server.mu.Lock()
	present := server.tenure == ended
	if present {
		server.tenure = nil
	}
	server.mu.Unlock()
	if !present {
		return
	}
	server.log.Info("term ended", "term", ended.term.String(), "reason", reason)
	server.Timeline.Record(recorder.Event{Kind: "termEnded", Detail: ended.term.String() + ": " + reason})
	server.wait.Go(ended.close)
}

func (server *Server) setTenure(next *tenure) {
	server.mu.Lock()
	former := server.tenure
	server.tenure = next
	server.mu.Unlock()
	if former != nil {
		former.close()
	}
}
