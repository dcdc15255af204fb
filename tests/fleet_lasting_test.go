package tests

import (
	"slices"
	"sync"
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
	// shortTerm is the same for a decider that cannot know yet that no former decider renews leases.
	shortTerm = 500 * time.Millisecond
	// silentTime is how long a decider is silent that is replaced meanwhile.
	silentTime = 700 * time.Millisecond
	// unansweredTime is how long a worker does not answer before its decider is lost as well.
	unansweredTime = 900 * time.Millisecond
	// plannedStops is the number of deciders that are stopped one after the other.
	plannedStops = 3
	// minPlannedTerm is the least time for which a decider decides that is stopped meanwhile: a policy query and a start take a second.
	minPlannedTerm = 2 * time.Second
	// leavingNotice is the time between a worker's notice and its end.
	leavingNotice = 6 * time.Second
	// changesOfStorm is the number of changes of a configuration that changes all the time, changeInterval the time between two of them.
	changesOfStorm = 100
	changeInterval = 200 * time.Millisecond
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
	// The same while the configuration changes all the time, as in the operators' record: each version is read by the hosts and makes the
	// decider plan again.
	t.Run("secondTakeoverAmidChanges", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			go fleet.publishOften(changesOfStorm)
			fleet.killHost(fleet.decidingHost())
			fleet.awaitDecider()
			time.Sleep(termBeforeLoss)
			fleet.endWorkers()
			fleet.killHost(fleet.decidingHost())
		})
	})
	// Guards against a decider that waits for the renewals of two deciders although both have ended: the second one was lost before it
	// knew of the end of the first one.
	t.Run("twoTakeovers", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			first := fleet.decidingHost()
			fleet.silenceDecider()
			fleet.awaitDecider()
			time.Sleep(shortTerm)
			fleet.endWorkers()
			fleet.restartHost(first)
			fleet.killHost(fleet.decidingHost())
		})
	})
	// Guards against a decider that does not know of the decider before its predecessor, which ended before it could store anything.
	t.Run("twoTakeoversAtOnce", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			ending := fleet.workers
			fleet.replacements()
			fleet.silenceDecider()
			fleet.awaitDecider()
			fleet.leaveNow(ending)
			fleet.killHost(fleet.decidingHost())
		})
	})
	// Guards against a decider that waits for the renewals of a predecessor that runs and answers, but no longer decides.
	t.Run("deciderWakes", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			former := fleet.decidingHost()
			fleet.fabric.Pause(former)
			time.Sleep(silentTime)
			fleet.fabric.Resume(former)
		})
	})
	// Guards against a decider that waits for the renewals of a predecessor that is silent for good, of which nothing can be learned.
	t.Run("silentDecider", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			fleet.silenceDecider()
		})
	})
	// Guards against waits that add up: the worker does not answer for nearly as long as it takes to record that, then its decider is silent.
	t.Run("silentDeciderLater", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			time.Sleep(unansweredTime)
			fleet.silenceDecider()
		})
	})
	// Guards against a decider that waits for renewals although its predecessor has ended.
	t.Run("firstTakeover", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			fleet.killHost(fleet.decidingHost())
		})
	})
	// Guards against planned stops that each cost a lease: the next decider waited for leases that its predecessor could name.
	t.Run("plannedStops", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			for range plannedStops {
				time.Sleep(unansweredTime)
				fleet.stopHost(fleet.decidingHost())
				fleet.awaitDecider()
			}
		})
	})
	// Guards against a wait for a quorum that the hosts that were not stopped cannot form.
	t.Run("mostHostsStop", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			time.Sleep(unansweredTime)
			fleet.stopHosts(fleet.hostNames[1:])
		})
	})
	// Guards against a decider that is stopped before it has read the journal, and tells nothing of what its predecessor told.
	t.Run("plannedStopsAtOnce", func(t *testing.T) {
		runLasting(t, func(fleet *fleet) {
			fleet.endWorkers()
			time.Sleep(unansweredTime)
			fleet.stopAtElections(slices.Sorted(slices.Values(fleet.hostNames))[:plannedStops])
		})
	})
	// Guards against planned stops that leave no decider the time to ask the policy and to start tasks: each term has to last long enough.
	t.Run("plannedStopsInARow", func(t *testing.T) {
		runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
			time.Sleep(20 * time.Second)
			names := slices.Sorted(slices.Values(fleet.hostNames))[:plannedStops]
			begun := time.Now()
			fleet.stopAtElections(names)
			if took, want := time.Since(begun), (plannedStops-1)*minPlannedTerm; took < want {
				t.Errorf("%d deciders were replaced within %v, want %v at least", len(names), took, want)
			}
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

// TestFleetLastingTasksOfTwoHosts guards against a decider that waits for the quorum of a former one that can have none without it.
func TestFleetLastingTasksOfTwoHosts(t *testing.T) {
	runLastingOn(t, 2, func(fleet *fleet) {
		fleet.endWorkers()
		fleet.killHost(fleet.decidingHost())
	})
}

// runLasting runs lasting tasks on a fleet whose decider has decided for long, and checks that each of them runs again in time after a
// loss.
func runLasting(t *testing.T, lose func(fleet *fleet)) {
	t.Helper()
	runLastingOn(t, lastingHosts, lose)
}

// publishOften stores a number of new versions of the configuration, one each changeInterval.
func (fleet *fleet) publishOften(changes int) {
	for range changes {
		fleet.publishConfiguration()
		time.Sleep(changeInterval)
	}
}

// runLastingOn is runLasting on a number of hosts.
func runLastingOn(t *testing.T, hosts int, lose func(fleet *fleet)) {
	t.Helper()
	runFleetWith(t, hosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		lose(fleet)
		time.Sleep(20 * time.Second)
		fleet.assertLasting()
	})
}

// TestFleetFormerLeases guards against a decider that does not tell until when it waits for leases of former deciders, and why.
func TestFleetFormerLeases(t *testing.T) {
	for name, test := range map[string]struct {
		lose func(fleet *fleet, decider string)
		want map[string]int // lines of the next decider by grounds
	}{
		"silent": {func(fleet *fleet, _ string) { fleet.silenceDecider() }, map[string]int{"window": 1, "quorum": 1}},
		"handedOver": {func(fleet *fleet, decider string) {
			strongest := fleet.others(decider)[0]
			fleet.shares = map[string]float64{strongest: 10}
			fleet.restartHost(strongest)
		}, map[string]int{"window": 1, "quorum": 1, "resigned": 1}},
		"restarted": {func(fleet *fleet, decider string) { fleet.restartHost(decider) }, map[string]int{"window": 1, "quorum": 1, "resigned": 0, "gone": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
				time.Sleep(20 * time.Second)
				before := fleet.formerLeaseLines()
				test.lose(fleet, fleet.decidingHost())
				time.Sleep(20 * time.Second)
				after := fleet.formerLeaseLines()
				for _, grounds := range formerLeaseGrounds {
					if count := after[grounds] - before[grounds]; count > test.want[grounds] {
						t.Errorf("%d lines with the grounds %s, want %d at most", count, grounds, test.want[grounds])
					}
				}
				last := formerLeaseGrounds[len(test.want)-1]
				if after[last] == before[last] {
					t.Errorf("no line with the grounds %s", last)
				}
			})
		})
	}
}

// TestFleetHandover guards against a decider that waits for the longest time after a planned stop, although its predecessor told until when it
// gave leases.
func TestFleetHandover(t *testing.T) {
	for name, handOver := range map[string]func(fleet *fleet, decider string){
		"stopped": func(fleet *fleet, decider string) { fleet.stopHost(decider) },
		"strongerHost": func(fleet *fleet, decider string) {
			strongest := fleet.others(decider)[0]
			fleet.shares = map[string]float64{strongest: 10}
			fleet.restartHost(strongest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
				fleet.submitLasting()
				time.Sleep(20 * time.Second)
				before := fleet.formerLeaseLines()
				handOver(fleet, fleet.decidingHost())
				time.Sleep(10 * time.Second)
				after := fleet.formerLeaseLines()
				if handovers := after["handover"] - before["handover"]; handovers != 1 || after["window"] != before["window"] {
					t.Errorf("%d lines with the grounds handover and %d with the grounds window, want 1 and none", handovers, after["window"]-before["window"])
				}
			})
		})
	}
}

// formerLeaseGrounds are the grounds on which a decider waits for leases of former deciders, from the longest wait to the shortest.
var formerLeaseGrounds = []string{"window", "quorum", "resigned", "gone"}

// formerLeaseLines returns how many lines tell until when a decider waits for leases of former deciders, by grounds.
func (fleet *fleet) formerLeaseLines() map[string]int {
	lines := map[string]int{}
	for _, grounds := range append([]string{"handover"}, formerLeaseGrounds...) {
		lines[grounds] = fleet.logged.count("leases of former deciders " + grounds)
	}
	return lines
}

// endWorkers ends all workers that run lasting tasks, for good and without notice, while as many others start.
func (fleet *fleet) endWorkers() {
	ending := fleet.workers
	fleet.replacements()
	fleet.leaveNow(ending)
}

// leaveNow ends workers for good and without notice.
func (fleet *fleet) leaveNow(workers []*emulator.Worker) {
	for _, worker := range workers {
		worker.Leave()
		fleet.fabric.Kill(worker.ID)
	}
}

// stopHost ends a host as SIGTERM does.
func (fleet *fleet) stopHost(name string) {
	fleet.hosts[name].Shutdown(fleet.Context())
	delete(fleet.hosts, name)
}

// stopHosts ends hosts at the same time as SIGTERM does.
func (fleet *fleet) stopHosts(names []string) {
	var stopping sync.WaitGroup
	for _, name := range names {
		stopping.Go(func() { fleet.hosts[name].Shutdown(fleet.Context()) })
	}
	stopping.Wait()
	for _, name := range names {
		delete(fleet.hosts, name)
	}
}

// stopAtElections stops the decider and then the hosts that follow it, each as soon as it is elected.
func (fleet *fleet) stopAtElections(names []string) {
	var stopping sync.WaitGroup
	for _, name := range names {
		elections := fleet.elections()
		stopping.Go(func() { fleet.hosts[name].Shutdown(fleet.Context()) })
		for fleet.elections() == elections {
			time.Sleep(time.Millisecond)
		}
	}
	stopping.Wait()
	for _, name := range names {
		delete(fleet.hosts, name)
	}
}

// restartHost ends a host that is silent or runs, and starts it as a new process.
func (fleet *fleet) restartHost(name string) {
	fleet.Helper()
	fleet.killHost(name)
	fleet.fabric.Resume(name)
	fleet.startHost(name)
}

// TestFleetRefusingCut guards against tasks that run twice after a cut that refuses connections: the decider goes on to give leases on
// workers that only it reaches, while the next one takes the refusal for the end of its process.
func TestFleetRefusingCut(t *testing.T) {
	for name, test := range map[string]struct {
		peers int           // hosts on the side of the decider
		wait  time.Duration // until the tasks run elsewhere
	}{
		"deciderAlone":  {0, 20 * time.Second},
		"deciderOfMost": {lastingHosts / 2, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) { checkRefusingCut(t, test.peers, test.wait) })
	}
}

// checkRefusingCut cuts the decider off from the store and from other hosts, together with peers and with the workers that run lasting
// tasks. These have to run elsewhere after a wait, and not before.
func checkRefusingCut(t *testing.T, peers int, wait time.Duration) {
	t.Helper()
	runFleetWith(t, lastingHosts, func(fleet *fleet) { fleet.maxLease = longLease }, func(fleet *fleet) {
		fleet.submitLasting()
		time.Sleep(20 * time.Second)
		decider := fleet.decidingHost()
		others := fleet.others(decider)
		inside, outside := append([]string{decider}, others[:peers]...), append(others[peers:], "store")
		for _, worker := range fleet.workers {
			inside = append(inside, worker.ID)
		}
		for _, worker := range fleet.replacements() {
			outside = append(outside, worker.ID)
		}
		heal := fleet.fabric.CutRefusing(inside, outside)
		time.Sleep(wait)
		heal()
		time.Sleep(5 * time.Second)
		fleet.assertMoved()
	})
}

// replacements starts as many workers as there are, and waits until they are known.
func (fleet *fleet) replacements() []*emulator.Worker {
	former := len(fleet.workers)
	for range former {
		fleet.addWorker(len(fleet.workers))
		fleet.workers[len(fleet.workers)-1].Simulate = simulateLasting
	}
	time.Sleep(time.Second)
	return fleet.workers[former:]
}

// assertMoved checks that each lasting task has run a second time.
func (fleet *fleet) assertMoved() {
	fleet.Helper()
	moved := 0
	for _, runs := range fleet.runsByTask() {
		if len(runs) > 1 {
			moved++
		}
	}
	if moved < lastingTasks {
		fleet.Errorf("%d tasks ran a second time, want %d", moved, lastingTasks)
	}
}
