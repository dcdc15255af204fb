package planner_test

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// beginHandover ends the giving of leases.
func (fleet *fleet) beginHandover() {
	fleet.planner.BeginHandover(fleet.time())
	fleet.settle()
}

// TestHandover guards against a planner that waits for a whole lease after a planned stop, although the planner before it could name when
// each lease expires.
func TestHandover(t *testing.T) {
	t.Run("waitsNoLonger", func(t *testing.T) {
		want := restartTime(t, func(*fleet) {})
		got := restartTime(t, func(fleet *fleet) {
			for term := int64(2); term < 6; term++ {
				fleet.beginHandover()
				fleet.takeOver(term, testCatalog())
				fleet.advance(800 * time.Millisecond)
			}
		})
		if got != want {
			t.Errorf("the task starts again %v after its worker's last answer, want %v as without a handover", got, want)
		}
	})
	t.Run("answersOnceMore", func(t *testing.T) {
		want := leaverRestartTime(t, func(*fleet) {})
		got := leaverRestartTime(t, func(fleet *fleet) {
			fleet.beginHandover()
			fleet.takeOver(2, testCatalog())
		})
		if got != want {
			t.Errorf("the task starts again %v after its worker's last answer, want %v as without a handover", got, want)
		}
	})
	t.Run("recordOfAnEarlierTerm", func(t *testing.T) {
		want := restartTime(t, func(fleet *fleet) { fleet.takeOver(2, testCatalog()) })
		got := restartTime(t, func(fleet *fleet) {
			fleet.beginHandover()
			fleet.missedTerm = true
			fleet.takeOver(3, testCatalog())
		})
		if got != want {
			t.Errorf("the task starts again %v after its worker's last answer, want %v as without a record", got, want)
		}
	})
	t.Run("givesNoLeases", func(t *testing.T) {
		fleet := newFleet(t, testStart, 1)
		fleet.deferStores = true
		fleet.submit(jobA, newStep(1))
		fleet.settle()
		fleet.beginHandover()
		fleet.flush(9)
		fleet.wantRunning(0)
		fleet.wantLease(false)
		fleet.planner.CancelHandover()
		fleet.settle()
		fleet.wantLease(false)
		fleet.flush(9)
		fleet.wantLease(true)
		fleet.settle()
		fleet.flush(9)
		fleet.wantRunning(1)
	})
	t.Run("canceledHandover", func(t *testing.T) {
		fleet, worker := newFleetWithStandingTask(t)
		fleet.beginHandover()
		fleet.planner.CancelHandover()
		fleet.settle()
		fleet.advance(3 * time.Second)
		worker.unresponsive = true
		fleet.takeOver(2, testCatalog())
		for range 25 {
			fleet.advance(100 * time.Millisecond)
		}
		if len(fleet.orders) != 1 {
			t.Errorf("%d orders, want 1: the lease was renewed after the handover was canceled", len(fleet.orders))
		}
	})
}

// restartTime returns the time from the last answer of a worker with a standing task to the next start of the task, with takeovers between.
func restartTime(t *testing.T, takeOver func(*fleet)) time.Duration {
	t.Helper()
	fleet, worker := newFleetWithStandingTask(t)
	for range (testSettings.FormerRenewalWindow + testSettings.MaxLease) / time.Second {
		fleet.advance(time.Second)
	}
	worker.unresponsive = true
	since := fleet.now
	fleet.advance(800 * time.Millisecond)
	takeOver(fleet)
	for len(fleet.orders) < 2 && fleet.now.Sub(since) < time.Minute {
		fleet.advance(100 * time.Millisecond)
	}
	return fleet.now.Sub(since)
}

// leaverRestartTime returns the time from the last answer of a worker that is about to leave to the next start of its standing task, which
// has no room elsewhere before. The worker answers the planner that takes over.
func leaverRestartTime(t *testing.T, takeOver func(*fleet)) time.Duration {
	t.Helper()
	fleet, leaver := newFleetWithStandingTask(t)
	for _, worker := range fleet.workers {
		worker.gone = worker != leaver
	}
	leaver.draining = true
	fleet.listWorkers()
	for range (testSettings.FormerRenewalWindow + testSettings.MaxLease) / time.Second {
		fleet.advance(time.Second)
	}
	takeOver(fleet)
	since := fleet.now
	leaver.unresponsive = true
	for _, worker := range fleet.workers {
		worker.gone = false
	}
	fleet.listWorkers()
	for len(fleet.orders) < 2 && fleet.now.Sub(since) < time.Minute {
		fleet.advance(100 * time.Millisecond)
	}
	return fleet.now.Sub(since)
}

// wantLease checks whether the only worker is given a lease with its next poll.
func (fleet *fleet) wantLease(want bool) {
	fleet.t.Helper()
	if poll, _ := fleet.planner.NextPoll("w-000", fleet.time()); poll.DeadlineMS > 0 != want {
		fleet.t.Errorf("poll gives a lease until %d ms, want a lease: %v", poll.DeadlineMS, want)
	}
}

// TestOddHandover guards against records of another writer that end the wait for leases, or prolong it without a bound.
func TestOddHandover(t *testing.T) {
	wantUndecodable(t, planner.Record{Key: "handover", Value: []byte(`{"version":1,"term":2,"workers":{"w-000":1000}}`)})
	for name, text := range map[string]string{
		"noTerm":      `{"version":1}`,
		"version":     `{"version":2,"term":2}`,
		"leasesEnded": `{"version":1,"term":2,"leasesMS":-1}`,
		"renewals":    `{"version":1,"term":2,"renewalsMS":9000000000000000000}`,
		"worker":      `{"version":1,"term":2,"workers":{"w-000":9000000000000000000}}`,
		"workers":     `{"version":1,"term":2,"workers":["w-000"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			wantUndecodable(t, planner.Record{Key: "handover", Value: []byte(text)}, "handover")
		})
	}
}
