// Package detector is a timeout-based failure detector for the entry hosts of the fleet. It reports which
// peers are alive and which host should be the decider of a zone.
package detector

import (
	"maps"
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/library/fencer"
)

// Peer is the last known state of another host.
type Peer struct {
	Name          string
	Zone          string
	Address       string
	Incarnation   string      // changes with each start of the process
	ShuttingDown  bool        // is shutting down
	Term          fencer.Term // latest term that the peer has recorded for its zone
	Deciding      bool        // is the decider of its zone under Term
	HasRecords    bool        // has copies of all records of its zone
	AsOf          int64       // log offset of its configuration
	LastHeartbeat time.Time   // arrival time of the last heartbeat; zero after MarkDead
	ProcessEnded  bool        // its process is known to have ended, such as after a refused connection
	Relayed       bool        // the last heartbeat came through another host
}

// Detector tracks the peers of one host. It is safe for concurrent use.
type Detector struct {
	Zone         string        // zone of this host
	Timeout      time.Duration // time without a heartbeat after which a peer of Zone is considered dead
	FleetTimeout time.Duration // timeout for peers of other zones, which send heartbeats less often

	mu    sync.Mutex
	peers map[string]Peer
	terms map[string]fencer.Term
}

// New returns a detector without peers.
func New(zone string, timeout, fleetTimeout time.Duration) *Detector {
	return &Detector{Zone: zone, Timeout: timeout, FleetTimeout: fleetTimeout, peers: map[string]Peer{}, terms: map[string]fencer.Term{}}
}

// RecordHeartbeat records the state in a heartbeat that a peer sent itself. It replaces all that was recorded under
// that name, also when the host was replaced by another one of the same name.
func (detector *Detector) RecordHeartbeat(peer Peer) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	detector.peers[peer.Name] = peer
	detector.observeTerm(peer.Zone, peer.Term)
}

// RecordRelayedHeartbeat records the state of a peer that came through another host, unless the last heartbeat came
// from the peer itself and is within the timeout. If the incarnation is unchanged, the recorded configuration offset
// is kept.
func (detector *Detector) RecordRelayedHeartbeat(peer Peer) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	previous, found := detector.peers[peer.Name]
	if found && !previous.Relayed && detector.isAlive(previous, peer.LastHeartbeat) {
		return
	}
	peer.Relayed = true
	if found && previous.Incarnation == peer.Incarnation {
		peer.AsOf = previous.AsOf
	}
	detector.peers[peer.Name] = peer
	detector.observeTerm(peer.Zone, peer.Term)
}

// MarkDead marks a peer that cannot be reached as dead. The argument processEnded states that its process is known to
// have ended.
func (detector *Detector) MarkDead(name string, processEnded bool) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	peer, known := detector.peers[name]
	if known {
		peer.LastHeartbeat = time.Time{}
		peer.ProcessEnded = processEnded
		detector.peers[name] = peer
	}
}

// ObserveTerm records a term of a zone unless a later term is known.
func (detector *Detector) ObserveTerm(zone string, term fencer.Term) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	detector.observeTerm(zone, term)
}

func (detector *Detector) observeTerm(zone string, term fencer.Term) {
	if detector.terms[zone].Less(term) {
		detector.terms[zone] = term
	}
}

// Term returns the latest known term of a zone.
func (detector *Detector) Term(zone string) fencer.Term {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	return detector.terms[zone]
}

// Alive returns the peers whose last heartbeat is within the timeout, sorted by name.
func (detector *Detector) Alive(now time.Time) []Peer {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	var alive []Peer
	for _, name := range slices.Sorted(maps.Keys(detector.peers)) {
		peer := detector.peers[name]
		if detector.isAlive(peer, now) {
			alive = append(alive, peer)
		}
	}
	return alive
}

// Peers returns all peers, dead ones included, sorted by name.
func (detector *Detector) Peers() []Peer {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(detector.peers)) {
		peers = append(peers, detector.peers[name])
	}
	return peers
}

// Peer returns the last known state of a peer and reports whether it is alive.
func (detector *Detector) Peer(name string, now time.Time) (Peer, bool) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	peer, known := detector.peers[name]
	return peer, known && detector.isAlive(peer, now)
}

func (detector *Detector) isAlive(peer Peer, now time.Time) bool {
	timeout := detector.FleetTimeout
	if peer.Zone == detector.Zone {
		timeout = detector.Timeout
	}
	return now.Sub(peer.LastHeartbeat) < timeout
}

// Decider returns the live peer that is the decider of a zone under its latest known term.
func (detector *Detector) Decider(zone string, now time.Time) (Peer, bool) {
	term := detector.Term(zone)
	peer, alive := detector.Peer(term.Holder, now)
	if !alive || !peer.Deciding || peer.Term != term {
		return Peer{}, false
	}
	return peer, true
}

// ShouldDecide reports whether self, which is not the decider, should begin a new term in its zone. It should if it holds
// the latest term, which it does after a restart: the other hosts see it alive and wait for it. It also should if the
// holder is dead or shutting down, and self has the first name among the live hosts of the zone that are not shutting
// down.
func (detector *Detector) ShouldDecide(self Peer, now time.Time) bool {
	if self.ShuttingDown {
		return false
	}
	holder := detector.Term(self.Zone).Holder
	if holder == self.Name {
		return true
	}
	firstName := self.Name
	for _, peer := range detector.Alive(now) {
		if peer.Zone != self.Zone || peer.ShuttingDown {
			continue
		}
		if peer.Name == holder {
			return false
		}
		firstName = min(firstName, peer.Name)
	}
	return firstName == self.Name
}
