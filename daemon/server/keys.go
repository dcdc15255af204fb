package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/responder"
)

// The kinds of records that are replicated to other hosts.
const (
	kindKey = "key"
	kindJob = "job"
)

// keyState is the state of an idempotency key in the decider of its home zone.
type keyState struct {
	Holder  TakeKeyCall       `json:"taken"`             // registration of the request that holds the key
	Outcome responder.Outcome `json:"outcome,omitempty"` // empty while in progress
	Answer  *StoredResponse   `json:"answer,omitempty"`  // nil if it was too large
	Version int64             `json:"version"`
	Expires time.Time         `json:"expires"`

	contested bool // the holder may not start its request any more
}

func keyID(key string) string { return "key:" + key }

func (tenure *tenure) restoreKey(record keeper.Record) error {
	var state keyState
	if err := json.Unmarshal(record.Data, &state); err != nil {
		return fmt.Errorf("decode key state: %w", err)
	}
	if state.Expires.Before(time.Now()) {
		return nil
	}
	tenure.addKey(record.ID, &state)
	return nil
}

// takeKey registers a request under its idempotency key, or returns the outcome of an earlier request with that key.
func (tenure *tenure) takeKey(ctx context.Context, call TakeKeyCall) (KeyAnswer, error) {
	if !tenure.hasKeyAuthority(time.Now()) {
		return KeyAnswer{Problem: responder.Refuse(http.StatusServiceUnavailable, responder.CodeHomeUnreachable,
			"the decider of zone %s cannot accept idempotency keys yet", tenure.zone).WithRetryAfter(time.Second)}, nil
	}
	tenure.mu.Lock()
	state, known := tenure.keys[keyID(call.Key)]
	if !known {
		tenure.mu.Unlock()
		return tenure.registerKey(ctx, call)
	}
	seen := *state
	tenure.mu.Unlock()
	switch {
	case seen.Holder.Request == call.Request:
		return tenure.confirmHolder(ctx, state, call.Zone)
	case seen.Holder.Fingerprint != call.Fingerprint:
		return KeyAnswer{Problem: responder.Refuse(http.StatusUnprocessableEntity, responder.CodeKeyReused,
			"the idempotency key was used with another request")}, nil
	case seen.Outcome == "":
		return tenure.resolveInProgress(ctx, state, call)
	}
	return seen.replayAnswer(), nil
}

// confirmHolder answers a holder that checks, between its grant and its start, whether it still holds its key. The zone
// that gave the grant is replicated to other hosts first, because only the decider of that zone can prove later that the
// request did not run.
func (tenure *tenure) confirmHolder(ctx context.Context, state *keyState, zone string) (KeyAnswer, error) {
	tenure.mu.Lock()
	if state.contested {
		tenure.mu.Unlock()
		return keyTakenOver(), nil
	}
	moved := state.Holder.Zone != zone
	if moved {
		state.Holder.Zone = zone
		state.Version++
	}
	tenure.mu.Unlock()
	if !moved {
		return KeyAnswer{Fresh: true}, nil
	}
	return registrationAnswer(tenure.replicateKey(ctx, state)), nil
}

// keyTakenOver returns the refusal for a request that has lost its key to another one.
func keyTakenOver() KeyAnswer {
	return KeyAnswer{Problem: responder.Refuse(http.StatusConflict, responder.CodeInProgress,
		"another request took over the idempotency key").WithRetryAfter(time.Second)}
}

// replayAnswer returns the answer for a request whose key has an outcome: the stored answer, or a problem if none is
// stored.
func (keyState *keyState) replayAnswer() KeyAnswer {
	switch {
	case keyState.Answer != nil:
		return KeyAnswer{Answer: keyState.Answer}
	case keyState.Outcome == responder.Unknown:
		return KeyAnswer{Problem: responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown,
			"the request under this key may have run: it is not run again")}
	}
	return KeyAnswer{Problem: responder.New(http.StatusConflict, responder.CodeAnswerGone, keyState.Outcome,
		"the request under this key ended, but its answer was too large to be stored")}
}

// registerKey registers an unknown key, and replicates it to another host before the request may start.
func (tenure *tenure) registerKey(ctx context.Context, call TakeKeyCall) (KeyAnswer, error) {
	if answer, refused := tenure.refuseIfRecordsMissing(call); refused {
		return answer, nil
	}
	lifetime := tenure.server.viewer.View().Fleet.KeyLifetime
	state := &keyState{Holder: call, Version: 1, Expires: time.Now().Add(lifetime)}
	tenure.mu.Lock()
	if _, raced := tenure.keys[keyID(call.Key)]; raced {
		tenure.mu.Unlock()
		return tenure.takeKey(ctx, call)
	}
	if answer, refused := tenure.refuseIfFull(state); refused {
		tenure.mu.Unlock()
		return answer, nil
	}
	tenure.addKey(keyID(call.Key), state)
	tenure.mu.Unlock()
	err := tenure.replicateKey(ctx, state)
	if err != nil {
		tenure.mu.Lock()
		tenure.removeKey(keyID(call.Key))
		tenure.mu.Unlock()
	}
	return registrationAnswer(err), nil
}

// registrationAnswer returns the answer to a request whose key has been replicated, or a refusal if the replication
// failed with err.
func registrationAnswer(err error) KeyAnswer {
	if err == nil {
		return KeyAnswer{Fresh: true}
	}
	return KeyAnswer{Problem: responder.Refuse(http.StatusServiceUnavailable, responder.CodeNotKept,
		"the idempotency key cannot be copied to another host: %v", err).WithRetryAfter(time.Second)}
}

// refuseIfRecordsMissing refuses keys that may have been used before records were lost: handles of earlier terms, and
// all other keys until one key lifetime after the beginning of this term.
func (tenure *tenure) refuseIfRecordsMissing(call TakeKeyCall) (answer KeyAnswer, refused bool) {
	if !tenure.recordsMayBeMissing {
		return KeyAnswer{}, false
	}
	if call.Handle {
		answer.Problem = responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown,
			"the record of this handle was lost: its request may have run and is not run again")
		return answer, handleTerm(call.Key) != tenure.term.Number
	}
	remaining := time.Until(tenure.startedAt.Add(tenure.server.viewer.View().Fleet.KeyLifetime))
	answer.Problem = responder.Refuse(http.StatusServiceUnavailable, responder.CodeNotKept,
		"records of idempotency keys were lost: request a handle and use it as the key").WithRetryAfter(remaining)
	return answer, remaining > 0
}

func (tenure *tenure) replicateKey(ctx context.Context, state *keyState) error {
	tenure.mu.Lock()
	record, err := tenure.newRecord(keyID(state.Holder.Key), kindKey, state.Version, state.Expires, state)
	tenure.mu.Unlock()
	if err != nil {
		return err
	}
	return tenure.replicate(ctx, record)
}

// resolveInProgress answers a request whose key is held by another one. If the entry host of the holder is dead, it
// queries the decider that placed the holder for how that request ended. The key is marked as contested first: a holder that
// resumes after a pause verifies its key between its grant and its start, so a request that is proved not to have run
// cannot run later.
func (tenure *tenure) resolveInProgress(ctx context.Context, state *keyState, call TakeKeyCall) (KeyAnswer, error) {
	inProgress := KeyAnswer{Problem: responder.Refuse(http.StatusConflict, responder.CodeInProgress,
		"the request under this key is in progress").WithRetryAfter(time.Second)}
	tenure.mu.Lock()
	holder := state.Holder
	tenure.mu.Unlock()
	if tenure.holderAlive(holder) {
		return inProgress, nil
	}
	holder, contested := tenure.contestKey(state, holder)
	if !contested {
		return inProgress, nil
	}
	switch answer := tenure.resolveHolder(ctx, holder); {
	case answer.Pending:
		return inProgress, nil
	case answer.Known && answer.Ending == decider.NeverRan:
		return tenure.reassignKey(ctx, state, call)
	}
	return tenure.endKeyUnknown(ctx, state, inProgress), nil
}

// contestKey marks a key as contested, and returns its holder, whose zone may have changed since before. It returns false if
// the key has another holder than before or an outcome.
func (tenure *tenure) contestKey(state *keyState, holder TakeKeyCall) (TakeKeyCall, bool) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if state.Holder.Request != holder.Request || state.Outcome != "" {
		return holder, false
	}
	state.contested = true
	return state.Holder, true
}

// endKeyUnknown records the outcome of the request that holds a key as unknown, which is final, and returns the answer
// to repeat. If the outcome cannot be replicated, it returns inProgress.
func (tenure *tenure) endKeyUnknown(ctx context.Context, state *keyState, inProgress KeyAnswer) KeyAnswer {
	tenure.mu.Lock()
	end := EndKeyCall{Key: state.Holder.Key, Request: state.Holder.Request, Outcome: responder.Unknown}
	tenure.mu.Unlock()
	_, err := tenure.endKey(ctx, end)
	if err != nil {
		return inProgress
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return state.replayAnswer()
}

func (tenure *tenure) holderAlive(holder TakeKeyCall) bool {
	if holder.Host == tenure.server.settings.Host {
		_, present := tenure.server.activeRequests.Load(holder.Request)
		return holder.Incarnation == tenure.server.incarnation && present
	}
	peer, alive := tenure.server.peers.Peer(holder.Host, time.Now())
	return alive && peer.Incarnation == holder.Incarnation
}

// resolveHolder queries the decider that placed the holder of a key for how the request ended. The end is pending while the
// decider cannot be reached.
func (tenure *tenure) resolveHolder(ctx context.Context, holder TakeKeyCall) ResolveAnswer {
	var answer ResolveAnswer
	err := tenure.server.callDecider(ctx, holder.Zone, methodResolve, ResolveCall{Work: holder.Request}, &answer)
	if err != nil {
		return ResolveAnswer{Pending: true}
	}
	return answer
}

// reassignKey gives a key to a new request after its former holder was proved not to have run.
func (tenure *tenure) reassignKey(ctx context.Context, state *keyState, call TakeKeyCall) (KeyAnswer, error) {
	tenure.mu.Lock()
	if !state.contested || state.Outcome != "" {
		tenure.mu.Unlock()
		return keyTakenOver(), nil
	}
	state.Holder = call
	state.contested = false
	state.Version++
	tenure.mu.Unlock()
	return registrationAnswer(tenure.replicateKey(ctx, state)), nil
}

// endKey records the outcome of the request that holds a key. A request that did not run frees the key.
func (tenure *tenure) endKey(ctx context.Context, call EndKeyCall) (KeyAnswer, error) {
	tenure.mu.Lock()
	state, known := tenure.keys[keyID(call.Key)]
	if !known || state.Holder.Request != call.Request || state.Outcome != "" {
		tenure.mu.Unlock()
		return KeyAnswer{}, nil
	}
	state.Version++
	if call.Outcome == responder.NotRun {
		state.Holder.Fingerprint = ""
		state.Expires = time.Now()
		tenure.removeKey(keyID(call.Key))
	} else {
		state.Outcome = call.Outcome
		tenure.storeAnswer(state, call.Answer)
	}
	tenure.mu.Unlock()
	if err := tenure.replicateKey(ctx, state); err != nil {
		return KeyAnswer{}, err
	}
	return KeyAnswer{}, nil
}
