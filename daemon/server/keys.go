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

const (
	kindKey = "key"
	kindJob = "job"
)

// keyRow is what is known under an idempotency key.
type keyRow struct {
	Taken   TakeKeyCall       `json:"taken"`
	Outcome responder.Outcome `json:"outcome,omitempty"` // empty while in progress
	Answer  *KeptResponse     `json:"answer,omitempty"`
	Version int64             `json:"version"`
	Expires time.Time         `json:"expires"`

	contested bool // the holder may start nothing more
}

func keyID(key string) string { return "key:" + key }

func (tenure *tenure) restoreKey(record keeper.Record) error {
	var row keyRow
	if err := json.Unmarshal(record.Data, &row); err != nil {
		return fmt.Errorf("decode key row: %w", err)
	}
	if row.Expires.Before(time.Now()) {
		return nil
	}
	tenure.keys[record.ID] = &row
	return nil
}

// takeKey registers a request under its key, or tells what became of an earlier one.
func (tenure *tenure) takeKey(ctx context.Context, call TakeKeyCall) (KeyAnswer, error) {
	if !tenure.authority(time.Now()) {
		return KeyAnswer{Problem: responder.Refuse(http.StatusServiceUnavailable, responder.CodeHome,
			"the decider of zone %s cannot answer for idempotency keys yet", tenure.zone).After(time.Second)}, nil
	}
	tenure.mu.Lock()
	row, known := tenure.keys[keyID(call.Key)]
	if !known {
		tenure.mu.Unlock()
		return tenure.takeFresh(ctx, call)
	}
	seen := *row
	tenure.mu.Unlock()
	switch {
	case seen.Taken.Request == call.Request:
		return tenure.verify(ctx, row, call.Zone)
	case seen.Taken.Fingerprint != call.Fingerprint:
		return KeyAnswer{Problem: responder.Refuse(http.StatusUnprocessableEntity, responder.CodeKeyReused,
			"the idempotency key was used with another request")}, nil
	case seen.Outcome == "":
		return tenure.inProgress(ctx, row, call)
	}
	return seen.repeat(), nil
}

// verify tells the holder of a key whether it may start its request; it asks once it has a grant. The zone
// that gave the grant is kept first, as only its decider can later prove that the request did not run.
func (tenure *tenure) verify(ctx context.Context, row *keyRow, zone string) (KeyAnswer, error) {
	tenure.mu.Lock()
	if row.contested {
		tenure.mu.Unlock()
		return tookOver(), nil
	}
	moved := row.Taken.Zone != zone
	if moved {
		row.Taken.Zone = zone
		row.Version++
	}
	tenure.mu.Unlock()
	if !moved {
		return KeyAnswer{Fresh: true}, nil
	}
	return freshIf(tenure.keepKey(ctx, row)), nil
}

// tookOver refuses a request whose key another one holds now.
func tookOver() KeyAnswer {
	return KeyAnswer{Problem: responder.Refuse(http.StatusConflict, responder.CodeInProgress,
		"another request took over the idempotency key").After(time.Second)}
}

// repeat answers a request whose key has an outcome.
func (keyRow *keyRow) repeat() KeyAnswer {
	switch {
	case keyRow.Answer != nil:
		return KeyAnswer{Answer: keyRow.Answer}
	case keyRow.Outcome == responder.Unknown:
		return KeyAnswer{Problem: responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown,
			"the request under this key may have run; it is not run again")}
	}
	return KeyAnswer{Problem: responder.New(http.StatusConflict, responder.CodeAnswerGone, keyRow.Outcome,
		"the request under this key ended; its answer was too large to be kept")}
}

// takeFresh registers a key that is not known, and copies it before anything may start.
func (tenure *tenure) takeFresh(ctx context.Context, call TakeKeyCall) (KeyAnswer, error) {
	if answer, refused := tenure.forgotten(call); refused {
		return answer, nil
	}
	lifetime := tenure.server.viewer.View().Fleet.KeyLifetime
	row := &keyRow{Taken: call, Version: 1, Expires: time.Now().Add(lifetime)}
	tenure.mu.Lock()
	if _, raced := tenure.keys[keyID(call.Key)]; raced {
		tenure.mu.Unlock()
		return tenure.takeKey(ctx, call)
	}
	tenure.keys[keyID(call.Key)] = row
	tenure.mu.Unlock()
	err := tenure.keepKey(ctx, row)
	if err != nil {
		tenure.mu.Lock()
		delete(tenure.keys, keyID(call.Key))
		tenure.mu.Unlock()
	}
	return freshIf(err), nil
}

// freshIf hands a key over once it is kept beyond this host, and refuses it otherwise.
func freshIf(err error) KeyAnswer {
	if err == nil {
		return KeyAnswer{Fresh: true}
	}
	return KeyAnswer{Problem: responder.Refuse(http.StatusServiceUnavailable, responder.CodeNotKept,
		"the idempotency key cannot be kept: %v", err).After(time.Second)}
}

// forgotten refuses keys that may have been used before records were lost: a handle of an earlier term,
// or any other key until one key lifetime after the loss.
func (tenure *tenure) forgotten(call TakeKeyCall) (answer KeyAnswer, refused bool) {
	if !tenure.lost {
		return KeyAnswer{}, false
	}
	if call.Handle {
		answer.Problem = responder.New(http.StatusBadGateway, responder.CodeUpstreamCut, responder.Unknown,
			"what happened under this handle was lost; it may have run and is not run again")
		return answer, handleTerm(call.Key) != tenure.term.Number
	}
	left := time.Until(tenure.begunAt.Add(tenure.server.viewer.View().Fleet.KeyLifetime))
	answer.Problem = responder.Refuse(http.StatusServiceUnavailable, responder.CodeNotKept,
		"records of idempotency keys were lost; take a handle instead").After(left)
	return answer, left > 0
}

func (tenure *tenure) keepKey(ctx context.Context, row *keyRow) error {
	tenure.mu.Lock()
	record, err := tenure.newRecord(keyID(row.Taken.Key), kindKey, row.Version, row.Expires, row)
	tenure.mu.Unlock()
	if err != nil {
		return err
	}
	return tenure.keep(ctx, record)
}

// inProgress answers a request whose key is held by another. A holder whose entry host is gone is
// resolved with the decider that placed it. The key is contested first: a holder that wakes up verifies
// its key between its grant and its start, so what is proved not to have run cannot run later.
func (tenure *tenure) inProgress(ctx context.Context, row *keyRow, call TakeKeyCall) (KeyAnswer, error) {
	waiting := KeyAnswer{Problem: responder.Refuse(http.StatusConflict, responder.CodeInProgress,
		"the request under this key is in progress").After(time.Second)}
	tenure.mu.Lock()
	holder := row.Taken
	tenure.mu.Unlock()
	if tenure.holderAlive(holder) {
		return waiting, nil
	}
	tenure.mu.Lock()
	if row.Taken.Request != holder.Request || row.Outcome != "" {
		tenure.mu.Unlock()
		return waiting, nil
	}
	row.contested = true
	tenure.mu.Unlock()
	switch answer := tenure.resolveElsewhere(ctx, holder); {
	case answer.Pending:
		return waiting, nil
	case answer.Known && answer.Ending == decider.NeverRan:
		return tenure.retake(ctx, row, call)
	}
	return tenure.giveUpKey(ctx, row, waiting), nil
}

// giveUpKey notes that what happened under a key is not known, and will not be.
func (tenure *tenure) giveUpKey(ctx context.Context, row *keyRow, waiting KeyAnswer) KeyAnswer {
	tenure.mu.Lock()
	end := EndKeyCall{Key: row.Taken.Key, Request: row.Taken.Request, Outcome: responder.Unknown}
	tenure.mu.Unlock()
	_, err := tenure.endKey(ctx, end)
	if err != nil {
		return waiting
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return row.repeat()
}

func (tenure *tenure) holderAlive(holder TakeKeyCall) bool {
	if holder.Host == tenure.server.settings.Host {
		_, present := tenure.server.requests.Load(holder.Request)
		return holder.Incarnation == tenure.server.incarnation && present
	}
	peer, alive := tenure.server.peers.Peer(holder.Host, time.Now())
	return alive && peer.Incarnation == holder.Incarnation
}

// resolveElsewhere asks the decider that placed a request; while it cannot be asked, the end is pending.
func (tenure *tenure) resolveElsewhere(ctx context.Context, holder TakeKeyCall) ResolveAnswer {
	var answer ResolveAnswer
	err := tenure.server.callDecider(ctx, holder.Zone, methodResolve, ResolveCall{Work: holder.Request}, &answer)
	if err != nil {
		return ResolveAnswer{Pending: true}
	}
	return answer
}

// retake gives a key to a new request after the former was proved not to have run.
func (tenure *tenure) retake(ctx context.Context, row *keyRow, call TakeKeyCall) (KeyAnswer, error) {
	tenure.mu.Lock()
	if !row.contested || row.Outcome != "" {
		tenure.mu.Unlock()
		return tookOver(), nil
	}
	row.Taken = call
	row.contested = false
	row.Version++
	tenure.mu.Unlock()
	return freshIf(tenure.keepKey(ctx, row)), nil
}

// endKey notes the outcome of the request that holds a key; one that did not run frees the key.
func (tenure *tenure) endKey(ctx context.Context, call EndKeyCall) (KeyAnswer, error) {
	tenure.mu.Lock()
	row, known := tenure.keys[keyID(call.Key)]
	if !known || row.Taken.Request != call.Request || row.Outcome != "" {
		tenure.mu.Unlock()
		return KeyAnswer{}, nil
	}
	row.Version++
	if call.Outcome == responder.NotRun {
		row.Taken.Fingerprint = ""
		row.Expires = time.Now()
		delete(tenure.keys, keyID(call.Key))
	} else {
		row.Outcome = call.Outcome
		row.Answer = call.Answer
	}
	tenure.mu.Unlock()
	if err := tenure.keepKey(ctx, row); err != nil {
		return KeyAnswer{}, err
	}
	return KeyAnswer{}, nil
}
