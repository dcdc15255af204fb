package server

import "testing"

// TestContestedKey guards against a second run of a request whose holder confirmed its key for a grant of another zone just before
// the key was contested: the zone of that grant has to say whether the request ran, not the one that was asked first.
func TestContestedKey(t *testing.T) {
	tenure := newTestTenure(t)
	before := TakeKeyCall{Request: "r", Zone: "a"}
	state := &keyState{Holder: TakeKeyCall{Request: "r", Zone: "b"}}
	holder, contested := tenure.contestKey(state, before)
	if !contested || !state.contested || holder.Zone != "b" {
		t.Errorf("holder %+v, contested %v, want a contested key and zone b", holder, contested)
	}
}
