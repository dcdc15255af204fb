package scheduler

import (
	"testing"
	"time"

	"ebonyshunt.org/library/planner"
)

// TestFormerRenewalsEnd checks that both the quorum and the fence of the journal have to stand before the time in which a
// former decider may renew leases begins to run out.
func TestFormerRenewalsEnd(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for name, times := range map[string]struct{ quorum, fence, want time.Duration }{
		"fencedFirst": {quorum: 2 * time.Second, fence: time.Second, want: 2*time.Second + renewalWindow},
		"quorumFirst": {quorum: time.Second, fence: 2 * time.Second, want: 2*time.Second + renewalWindow},
	} {
		t.Run(name, func(t *testing.T) {
			if end := formerRenewalsEnd(start.Add(times.quorum), start.Add(times.fence)); !end.Equal(start.Add(times.want)) {
				t.Errorf("former renewals end after %v, want %v", end.Sub(start), times.want)
			}
		})
	}
}

// TestLeaseTime guards against a lease that is longer than a later decider waits for, since its decider stood still between the check
// that it may give leases and the reading of the time from which the lease counts.
func TestLeaseTime(t *testing.T) {
	const attempts, standstill = 100, 20 * time.Millisecond
	now := time.Now()
	tenure := &tenure{
		host:    &Host{started: now.Add(-time.Minute), fleet: newFleet()},
		quorum:  newQuorum(),
		planner: planner.New(planner.Settings{}, 1, &planner.Catalog{}, now),
	}
	tenure.confirmTerm(tenure.host.uptime() - quorumRenewalWindow/2) // so that the check takes the lock of the quorum
	for range attempts {
		times, begun := make(chan time.Time), make(chan struct{})
		tenure.quorum.mu.Lock()
		go func() {
			close(begun)
			times <- tenure.leaseTime()
		}()
		<-begun
		time.Sleep(standstill)
		checkedAfter := time.Now()
		tenure.quorum.mu.Unlock()
		if !(<-times).After(checkedAfter) {
			return
		}
	}
	t.Errorf("in %d attempts the lease counts from a time after the check", attempts)
}

// TestReleasedLeases guards against a decider that gives leases after it has told a later one that it gives none.
func TestReleasedLeases(t *testing.T) {
	host := &Host{started: time.Now(), fleet: newFleet()}
	tenure := &tenure{host: host, term: 5, quorum: newQuorum()}
	tenure.confirmTerm(host.uptime())
	for _, step := range []struct {
		heartbeatTerm, want int64
		may                 bool
	}{{0, 0, true}, {5, 5, true}, {6, 6, false}, {5, 6, false}} {
		if lowest := host.raiseLeaseTerm(step.heartbeatTerm); lowest != step.want {
			t.Errorf("after a heartbeat for term %d this host gives leases from term %d on, want %d", step.heartbeatTerm, lowest, step.want)
		}
		if may := tenure.mayRenewLeases(); may != step.may {
			t.Errorf("after a heartbeat for term %d the tenure may give leases: %t, want %t", step.heartbeatTerm, may, step.may)
		}
	}
}
