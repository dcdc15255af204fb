package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/daemon/timekeeper"
)

// TestSuspendedDecider guards against a decider whose machine was suspended, which counts what confirmed its term before as younger than
// it is: the monotonic clock stood still meanwhile, and another host may have taken over and started the runs again.
func TestSuspendedDecider(t *testing.T) {
	for name, test := range map[string]struct {
		suspended  time.Duration
		heartbeats bool // whether a quorum supported the term before
		may        bool // whether leases may be given after it
	}{
		"notSuspended": {0, false, true},
		"briefly":      {renewalWindow / 2, false, true},
		"long":         {renewalWindow, false, false},
		"longInQuorum": {renewalWindow, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				suspended := time.Duration(0)
				suspensions := &timekeeper.Suspensions{Read: func() time.Duration { return suspended }}
				host := &Host{started: time.Now(), suspensions: suspensions, fleet: newFleet()}
				for _, name := range []string{"a", "b", "c"} {
					host.fleet.register(Member{Name: name, Address: name + ":1"})
				}
				tenure := &tenure{host: host, term: 5, quorum: newQuorum(suspensions)}
				time.Sleep(time.Second)
				tenure.confirmTerm(host.uptime())
				confirmedAt := time.Now()
				if test.heartbeats {
					for _, name := range []string{"a", "b", "c"} {
						tenure.quorum.recordHeartbeat(Heartbeat{Host: name}, confirmedAt)
					}
				}
				time.Sleep(time.Millisecond)
				suspended = test.suspended
				if may := tenure.mayRenewLeases(); may != test.may {
					t.Errorf("may renew leases: %t, want %t", may, test.may)
				}
				now := time.Now()
				if base := tenure.leaseBase(now); now.Sub(base) != time.Millisecond+test.suspended {
					t.Errorf("leases count from %v before now, want %v", now.Sub(base), time.Millisecond+test.suspended)
				}
			})
		})
	}
}

// TestQuorumAfterSuspension guards against a decider that holds no quorum for good after a suspension: two readings of how long it lasted
// differ a little.
func TestQuorumAfterSuspension(t *testing.T) {
	suspended := time.Duration(0)
	quorum := newQuorum(&timekeeper.Suspensions{Read: func() time.Duration {
		suspended += time.Microsecond
		return suspended
	}})
	suspended = time.Minute
	for _, name := range []string{"a", "b", "c"} {
		quorum.recordHeartbeat(Heartbeat{Host: name}, time.Now())
	}
	if !quorum.isHeld(4) {
		t.Error("three heartbeats after a suspension make no quorum of four hosts")
	}
}
