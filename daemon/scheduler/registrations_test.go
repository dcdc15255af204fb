package scheduler

import (
	"log/slog"
	"strings"
	"testing"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/platform/translator"
)

// TestRegistrations guards against work for registrations that change nothing: every worker registers again each 1.5 s, and the
// whole table of a large fleet was built anew four times a second.
func TestRegistrations(t *testing.T) {
	tenure := &tenure{workerInfos: map[string]planner.WorkerInfo{}}
	entry := func(zone string) registration {
		return registration{"w-1", &planner.WorkerInfo{ID: "w-1", Zone: zone, Labels: []string{"a"}}}
	}
	for _, step := range []struct {
		name    string
		entries []registration
		reset   bool
		changed bool
	}{
		{"added", []registration{entry("a")}, false, true},
		{"again", []registration{entry("a")}, false, false},
		{"changed", []registration{entry("b")}, false, true},
		{"changedAndBack", []registration{entry("a"), entry("b")}, false, true},
		{"readAnew", []registration{entry("b")}, true, true},
		{"gone", []registration{{id: "w-1"}}, false, true},
		{"goneAgain", []registration{{id: "w-1"}}, false, false},
	} {
		if changed := tenure.recordRegistrations(step.entries, step.reset); changed != step.changed {
			t.Errorf("%s: changed %t, want %t", step.name, changed, step.changed)
		}
	}
	if len(tenure.workerInfos) != 0 {
		t.Errorf("%d workers are left, want none", len(tenure.workerInfos))
	}
}

// TestOddRegistration guards against an odd entry that stays in the table, or that takes others with it.
func TestOddRegistration(t *testing.T) {
	const sound = `{"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":1},"born":1}`
	tenure := &tenure{workerInfos: map[string]planner.WorkerInfo{}, host: &Host{log: slog.New(slog.DiscardHandler), undecodable: newUndecodable()}}
	put := func(entries ...translator.Entry) { tenure.recordRegistrations(tenure.decodeWorkers(entries), false) }
	put(translator.Entry{Key: "w-1", Value: []byte(sound)}, translator.Entry{Key: "w-2", Value: []byte(sound)})
	put(translator.Entry{Key: "w-2", Value: []byte(strings.Replace(sound, ":80", ":99999", 1))}, translator.Entry{Key: "w-3", Value: []byte(sound)})
	for id, want := range map[string]bool{"w-1": true, "w-2": false, "w-3": true} {
		if _, found := tenure.workerInfos[id]; found != want {
			t.Errorf("%s in the table: %t, want %t", id, found, want)
		}
	}
}
