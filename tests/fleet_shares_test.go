package tests

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	otherTeamKey = "others-key"
	holdingJob   = 1
	otherJob     = 2
	// maxShareDelay is the time until a team has its share: some seconds, and not the minute that the other team's tasks take.
	maxShareDelay = 6 * time.Second
)

// TestFleetShares guards against a team whose long tasks hold all workers while another team of the same priority waits.
func TestFleetShares(t *testing.T) {
	t.Run("roomIsGivenBack", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) { fleet.runTwoTeams(func() {}, maxShareDelay) })
	})
	t.Run("roomIsGivenBackAcrossATakeover", func(t *testing.T) {
		runFleetTest(t, 3, func(fleet *fleet) {
			fleet.runTwoTeams(func() { fleet.killHost(fleet.decidingHost()) }, maxShareDelay+5*time.Second)
		})
	})
}

// runTwoTeams lets one team hold all workers with tasks of a minute, submits a job of another team that needs half of the
// workers, calls disturb, and checks that the job is completed in time.
func (fleet *fleet) runTwoTeams(disturb func(), limit time.Duration) {
	fleet.Helper()
	fleet.addOtherTeam()
	for _, worker := range fleet.workers {
		worker.Simulate = func(task string, _ int) (time.Duration, string) {
			if strings.HasPrefix(task, jobID(holdingJob)) {
				return time.Minute, "done"
			}
			return 500 * time.Millisecond, "done"
		}
	}
	fleet.submitWithKey(fleetKey, holdingJob, `{"spec":"s","steps":[{"count":16,"cpu":8000,"memMb":10,"estimateMs":60000,"checkpointing":true}]}`)
	time.Sleep(3 * time.Second)
	fleet.submitWithKey(otherTeamKey, otherJob, `{"spec":"s","steps":[{"count":6,"cpu":8000,"memMb":10,"estimateMs":500}]}`)
	disturb()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if fleet.call("GET", fleet.runningHost(fleet.hostNames[1]), fleetPathPrefix+jobID(otherJob), otherTeamKey, "").state == "completed" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !time.Now().Before(deadline) {
		fleet.Errorf("the other team's job is not completed after %v", limit)
	}
	if count := fleet.logged.count("run stopped to give room back"); count < 1 || count > 6 {
		fleet.Errorf("%d runs were given back, want 1 to 6", count)
	}
}

// addOtherTeam adds a team to the configuration, and restarts all hosts with shares of each service.
func (fleet *fleet) addOtherTeam() {
	fleet.Helper()
	document := fleet.nextConfiguration()
	document["tenants"] = append(document["tenants"].([]map[string]any), map[string]any{"name": "others", "apiKeys": []string{otherTeamKey}, "weight": 1000})
	fleet.store.PutConfiguration(document)
	fleet.poolShares = true
	for _, name := range fleet.hostNames {
		fleet.hosts[name].Close()
		fleet.startHost(name)
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
}

// submitWithKey submits a job with a team's key.
func (fleet *fleet) submitWithKey(key string, number int, body string) {
	fleet.Helper()
	if answer := fleet.call("POST", fleet.hostNames[0], fleetPathPrefix+jobID(number), key, body); answer.status != http.StatusOK {
		fleet.Fatalf("submission of job %d was answered %d", number, answer.status)
	}
}
