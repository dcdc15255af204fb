package tests

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

const (
	// drainBound is the time after the acknowledgment of a request from which on no host may start a task in the zone.
	drainBound = 5 * time.Second
	// drainStretch is added to drainBound while the store is disturbed.
	drainStretch = 6 * time.Second
)

// requestDrain stores the request to drain a zone and returns the time of its acknowledgment.
func (fleet *fleet) requestDrain(zone string) time.Time {
	fleet.store.RequestDrain(zone)
	return time.Now()
}

// withdrawDrain deletes the request to drain a zone.
func (fleet *fleet) withdrawDrain(zone string) { fleet.store.WithdrawDrain(zone) }

// submitFor submits a job through one host after the other every 100 ms for a time. Refused jobs are not repeated, and calls
// without an answer are given up after a second.
func (fleet *fleet) submitFor(duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		number := int(time.Now().UnixMilli())
		host := fleet.runningHost(fleet.hostNames[number/100%len(fleet.hostNames)])
		answers := make(chan fleetAnswer, 1)
		go func() { answers <- fleet.call("POST", host, fleetPathPrefix+jobID(number), fleetKey, twoStepJob) }()
		select {
		case answer := <-answers:
			if answer.status == http.StatusOK {
				fleet.acceptedJobs = append(fleet.acceptedJobs, jobID(number))
			}
		case <-time.After(time.Second):
		}
	}
}

// startsIn returns how many tasks workers of a zone have started since a time.
func (fleet *fleet) startsIn(zone string, since time.Time) int {
	count := 0
	for _, worker := range fleet.workers {
		for _, run := range worker.History() {
			if worker.Zone == zone && run.At.After(since) {
				count++
			}
		}
	}
	return count
}

// wantNoStarts checks that no task was started in a zone since a time.
func (fleet *fleet) wantNoStarts(zone string, since time.Time) {
	fleet.Helper()
	if count := fleet.startsIn(zone, since); count > 0 {
		fleet.Errorf("%d tasks started in the drained zone %s", count, zone)
	}
}

// wantDrained checks that on each of the named hosts exactly the given zones are drained.
func (fleet *fleet) wantDrained(hosts []string, zones ...string) {
	fleet.Helper()
	for _, name := range hosts {
		if drained := fleet.hosts[name].DrainedZones(); !slices.Equal(drained, zones) {
			fleet.Errorf("%s holds the drained zones %v, want %v", name, drained, zones)
		}
	}
}

// restartAll kills all hosts and starts them again.
func (fleet *fleet) restartAll() {
	for _, name := range fleet.hostNames {
		fleet.killHost(name)
	}
	for _, name := range fleet.hostNames {
		fleet.startHost(name)
	}
}

// TestFleetDrain guards against tasks that start in a drained zone: 5 s after the request, also when the decider or all hosts
// fail afterwards, and against requests that stay in force after they were withdrawn.
func TestFleetDrain(t *testing.T) {
	t.Run("inForceOnEveryHost", func(t *testing.T) {
		runFleetTest(t, 5, func(fleet *fleet) {
			fleet.submitFor(2 * time.Second)
			requestedAt := fleet.requestDrain("b")
			fleet.submitFor(drainBound)
			fleet.wantDrained(fleet.hostNames, "b")
			fleet.submitFor(4 * time.Second)
			fleet.wantNoStarts("b", requestedAt.Add(drainBound))
			fleet.awaitJobs(fleet.hostNames[0], 5*time.Second)
		})
	})
	t.Run("throughDelegates", func(t *testing.T) {
		runFleet(t, 6, 1, func(fleet *fleet) {
			fleet.submitFor(2 * time.Second)
			requestedAt := fleet.requestDrain("c")
			fleet.submitFor(drainBound + 4*time.Second)
			fleet.wantNoStarts("c", requestedAt.Add(drainBound))
			fleet.awaitJobs(fleet.hostNames[0], 5*time.Second)
		})
	})
	t.Run("withdrawn", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			fleet.requestDrain("b")
			fleet.submitFor(drainBound)
			fleet.withdrawDrain("b")
			withdrawnAt := time.Now()
			fleet.submitFor(drainBound)
			fleet.wantDrained(fleet.hostNames)
			if fleet.startsIn("b", withdrawnAt) == 0 {
				fleet.Error("no task starts in the zone after its return")
			}
		})
	})
	t.Run("lastRunIsLogged", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			for _, worker := range fleet.workers {
				worker.RunTime = 4 * time.Second
			}
			for number := range 32 { // fills the fleet
				fleet.submitJob(fleet.hostNames[number%4], number)
			}
			time.Sleep(500 * time.Millisecond)
			if fleet.startsIn("b", time.Time{}) == 0 {
				fleet.Error("no task runs in zone b")
			}
			fleet.requestDrain("b")
			time.Sleep(2 * time.Second)
			if count := fleet.logged.count("drained zone is empty"); count != 0 {
				fleet.Errorf("zone b counts as empty while tasks run there")
			}
			time.Sleep(6 * time.Second)
			if count := fleet.logged.count("drained zone is empty"); count != 1 {
				fleet.Errorf("%d lines that the zone is empty, want 1", count)
			}
			fleet.awaitJobs(fleet.hostNames[0], 20*time.Second)
		})
	})
	t.Run("allZones", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			var requestedAt time.Time
			for _, zone := range []string{"a", "b", "c"} {
				requestedAt = fleet.requestDrain(zone)
			}
			time.Sleep(drainBound)
			answer := fleet.call("POST", fleet.hostNames[1], fleetPathPrefix+jobID(1), fleetKey, twoStepJob)
			if answer.status != http.StatusServiceUnavailable || answer.retryAfter == "" {
				fleet.Errorf("answer %+v while all zones are drained, want 503 with a Retry-After", answer)
			}
			for _, zone := range []string{"a", "b", "c"} {
				fleet.wantNoStarts(zone, requestedAt)
				fleet.withdrawDrain(zone)
			}
			time.Sleep(time.Second)
			fleet.submitJob(fleet.hostNames[1], 1)
			fleet.awaitJobs(fleet.hostNames[1], 5*time.Second)
		})
	})
}

// TestFleetDrainHostFailures checks that requests outlast the hosts.
func TestFleetDrainHostFailures(t *testing.T) {
	t.Run("takeover", func(t *testing.T) {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond, time.Second} { // from the request to the failure
			runFleetTest(t, 4, func(fleet *fleet) {
				fleet.submitFor(time.Second)
				requestedAt := fleet.requestDrain("b")
				time.Sleep(delay)
				fleet.killHost(fleet.decidingHost())
				fleet.submitFor(drainBound + 4*time.Second)
				fleet.wantNoStarts("b", requestedAt.Add(drainBound))
			})
		}
	})
	t.Run("allHostsLost", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			requestedAt := fleet.requestDrain("b")
			fleet.submitFor(drainBound)
			fleet.restartAll()
			fleet.submitFor(8 * time.Second)
			fleet.wantNoStarts("b", requestedAt.Add(drainBound))
			fleet.wantDrained(fleet.hostNames, "b")
			if len(fleet.acceptedJobs) == 0 {
				fleet.Error("no job was accepted")
			}
		})
	})
	t.Run("historyForgottenAndAllHostsLost", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			requestedAt := fleet.requestDrain("b")
			fleet.requestDrain("c")
			fleet.withdrawDrain("c")
			time.Sleep(drainBound)
			fleet.store.Compact(emulator.OperatorTopic)
			fleet.restartAll()
			fleet.submitFor(8 * time.Second)
			fleet.wantNoStarts("b", requestedAt.Add(drainBound))
			fleet.wantDrained(fleet.hostNames, "b")
		})
	})
}

// TestFleetDrainStoreFailures checks that hosts without the store learn the state from their peers.
func TestFleetDrainStoreFailures(t *testing.T) {
	t.Run("deciderCutFromStore", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			decider := fleet.decidingHost()
			heal := fleet.fabric.Cut([]string{decider}, []string{"store"})
			time.Sleep(100 * time.Millisecond)
			requestedAt := fleet.requestDrain("b")
			time.Sleep(500 * time.Millisecond) // a peer hears of it and sends one heartbeat
			fleet.wantDrained([]string{decider}, "b")
			fleet.submitFor(drainBound + 4*time.Second)
			fleet.wantDrained(fleet.hostNames, "b")
			fleet.wantNoStarts("b", requestedAt.Add(drainBound))
			heal()
		})
	})
	t.Run("allButOneCutFromStore", func(t *testing.T) {
		runFleetTest(t, 5, func(fleet *fleet) {
			heal := fleet.fabric.Cut(fleet.hostNames[1:], []string{"store"})
			requestedAt := fleet.requestDrain("b")
			fleet.submitFor(drainBound)
			fleet.wantDrained(fleet.hostNames, "b")
			fleet.withdrawDrain("b")
			fleet.requestDrain("c")
			fleet.submitFor(drainBound)
			fleet.wantDrained(fleet.hostNames, "c")
			heal()
			fleet.wantNoStarts("c", requestedAt.Add(2*drainBound))
		})
	})
	// Guards against a request that stays in force on a host that cannot read its withdrawal, while all other hosts have started
	// after it.
	t.Run("withdrawalFromHostsThatStartedAfterIt", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			fleet.requestDrain("b")
			time.Sleep(drainBound)
			decider := fleet.decidingHost()
			kept := fleet.hostNames[(slices.Index(fleet.hostNames, decider)+1)%len(fleet.hostNames)]
			heal := fleet.fabric.Cut([]string{kept}, []string{"store"})
			time.Sleep(100 * time.Millisecond)
			fleet.withdrawDrain("b")
			others := slices.DeleteFunc(slices.Clone(fleet.hostNames), func(name string) bool { return name == kept })
			fleet.fabric.Pause(kept) // so that it hears nothing before the others have restarted
			for _, name := range others {
				fleet.killHost(name)
			}
			for _, name := range others {
				fleet.startHost(name)
			}
			time.Sleep(3 * time.Second)
			fleet.fabric.Resume(kept)
			time.Sleep(drainBound)
			fleet.wantDrained(fleet.hostNames)
			heal()
		})
	})
	for name, fault := range map[string]emulator.StoreFaults{"silent": {Silent: true}, "down": {Down: true}, "slow": {Delay: 400 * time.Millisecond}} {
		t.Run("outageBetweenTwoRequests/"+name, func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) {
				first := fleet.requestDrain("a")
				fleet.submitFor(2 * time.Second)
				fleet.store.SetFaults(fault)
				fleet.submitFor(time.Second)
				second := fleet.requestDrain("b") // acknowledged, and not delivered before the outage ends
				fleet.submitFor(drainStretch)
				fleet.store.SetFaults(emulator.StoreFaults{})
				fleet.submitFor(drainBound)
				fleet.wantDrained(fleet.hostNames, "a", "b")
				fleet.withdrawDrain("a")
				fleet.submitFor(3 * time.Second)
				fleet.wantNoStarts("b", second.Add(drainBound+drainStretch))
				fleet.wantDrained(fleet.hostNames, "b")
				if fleet.startsIn("a", first.Add(drainBound)) == 0 {
					fleet.Error("no task starts in zone a after its return")
				}
			})
		})
	}
}

// TestFleetDrainUnknown checks that requests without effect have none: for a zone without workers, and for one that is
// withdrawn at once.
func TestFleetDrainUnknown(t *testing.T) {
	runFleetTest(t, 3, func(fleet *fleet) {
		fleet.requestDrain("nowhere")
		fleet.requestDrain(strings.Repeat("z", 200))
		fleet.requestDrain("b")
		fleet.withdrawDrain("b")
		fleet.submitFor(2 * time.Second)
		fleet.awaitJobs(fleet.hostNames[0], 5*time.Second)
		if fleet.startsIn("b", time.Time{}) == 0 {
			fleet.Error("no task starts in a zone whose request was withdrawn at once")
		}
	})
}

// TestFleetDrainFaults injects each fault after a request, and requests another zone while the fault lasts, directly or through
// delegates. No task may start in the first zone 5 s after its request, and none in the second 6 s later than that.
func TestFleetDrainFaults(t *testing.T) {
	for index, fault := range fleetFaults {
		delegateFrom := int64(noDelegates)
		if index%2 == 1 {
			delegateFrom = 1
		}
		t.Run(fault.name, func(t *testing.T) {
			runFleet(t, 6, delegateFrom, func(fleet *fleet) {
				fleet.submitFor(time.Second)
				first := fleet.requestDrain("b")
				fleet.submitFor(time.Second)
				endFault := fault.begin(fleet)
				fleet.submitFor(500 * time.Millisecond)
				second := fleet.requestDrain("c")
				fleet.submitFor(2 * time.Second)
				endFault()
				fleet.submitFor(drainBound + drainStretch + 2*time.Second)
				fleet.wantDrained(fleet.hostNames, "b", "c")
				fleet.wantNoStarts("b", first.Add(drainBound))
				fleet.wantNoStarts("c", second.Add(drainBound+drainStretch))
				fleet.awaitJobs(fleet.hostNames[0], 40*time.Second)
			})
		})
	}
}
