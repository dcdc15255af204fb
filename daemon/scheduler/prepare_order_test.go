package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// newOrderingTenure returns the tenure of a decider with one start whose record is stored.
func newOrderingTenure(t *testing.T) (*tenure, planner.Start, context.CancelFunc) {
	t.Helper()
	now := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	host := &Host{started: now, fleet: newFleet(), log: slog.New(slog.DiscardHandler)}
	for _, name := range []string{"a", "b", "c"} {
		host.fleet.register(Member{Name: name, Address: name + ":1"})
	}
	tenure := &tenure{host: host, term: 2, quorum: newQuorum(nil), ctx: ctx, tickLag: newLag(), answerLag: newLag()}
	catalog := &planner.Catalog{
		Version: 1, Queues: []planner.Queue{{Name: "q", Service: "s", MaxAttempts: 2}},
		Services: map[string]planner.Service{"s": {Name: "s"}}, Teams: map[string]planner.Team{"a": {}},
	}
	tenure.planner = planner.New(planner.Settings{Lease: time.Minute, MaxLease: time.Minute}, tenure.term, catalog, now)
	tenure.planner.SetWorkers([]planner.WorkerInfo{{ID: "w", Service: "s", Address: "w:1", Zone: "z", Capacity: sizer.Size{MilliCores: 1000, MemoryMB: 1000}}}, now)
	poll, _ := tenure.planner.NextPoll("w", now)
	tenure.planner.HandleListing("w", planner.Listing{Token: poll.Token, SentAt: now, Incarnation: 1, ClockMS: 1}, now)
	tenure.planner.Submit(planner.Job{ID: "a", Queue: "q", Team: "a", Steps: []planner.Step{{Count: 1, Size: sizer.Size{MilliCores: 10}}}}, now)
	tenure.planner.Plan(now)
	batch, err := tenure.planner.Take()
	if err != nil || len(batch.Starts) != 1 {
		t.Fatalf("%d starts, error %v, want one start", len(batch.Starts), err)
	}
	tenure.planner.MarkStored(batch)
	return tenure, batch.Starts[0], cancel
}

// TestOrderNeedsFreshProof guards against a decider that stood still with stored starts, was replaced meanwhile, and sends their orders when
// it goes on: workers that were started anew take them. It prepares no order before its term is confirmed again.
func TestOrderNeedsFreshProof(t *testing.T) {
	for _, test := range []struct {
		name  string
		then  func(tenure *tenure, resign context.CancelFunc)
		sends bool
	}{
		{"confirmed", func(tenure *tenure, _ context.CancelFunc) { tenure.confirmTerm(tenure.host.uptime()) }, true},
		{"replaced", func(_ *tenure, resign context.CancelFunc) { resign() }, false},
		{"leasesGivenUp", func(tenure *tenure, _ context.CancelFunc) { tenure.host.raiseLeaseTerm(tenure.term + 1) }, false},
		{"neverConfirmed", func(*tenure, context.CancelFunc) { time.Sleep(renewalWindow) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tenure, start, resign := newOrderingTenure(t)
				defer resign()
				tenure.confirmTerm(tenure.host.uptime())
				time.Sleep(maxStartProofAge + time.Millisecond) // stands still
				prepared := make(chan bool, 1)
				go func() {
					_, preparedAt, wanted := tenure.prepareOrder(start)
					prepared <- wanted && tenure.ctx.Err() == nil && preparedAt >= maxStartProofAge
				}()
				time.Sleep(10 * startProofInterval)
				select {
				case <-prepared:
					t.Fatal("the order was prepared on an old proof of the term")
				default:
				}
				test.then(tenure, resign)
				if sends := <-prepared; sends != test.sends {
					t.Errorf("the order is sent: %t, want %t", sends, test.sends)
				}
			})
		})
	}
}
