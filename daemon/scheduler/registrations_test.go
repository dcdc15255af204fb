package scheduler

import (
	"testing"

	"ebonyshunt.org/library/planner"
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
