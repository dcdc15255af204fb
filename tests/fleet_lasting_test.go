package tests

import (
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

const (
	// lastingHosts is the number of hosts of the fleets that lose a worker and deciders.
	lastingHosts = 6
	// longLease is a lease limit of workers that does not shorten the leases that deciders prefer.
	longLease = 10 * time.Second
	// termBeforeLoss is how long a decider has decided before it is lost with a worker.
	termBeforeLoss = 6 * time.Second
	// leavingNotice is the time between a worker's notice and its end.
	leavingNotice = 6 * time.Second
	// movedBound bounds how long a task is down that moves before its worker leaves: a stop, a policy query and a start, each of which
	// takes well below a second.
	movedBound = 2 * time.Second
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
	// Guards against a worker that takes lasting tasks along although it has said in time that it leaves.
	t.Run("announcedEnd", func(t *testing.T) {
		runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
			fleet.submitLasting()
			time.Sleep(20 * time.Second)
			fleet.endLastingWorkers(leavingNotice)
			fleet.killHost(fleet.decidingHost())
			time.Sleep(20 * time.Second)
			fleet.assertLastingWithin(movedBound, 2)
		})
	})
}

// endLastingWorkers lets two workers that run lasting tasks announce their end and leave after a time.
func (fleet *fleet) endLastingWorkers(notice time.Duration) {
	var leaving []int
	for number, worker := range fleet.workers {
		runs := worker.History()
		if len(leaving) < 2 && slices.ContainsFunc(runs, func(run emulator.RunRecord) bool { return jobOf(run.Task) == jobID(lastingJob) && run.Ended.IsZero() }) {
			leaving = append(leaving, number)
			worker.Drain(notice)
			fleet.store.Register(worker, workerAddress(number), false)
		}
	}
	time.Sleep(notice)
	for _, number := range leaving {
		worker := fleet.workers[number]
		worker.Leave()
		fleet.fabric.Kill(worker.ID)
		fleet.store.Put(emulator.WorkersTopic, worker.ID, nil)
	}
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
