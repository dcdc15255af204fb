package server

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/replayer"
)

// self describes this host to its peers.
func (server *Server) self() Beat {
	tenure := server.deciding()
	return Beat{
		Host:        server.settings.Host,
		Zone:        server.settings.Zone,
		Address:     server.settings.PeerAddress,
		Incarnation: server.incarnation,
		Leaving:     server.leaving.Load(),
		Term:        server.peers.Term(server.settings.Zone),
		Deciding:    tenure != nil && tenure.ready.Load(),
		AsOf:        server.register.AsOf(),
		StaleMS:     server.staleness().Milliseconds(),
	}
}

// neverConfirmed is the staleness of a configuration that was never known to be the latest.
const neverConfirmed = -time.Millisecond

// staleness returns for how long the configuration has not been known to be the latest, from the log or
// from a peer, or neverConfirmed.
func (server *Server) staleness() time.Duration {
	own := neverConfirmed
	if confirmed := server.tailer.Confirmed(); !confirmed.IsZero() {
		own = time.Since(confirmed)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.peerStaleAt.IsZero() {
		return own
	}
	through := server.peerStale + time.Since(server.peerStaleAt)
	if own < 0 || through < own {
		return through
	}
	return own
}

// beat tells the peers of this host: those of the zone each time, those of other zones less often.
func (server *Server) beat(ctx context.Context) {
	everyone := time.Now().UnixMilli()/zoneBeat.Milliseconds()%int64(fleetBeat/zoneBeat) == 0
	message := server.self()
	for address, zone := range server.peerAddresses() {
		if zone != server.settings.Zone && zone != "" && !everyone {
			continue
		}
		server.wait.Go(func() { server.beatTo(ctx, address, message) })
	}
}

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

// beatAll tells all peers at once and waits for them.
func (server *Server) beatAll(ctx context.Context) {
	message := server.self()
	var wait sync.WaitGroup
	for address := range server.peerAddresses() {
		wait.Go(func() { server.beatTo(ctx, address, message) })
	}
	wait.Wait()
}

func (server *Server) beatTo(ctx context.Context, address string, message Beat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Beat
	err := server.pool.Call(ctx, address, methodBeat, message, &answer)
	if linker.ErrUnsent.Has(err) {
		server.lost(address, err)
		return
	}
	if err != nil {
		server.log.Debug("beat not answered", "peer", address, "error", err)
		return
	}
	if _, err := server.heardBeat(answer); err != nil {
		server.log.Debug("beat not taken", "peer", address, "error", err)
	}
}

// lost marks the peer at an address as dead, unless it was heard another way meanwhile. A refused
// connection shows that its process is gone.
func (server *Server) lost(address string, err error) {
	gone := errors.Is(err, syscall.ECONNREFUSED)
	for _, peer := range server.peers.Known() {
		if peer.Address == address && (gone || time.Since(peer.Heard) > zoneBeat) {
			server.peers.Lost(peer.Name, gone)
		}
	}
}

// heardBeat takes a peer's word of itself and answers with this host's own.
func (server *Server) heardBeat(beat Beat) (Beat, error) {
	if beat.Host == server.settings.Host {
		return server.self(), nil
	}
	server.peers.Heard(detector.Peer{
		Name:        beat.Host,
		Zone:        beat.Zone,
		Address:     beat.Address,
		Incarnation: beat.Incarnation,
		Leaving:     beat.Leaving,
		Term:        beat.Term,
		Deciding:    beat.Deciding,
		AsOf:        beat.AsOf,
		Heard:       time.Now(),
	})
	server.confirmThrough(beat)
	server.handBack(beat)
	if beat.AsOf > server.register.AsOf() && server.fetching.CompareAndSwap(false, true) {
		server.wait.Go(func() {
			defer server.fetching.Store(false)
			server.fetchSections(beat.Address)
		})
	}
	return server.self(), nil
}

// confirmThrough notes that the configuration is as fresh as that of a peer at the same offset.
func (server *Server) confirmThrough(beat Beat) {
	if beat.StaleMS < 0 || beat.AsOf > server.register.AsOf() {
		return
	}
	stale := time.Duration(beat.StaleMS) * time.Millisecond
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.peerStaleAt.IsZero() || stale < server.peerStale+time.Since(server.peerStaleAt) {
		server.peerStale, server.peerStaleAt = stale, time.Now()
	}
}

// fetchSections learns the configuration from a peer that has more of the log.
func (server *Server) fetchSections(address string) {
	ctx, cancel := context.WithTimeout(server.abandoned, callTimeout)
	defer cancel()
	since := server.register.AsOf()
	var state replayer.State
	if err := server.pool.Call(ctx, address, methodSections, SectionsCall{Since: since}, &state); err != nil {
		server.log.Debug("sections not fetched", "peer", address, "error", err)
		return
	}
	if server.register.Merge(state) {
		server.moved(since)
	}
}

// peerAddresses returns the addresses of the other entry hosts with their zones, from the platform's
// list, the settings and what was heard; the zone is empty where it is not known.
func (server *Server) peerAddresses() map[string]string {
	addresses := map[string]string{}
	for _, address := range server.settings.Peers {
		addresses[address] = ""
	}
	for _, host := range server.listed() {
		if host.Kind == lister.KindEntry {
			addresses[host.Address] = host.Zone
		}
	}
	for _, peer := range server.peers.Alive(time.Now()) {
		addresses[peer.Address] = peer.Zone
	}
	delete(addresses, server.settings.PeerAddress)
	return addresses
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
	if now.Sub(server.started) < peerTimeout {
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
