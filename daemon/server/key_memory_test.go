package server

import (
	"fmt"
	"testing"
)

// addKeys adds keys until one is refused, so many at most. It returns how many were added.
func addKeys(tenure *tenure, prefix string, most int) int {
	for number := range most {
		state := &keyState{Holder: TakeKeyCall{Key: fmt.Sprintf("%s%d", prefix, number)}}
		if _, refused := tenure.refuseIfFull(state); refused {
			return number
		}
		tenure.addKey(keyID(state.Holder.Key), state)
	}
	return most
}

// TestKeyMemory checks that keys are refused while others take the memory for them, that answers leave room for keys, and that keys that
// are removed or replaced return their memory.
func TestKeyMemory(t *testing.T) {
	const most = 1 << 20 // more keys than there is memory for
	tenure := newMemoryTenure()
	tenure.keys = map[string]*keyState{}
	answered := 0
	for answered < most {
		state := &keyState{Holder: TakeKeyCall{Key: fmt.Sprintf("answered%d", answered)}}
		tenure.addKey(keyID(state.Holder.Key), state)
		tenure.storeAnswer(state, &StoredResponse{Body: make([]byte, maxStoredAnswerBytes)})
		if state.Answer == nil {
			break
		}
		answered++
	}
	if answered == 0 || answered > smallMemoryMB<<20/maxStoredAnswerBytes/keyMemoryShare {
		t.Errorf("%d answers were stored", answered)
	}
	added := addKeys(tenure, "small", most)
	if added < answered || added == most {
		t.Errorf("%d keys without answers were added beside %d with answers", added, answered)
	}
	for id, state := range tenure.keys {
		tenure.addKey(id, state)
	}
	if again := addKeys(tenure, "more", most); again != 0 {
		t.Errorf("%d keys were added when there was no memory for one", again)
	}
	for id := range tenure.keys {
		tenure.removeKey(id)
	}
	if tenure.keyBytes != 0 {
		t.Errorf("%d bytes are counted without any key", tenure.keyBytes)
	}
}
