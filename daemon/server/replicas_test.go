package server

import (
	"log/slog"
	"testing"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/library/fencer"
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

// TestLateRecords checks that a decider takes over records of earlier terms only, and that one of a later term tells it that
// it was superseded: the later decider runs that work, unknown to this one.
func TestLateRecords(t *testing.T) {
	for _, test := range []struct {
		name     string
		term     fencer.Term
		restored bool
		latest   fencer.Term
	}{
		{"earlierTerm", fencer.Term{Number: 1, Holder: "b"}, true, fencer.Term{Number: 2, Holder: "a"}},
		{"laterTerm", fencer.Term{Number: 3, Holder: "b"}, false, fencer.Term{Number: 3, Holder: "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newServer(loader.Settings{Host: "a", Zone: "z"}.WithDefaults(), dialer.Network{}, slog.New(slog.DiscardHandler))
			own := fencer.Term{Number: 2, Holder: "a"}
			server.peers.ObserveTerm("z", own)
			current, other := server.newTenure(own), server.newTenure(test.term)
			record, err := other.newRecord("j", kindJob, 1, time.Time{}, Job{ID: "j", Spec: JobSpec{Service: "s", Tasks: make([]TaskSpec, 1)}, Tasks: []JobTask{{State: JobQueued}}})
			if err != nil {
				t.Fatal(err)
			}
			current.restoreLateRecord(record)
			if _, restored := current.jobs["j"]; restored != test.restored {
				t.Errorf("restored: %v, want %v", restored, test.restored)
			}
			if latest := server.peers.Term("z"); latest != test.latest {
				t.Errorf("latest known term %s, want %s", latest, test.latest)
			}
		})
	}
}
