package tests

import (
	"bytes"
	"net/http"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/platform/translator"
	"ebonyshunt.org/standin/emulator"
)

// TestFleetPath submits, queries and cancels jobs through every host without faults, and checks the status codes of
// refused calls.
func TestFleetPath(t *testing.T) {
	t.Run("jobsOfTwoSteps", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			for number := range 20 {
				fleet.submitJob(fleet.hostNames[number%4], number)
			}
			fleet.awaitJobs(fleet.hostNames[1], 10*time.Second)
		})
	})
	t.Run("answers", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) {
			path := fleetPathPrefix + jobID(1)
			cases := []struct {
				name, method, path, key, body string
				status                        int
			}{
				{"unknownKey", "POST", path, "other", twoStepJob, 401},
				{"unknownQueue", "POST", "/other/" + jobID(1), fleetKey, twoStepJob, 404},
				{"unknownJob", "GET", path, fleetKey, "", 410},
				{"cancelOfUnknownJob", "DELETE", path, fleetKey, "", 410},
				{"shortID", "POST", fleetPathPrefix + "12", fleetKey, twoStepJob, 404},
				{"noJSON", "POST", path, fleetKey, "{", 400},
				{"noSteps", "POST", path, fleetKey, `{"spec":"s","steps":[]}`, 400},
				{"noTasks", "POST", path, fleetKey, `{"spec":"s","steps":[{"count":0}]}`, 400},
				{"dependsOnLaterStep", "POST", path, fleetKey, `{"spec":"s","steps":[{"count":1,"dependsOn":[1]},{"count":1}]}`, 400},
				{"dependsOnItself", "POST", path, fleetKey, `{"spec":"s","steps":[{"count":1,"dependsOn":[0]}]}`, 400},
				{"tooLarge", "POST", path, fleetKey, `{"spec":"` + string(bytes.Repeat([]byte("x"), 5000)) + `"}`, 413},
				{"pending", "GET", fleetPathPrefix, fleetKey, "", 200},
			}
			for _, test := range cases {
				if answer := fleet.call(test.method, fleet.hostNames[1], test.path, test.key, test.body); answer.status != test.status {
					fleet.Errorf("%s: status %d, want %d", test.name, answer.status, test.status)
				}
			}
		})
	})
	t.Run("sameJobThroughTwoHosts", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) {
			answers := make(chan fleetAnswer, 3)
			for _, name := range fleet.hostNames {
				go func() { answers <- fleet.call("POST", name, fleetPathPrefix+jobID(1), fleetKey, twoStepJob) }()
			}
			for range fleet.hostNames {
				if answer := <-answers; answer.status != http.StatusOK {
					fleet.Errorf("status %d, want 200", answer.status)
				}
			}
			fleet.acceptedJobs = []string{jobID(1)}
			fleet.awaitJobs(fleet.hostNames[0], 5*time.Second)
		})
	})
	t.Run("cancel", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) {
			for _, worker := range fleet.workers {
				worker.RunTime = time.Hour
			}
			fleet.submitJob(fleet.hostNames[0], 1)
			time.Sleep(time.Second)
			if answer := fleet.call("DELETE", fleet.hostNames[1], fleetPathPrefix+jobID(1), fleetKey, ""); answer.status != http.StatusOK {
				fleet.Errorf("status %d, want 200", answer.status)
			}
			time.Sleep(time.Second)
			if answer := fleet.call("GET", fleet.hostNames[2], fleetPathPrefix+jobID(1), fleetKey, ""); answer.state != "cancelled" { //nolint:misspell // the platform's spelling
				fleet.Errorf("state %q after the job was canceled", answer.state)
			}
			for _, worker := range fleet.workers {
				for _, run := range worker.History() {
					if run.Ended.IsZero() {
						fleet.Errorf("%s still runs", run.Task)
					}
				}
			}
		})
	})
}

// fleetFaults are the faults that are injected while jobs are submitted. Each begin returns the function that ends
// its fault.
var fleetFaults = []struct {
	name  string
	begin func(fleet *fleet) (end func())
}{
	{"deciderKilled", func(fleet *fleet) func() {
		name := fleet.decidingHost()
		fleet.killHost(name)
		return func() { fleet.startHost(name) }
	}},
	{"deciderPaused", func(fleet *fleet) func() {
		name := fleet.decidingHost()
		fleet.fabric.Pause(name)
		return func() { fleet.fabric.Resume(name) }
	}},
	{"deciderCutFromStore", func(fleet *fleet) func() {
		return fleet.fabric.Cut([]string{fleet.decidingHost()}, []string{"store"})
	}},
	{"deciderCutFromPeers", func(fleet *fleet) func() {
		decider := fleet.decidingHost()
		others := slices.DeleteFunc(slices.Clone(fleet.hostNames), func(name string) bool { return name == decider })
		return fleet.fabric.Cut([]string{decider}, others)
	}},
	{"deciderCutFromSomeWorkers", func(fleet *fleet) func() {
		return fleet.fabric.Cut([]string{fleet.decidingHost()}, []string{"w-0", "w-1"})
	}},
	{"deciderStops", func(fleet *fleet) func() {
		name := fleet.decidingHost()
		fleet.stopHost(name)
		return func() { fleet.startHost(name) }
	}},
	{"allHostsKilled", func(fleet *fleet) func() {
		for _, name := range fleet.hostNames {
			fleet.killHost(name)
		}
		return func() {
			for _, name := range fleet.hostNames {
				fleet.startHost(name)
			}
		}
	}},
	{"storeDown", storeFault(emulator.StoreFaults{Down: true})},
	{"storeSilent", storeFault(emulator.StoreFaults{Silent: true})},
	{"storeSlow", storeFault(emulator.StoreFaults{Delay: 300 * time.Millisecond})},
	{"storeLosesAnswers", storeFault(emulator.StoreFaults{LoseEvery: 3})},
	{"storeTakesAppendsLate", storeFault(emulator.StoreFaults{LateEvery: 3, LateBy: 2 * time.Second})},
	{"historyForgotten", func(fleet *fleet) func() {
		for _, topic := range []string{emulator.OperatorTopic, emulator.WorkersTopic, string(translator.Fleet)} {
			fleet.store.Compact(topic)
		}
		return func() {}
	}},
	{"workersLoseAnswers", workerFault(emulator.WorkerFaults{LoseEvery: 4})},
	{"workersTakeOrdersLate", workerFault(emulator.WorkerFaults{LateEvery: 4, LateBy: 3 * time.Second})},
	{"workerFailsAll", func(fleet *fleet) func() {
		fleet.workers[0].SetFaults(emulator.WorkerFaults{FailAll: true})
		return func() { fleet.workers[0].SetFaults(emulator.WorkerFaults{}) }
	}},
	{"workerRestarts", func(fleet *fleet) func() {
		fleet.workers[0].Restart()
		return func() { fleet.workers[1].Restart() }
	}},
	{"workerCutOff", func(fleet *fleet) func() {
		return fleet.fabric.Cut([]string{"w-0"}, append(slices.Clone(fleet.hostNames), "store"))
	}},
	{"unreadableEntry", func(fleet *fleet) func() {
		fleet.store.Put(emulator.WorkersTopic, "w-x", []byte("{"))
		fleet.store.Put(emulator.WorkersTopic, "w-y", []byte(`{"service":"survey","state":"odd","address":"10.8.0.1:80"}`))
		fleet.store.Put(string(translator.Fleet), "decider", []byte(`{"term":"x"}`))
		return func() {}
	}},
}

func storeFault(faults emulator.StoreFaults) func(*fleet) func() {
	return func(fleet *fleet) func() {
		fleet.store.SetFaults(faults)
		return func() { fleet.store.SetFaults(emulator.StoreFaults{}) }
	}
}

func workerFault(faults emulator.WorkerFaults) func(*fleet) func() {
	return func(fleet *fleet) func() {
		for _, worker := range fleet.workers {
			worker.SetFaults(faults)
		}
		return func() {
			for _, worker := range fleet.workers {
				worker.SetFaults(emulator.WorkerFaults{})
			}
		}
	}
}

// TestFleetFaults submits jobs before, during and after each fault, alone and together with the fault five entries
// on. All accepted jobs must complete, and no task may run twice.
func TestFleetFaults(t *testing.T) {
	for index, fault := range fleetFaults {
		t.Run(fault.name, func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) { fleet.submitUnderFaults(fault.begin) })
		})
		next := fleetFaults[(index+5)%len(fleetFaults)]
		t.Run(fault.name+"+"+next.name, func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) { fleet.submitUnderFaults(fault.begin, next.begin) })
		})
	}
}

// TestFleetDelegatesCarryCalls cuts the decider off from all workers, but not from the other hosts. Jobs must complete,
// since start orders and polls go through these.
func TestFleetDelegatesCarryCalls(t *testing.T) {
	runFleet(t, 6, 1, func(fleet *fleet) {
		fleet.submitJob(fleet.hostNames[0], 1)
		fleet.awaitJobs(fleet.hostNames[0], 10*time.Second)
		var workers []string
		for _, worker := range fleet.workers {
			workers = append(workers, worker.ID)
		}
		decider := fleet.decidingHost()
		heal := fleet.fabric.Cut([]string{decider}, workers)
		fleet.submitJob(fleet.hostNames[0], 2)
		fleet.awaitJobs(fleet.hostNames[0], 2*time.Second)
		if other := fleet.decidingHost(); other != decider {
			fleet.Errorf("%s decides by now, want %s", other, decider)
		}
		heal()
	})
}

// TestFleetDelegates is TestFleetFaults for a decider that reaches its workers through other hosts of their zones.
func TestFleetDelegates(t *testing.T) {
	for index, fault := range fleetFaults {
		t.Run(fault.name, func(t *testing.T) {
			runFleet(t, 6, 1, func(fleet *fleet) { fleet.submitUnderFaults(fault.begin) })
		})
		next := fleetFaults[(index+7)%len(fleetFaults)]
		t.Run(fault.name+"+"+next.name, func(t *testing.T) {
			runFleet(t, 6, 1, func(fleet *fleet) { fleet.submitUnderFaults(fault.begin, next.begin) })
		})
	}
}

// submitUnderFaults submits jobs, injects the faults, submits jobs while they last, which is 2 s, and submits jobs
// after they ended. It then waits until all are completed.
func (fleet *fleet) submitUnderFaults(faults ...func(*fleet) func()) {
	for number := range 8 {
		fleet.submitJob(fleet.hostNames[number%len(fleet.hostNames)], number)
	}
	var endFaults []func()
	for _, inject := range faults {
		if fleet.decidingHost() == "" {
			time.Sleep(2 * time.Second)
		}
		endFaults = append(endFaults, inject(fleet))
	}
	time.AfterFunc(2*time.Second, func() {
		for _, endFault := range slices.Backward(endFaults) {
			endFault()
		}
	})
	time.Sleep(100 * time.Millisecond)
	for number := range 8 {
		fleet.submitJob(fleet.runningHost(fleet.hostNames[number%len(fleet.hostNames)]), 100+number)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for number := range 4 {
		fleet.submitJob(fleet.hostNames[number], 200+number)
	}
	fleet.awaitJobs(fleet.hostNames[1], 40*time.Second)
}

// TestFleetConfiguration checks that every host applies a new version of the configuration and never an older one.
func TestFleetConfiguration(t *testing.T) {
	statuses := func(fleet *fleet, key string) []int {
		var found []int
		for _, name := range fleet.hostNames {
			found = append(found, fleet.call("GET", name, fleet.pathPrefix+jobID(7), key, "").status)
		}
		return found
	}
	wantStatus := func(fleet *fleet, key string, code int) {
		fleet.Helper()
		for index, found := range statuses(fleet, key) {
			if found != code {
				fleet.Errorf("%s answers %d, want %d", fleet.hostNames[index], found, code)
			}
		}
	}
	t.Run("keyIsWithdrawn", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			fleet.apiKeys = []string{"new"}
			fleet.publishConfiguration()
			time.Sleep(500 * time.Millisecond)
			wantStatus(fleet, fleetKey, 401)
			wantStatus(fleet, "new", 410)
		})
	})
	t.Run("hostCutFromTheStoreLearnsFromPeers", func(t *testing.T) {
		runFleetTest(t, 4, func(fleet *fleet) {
			heal := fleet.fabric.Cut([]string{"entry-b-0"}, []string{"store"})
			time.Sleep(time.Second)
			fleet.apiKeys = []string{"new"}
			fleet.publishConfiguration()
			time.Sleep(1500 * time.Millisecond)
			wantStatus(fleet, fleetKey, 401)
			heal()
		})
	})
	t.Run("olderVersionIsIgnored", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) {
			formerVersion := fleet.configVersion
			fleet.apiKeys = []string{"new"}
			fleet.publishConfiguration()
			time.Sleep(500 * time.Millisecond)
			fleet.configVersion, fleet.apiKeys = formerVersion-4, []string{fleetKey}
			fleet.publishConfiguration()
			time.Sleep(500 * time.Millisecond)
			wantStatus(fleet, fleetKey, 401)
		})
	})
	t.Run("pathPrefixOfRouteChanges", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) {
			fleet.pathPrefix = "/rebuilt/"
			fleet.publishConfiguration()
			time.Sleep(500 * time.Millisecond)
			wantStatus(fleet, fleetKey, 410)
			fleet.pathPrefix = fleetPathPrefix
			wantStatus(fleet, fleetKey, 404)
		})
	})
}

// TestFleetStoreCut disconnects the decider from the store, which its peers still reach. Jobs submitted meanwhile
// must be completed within their objective, and another host must become the decider.
func TestFleetStoreCut(t *testing.T) {
	const objective = 900 * time.Millisecond // stretch 2 times the 200 ms of two steps, plus the route's target latency of 500 ms
	checkCut := func(t *testing.T, cutHosts int) {
		runFleetTest(t, 5, func(fleet *fleet) {
			formerDecider := fleet.decidingHost()
			disconnected := []string{formerDecider}
			for _, name := range slices.Sorted(slices.Values(fleet.hostNames)) { // the order in which the decider tries its peers
				if name != formerDecider && len(disconnected) < cutHosts {
					disconnected = append(disconnected, name)
				}
			}
			heal := fleet.fabric.Cut(disconnected, []string{"store"})
			for number := range 10 {
				if took := fleet.measureJob(fleet.hostNames[number%5], number); took > objective {
					fleet.Errorf("job %d took %v, its objective is %v", number, took, objective)
				}
			}
			if slices.Contains(disconnected, fleet.decidingHost()) {
				fleet.Error("a host that is cut off from the store still decides")
			}
			heal()
		})
	}
	t.Run("decider", func(t *testing.T) { checkCut(t, 1) })
	t.Run("deciderAndTwoPeers", func(t *testing.T) { checkCut(t, 3) })
}

// TestFleetLateAppends submits many jobs in a short time while the store applies 60 % of the appends 3 s late and
// does not answer them. A batch that reached the store before its predecessors must be sent again as soon as these
// are stored.
func TestFleetLateAppends(t *testing.T) {
	const objective = 900 * time.Millisecond
	runFleetTest(t, 4, func(fleet *fleet) {
		fleet.store.SetFaults(emulator.StoreFaults{LateShare: 0.6, LateBy: 3 * time.Second})
		fleet.checkJobLatencies(60, objective)
		if fleet.logged.count("losses of the store's answers") == 0 {
			fleet.Error("the decider has not noticed that appends are lost")
		}
	})
}

// TestFleetLostWorkerAnswers submits jobs while each worker leaves every sixth order or status query unanswered.
// Jobs must still complete in time; see checkJobLatencies.
func TestFleetLostWorkerAnswers(t *testing.T) {
	const objective = 900 * time.Millisecond
	runFleetTest(t, 4, func(fleet *fleet) {
		for _, worker := range fleet.workers {
			worker.SetFaults(emulator.WorkerFaults{MuteEvery: 6})
		}
		fleet.checkJobLatencies(60, objective)
	})
}

// checkJobLatencies submits a job every 10 ms. At least half of the jobs must meet their objective, and none may
// take more than three times as long, after which a job has no value for its caller.
func (fleet *fleet) checkJobLatencies(jobs int, objective time.Duration) {
	fleet.Helper()
	latencies := make(chan time.Duration)
	for number := range jobs {
		go func() {
			time.Sleep(time.Duration(number) * 10 * time.Millisecond)
			latencies <- fleet.measureJob(fleet.hostNames[number%len(fleet.hostNames)], number)
		}()
	}
	missed := 0
	for range jobs {
		took := <-latencies
		if took > objective {
			missed++
		}
		if took > 3*objective {
			fleet.Errorf("a job took %v, its objective is %v", took, objective)
		}
	}
	if 2*missed > jobs {
		fleet.Errorf("%d of %d jobs missed their objective", missed, jobs)
	}
}

// measureJob submits a job once and returns the time until it is reported as completed, or more than a minute if it
// is not. A job that is refused fails the test and returns 0.
func (fleet *fleet) measureJob(host string, number int) time.Duration {
	began := time.Now()
	if answer := fleet.call("POST", host, fleetPathPrefix+jobID(number), fleetKey, twoStepJob); answer.status != http.StatusOK {
		fleet.Errorf("job %d: status %d", number, answer.status)
		return 0
	}
	for fleet.call("GET", host, fleetPathPrefix+jobID(number), fleetKey, "").state != "completed" {
		if time.Since(began) > time.Minute {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}
