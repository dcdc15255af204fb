package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"ebonyshunt.org/platform/translator"
)

// RelayedBatch is an append to the journal that a peer makes for a decider that may not reach the store. The
// store accepts it once, and only while no later term owns the journal.
type RelayedBatch struct {
	Term     int64          `json:"term"`
	Sequence int64          `json:"sequence"`
	Entries  []RelayedEntry `json:"entries"`
}

// RelayedEntry is one record. A record without value deletes its key.
type RelayedEntry struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// RelayOutcome is the result of appending a relayed batch.
type RelayOutcome string

// The outcomes of a relayed batch.
const (
	relayStored    RelayOutcome = "stored"
	relayFenced    RelayOutcome = "fenced"    // a later term owns the journal
	relayOutOfTurn RelayOutcome = "outOfTurn" // the store expects another sequence number
	relayRefused   RelayOutcome = "refused"   // it was not stored
	relayRejected  RelayOutcome = "rejected"  // it was not stored, and never will be
	relayUnknown   RelayOutcome = "unknown"   // it may have been stored
)

// RelayAnswer is a peer's answer to the decider about a relayed batch.
type RelayAnswer struct {
	Outcome  RelayOutcome `json:"outcome"`
	Expected int64        `json:"expected,omitempty"` // next sequence number, set for relayOutOfTurn
	Reason   string       `json:"reason,omitempty"`
}

// UnmarshalJSON decodes a batch. It returns an error if the term or the entries are missing, or the sequence number
// is negative.
func (relayedBatch *RelayedBatch) UnmarshalJSON(data []byte) error {
	type plain RelayedBatch
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode relayed batch: %w", err)
	}
	if decoded.Term <= 0 || decoded.Sequence < 0 || len(decoded.Entries) == 0 {
		return Error.New("relayed batch has no term, a negative sequence number or no entries")
	}
	*relayedBatch = RelayedBatch(decoded)
	return nil
}

const (
	// relayTimeout bounds one append for a peer.
	relayTimeout = time.Second
	// directRouteWindow is the time after an answer of the store in which the first attempt goes directly to the store.
	directRouteWindow = 100 * time.Millisecond
	// relayTransferDelay is how long a decider appends through peers before it asks one of them to decide.
	relayTransferDelay = time.Second
	// relayTransferInterval is the minimum time between two such requests.
	relayTransferInterval = 500 * time.Millisecond
)

// relay appends a batch to the journal for a peer.
func (host *Host) relay(ctx context.Context, batch RelayedBatch) RelayAnswer {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	entries := make([]translator.Entry, len(batch.Entries))
	for index, entry := range batch.Entries {
		entries[index] = translator.Entry{Key: entry.Key, Value: entry.Value}
	}
	writer := translator.Writer{Name: journalWriter, Term: batch.Term, Sequence: batch.Sequence}
	err := host.store.Append(ctx, translator.Journal, writer, entries)
	host.log.Debug("relayed", "term", batch.Term, "sequence", batch.Sequence, "error", err)
	var outOfTurn *translator.SequenceError
	switch {
	case err == nil:
		host.recordStoreAnswer()
		return RelayAnswer{Outcome: relayStored}
	case errors.As(err, &outOfTurn):
		return RelayAnswer{Outcome: relayOutOfTurn, Expected: outOfTurn.Expected, Reason: outOfTurn.Answer}
	case errors.Is(err, translator.ErrFenced):
		return RelayAnswer{Outcome: relayFenced, Reason: err.Error()}
	case errors.Is(err, translator.ErrRejected):
		return RelayAnswer{Outcome: relayRejected, Reason: err.Error()}
	case errors.Is(err, translator.ErrRefused):
		return RelayAnswer{Outcome: relayRefused, Reason: err.Error()}
	}
	return RelayAnswer{Outcome: relayUnknown, Reason: err.Error()}
}

// route selects for each attempt at an append whether it goes directly to the store or through a peer.
type route struct {
	host *Host

	mu           sync.Mutex
	peerIndex    int           // of the peer that last stored an append
	viaPeer      bool          // the last stored append went through a peer
	viaPeerSince time.Duration // uptime when viaPeer became true
}

// peerFor returns the peer through which an attempt goes, or false for a direct attempt. The attempts at one append
// alternate between both routes; the first uses the route that succeeded last.
func (route *route) peerFor(attempt int) (Member, bool) {
	peers := route.host.fleet.others(route.host.settings.Host)
	if len(peers) == 0 {
		return Member{}, false
	}
	route.mu.Lock()
	defer route.mu.Unlock()
	if route.host.sinceStoreAnswer() < directRouteWindow {
		route.viaPeer = false
	}
	if (attempt%routeCount == 1) == route.viaPeer {
		return Member{}, false
	}
	// Each relayed attempt uses another peer: the first one may be partitioned too and then does not answer.
	return peers[(route.peerIndex+attempt/routeCount)%len(peers)], true
}

// recordRelayed records that a peer has stored an append.
func (route *route) recordRelayed(peer Member) {
	peers := route.host.fleet.others(route.host.settings.Host)
	route.mu.Lock()
	defer route.mu.Unlock()
	route.peerIndex = max(slices.IndexFunc(peers, func(other Member) bool { return other.Name == peer.Name }), 0)
	if !route.viaPeer {
		route.viaPeer, route.viaPeerSince = true, route.host.uptime()
	}
}

// recordFailed records that a peer did not store an append, so that the next one goes through another peer.
func (route *route) recordFailed(peer Member) {
	peers := route.host.fleet.others(route.host.settings.Host)
	route.mu.Lock()
	defer route.mu.Unlock()
	if len(peers) > 0 && peers[route.peerIndex%len(peers)].Name == peer.Name {
		route.peerIndex = (route.peerIndex + 1) % len(peers)
	}
}

// recordDirect records that the store answered a direct attempt.
func (route *route) recordDirect() {
	route.mu.Lock()
	defer route.mu.Unlock()
	route.viaPeer = false
}

// successor returns the peer that should replace this host as the decider, and whether there is one. There is one
// if this host has not reached the store and has appended through peers for relayTransferDelay.
func (route *route) successor() (Member, bool) {
	peers := route.host.fleet.others(route.host.settings.Host)
	route.mu.Lock()
	defer route.mu.Unlock()
	if !route.viaPeer || len(peers) == 0 || route.host.sinceStoreAnswer() < relayTransferDelay ||
		route.host.uptime()-route.viaPeerSince < relayTransferDelay {
		return Member{}, false
	}
	return peers[route.peerIndex%len(peers)], true
}

// appendThroughPeer makes one attempt at an append through a peer.
func (journal *journal) appendThroughPeer(ctx context.Context, peer Member, sequence int64, entries []translator.Entry) error {
	batch := RelayedBatch{Term: journal.tenure.term, Sequence: sequence, Entries: make([]RelayedEntry, len(entries))}
	for index, entry := range entries {
		batch.Entries[index] = RelayedEntry{Key: entry.Key, Value: entry.Value}
	}
	var answer RelayAnswer
	if err := journal.tenure.host.peerPool.Call(ctx, peer.Address, methodRelay, batch, &answer); err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			journal.route.recordFailed(peer)
		}
		return fmt.Errorf("append through %s: %w: %w", peer.Name, translator.ErrOutcomeUnknown, err)
	}
	switch answer.Outcome {
	case relayStored:
		journal.route.recordRelayed(peer)
		return nil
	case relayOutOfTurn:
		return fmt.Errorf("append through %s: %w", peer.Name, &translator.SequenceError{Expected: answer.Expected, Answer: answer.Reason})
	case relayFenced:
		return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrFenced)
	case relayRejected:
		return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrRejected)
	case relayRefused:
		journal.route.recordFailed(peer)
		return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrRefused)
	case relayUnknown:
		journal.route.recordFailed(peer)
	}
	return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrOutcomeUnknown)
}

// transferToRelay asks the peer that stores the journal for this host to become the decider, since this host can read
// neither the configuration nor the list of workers.
func (host *Host) transferToRelay(tenure *tenure, election Election) {
	peer, found := tenure.journal.route.successor()
	if !found || host.uptime()-host.relayTransferAt < relayTransferInterval {
		return
	}
	host.relayTransferAt = host.uptime()
	ctx, cancel := context.WithTimeout(host.ctx, campaignTimeout)
	defer cancel()
	err := host.handOver(ctx, tenure, peer, election)
	host.log.Info("cut off from the store, asks a peer to decide", "term", tenure.term, "to", peer.Name, "silent", host.sinceStoreAnswer().String(), "error", err)
}
