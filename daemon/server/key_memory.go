package server

import (
	"net/http"

	"ebonyshunt.org/library/responder"
)

const (
	// keyMemoryShare is the inverse of the part of the host's memory that the idempotency keys of its zone may take.
	keyMemoryShare = 8
	// keyAnswerShare is the inverse of the part of that memory that the keys may take for their answers to be stored, too.
	keyAnswerShare = 2
	// memoryPerKey is the memory of a key in bytes, without its text and its answer.
	memoryPerKey   = 1 << 10
	keyMemoryLimit = "keyMemory"
)

// memory returns the number of bytes that a key takes.
func (keyState *keyState) memory() int64 {
	return int64(memoryPerKey+jobCopies*len(keyState.Holder.Key)) + keyState.Answer.memory()
}

// memory returns the number of bytes that a stored answer takes, 0 for none.
func (storedResponse *StoredResponse) memory() int64 {
	if storedResponse == nil {
		return 0
	}
	bytes := len(storedResponse.Body)
	for name, values := range storedResponse.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return int64(jobCopies * bytes)
}

// maxKeyBytes returns the memory that the keys of the zone may take.
func (tenure *tenure) maxKeyBytes() int64 {
	return tenure.server.settings.MemoryMB << 20 / keyMemoryShare
}

// addKey adds or replaces a key. The caller holds tenure.mu, or no other goroutine has the tenure yet.
func (tenure *tenure) addKey(id string, state *keyState) {
	tenure.removeKey(id)
	tenure.keys[id] = state
	tenure.keyBytes += state.memory()
}

// removeKey removes a key. The caller holds tenure.mu.
func (tenure *tenure) removeKey(id string) {
	if state, found := tenure.keys[id]; found {
		tenure.keyBytes -= state.memory()
		delete(tenure.keys, id)
	}
}

// refuseIfFull refuses a new key for which there is no memory. The caller holds tenure.mu.
func (tenure *tenure) refuseIfFull(state *keyState) (answer KeyAnswer, refused bool) {
	if tenure.keyBytes+state.memory() <= tenure.maxKeyBytes() {
		return KeyAnswer{}, false
	}
	tenure.server.limits.Record(httpListener, keyMemoryLimit)
	answer.Problem = responder.Refuse(http.StatusServiceUnavailable, responder.CodeOverloaded,
		"the idempotency keys of zone %s take the memory for them", tenure.zone).WithRetryAfter(fullRetryDelay)
	return answer, true
}

// storeAnswer stores the answer of a request with its key if there is memory for it. The caller holds tenure.mu.
func (tenure *tenure) storeAnswer(state *keyState, answer *StoredResponse) {
	if tenure.keyBytes+answer.memory() > tenure.maxKeyBytes()/keyAnswerShare {
		if answer != nil {
			tenure.server.limits.Record(httpListener, keyMemoryLimit)
		}
		return
	}
	state.Answer = answer
	tenure.keyBytes += answer.memory()
}
