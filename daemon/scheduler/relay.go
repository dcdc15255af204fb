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

// RelayedBatch is a part of the journal that a peer appends for a decider whose own way to the store may be
// cut. The store takes it once, and only while no later term has the journal.
type RelayedBatch struct {
	Term     int64          `json:"term"`
	Sequence int64          `json:"sequence"`
	Entries  []RelayedEntry `json:"entries"`
}

// RelayedEntry is one record; one without value forgets its key.
type RelayedEntry struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// RelayOutcome is what became of a relayed batch.
type RelayOutcome string

// The outcomes of a relayed batch.
const (
	relayStored    RelayOutcome = "stored"
	relayFenced    RelayOutcome = "fenced"    // a later term has the journal
	relayOutOfTurn RelayOutcome = "outOfTurn" // another sequence number is expected
	relayRefused   RelayOutcome = "refused"   // nothing was done
	relayUnknown   RelayOutcome = "unknown"   // it may have been done
)

// RelayAnswer tells the decider of it.
type RelayAnswer struct {
	Outcome  RelayOutcome `json:"outcome"`
	Expected int64        `json:"expected,omitempty"` // sequence number, where the batch was out of turn
	Reason   string       `json:"reason,omitempty"`
}

// UnmarshalJSON decodes a batch and refuses one that names no term or no entry.
func (relayedBatch *RelayedBatch) UnmarshalJSON(data []byte) error {
	type plain RelayedBatch
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode relayed batch: %w", err)
	}
	if decoded.Term <= 0 || decoded.Sequence < 0 || len(decoded.Entries) == 0 {
		return Error.New("relayed batch without term or entries")
	}
	*relayedBatch = RelayedBatch(decoded)
	return nil
}

const (
	relayWithin    = time.Second            // of one append for a peer
	directAgain    = 100 * time.Millisecond // since the store answered this host, within which it is asked directly
	relayTolerance = time.Second            // of storing through peers, before a peer is asked to decide
	relayPause     = 500 * time.Millisecond // between two such requests
)

// relay appends a batch for a peer.
func (host *Host) relay(ctx context.Context, batch RelayedBatch) RelayAnswer {
	ctx, cancel := context.WithTimeout(ctx, relayWithin)
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
		host.storeAnswered()
		return RelayAnswer{Outcome: relayStored}
	case errors.As(err, &outOfTurn):
		return RelayAnswer{Outcome: relayOutOfTurn, Expected: outOfTurn.Expected, Reason: outOfTurn.Answer}
	case errors.Is(err, translator.ErrFenced):
		return RelayAnswer{Outcome: relayFenced, Reason: err.Error()}
	case errors.Is(err, translator.ErrRefused):
		return RelayAnswer{Outcome: relayRefused, Reason: err.Error()}
	}
	return RelayAnswer{Outcome: relayUnknown, Reason: err.Error()}
}

// route chooses how each attempt to append goes: directly to the store, or through a peer.
type route struct {
	host *Host

	mu      sync.Mutex
	turn    int           // of the peers, who was asked successfully last
	relayed bool          // a peer stored what was asked for last
	since   time.Duration // uptime when that began
}

// peer returns the peer through which an attempt goes, or false for a direct one. Attempts at one batch
// alternate; the first goes the way that was answered last.
func (route *route) peer(attempt int) (Member, bool) {
	peers := route.host.fleet.others(route.host.settings.Host)
	if len(peers) == 0 {
		return Member{}, false
	}
	route.mu.Lock()
	defer route.mu.Unlock()
	if route.host.storeSilent() < directAgain {
		route.relayed = false
	}
	if (attempt%bothWays == 1) == route.relayed {
		return Member{}, false
	}
	// Each attempt goes through another peer: the first may be cut off too, and is silent then.
	return peers[(route.turn+attempt/bothWays)%len(peers)], true
}

// served takes note that a peer has stored what it was given.
func (route *route) served(peer Member) {
	peers := route.host.fleet.others(route.host.settings.Host)
	route.mu.Lock()
	defer route.mu.Unlock()
	route.turn = max(slices.IndexFunc(peers, func(other Member) bool { return other.Name == peer.Name }), 0)
	if !route.relayed {
		route.relayed, route.since = true, route.host.uptime()
	}
}

// direct takes note that the store answered a direct attempt.
func (route *route) direct() {
	route.mu.Lock()
	defer route.mu.Unlock()
	route.relayed = false
}

// successor returns the peer that should decide in place of this host, whose own way to the store has been
// cut for some time, and false where the way is open.
func (route *route) successor() (Member, bool) {
	peers := route.host.fleet.others(route.host.settings.Host)
	route.mu.Lock()
	defer route.mu.Unlock()
	if !route.relayed || len(peers) == 0 || route.host.storeSilent() < relayTolerance ||
		route.host.uptime()-route.since < relayTolerance {
		return Member{}, false
	}
	return peers[route.turn%len(peers)], true
}

// appendThrough makes one attempt through a peer.
func (journal *journal) appendThrough(ctx context.Context, peer Member, sequence int64, entries []translator.Entry) error {
	batch := RelayedBatch{Term: journal.tenure.term, Sequence: sequence, Entries: make([]RelayedEntry, len(entries))}
	for index, entry := range entries {
		batch.Entries[index] = RelayedEntry{Key: entry.Key, Value: entry.Value}
	}
	var answer RelayAnswer
	if err := journal.tenure.host.pool.Call(ctx, peer.Address, methodRelay, batch, &answer); err != nil {
		return fmt.Errorf("append through %s: %w: %w", peer.Name, translator.ErrUnknown, err)
	}
	switch answer.Outcome {
	case relayStored:
		journal.route.served(peer)
		return nil
	case relayOutOfTurn:
		return fmt.Errorf("append through %s: %w", peer.Name, &translator.SequenceError{Expected: answer.Expected, Answer: answer.Reason})
	case relayFenced:
		return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrFenced)
	case relayRefused:
		return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrRefused)
	case relayUnknown:
	}
	return fmt.Errorf("append through %s: %s: %w", peer.Name, answer.Reason, translator.ErrUnknown)
}

// passOn asks the peer through which the journal is stored to decide: this host reads neither the
// configuration nor the list of workers.
func (host *Host) passOn(tenure *tenure, election Election) {
	peer, cut := tenure.journal.route.successor()
	if !cut || host.uptime()-host.passedAt < relayPause {
		return
	}
	host.passedAt = host.uptime()
	ctx, cancel := context.WithTimeout(host.ctx, campaignWithin)
	defer cancel()
	err := host.callCampaign(ctx, peer, election)
	host.log.Info("cut off from the store, asks a peer to decide", "term", tenure.term, "to", peer.Name, "silent", host.storeSilent().String(), "error", err)
}
