// Package detector tells which peers are alive from direct contact, and who should decide for a zone.
package detector

import (
	"maps"
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/library/fencer"
)

// Peer is what is known of another host.
type Peer struct {
	Name        string
	Zone        string
	Address     string
	Incarnation string // of its process
	Leaving     bool
	Term        fencer.Term // latest term of its zone that it knows
	Deciding    bool
	AsOf        int64 // offset of its configuration
	Heard       time.Time
	Gone        bool // its process was seen not to be there
	Relayed     bool // known through another host, and not from itself
}

// Detector holds the peers of one host.
type Detector struct {
	Zone         string        // of this host
	Timeout      time.Duration // silence after which a peer of the zone is taken to be dead
	FleetTimeout time.Duration // the same for peers of other zones, which are heard less often

	mu    sync.Mutex
	peers map[string]Peer
	terms map[string]fencer.Term
}

// New returns a detector that knows nobody.
func New(zone string, timeout, fleetTimeout time.Duration) *Detector {
	return &Detector{Zone: zone, Timeout: timeout, FleetTimeout: fleetTimeout, peers: map[string]Peer{}, terms: map[string]fencer.Term{}}
}

// Heard takes a peer's word of itself. A host replaced under the same name starts anew.
func (detector *Detector) Heard(peer Peer) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	detector.peers[peer.Name] = peer
	detector.see(peer.Zone, peer.Term)
}

// HeardOf takes another host's word of a peer, unless the peer itself was heard lately.
func (detector *Detector) HeardOf(peer Peer) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	known, found := detector.peers[peer.Name]
	if found && !known.Relayed && detector.alive(known, peer.Heard) {
		return
	}
	peer.Relayed = true
	if found && known.Incarnation == peer.Incarnation {
		peer.AsOf = known.AsOf
	}
	detector.peers[peer.Name] = peer
	detector.see(peer.Zone, peer.Term)
}

// Lost takes a peer that cannot be reached for dead; gone tells that its process surely ended.
func (detector *Detector) Lost(name string, gone bool) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	peer, known := detector.peers[name]
	if known {
		peer.Heard = time.Time{}
		peer.Gone = gone
		detector.peers[name] = peer
	}
}

// See notes a term of a zone and keeps the latest.
func (detector *Detector) See(zone string, term fencer.Term) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	detector.see(zone, term)
}

func (detector *Detector) see(zone string, term fencer.Term) {
	if detector.terms[zone].Less(term) {
		detector.terms[zone] = term
	}
}

// Term returns the latest term known of a zone.
func (detector *Detector) Term(zone string) fencer.Term {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	return detector.terms[zone]
}

// Alive returns the peers heard within the timeout, by name.
func (detector *Detector) Alive(now time.Time) []Peer {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	var alive []Peer
	for _, name := range slices.Sorted(maps.Keys(detector.peers)) {
		peer := detector.peers[name]
		if detector.alive(peer, now) {
			alive = append(alive, peer)
		}
	}
	return alive
}

// Known returns all peers that were ever heard, by name.
func (detector *Detector) Known() []Peer {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	var known []Peer
	for _, name := range slices.Sorted(maps.Keys(detector.peers)) {
		known = append(known, detector.peers[name])
	}
	return known
}

// Peer returns what is known of a peer, and whether it is alive.
func (detector *Detector) Peer(name string, now time.Time) (Peer, bool) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	peer, known := detector.peers[name]
	return peer, known && detector.alive(peer, now)
}

func (detector *Detector) alive(peer Peer, now time.Time) bool {
	timeout := detector.FleetTimeout
	if peer.Zone == detector.Zone {
		timeout = detector.Timeout
	}
	return now.Sub(peer.Heard) < timeout
}

// Decider returns the live peer that decides for a zone under its latest term.
func (detector *Detector) Decider(zone string, now time.Time) (Peer, bool) {
	term := detector.Term(zone)
	peer, alive := detector.Peer(term.Holder, now)
	if !alive || !peer.Deciding || peer.Term != term {
		return Peer{}, false
	}
	return peer, true
}

// ShouldDecide reports whether self is the host of its zone to begin a term: the holder of the latest
// term is dead or leaving, and self is first by name among the live hosts that stay.
func (detector *Detector) ShouldDecide(self Peer, now time.Time) bool {
	if self.Leaving {
		return false
	}
	holder := detector.Term(self.Zone).Holder
	first := self.Name
	for _, peer := range detector.Alive(now) {
		if peer.Zone != self.Zone || peer.Leaving {
			continue
		}
		if peer.Name == holder {
			return false
		}
		first = min(first, peer.Name)
	}
	return first == self.Name
}
