package tests

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestFleetTakeover limits the time from the loss of the decider until a job submitted then is completed.
func TestFleetTakeover(t *testing.T) {
	for _, test := range []struct {
		name  string
		lose  func(fleet *fleet, name string)
		bound time.Duration
	}{
		{"killed", func(fleet *fleet, name string) { fleet.killHost(name) }, 1400 * time.Millisecond},
		{"silent", func(fleet *fleet, name string) { fleet.fabric.Pause(name) }, 1400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) {
				formerDecider := fleet.decidingHost()
				test.lose(fleet, formerDecider)
				failedAt := time.Now()
				other := fleet.hostNames[(slices.Index(fleet.hostNames, formerDecider)+1)%len(fleet.hostNames)]
				fleet.submitJob(other, 1)
				fleet.awaitJobs(other, 10*time.Second)
				took := time.Since(failedAt) - 250*time.Millisecond // 200 ms of it is the run time of the job
				t.Logf("%s: a job is completed %v after the loss", test.name, took)
				if took > test.bound {
					t.Errorf("took %v, the bound for urgent work is %v", took, test.bound)
				}
				fleet.fabric.Resume(formerDecider)
			})
		})
	}
}

// TestFleetTakeoverOfStrongest loses a decider that has ten times the capacity of the other hosts. They must not wait
// for it to campaign.
func TestFleetTakeoverOfStrongest(t *testing.T) {
	const bound = 1400 * time.Millisecond
	runFleetTest(t, 4, func(fleet *fleet) {
		strongest := fleet.hostNames[0]
		fleet.killHost(strongest)
		fleet.shares = map[string]float64{strongest: 10}
		fleet.startHost(strongest)
		time.Sleep(10 * time.Second)
		if decider := fleet.decidingHost(); decider != strongest {
			fleet.Fatalf("%s decides, want the strongest host", decider)
		}
		fleet.killHost(strongest)
		failedAt := time.Now()
		fleet.submitJob(fleet.hostNames[1], 1)
		fleet.awaitJobs(fleet.hostNames[1], 10*time.Second)
		took := time.Since(failedAt) - 250*time.Millisecond // 200 ms of it is the run time of the job
		t.Logf("a job is completed %v after the loss", took)
		if took > bound {
			t.Errorf("took %v, the bound for urgent work is %v", took, bound)
		}
	})
}

// TestFleetAllLost kills all hosts at once, together with the worker that runs a standing task. The task must run on
// another worker once its last lease has expired, since no process is left that could renew it.
func TestFleetAllLost(t *testing.T) {
	const standingJob = `{"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":10,"longRunning":true}]}`
	const maxLeaseWait = 6500 * time.Millisecond // a lease of 6 s on a clock that is 2 % slow, plus a safety margin
	runFleetTest(t, 4, func(fleet *fleet) {
		for _, worker := range fleet.workers {
			worker.RunTime = time.Hour
		}
		if answer := fleet.call("POST", fleet.hostNames[0], fleetPathPrefix+jobID(1), fleetKey, standingJob); answer.status != http.StatusOK {
			fleet.Fatalf("standing job: status %d, want 200", answer.status)
		}
		time.Sleep(20 * time.Second)
		lostWorker, runNumber := fleet.latestRun()
		if runNumber == 0 {
			fleet.Fatal("the standing task does not run")
		}
		fleet.fabric.Kill(lostWorker)
		for _, worker := range fleet.workers {
			if worker.ID == lostWorker {
				worker.Restart() // ends its runs; the worker stays unreachable
			}
		}
		for _, name := range fleet.hostNames {
			fleet.killHost(name)
		}
		for _, name := range fleet.hostNames {
			fleet.startHost(name)
		}
		restartedAt := time.Now()
		for {
			if worker, number := fleet.latestRun(); worker != lostWorker && number > 1 {
				break
			}
			if time.Since(restartedAt) > time.Minute {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(restartedAt); took > maxLeaseWait+time.Second { // a second for the election
			fleet.Errorf("the task ran on another worker after %v, its leases had expired after %v", took, maxLeaseWait)
		}
	})
}

// TestFleetRestartOnRecords ends all hosts at once while tasks run, of which those on one worker can no longer be reached,
// and starts them on the records in the store. It guards against jobs that are left running for good, also if their
// tasks take up to 80 times what they declare.
func TestFleetRestartOnRecords(t *testing.T) {
	const jobs, timeout = 12, 3 * time.Minute
	for _, runTime := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(runTime.String(), func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) {
				for _, worker := range fleet.workers {
					worker.RunTime = runTime
				}
				for number := range jobs {
					fleet.submitJob(fleet.hostNames[number%len(fleet.hostNames)], number)
				}
				fleet.fabric.Cut([]string{"w-0"}, append(slices.Clone(fleet.hostNames), "store"))
				time.Sleep(time.Second)
				for _, name := range fleet.hostNames {
					fleet.killHost(name)
				}
				for _, name := range fleet.hostNames {
					fleet.startHost(name)
				}
				fleet.awaitJobs(fleet.hostNames[1], timeout)
			})
		})
	}
}

// latestRun returns the run with the highest number: its worker and its number, which is 0 if there was no run.
func (fleet *fleet) latestRun() (string, int) {
	worker, number := "", 0
	for _, candidate := range fleet.workers {
		for _, run := range candidate.History() {
			if run.Run > number {
				worker, number = candidate.ID, run.Run
			}
		}
	}
	return worker, number
}

// TestFleetDeposed queries a former decider that lost its connection to the store while another host decides. It
// must not answer 410 for jobs that the new decider accepted, and must stop deciding.
func TestFleetDeposed(t *testing.T) {
	checkNoJobMissing := func(fleet *fleet, formerDecider string, cutFrom []string) {
		heal := fleet.fabric.Cut([]string{formerDecider}, cutFrom)
		other := fleet.hostNames[(slices.Index(fleet.hostNames, formerDecider)+1)%len(fleet.hostNames)]
		for number := range 12 {
			fleet.submitJob(other, number)
			path := fleetPathPrefix + jobID(number)
			for _, method := range []string{"GET", "DELETE"} {
				if answer := fleet.call(method, formerDecider, path, fleetKey, ""); answer.status == http.StatusGone {
					fleet.Errorf("after %d jobs the former decider answers 410 for job %d", number, number)
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		heal()
	}
	t.Run("cutFromTheStore", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			formerDecider := fleet.decidingHost()
			checkNoJobMissing(fleet, formerDecider, []string{"store"})
			if fleet.decidingHost() == formerDecider {
				fleet.Error("the former decider still decides")
			}
		})
	})
	t.Run("cutFromTheStoreAndItsPeers", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			formerDecider := fleet.decidingHost()
			others := slices.DeleteFunc(slices.Clone(fleet.hostNames), func(name string) bool { return name == formerDecider })
			checkNoJobMissing(fleet, formerDecider, append(others, "store"))
		})
	})
	t.Run("idleThenReconnectedToPeersOnly", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			formerDecider := fleet.decidingHost()
			others := slices.DeleteFunc(slices.Clone(fleet.hostNames), func(name string) bool { return name == formerDecider })
			healStore := fleet.fabric.Cut([]string{formerDecider}, []string{"store"})
			healPeers := fleet.fabric.Cut([]string{formerDecider}, others)
			time.Sleep(6 * time.Second)
			healPeers()
			time.Sleep(4 * time.Second)
			if fleet.hosts[formerDecider].Deciding() {
				fleet.Error("the former decider still decides")
			}
			healStore()
		})
	})
	t.Run("learnsFromPeersWhileCutFromTheStore", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			formerDecider := fleet.decidingHost()
			heal := fleet.fabric.Cut([]string{formerDecider}, []string{"store"})
			fleet.submitJob(fleet.runningHost(formerDecider), 1)
			time.Sleep(4 * time.Second)
			if fleet.hosts[formerDecider].Deciding() {
				fleet.Error("the former decider still decides")
			}
			heal()
		})
	})
}
