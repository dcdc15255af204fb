package tests

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Keys and queues of TestFleetForeignCalls.
const (
	otherCustomerKey = "other-key"
	secondQueue      = "/rebuild/"
	publicQueue      = "/open/"
)

// publishTwoCustomers publishes a configuration with two customers, and with two queues and a public one.
func (fleet *fleet) publishTwoCustomers() {
	configuration := fleet.nextConfiguration()
	route := func(name, prefix string, public bool) map[string]any {
		return map[string]any{
			"name": name, "pathPrefix": prefix, "service": "survey", "priority": 0, "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 500, "public": public,
		}
	}
	configuration["routes"] = []map[string]any{route("checks", fleetPathPrefix, false), route("rebuild", secondQueue, false), route("open", publicQueue, true)}
	configuration["tenants"] = []map[string]any{
		{"name": "wardens", "apiKeys": fleet.apiKeys, "weight": 1000},
		{"name": "millers", "apiKeys": []string{otherCustomerKey}, "weight": 1000},
	}
	fleet.store.PutConfiguration(configuration)
	time.Sleep(time.Second)
}

// TestFleetForeignCalls guards against calls with the key of another customer, or to another queue, that know the ID of a job: a DELETE
// canceled the job, and a POST of the same ID was answered as accepted although nothing was stored. Such a call gets the answer that an ID
// gets that nobody has, and a POST learns that the ID is taken.
func TestFleetForeignCalls(t *testing.T) {
	paths := map[string]func(fleet *fleet) string{
		"decider":   func(fleet *fleet) string { return fleet.decidingHost() },
		"otherHost": func(fleet *fleet) string { return fleet.hostNames[len(fleet.hostNames)-1] },
		"successor": func(fleet *fleet) string {
			fleet.killHost(fleet.decidingHost())
			fleet.awaitDecider()
			return fleet.decidingHost()
		},
	}
	for path, hostOf := range paths {
		t.Run(path, func(t *testing.T) {
			runFleetTest(t, 4, func(fleet *fleet) {
				fleet.publishTwoCustomers()
				for _, worker := range fleet.workers {
					worker.RunTime = time.Hour
				}
				owned, open := jobID(1), jobID(2)
				for _, job := range []string{fleetPathPrefix + owned, publicQueue + open} {
					if answer := fleet.call(http.MethodPost, fleet.hostNames[0], job, fleetKey, twoStepJob); answer.status != http.StatusOK {
						fleet.Fatalf("%s: status %d, want 200", job, answer.status)
					}
				}
				time.Sleep(time.Second)
				host := hostOf(fleet)
				for _, call := range []struct {
					method, path, key string
					want              int
				}{
					{http.MethodGet, fleetPathPrefix + owned, otherCustomerKey, http.StatusGone},
					{http.MethodDelete, fleetPathPrefix + owned, otherCustomerKey, http.StatusGone},
					{http.MethodPost, fleetPathPrefix + owned, otherCustomerKey, http.StatusConflict},
					{http.MethodPost, secondQueue + owned, otherCustomerKey, http.StatusConflict},
					{http.MethodGet, secondQueue + owned, otherCustomerKey, http.StatusGone},
					{http.MethodDelete, secondQueue + owned, otherCustomerKey, http.StatusGone},
					{http.MethodPost, secondQueue + owned, fleetKey, http.StatusConflict},
					{http.MethodGet, secondQueue + owned, fleetKey, http.StatusGone},
					{http.MethodDelete, secondQueue + owned, fleetKey, http.StatusGone},
					{http.MethodDelete, publicQueue + owned, otherCustomerKey, http.StatusGone},
					{http.MethodGet, fleetPathPrefix + owned, "unknown", http.StatusUnauthorized},
					{http.MethodPost, fleetPathPrefix + owned, fleetKey, http.StatusOK},
					{http.MethodGet, publicQueue + open, otherCustomerKey, http.StatusOK},
					{http.MethodGet, publicQueue + open, "", http.StatusOK},
				} {
					if answer := fleet.call(call.method, host, call.path, call.key, twoStepJob); answer.status != call.want {
						fleet.Errorf("%s %s with key %q: status %d, want %d", call.method, call.path, call.key, answer.status, call.want)
					}
				}
				if answer := fleet.call(http.MethodGet, host, fleetPathPrefix+owned, fleetKey, ""); answer.status != http.StatusOK || answer.state != "running" {
					fleet.Errorf("the job of the customer is %+v, want it running", answer)
				}
				if answer := fleet.call(http.MethodDelete, host, fleetPathPrefix+owned, fleetKey, ""); answer.status != http.StatusOK {
					fleet.Errorf("DELETE of the customer: status %d, want 200", answer.status)
				}
			})
		})
	}
}

// TestFleetForeignCallTime checks that a call for a job of another customer is answered like one for an ID that nobody has, at the same
// cost of time.
func TestFleetForeignCallTime(t *testing.T) {
	runFleetTest(t, 4, func(fleet *fleet) {
		fleet.publishTwoCustomers()
		host := fleet.hostNames[len(fleet.hostNames)-1]
		fleet.submitJob(host, 1)
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			answers := map[string]string{}
			for name, number := range map[string]int{"foreign": 1, "nobody's": 2} {
				sentAt := time.Now()
				answer := fleet.call(method, host, fleetPathPrefix+jobID(number), otherCustomerKey, "")
				answers[name] = fmt.Sprint(answer, time.Since(sentAt).Round(10*time.Millisecond))
			}
			if answers["foreign"] != answers["nobody's"] {
				fleet.Errorf("%s: answers and times %v, want the same", method, answers)
			}
		}
	})
}
