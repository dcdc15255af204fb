package server

import (
	"testing"

	"ebonyshunt.org/daemon/loader"
)

// TestCompleteCopies checks that only copies of all records of a host's own zone make it one of the hosts that have them.
func TestCompleteCopies(t *testing.T) {
	for zone, want := range map[string]bool{"a": true, "b": false, "": false} {
		t.Run("zone"+zone, func(t *testing.T) {
			server := &Server{settings: loader.Settings{Zone: "a"}}
			if _, err := server.storeRecords(StoreRecordsCall{HandedBack: true, Complete: zone}); err != nil {
				t.Fatal(err)
			}
			if got := server.hasZoneRecords.Load(); got != want {
				t.Errorf("has the records of its zone: %v, want %v", got, want)
			}
		})
	}
}
