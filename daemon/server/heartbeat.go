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

// currentHeartbeat returns the heartbeat that describes the current state of this host.
func (server *Server) currentHeartbeat() Heartbeat {
	tenure := server.currentTenure()
	return Heartbeat{
		Host:         server.settings.Host,
		Zone:         server.settings.Zone,
		Address:      server.settings.PeerAddress,
		Incarnation:  server.incarnation,
		ShuttingDown: server.shuttingDown.Load(),
		Term:         server.peers.Term(server.settings.Zone),
		Deciding:     tenure != nil && tenure.ready.Load(),
		HasRecords:   server.hasZoneRecords.Load(),
		AsOf:         server.register.AsOf(),
		StaleMS:      roundUpStaleness(server.staleness()).Milliseconds(),
		Relayed:      server.directDeciders(),
	}
}

// roundUpStaleness rounds up to stalenessStep, so that consecutive heartbeats of an idle host are equal and can be
// sent shortened. A negative value (neverCaughtUp) stays.
func roundUpStaleness(stale time.Duration) time.Duration {
	if stale < 0 {
		return stale
	}
	return (stale/stalenessStep + 1) * stalenessStep
}

const stalenessStep = 15 * time.Second

// neverCaughtUp is the staleness of a configuration that was never known to be the latest.
const neverCaughtUp = -time.Millisecond

// staleness returns the time since the configuration was last known to be the latest, by reading to the end of the
// log or from a peer's staleness. It returns neverCaughtUp if that was never known.
func (server *Server) staleness() time.Duration {
	own := neverCaughtUp
	if lastCaughtUp := server.tailer.LastCaughtUp(); !lastCaughtUp.IsZero() {
		own = time.Since(lastCaughtUp)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.peerStalenessAt.IsZero() {
		return own
	}
	viaPeer := server.peerStaleness + time.Since(server.peerStalenessAt)
	if own < 0 || viaPeer < own {
		return viaPeer
	}
	return own
}

// sendDueHeartbeats sends heartbeats to the peers of the zone and, every fleetHeartbeatInterval while this host
// is the decider, to the deciders of the other zones. It runs every zoneHeartbeatInterval.
func (server *Server) sendDueHeartbeats(ctx context.Context) {
	zoneRoundsPerFleetRound := int(fleetHeartbeatInterval / zoneHeartbeatInterval)
	server.heartbeatRounds++
	targets := server.zoneHeartbeatTargets()
	if server.heartbeatRounds%zoneRoundsPerFleetRound == 0 && server.currentTenure() != nil {
		targets = append(targets, server.fleetHeartbeatTargets(server.heartbeatRounds/zoneRoundsPerFleetRound)...)
	}
	for _, address := range targets {
		server.goroutines.Go(func() { server.sendHeartbeat(ctx, address) })
	}
}

// zoneHeartbeatTargets returns the addresses of the zone's other hosts that this host sends heartbeats to, and of
// configured peers whose zone is not known.
func (server *Server) zoneHeartbeatTargets() []string {
	var targets []string
	now := time.Now()
	for address, zone := range server.peerAddresses() {
		if zone != "" && zone != server.settings.Zone {
			continue
		}
		if server.shouldSendTo(address, now) {
			targets = append(targets, address)
		}
	}
	return targets
}

// shouldSendTo reports whether this host sends heartbeats to the peer at an address. Of two hosts the first by
// name sends, as the answer carries the heartbeat of the other. The second sends too if it has received no
// heartbeat from the first directly for two intervals.
func (server *Server) shouldSendTo(address string, now time.Time) bool {
	for _, peer := range server.peers.Alive(now) {
		if peer.Address == address {
			return server.settings.Host < peer.Name || peer.Relayed || now.Sub(peer.LastHeartbeat) > 2*zoneHeartbeatInterval
		}
	}
	return true
}

// fleetHeartbeatTargets returns the addresses of the other zones' deciders. For a zone whose decider this host
// has no direct contact with, it returns a different listed entry host each round. Of two deciders the first by
// name sends, and the second if it has received no heartbeat from the first for two intervals.
func (server *Server) fleetHeartbeatTargets(round int) []string {
	var targets []string
	now := time.Now()
	for _, zone := range server.viewer.View().Fleet.Zones {
		if zone == server.settings.Zone {
			continue
		}
		if peer, found := server.peers.Decider(zone, now); found && !peer.Relayed {
			if server.settings.Host < peer.Name || now.Sub(peer.LastHeartbeat) > 2*fleetHeartbeatInterval {
				targets = append(targets, peer.Address)
			}
			continue
		}
		if hosts := server.entryHostAddresses(zone); len(hosts) > 0 {
			targets = append(targets, hosts[round%len(hosts)])
		}
	}
	return targets
}

// entryHostAddresses returns the peer addresses of a zone's entry hosts on the platform's list.
func (server *Server) entryHostAddresses(zone string) []string {
	var addresses []string
	for _, host := range server.listedHosts() {
		if host.Kind == lister.KindEntry && host.Zone == zone {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}

// directDeciders returns the deciders from which this host receives heartbeats directly: those of the other zones
// while it is the decider, and that of its own zone otherwise.
func (server *Server) directDeciders() []Heartbeat {
	var deciders []Heartbeat
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Relayed || !peer.Deciding {
			continue
		}
		deciders = append(deciders, Heartbeat{Host: peer.Name, Zone: peer.Zone, Address: peer.Address, Incarnation: peer.Incarnation, Term: peer.Term, Deciding: true})
	}
	return deciders
}

// sendHeartbeats sends a heartbeat to all peers in parallel and waits for the answers.
func (server *Server) sendHeartbeats(ctx context.Context) {
	var wait sync.WaitGroup
	for address := range server.peerAddresses() {
		wait.Go(func() { server.sendHeartbeat(ctx, address) })
	}
	wait.Wait()
}

// sendHeartbeat sends a heartbeat, shortened if the peer already has its content, and processes the answer.
func (server *Server) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current := server.currentHeartbeat()
	sent := server.shortenHeartbeat(heartbeatTarget{address: address}, current, false)
	sent.Want = !server.hasHeartbeatFrom(address)
	var answer Heartbeat
	err := server.peerPool.Call(ctx, address, methodHeartbeat, sent, &answer)
	if err != nil || answer.Want {
		server.forgetSentHeartbeat(heartbeatTarget{address: address})
	}
	if linker.ErrUnsent.Has(err) {
		server.markUnreachable(address, err)
		return
	}
	if err != nil {
		server.log.Debug("heartbeat not answered", "peer", address, "error", err)
		return
	}
	server.processHeartbeat(answer)
}

// heartbeatTarget is a receiver of heartbeats: an address for those that this host sends, a host name for its
// answers. The other field is empty.
type heartbeatTarget struct{ address, host string }

// shortenHeartbeat returns the heartbeat to send to a target: only the host name with Same set if the last one sent
// there was equal, unless full is set.
func (server *Server) shortenHeartbeat(target heartbeatTarget, current Heartbeat, full bool) Heartbeat {
	server.mu.Lock()
	defer server.mu.Unlock()
	if previous, found := server.sentHeartbeats[target]; found && !full && reflect.DeepEqual(previous, current) {
		return Heartbeat{Host: current.Host, Same: true}
	}
	server.sentHeartbeats[target] = current
	return current
}

func (server *Server) forgetSentHeartbeat(target heartbeatTarget) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.sentHeartbeats, target)
}

// hasHeartbeatFrom reports whether a full heartbeat of the peer at an address is stored.
func (server *Server) hasHeartbeatFrom(address string) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	for _, heartbeat := range server.receivedHeartbeats {
		if heartbeat.Address == address {
			return true
		}
	}
	return false
}

// handleHeartbeat processes the heartbeat of a peer and returns this host's own as the answer.
func (server *Server) handleHeartbeat(heartbeat Heartbeat) (Heartbeat, error) {
	known := server.processHeartbeat(heartbeat)
	answer := server.shortenHeartbeat(heartbeatTarget{host: heartbeat.Host}, server.currentHeartbeat(), heartbeat.Want)
	answer.Want = !known
	return answer, nil
}

// processHeartbeat updates the states of a peer and of the deciders that it relays, hands back records to new
// deciders, and fetches newer configuration. It returns false for a shortened heartbeat of a peer whose full
// heartbeat is not stored.
func (server *Server) processHeartbeat(heartbeat Heartbeat) bool {
	if heartbeat.Host == server.settings.Host {
		return true
	}
	if heartbeat.Same {
		server.mu.Lock()
		full, known := server.receivedHeartbeats[heartbeat.Host]
		server.mu.Unlock()
		if !known {
			return false
		}
		heartbeat = full
	}
	server.mu.Lock()
	server.receivedHeartbeats[heartbeat.Host] = heartbeat
	server.mu.Unlock()
	server.peers.RecordHeartbeat(peerFromHeartbeat(heartbeat))
	server.updatePeerStaleness(heartbeat)
	server.handBackRecords(heartbeat)
	for _, relayed := range heartbeat.Relayed {
		if relayed.Host != server.settings.Host {
			server.peers.RecordRelayedHeartbeat(peerFromHeartbeat(relayed))
			server.handBackRecords(relayed)
		}
	}
	if heartbeat.AsOf > server.register.AsOf() && server.fetchingSections.CompareAndSwap(false, true) {
		server.goroutines.Go(func() {
			defer server.fetchingSections.Store(false)
			server.fetchSections(heartbeat.Address)
		})
	}
	return true
}

func peerFromHeartbeat(heartbeat Heartbeat) detector.Peer {
	return detector.Peer{
		Name:          heartbeat.Host,
		Zone:          heartbeat.Zone,
		Address:       heartbeat.Address,
		Incarnation:   heartbeat.Incarnation,
		ShuttingDown:  heartbeat.ShuttingDown,
		Term:          heartbeat.Term,
		Deciding:      heartbeat.Deciding,
		HasRecords:    heartbeat.HasRecords,
		AsOf:          heartbeat.AsOf,
		LastHeartbeat: time.Now(),
	}
}

// markUnreachable marks the peer at an address as dead, unless a heartbeat of it came within the last
// zoneHeartbeatInterval. A refused connection (ECONNREFUSED) proves that its process has ended, and then the
// peer is marked in any case.
func (server *Server) markUnreachable(address string, err error) {
	processEnded := errors.Is(err, syscall.ECONNREFUSED)
	for _, peer := range server.peers.Peers() {
		if peer.Address == address && (processEnded || time.Since(peer.LastHeartbeat) > zoneHeartbeatInterval) {
			server.peers.MarkDead(peer.Name, processEnded)
		}
	}
}

// updatePeerStaleness lowers the staleness of the configuration to that of a peer whose configuration offset this
// host has reached.
func (server *Server) updatePeerStaleness(heartbeat Heartbeat) {
	if heartbeat.StaleMS < 0 || heartbeat.AsOf > server.register.AsOf() {
		return
	}
	stale := time.Duration(heartbeat.StaleMS) * time.Millisecond
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.peerStalenessAt.IsZero() || stale < server.peerStaleness+time.Since(server.peerStalenessAt) {
		server.peerStaleness, server.peerStalenessAt = stale, time.Now()
	}
}

// fetchSections fetches newer configuration from a peer that has read more of the log.
func (server *Server) fetchSections(address string) {
	ctx, cancel := context.WithTimeout(server.abandonContext, callTimeout)
	defer cancel()
	since := server.register.AsOf()
	var state replayer.State
	if err := server.peerPool.Call(ctx, address, methodSections, SectionsCall{Since: since}, &state); err != nil {
		server.log.Debug("sections not fetched", "peer", address, "error", err)
		return
	}
	if server.register.Merge(state) {
		server.applyChanges(since)
	}
}

// peerAddresses maps the addresses of the other entry hosts to their zones, from the settings, the platform's
// list and received heartbeats. The zone is empty if it is not known.
func (server *Server) peerAddresses() map[string]string {
	addresses := map[string]string{}
	for _, address := range server.settings.Peers {
		addresses[address] = ""
	}
	for _, host := range server.listedHosts() {
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
