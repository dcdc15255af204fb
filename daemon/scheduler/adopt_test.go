package scheduler

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// TestAdoptWhileHandingOver guards against a decider that was asked to hand over while it restored its planner, and gives leases with it
// all the same: the next decider would wait for them.
func TestAdoptWhileHandingOver(t *testing.T) {
	now := time.Now()
	host := &Host{started: now, fleet: newFleet(), log: slog.New(slog.DiscardHandler)}
	tenure := &tenure{host: host, term: 2, handsOver: true, former: newFormerDeciders(nil), ready: make(chan struct{})}
	tenure.adopt(planner.New(planner.Settings{}, tenure.term, &planner.Catalog{}, now))
	batch, err := tenure.planner.Take()
	if err != nil || !slices.ContainsFunc(batch.Records, func(record planner.Record) bool { return record.Key == "handover" }) {
		t.Errorf("records %v, error %v, want the record of a handover", batch.Records, err)
	}
}
