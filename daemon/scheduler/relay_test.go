package scheduler

import "testing"

// TestRelayPeer guards against appends that go through the same unusable peer again and again: the strongest one was asked for
// each append, also while the store turned it away.
func TestRelayPeer(t *testing.T) {
	host := &Host{fleet: newFleet()}
	for _, name := range []string{"a", "b", "c"} {
		host.fleet.register(Member{Name: name, Address: name})
	}
	host.settings.Host = "c"
	route := &route{host: host}
	wantPeer := func(attempt int, want string) Member {
		t.Helper()
		peer, relayed := route.peerFor(attempt)
		if !relayed || peer.Name != want {
			t.Errorf("attempt %d goes through %q (relayed %t), want %q", attempt, peer.Name, relayed, want)
		}
		return peer
	}
	first := wantPeer(1, "a")
	wantPeer(3, "b")
	route.recordFailed(first)
	second := wantPeer(1, "b")
	route.recordFailed(first) // a late failure of the peer that is no longer used
	wantPeer(1, "b")
	route.recordFailed(second)
	wantPeer(1, "a")
}
