package server

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"syscall"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/detector"
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
		StaleMS:     coarse(server.staleness()).Milliseconds(),
		Relayed:     server.relayed(),
	}
}

// coarse rounds a staleness up, so that beats of a host at rest are alike.
func coarse(stale time.Duration) time.Duration {
	if stale < 0 {
		return stale
	}
	return (stale/staleStep + 1) * staleStep
}

const staleStep = 15 * time.Second

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

// beat tells the peers that are due of this host: those of its zone each time and, while it decides, the
// deciders of other zones less often.
func (server *Server) beat(ctx context.Context) {
	rounds := int(fleetBeat / zoneBeat)
	server.beats++
	due := server.zonePeers()
	if server.beats%rounds == 0 && server.deciding() != nil {
		due = append(due, server.fleetPeers(server.beats/rounds)...)
	}
	for _, address := range due {
		server.wait.Go(func() { server.beatTo(ctx, address) })
	}
}

// zonePeers returns the addresses of the zone's other hosts that this one beats: of two hosts the first by
// name does, and the other one too while it hears nothing.
func (server *Server) zonePeers() []string {
	var due []string
	now := time.Now()
	for address, zone := range server.peerAddresses() {
		if zone != "" && zone != server.settings.Zone {
			continue
		}
		if server.quiet(address, now) {
			due = append(due, address)
		}
	}
	return due
}

// quiet reports whether it is for this host to beat the peer at an address.
func (server *Server) quiet(address string, now time.Time) bool {
	for _, peer := range server.peers.Alive(now) {
		if peer.Address == address {
			return server.settings.Host < peer.Name || peer.Relayed || now.Sub(peer.Heard) > 2*zoneBeat
		}
	}
	return true
}

// fleetPeers returns the addresses of the other zones' deciders; of a zone without a known one, a
// different listed host each round.
func (server *Server) fleetPeers(round int) []string {
	var due []string
	now := time.Now()
	for _, zone := range server.viewer.View().Fleet.Zones {
		if zone == server.settings.Zone {
			continue
		}
		if peer, found := server.peers.Decider(zone, now); found && !peer.Relayed {
			if server.settings.Host < peer.Name || now.Sub(peer.Heard) > 2*fleetBeat {
				due = append(due, peer.Address)
			}
			continue
		}
		if hosts := server.entryHosts(zone); len(hosts) > 0 {
			due = append(due, hosts[round%len(hosts)])
		}
	}
	return due
}

// entryHosts returns the peer addresses of a zone's listed entry hosts.
func (server *Server) entryHosts(zone string) []string {
	var addresses []string
	for _, host := range server.listed() {
		if host.Kind == lister.KindEntry && host.Zone == zone {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}

// relayed returns the deciders that this host hears itself: of the other zones while it decides, and the
// one of its own zone otherwise.
func (server *Server) relayed() []Beat {
	var relayed []Beat
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Relayed || !peer.Deciding {
			continue
		}
		relayed = append(relayed, Beat{Host: peer.Name, Zone: peer.Zone, Address: peer.Address, Incarnation: peer.Incarnation, Term: peer.Term, Deciding: true})
	}
	return relayed
}

// beatAll tells all peers at once and waits for them.
func (server *Server) beatAll(ctx context.Context) {
	var wait sync.WaitGroup
	for address := range server.peerAddresses() {
		wait.Go(func() { server.beatTo(ctx, address) })
	}
	wait.Wait()
}

// beatTo sends a beat, shortened where the peer knows all of it, and takes in the answer.
func (server *Server) beatTo(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := server.self()
	sent := server.shortened(sentTo{address: address}, message, false)
	sent.Want = !server.knows(address)
	var answer Beat
	err := server.pool.Call(ctx, address, methodBeat, sent, &answer)
	if err != nil || answer.Want {
		server.unsend(sentTo{address: address})
	}
	if linker.ErrUnsent.Has(err) {
		server.lost(address, err)
		return
	}
	if err != nil {
		server.log.Debug("beat not answered", "peer", address, "error", err)
		return
	}
	server.takeBeat(answer)
}

// sentTo names a direction of beats: to an address, or in answer to a host.
type sentTo struct{ address, host string }

// shortened returns a beat as it goes to a peer: only the host's name where all else was sent before.
func (server *Server) shortened(to sentTo, message Beat, wanted bool) Beat {
	server.mu.Lock()
	defer server.mu.Unlock()
	if before, sent := server.sentBeats[to]; sent && !wanted && reflect.DeepEqual(before, message) {
		return Beat{Host: message.Host, Same: true}
	}
	server.sentBeats[to] = message
	return message
}

func (server *Server) unsend(to sentTo) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.sentBeats, to)
}

// knows reports whether the last whole beat of the peer at an address is at hand.
func (server *Server) knows(address string) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	for _, beat := range server.heardBeats {
		if beat.Address == address {
			return true
		}
	}
	return false
}

// answerBeat takes a peer's beat and answers with this host's own.
func (server *Server) answerBeat(beat Beat) (Beat, error) {
	known := server.takeBeat(beat)
	answer := server.shortened(sentTo{host: beat.Host}, server.self(), beat.Want)
	answer.Want = !known
	return answer, nil
}

// takeBeat takes a peer's word of itself, and of the deciders that it hears. It reports false for a
// shortened beat of a peer whose whole one is not known.
func (server *Server) takeBeat(beat Beat) bool {
	if beat.Host == server.settings.Host {
		return true
	}
	if beat.Same {
		server.mu.Lock()
		whole, known := server.heardBeats[beat.Host]
		server.mu.Unlock()
		if !known {
			return false
		}
		beat = whole
	}
	server.mu.Lock()
	server.heardBeats[beat.Host] = beat
	server.mu.Unlock()
	server.peers.Heard(peerOf(beat))
	server.confirmThrough(beat)
	server.handBack(beat)
	for _, relayed := range beat.Relayed {
		if relayed.Host != server.settings.Host {
			server.peers.HeardOf(peerOf(relayed))
			server.handBack(relayed)
		}
	}
	if beat.AsOf > server.register.AsOf() && server.fetching.CompareAndSwap(false, true) {
		server.wait.Go(func() {
			defer server.fetching.Store(false)
			server.fetchSections(beat.Address)
		})
	}
	return true
}

func peerOf(beat Beat) detector.Peer {
	return detector.Peer{
		Name:        beat.Host,
		Zone:        beat.Zone,
		Address:     beat.Address,
		Incarnation: beat.Incarnation,
		Leaving:     beat.Leaving,
		Term:        beat.Term,
		Deciding:    beat.Deciding,
		AsOf:        beat.AsOf,
		Heard:       time.Now(),
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
