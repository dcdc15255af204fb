package tests

import (
	"testing"
	"time"
)

// TestFleetUnknownHost guards against lasting tasks that run twice because a host registers while the decider is cut off from the store:
// the decider needs more than half of the hosts that it knows, and the next one counts the new host as well.
func TestFleetUnknownHost(t *testing.T) {
	for name, test := range map[string]struct {
		hosts int // known to the decider
		peers int // of them, on the side of the decider
	}{
		"oneHost":    {1, 0},
		"threeHosts": {3, 1},
		"fiveHosts":  {5, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetWith(t, test.hosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
				fleet.submitLasting()
				time.Sleep(20 * time.Second)
				heal := fleet.cutWithWorkers(test.peers)
				fleet.hostNames = append(fleet.hostNames, "entry-b-8")
				fleet.startHost("entry-b-8")
				time.Sleep(40 * time.Second)
				heal()
				time.Sleep(5 * time.Second)
				fleet.assertMoved()
			})
		})
	}
}

// cutWithWorkers cuts the decider off from the store and from other hosts, together with peers and with the workers that run lasting tasks.
func (fleet *fleet) cutWithWorkers(peers int) (heal func()) {
	decider := fleet.decidingHost()
	others := fleet.others(decider)
	inside, outside := append([]string{decider}, others[:peers]...), append(others[peers:], "store", "entry-b-8")
	for _, worker := range fleet.workers {
		inside = append(inside, worker.ID)
	}
	for _, worker := range fleet.replacements() {
		outside = append(outside, worker.ID)
	}
	return fleet.fabric.Cut(inside, outside)
}
