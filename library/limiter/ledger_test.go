package limiter

import (
	"fmt"
	"testing"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
	"pgregory.net/rapid"
)

func cores(count int64) sizer.Size { return sizer.Size{MilliCores: 1000 * count} }

func assertHeld(t *testing.T, ledger *Ledger, zone string, want int64) {
	t.Helper()
	if held := ledger.Account("one").Held(zone); held != cores(want) {
		t.Errorf("zone %s holds %s, want %d cores", zone, held, want)
	}
}

func newRecord(zone string, term, number int64, change Change) Record {
	change.Team = "one"
	return Record{Zone: zone, Term: fencer.Term{Number: term, Holder: "h"}, Step: number, Changes: []Change{change}}
}

func TestLedger(t *testing.T) {
	t.Run("repeatedRecordCountsOnce", func(t *testing.T) {
		var ledger Ledger
		ledger.SetLimit("one", cores(10), 1)
		ledger.Apply(newRecord("a", 1, 1, Change{Take: cores(4)}), 2)
		ledger.Apply(newRecord("a", 1, 1, Change{Take: cores(4)}), 3)
		assertHeld(t, &ledger, "a", 4)
	})
	t.Run("takeIsBoundedByPool", func(t *testing.T) {
		var ledger Ledger
		ledger.SetLimit("one", cores(10), 1)
		ledger.Apply(newRecord("a", 1, 1, Change{Take: cores(8)}), 2)
		ledger.Apply(newRecord("b", 1, 1, Change{Take: cores(8)}), 3)
		assertHeld(t, &ledger, "b", 2)
	})
	t.Run("olderTermChangesNothing", func(t *testing.T) {
		var ledger Ledger
		ledger.SetLimit("one", cores(10), 1)
		ledger.Apply(newRecord("a", 2, 1, Change{Take: cores(5)}), 2)
		ledger.Apply(newRecord("a", 1, 9, Change{Release: cores(5)}), 3)
		assertHeld(t, &ledger, "a", 5)
	})
	t.Run("loweredLimitIsReleasedAsWorkEnds", func(t *testing.T) {
		var ledger Ledger
		ledger.SetLimit("one", cores(10), 1)
		ledger.Apply(newRecord("a", 1, 1, Change{Take: cores(10)}), 2)
		ledger.SetLimit("one", cores(4), 3)
		change, due := Plan(ledger.Account("one"), "a", 1, Demand{Team: "one", Used: cores(7)})
		if !due || change.Release != cores(3) {
			t.Errorf("releases %s, want 3 cores", change.Release)
		}
	})
	t.Run("lostZoneCountsUntilForfeited", func(t *testing.T) {
		var ledger Ledger
		ledger.SetLimit("one", cores(10), 1)
		ledger.Apply(newRecord("a", 1, 1, Change{Take: cores(10)}), 2)
		ledger.Apply(newRecord("b", 1, 1, Change{Take: cores(10)}), 3)
		assertHeld(t, &ledger, "b", 0)
		ledger.Apply(Record{Forfeit: "a"}, 4)
		ledger.Apply(newRecord("b", 1, 2, Change{Take: cores(10)}), 5)
		assertHeld(t, &ledger, "b", 10)
	})
	t.Run("repeatedForfeitKeepsWhatWasTakenSince", func(t *testing.T) {
		var ledger Ledger
		ledger.SetLimit("one", cores(10), 1)
		ledger.Apply(newRecord("a", 1, 1, Change{Take: cores(10)}), 2)
		forfeit := Record{Forfeit: "a", Term: ledger.Tenure("a").Term, Step: ledger.Tenure("a").Step}
		ledger.Apply(forfeit, 3)
		assertHeld(t, &ledger, "a", 0)
		ledger.Apply(newRecord("a", 2, 1, Change{Take: cores(6)}), 4)
		ledger.Apply(forfeit, 5)
		assertHeld(t, &ledger, "a", 6)
	})
}

// TestLedgerProperty replays random releases and takes, some of them twice, as when an append is sent again.
// It guards against slices that add up to more than the limit, slices of negative size, and a repeated
// record that changes the ledger.
func TestLedgerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger, reference Ledger
		limit := rapid.Int64Range(1, 50).Draw(t, "limit")
		ledger.SetLimit("one", cores(limit), 1)
		reference.SetLimit("one", cores(limit), 1)
		steps := map[string]int64{}
		offset := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "trades") {
			offset++
			zone := fmt.Sprintf("z%d", rapid.IntRange(0, 3).Draw(t, "zone"))
			steps[zone]++
			record := newRecord(zone, 1, steps[zone], Change{
				Release: cores(rapid.Int64Range(0, 10).Draw(t, "release")),
				Take:    cores(rapid.Int64Range(0, 20).Draw(t, "take")),
			})
			repeats := rapid.IntRange(1, 2).Draw(t, "repeats")
			for range repeats {
				ledger.Apply(record, offset)
			}
			reference.Apply(record, offset)
			account := ledger.Account("one")
			if unallocated := account.Unallocated(); unallocated.MilliCores < 0 {
				t.Fatalf("slices exceed the limit by %d milliCores", -unallocated.MilliCores)
			}
			for _, slice := range account.Slices {
				if slice.Held.MilliCores < 0 {
					t.Fatalf("zone %s holds a negative slice: %d milliCores", slice.Zone, slice.Held.MilliCores)
				}
			}
		}
		if a, b := fmt.Sprint(ledger.Since(0)), fmt.Sprint(reference.Since(0)); a != b {
			t.Fatalf("repeated records changed the ledger: got %s, want %s", a, b)
		}
	})
}

// TestPlanConvergesToDemand applies the plans of all zones in turn until no zone requests a change. It guards
// against plans that never settle, and against demand that is not met: the one zone with demand has to end
// up with the whole limit except for the other zones' floors.
func TestPlanConvergesToDemand(t *testing.T) {
	const zones, limit = 4, 40
	var ledger Ledger
	ledger.SetLimit("one", cores(limit), 1)
	offset, unchangedZones := int64(1), 0
	steps := map[string]int64{}
	for unchangedZones < zones {
		unchangedZones = 0
		for number := range zones {
			zone := fmt.Sprintf("z%d", number)
			demand := Demand{Team: "one"}
			if number == 0 {
				demand.QueuedSize = cores(100)
			}
			change, due := Plan(ledger.Account("one"), zone, zones, demand)
			if !due {
				unchangedZones++
				continue
			}
			steps[zone]++
			offset++
			ledger.Apply(newRecord(zone, 1, steps[zone], change), offset)
		}
		if offset > 1000 {
			t.Fatal("plans still request changes after 1000 records")
		}
	}
	floor := Floor(ledger.Account("one"), zones)
	want := cores(limit).Sub(floor.Mul(zones - 1))
	if held := ledger.Account("one").Held("z0"); held != want {
		t.Errorf("z0 holds %s, want %s", held, want)
	}
}

// TestConcurrentPlans lets all zones plan on the same state of the account in each round. It guards against zones that
// together take back more of their reserves than the unmet demand of another zone leaves: they released it in the
// next round and took it again, and the demand was not met for as long as their records came first.
func TestConcurrentPlans(t *testing.T) {
	const rounds = 10
	zones := []string{"idle1", "idle2", "loaded"} // in the order in which their records are applied
	var ledger Ledger
	ledger.SetLimit("one", cores(12), 1)
	for _, zone := range zones {
		ledger.Apply(newRecord(zone, 1, 1, Change{Take: cores(4)}), 2)
	}
	changes := 0 // of the last round
	for round := range int64(rounds) {
		account := ledger.Account("one")
		changes = 0
		for _, zone := range zones {
			demand := Demand{Team: "one"}
			if zone == "loaded" {
				demand.QueuedSize = cores(8)
			}
			if change, due := Plan(account, zone, len(zones), demand); due {
				changes++
				ledger.Apply(newRecord(zone, 1, 2+round, change), 3+round)
			}
		}
	}
	assertHeld(t, &ledger, "loaded", 8)
	if changes > 0 {
		t.Errorf("%d zones still request changes after %d rounds", changes, rounds)
	}
}
