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
	for name, times := range map[string]struct{ quorum, fence, window, want time.Duration }{
		"fencedFirst":    {quorum: 2 * time.Second, fence: time.Second, window: renewalWindow, want: 2*time.Second + renewalWindow},
		"quorumFirst":    {quorum: time.Second, fence: 2 * time.Second, window: renewalWindow, want: 2*time.Second + renewalWindow},
		"fencedFirstAll": {quorum: 2 * time.Second, fence: time.Second, want: 2 * time.Second},
		"quorumFirstAll": {quorum: time.Second, fence: 2 * time.Second, want: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if end := formerRenewalsEnd(start.Add(times.quorum), start.Add(times.fence), times.window); !end.Equal(start.Add(times.want)) {
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
		quorum:  newQuorum(nil),
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
	tenure := &tenure{host: host, term: 5, quorum: newQuorum(nil)}
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

// TestSupportedAt guards against leases that count from the arrival of heartbeats that were sent long before, to a process that stood still
// or over a link that was cut: their senders may support a later decider by now.
func TestSupportedAt(t *testing.T) {
	const hosts = 5
	now := time.Now()
	for name, test := range map[string]struct {
		echoes map[string]time.Duration // before now, by host, negative for none
		want   time.Duration            // before now, negative for never
	}{
		"fresh":        {map[string]time.Duration{"b": time.Second, "c": 2 * time.Second, "d": 3 * time.Second}, 2 * time.Second},
		"sentLongAgo":  {map[string]time.Duration{"b": 8 * time.Second, "c": 9 * time.Second}, 9 * time.Second},
		"minority":     {map[string]time.Duration{"b": time.Second}, -1},
		"withoutEcho":  {map[string]time.Duration{"b": time.Second, "c": -1}, -1},
		"echoOfFuture": {map[string]time.Duration{"b": time.Second, "c": -time.Hour}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			quorum := newQuorum(nil)
			for host, ago := range test.echoes {
				var echo time.Time
				if ago != -1 {
					echo = now.Add(-ago)
				}
				quorum.recordHeartbeat(Heartbeat{Host: host}, echo)
			}
			supportedAt := quorum.supportedAt(hosts, now)
			if supportedAt.IsZero() != (test.want < 0) {
				t.Fatalf("supported at %v, want %v before %v", supportedAt, test.want, now)
			}
			if late := supportedAt.Sub(now.Add(-test.want)); test.want >= 0 && (late != 0) {
				t.Errorf("supported %v before now, want %v", now.Sub(supportedAt), test.want)
			}
		})
	}
}
