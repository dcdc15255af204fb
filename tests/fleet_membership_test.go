package tests

import (
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
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

// TestFleetUnregisteredHost guards against lasting tasks that run twice because a host that is in no list of hosts yet, since its
// registration takes effect late, supports the decider: the decider counts its support, but not the host.
func TestFleetUnregisteredHost(t *testing.T) {
	const registrationDelay = time.Minute
	runFleetWith(t, 3, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		decider := fleet.decidingHost()
		inside, outside := []string{decider, "entry-b-8"}, append(fleet.others(decider), "store")
		for _, worker := range fleet.workers {
			inside = append(inside, worker.ID)
		}
		for _, worker := range fleet.replacements() {
			outside = append(outside, worker.ID)
		}
		fleet.store.SetFaults(emulator.StoreFaults{LateEvery: 1, LateBy: registrationDelay})
		fleet.hostNames = append(fleet.hostNames, "entry-b-8")
		fleet.startHost("entry-b-8")
		time.Sleep(300 * time.Millisecond)
		fleet.store.SetFaults(emulator.StoreFaults{})
		heal := fleet.fabric.Cut(inside, outside)
		time.Sleep(40 * time.Second)
		heal()
		time.Sleep(5 * time.Second)
		fleet.assertMoved()
	})
}

// TestFleetForgottenSupport guards against lasting tasks that run twice because a host starts anew that supported the later decider, and
// learns only of the former one, on whose side it now is.
func TestFleetForgottenSupport(t *testing.T) {
	runFleetWith(t, 3, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		decider := fleet.decidingHost()
		others := fleet.others(decider)
		workers := len(fleet.workers)
		heal := fleet.cutSide([]string{decider}, append(others, "store"))
		fleet.awaitDeciderOf(others)
		time.Sleep(500 * time.Millisecond)
		moved := others[1]
		if fleet.hosts[moved].Deciding() {
			moved = others[0]
		}
		fleet.killHost(moved)
		heal()
		inside, outside := []string{decider, moved}, []string{"store"}
		for _, name := range others {
			if name != moved {
				outside = append(outside, name)
			}
		}
		for index, worker := range fleet.workers {
			if index < workers {
				inside = append(inside, worker.ID)
			} else {
				outside = append(outside, worker.ID)
			}
		}
		heal = fleet.fabric.Cut(inside, outside)
		fleet.hostNames = append([]string{decider}, others...) // the first one is the seed
		fleet.startHost(moved)
		time.Sleep(40 * time.Second)
		heal()
		time.Sleep(5 * time.Second)
		fleet.assertMoved()
	})
}

// awaitDeciderOf waits until one of the named hosts decides.
func (fleet *fleet) awaitDeciderOf(names []string) {
	for range 1000 {
		for _, name := range names {
			if fleet.hosts[name].Deciding() {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	fleet.Fatal("no host decides")
}

// cutSide cuts hosts and the workers that run lasting tasks off from others and from new workers.
func (fleet *fleet) cutSide(inside, outside []string) (heal func()) {
	for _, worker := range fleet.workers {
		inside = append(inside, worker.ID)
	}
	for _, worker := range fleet.replacements() {
		outside = append(outside, worker.ID)
	}
	return fleet.fabric.Cut(inside, outside)
}
