package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// newTestBalancer returns the balancer of a decider with some peers.
func newTestBalancer(peers int) *balancer {
	host := &Host{fleet: newFleet()}
	host.settings.Host = "own"
	for number := range peers {
		host.fleet.register(Member{Name: fmt.Sprintf("peer-%d", number), Address: fmt.Sprintf("10.0.0.%d:1", number)})
	}
	return newBalancer(&tenure{host: host, quorum: newQuorum(nil)})
}

// wantHosts checks which hosts policy queries are sent through.
func (balancer *balancer) wantHosts(t *testing.T, want ...string) {
	t.Helper()
	var names []string
	for _, member := range balancer.usableHosts() {
		names = append(names, member.Name)
	}
	if fmt.Sprint(names) != fmt.Sprint(want) {
		t.Errorf("queries go through %v, want %v", names, want)
	}
}

// TestQueriesAvoidAbsentHosts guards against policy queries through hosts that have ended: these had the least backlog, so that one
// step asked through two of them in turn and waited for four seconds while most of the room was free.
func TestQueriesAvoidAbsentHosts(t *testing.T) {
	hear := func(balancer *balancer, numbers ...int) {
		for _, number := range numbers {
			balancer.tenure.quorum.recordHeartbeat(Heartbeat{Host: fmt.Sprintf("peer-%d", number)}, time.Time{})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		balancer := newTestBalancer(4)
		balancer.wantHosts(t, "own", "peer-0", "peer-1", "peer-2", "peer-3") // no heartbeat can have arrived yet
		hear(balancer, 1, 3)
		balancer.wantHosts(t, "own", "peer-1", "peer-3")
		time.Sleep(heartbeatValidity)
		hear(balancer, 2, 3)
		time.Sleep(time.Millisecond)
		balancer.wantHosts(t, "own", "peer-2", "peer-3")
		balancer.recordResult("peer-3", false)
		balancer.wantHosts(t, "own", "peer-2")
		time.Sleep(2 * heartbeatValidity)
		balancer.wantHosts(t, "own")
		if slots := balancer.slots(); slots.Short != 1 || slots.Long != 1 {
			t.Errorf("slots %+v with this host alone, want one each", slots)
		}
	})
}
