package tests

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyshunt.org/standin/emulator"
)

const (
	journalTopic = "keyed.ebonyshunt-jobs"
	// undecodableMessage is logged by a decider that has restored its planner from a journal with an odd record, before it plans.
	undecodableMessage = "cannot decode journal records"
	// restoreTime is how long the restoring of a planner is held.
	restoreTime = 300 * time.Millisecond
	// configurationBound is the time after the acknowledgment of a configuration from which on it is in force.
	configurationBound = 2 * time.Second
	cappedCores        = 2000 // thousandths of a core
)

// whileRestoring calls a function while the next decider restores its planner, which is held for restoreTime meanwhile.
func (fleet *fleet) whileRestoring(change func()) {
	var once sync.Once
	fleet.logged.holdAt(func(message string) {
		if message == undecodableMessage {
			once.Do(func() {
				change()
				time.Sleep(restoreTime)
			})
		}
	})
}

// mostRunning returns the largest number of tasks of a job that ran right after one of its starts after a time.
func (fleet *fleet) mostRunning(job string, after time.Time) int {
	most := 0
	for _, started := range fleet.runsOf(job) {
		if started.At.Before(after) {
			continue
		}
		running := 0
		for _, run := range fleet.runsOf(job) {
			if !run.At.After(started.At) && (run.Ended.IsZero() || run.Ended.After(started.At)) {
				running++
			}
		}
		most = max(most, running)
	}
	return most
}

func (fleet *fleet) runsOf(job string) []emulator.RunRecord {
	var runs []emulator.RunRecord
	for _, worker := range fleet.workers {
		for _, run := range worker.History() {
			if strings.HasPrefix(run.Task, job) {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// replaceDecider ends the deciding host in a way and returns a host that goes on.
func (fleet *fleet) replaceDecider(how string) string {
	decider := fleet.decidingHost()
	switch how {
	case "killed":
		fleet.killHost(decider)
	case "stopped":
		fleet.stopHost(decider)
	}
	return fleet.runningHost(decider)
}

// TestFleetChangeWhileRestoring guards against a configuration that arrives while a new decider restores its planner, and is in force on
// the host and not in its planner until the next one (QUOTA); and against drained zones and added routes of which the same is true.
func TestFleetChangeWhileRestoring(t *testing.T) {
	for _, how := range []string{"killed", "stopped"} {
		restoring := func(t *testing.T, change func(fleet *fleet), check func(fleet *fleet, host string, changedAt time.Time)) {
			t.Helper()
			runFleetTest(t, 4, func(fleet *fleet) {
				fleet.store.Put(journalTopic, "run/odd", []byte("{"))
				var changedAt time.Time
				fleet.whileRestoring(func() {
					change(fleet)
					changedAt = time.Now()
				})
				host := fleet.replaceDecider(how)
				time.Sleep(configurationBound + restoreTime)
				if changedAt.IsZero() {
					t.Fatal("no host has restored a planner")
				}
				check(fleet, host, changedAt)
			})
		}
		t.Run(how+"/lowerCap", func(t *testing.T) {
			restoring(t, func(fleet *fleet) { fleet.publishCap(cappedCores) }, func(fleet *fleet, host string, changedAt time.Time) {
				job := `{"spec":"s","steps":[{"count":12,"cpu":1000,"memMb":10,"estimateMs":1000}]}`
				if answer := fleet.call("POST", host, fleetPathPrefix+jobID(1), fleetKey, job); answer.status != http.StatusOK {
					t.Fatalf("the job is answered %+v", answer)
				}
				time.Sleep(3 * time.Second)
				if most := fleet.mostRunning(jobID(1), changedAt.Add(configurationBound)); most == 0 || most > cappedCores/1000+1 {
					t.Errorf("%d tasks of a core run, want 1 to %d", most, cappedCores/1000+1)
				}
			})
		})
		t.Run(how+"/addedRoute", func(t *testing.T) {
			restoring(t, func(fleet *fleet) { fleet.publishRoute("/added/") }, func(fleet *fleet, host string, _ time.Time) {
				if answer := fleet.call("POST", host, "/added/"+jobID(1), fleetKey, twoStepJob); answer.status != http.StatusOK {
					t.Errorf("a job for the added route is answered %+v", answer)
				}
			})
		})
		t.Run(how+"/drainedZone", func(t *testing.T) {
			restoring(t, func(fleet *fleet) { fleet.store.RequestDrain("b") }, func(fleet *fleet, host string, changedAt time.Time) {
				job := `{"spec":"s","steps":[{"count":60,"cpu":1000,"memMb":10,"estimateMs":1000}]}` // all zones together have room for it
				if answer := fleet.call("POST", host, fleetPathPrefix+jobID(1), fleetKey, job); answer.status != http.StatusOK {
					t.Fatalf("the job is answered %+v", answer)
				}
				time.Sleep(500 * time.Millisecond)
				if len(fleet.runsOf(jobID(1))) == 0 {
					t.Error("no task of the job started")
				}
				fleet.wantNoStarts("b", changedAt.Add(configurationBound))
			})
		})
	}
}

// TestFleetChangeWhileRestoringTwice is the same for a takeover within the first one.
func TestFleetChangeWhileRestoringTwice(t *testing.T) {
	runFleetTest(t, 4, func(fleet *fleet) {
		fleet.store.Put(journalTopic, "run/odd", []byte("{"))
		first := fleet.decidingHost()
		fleet.whileRestoring(func() { fleet.publishCap(cappedCores) })
		fleet.killHost(first)
		time.Sleep(restoreTime)
		for fleet.decidingHost() == "" {
			time.Sleep(10 * time.Millisecond)
		}
		fleet.whileRestoring(func() { fleet.publishCap(2 * cappedCores) })
		changedAt := time.Now()
		host := fleet.replaceDecider("killed")
		time.Sleep(configurationBound + restoreTime)
		job := `{"spec":"s","steps":[{"count":12,"cpu":1000,"memMb":10,"estimateMs":1000}]}`
		if answer := fleet.call("POST", host, fleetPathPrefix+jobID(1), fleetKey, job); answer.status != http.StatusOK {
			t.Fatalf("the job is answered %+v", answer)
		}
		time.Sleep(3 * time.Second)
		if most := fleet.mostRunning(jobID(1), changedAt); most == 0 || most > 2*cappedCores/1000+1 {
			t.Errorf("%d tasks of a core run, want 1 to %d", most, 2*cappedCores/1000+1)
		}
	})
}

// publishCap publishes a configuration in which the customer has a cap, in thousandths of a core.
func (fleet *fleet) publishCap(cores int) {
	configuration := fleet.nextConfiguration()
	configuration["tenants"] = []map[string]any{{"name": "wardens", "apiKeys": fleet.apiKeys, "weight": 1000, "cap": map[string]any{"cpu": cores}}}
	fleet.store.PutConfiguration(configuration)
}

// publishRoute publishes a configuration with one more route.
func (fleet *fleet) publishRoute(prefix string) {
	configuration := fleet.nextConfiguration()
	if routes, found := configuration["routes"].([]map[string]any); found {
		added := map[string]any{"name": "added", "pathPrefix": prefix, "service": "survey", "priority": 0, "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 500}
		configuration["routes"] = append(routes, added)
	}
	fleet.store.PutConfiguration(configuration)
}
