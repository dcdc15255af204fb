package tests

import (
	"testing"
	"time"
)

const (
	// lastingHosts is the number of hosts of the fleets that lose a worker and deciders.
	lastingHosts = 6
	// longLease is a lease limit of workers that does not shorten the leases that deciders prefer.
	longLease = 10 * time.Second
	// termBeforeLoss is how long a decider has decided before it is lost with a worker.
	termBeforeLoss = 6 * time.Second
)

// TestFleetLastingTasks guards against lasting tasks that stay down for too long after their worker has ended, because deciders end at
// the same time.
func TestFleetLastingTasks(t *testing.T) {
	// Guards against a decider that waits for the renewals of deciders of which its predecessor knew that they had ended.
	t.Run("secondTakeover", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.killHost(fleet.decidingHost())
			fleet.awaitDecider()
			time.Sleep(termBeforeLoss)
			fleet.endWorkers()
			fleet.killHost(fleet.decidingHost())
		})
	})
	// Guards against a decider that waits for renewals although its predecessor has ended.
	t.Run("firstTakeover", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			fleet.killHost(fleet.decidingHost())
		})
	})
}

// runLasting runs lasting tasks on a fleet whose decider has decided for long, and checks that each of them runs again in time after a
// loss.
func runLasting(t *testing.T, lose func(fleet *fleet)) {
	t.Helper()
	runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		lose(fleet)
		time.Sleep(20 * time.Second)
		fleet.assertLasting()
	})
}

// endWorkers ends all workers that run lasting tasks, for good and without notice, while as many others start.
func (fleet *fleet) endWorkers() {
	former := len(fleet.workers)
	for range former {
		fleet.addWorker(len(fleet.workers))
		fleet.workers[len(fleet.workers)-1].Simulate = simulateLasting
	}
	time.Sleep(time.Second) // the new workers are known
	for _, worker := range fleet.workers[:former] {
		worker.Leave()
		fleet.fabric.Kill(worker.ID)
	}
}
