package tests

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Keys and queues of TestFleetForeignCalls.
const (
	otherCustomerKey = "other-key"
	thirdCustomerKey = "third-key"
	secondQueue      = "/rebuild/"
	publicQueue      = "/open/"
)

// publishCustomers publishes a configuration with three customers, and with two queues and a public one.
func (fleet *fleet) publishCustomers() {
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
		{"name": "shepherds", "apiKeys": []string{thirdCustomerKey}, "weight": 1000},
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
				fleet.publishCustomers()
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
		fleet.publishCustomers()
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

// drawnCall is a call of a drawn test: of a customer, for a job of the same or another one.
type drawnCall struct {
	method  string
	key     string
	path    string
	foreign bool
	host    int // among those that run
}

// drawCalls draws calls of three customers: for own jobs, and as often for jobs that another one has submitted before.
func drawCalls(random *rand.Rand, count int) []drawnCall {
	keys := []string{fleetKey, otherCustomerKey, thirdCustomerKey}
	queues := []string{fleetPathPrefix, secondQueue}
	methods := []string{http.MethodPost, http.MethodGet, http.MethodGet, http.MethodDelete}
	submitted := make([][]string, len(keys)) // paths of the jobs of each customer
	var calls []drawnCall
	for len(calls) < count {
		customer, owner := random.IntN(len(keys)), random.IntN(len(keys))
		if random.IntN(2) == 0 {
			owner = customer
		}
		call := drawnCall{method: methods[random.IntN(len(methods))], key: keys[customer], foreign: owner != customer, host: random.IntN(12)}
		switch {
		case !call.foreign && (call.method == http.MethodPost || len(submitted[owner]) == 0):
			call.method = http.MethodPost
			call.path = queues[random.IntN(len(queues))] + jobID(len(calls))
			submitted[owner] = append(submitted[owner], call.path)
		case len(submitted[owner]) == 0:
			continue
		default:
			call.path = submitted[owner][random.IntN(len(submitted[owner]))]
		}
		if call.foreign && random.IntN(2) == 0 {
			call.path = queues[random.IntN(len(queues))] + call.path[strings.LastIndex(call.path, "/")+1:]
		}
		calls = append(calls, call)
	}
	return calls
}

// simulateByJob lets the tasks of some jobs run for an hour, and those of the others for less than the time between two calls.
func simulateByJob(task string, _ int) (time.Duration, string) {
	job, _, _ := strings.Cut(task, ".")
	if strings.HasSuffix(job, "1") || strings.HasSuffix(job, "5") || strings.HasSuffix(job, "a") {
		return time.Hour, "done"
	}
	return 50 * time.Millisecond, "done"
}

// playCalls makes calls at regular times, with or without the foreign ones, and kills the decider after half of them. It returns what the
// customers were answered to the calls for their own jobs.
func playCalls(t *testing.T, calls []drawnCall, withForeign bool) []string {
	t.Helper()
	const interval = 400 * time.Millisecond
	var answers []string
	runFleetTest(t, 4, func(fleet *fleet) {
		fleet.publishCustomers()
		for _, worker := range fleet.workers {
			worker.Simulate = simulateByJob
		}
		running, begin := slices.Clone(fleet.hostNames), time.Now()
		for number, call := range calls {
			if number == len(calls)/2 {
				decider := fleet.decidingHost()
				fleet.killHost(decider)
				running = slices.DeleteFunc(running, func(name string) bool { return name == decider })
				fleet.awaitDecider()
				begin = begin.Add(10 * time.Second) // longer than a takeover
			}
			time.Sleep(time.Until(begin.Add(time.Duration(number) * interval)))
			if call.foreign && !withForeign {
				continue
			}
			answer := fleet.call(call.method, running[call.host%len(running)], call.path, call.key, twoStepJob)
			switch {
			case !call.foreign:
				answers = append(answers, fmt.Sprint(number, " ", call.method, " ", call.path, ": ", answer.status, " ", answer.state))
			case answer.status != http.StatusGone && answer.status != http.StatusConflict:
				fleet.Errorf("%s %s with key %q for a job of another customer: status %d, want 410 or 409", call.method, call.path, call.key, answer.status)
			}
		}
	})
	return answers
}

// TestFleetForeignCallsChangeNothing guards against calls of customers that change what another one sees or what becomes of its jobs.
func TestFleetForeignCallsChangeNothing(t *testing.T) {
	for seed := range uint64(4) {
		calls := drawCalls(rand.New(rand.NewPCG(seed, 0)), 60)
		with, without := playCalls(t, calls, true), playCalls(t, calls, false)
		for number, answer := range without {
			if with[number] != answer {
				t.Errorf("seed %d: beside foreign calls %s, without them %s", seed, with[number], answer)
			}
		}
	}
}
