package planner_test

import (
	"testing"
	"time"
)

// TestFormerHostCount guards against a decider that relies on a number of hosts that a former decider did not know of: the record has to be
// missing until no such decider gives leases any more.
func TestFormerHostCount(t *testing.T) {
	const hosts = 5
	fleet := newFleet(t, testStart, 1)
	fleet.planner.SetHostCount(hosts)
	fleet.advance(testSettings.FormerRenewalWindow - time.Second)
	if value, stored := fleet.journal["hosts"]; stored {
		t.Errorf("%s hosts are recorded before the term has settled", value)
	}
	fleet.advance(2 * time.Second)
	fleet.planner.SetHostCount(hosts - 1)
	fleet.advance(time.Second)
	fleet.takeOver(5, testCatalog())
	if got := fleet.planner.FormerHostCount(); got != hosts {
		t.Errorf("%d hosts of the former decider, want %d", got, hosts)
	}
	fleet.planner.SetHostCount(hosts + 1)
	fleet.advance(time.Second)
	fleet.takeOver(6, testCatalog())
	if got := fleet.planner.FormerHostCount(); got != hosts {
		t.Errorf("%d hosts of the former deciders, want %d: the term before had not settled", got, hosts)
	}
}
