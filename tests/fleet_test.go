package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/scheduler"
	"ebonyshunt.org/platform/translator"
	"ebonyshunt.org/standin/connector"
	"ebonyshunt.org/standin/emulator"
	"ebonyshunt.org/tests/auditor"
)

// fleet runs scheduling hosts against an emulated platform in a synctest bubble, whose clock is fake.
type fleet struct {
	*testing.T
	fabric         *connector.Fabric
	store          *emulator.Store
	workers        []*emulator.Worker
	hosts          map[string]*scheduler.Host
	hostNames      []string
	client         *http.Client
	servers        []*http.Server
	configVersion  int
	apiKeys        []string
	pathPrefix     string
	acceptedJobs   []string // IDs of the accepted jobs
	stopWorkers    chan struct{}
	silenced       []string // hosts that are cut off from everything, see silenceDecider
	logged         *messageCounter
	shares         map[string]float64 // loader.Scheduling.ProcessorShare of the hosts, 1 if not set
	delegateFrom   int64              // loader.Scheduling.DelegateFrom of the hosts
	learnRunTimes  bool               // loader.Scheduling.LearnRunTimes of the hosts
	poolShares     bool               // loader.Scheduling.PoolShares of the hosts
	moveStragglers bool               // loader.Scheduling.MoveStragglers of the hosts
	forecast       bool               // loader.Scheduling.ForecastAdmission of the hosts
	maxLease       time.Duration      // loader.Scheduling.MaxLease of the hosts
}

const (
	fleetStoreAddress   = "10.9.0.1:80"
	fleetPolicyAddress  = "10.9.0.2:80"
	fleetKey            = "fleet-key"
	fleetPathPrefix     = "/checks/"
	fleetNetworkLatency = 500 * time.Microsecond
	workerEntryInterval = 1500 * time.Millisecond
)

// runFleetTest runs a test on the given number of scheduling hosts and on six workers, both spread over three
// zones. At its end it checks that no task ran twice; see checkRuns.
func runFleetTest(t *testing.T, hosts int, run func(fleet *fleet)) {
	t.Helper()
	runFleet(t, hosts, noDelegates, run)
}

// noDelegates is a number of workers that no fleet of the tests has.
const noDelegates = 1000

// runFleet is runFleetTest for hosts that reach workers through delegates from a number of workers on.
func runFleet(t *testing.T, hosts int, delegateFrom int64, run func(fleet *fleet)) {
	t.Helper()
	runFleetWith(t, hosts, func(fleet *fleet) { fleet.delegateFrom = delegateFrom }, run)
}

// runFleetWith is runFleetTest for a fleet that is configured before its hosts start.
func runFleetWith(t *testing.T, hosts int, configure, run func(fleet *fleet)) {
	t.Helper()
	if raceDetector {
		t.Skip("the race detector's runtime crashes in large synctest bubbles")
	}
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{
			T: t, fabric: connector.New(fleetNetworkLatency), store: emulator.NewStore(), hosts: map[string]*scheduler.Host{},
			apiKeys: []string{fleetKey}, pathPrefix: fleetPathPrefix, stopWorkers: make(chan struct{}),
			delegateFrom: noDelegates, maxLease: 6 * time.Second, logged: &messageCounter{counts: map[string]int{}},
		}
		configure(fleet)
		fleet.client = fleet.fabric.Host("client").Client()
		fleet.serve("store", fleetStoreAddress, fleet.store.Handler())
		for number := range 6 {
			fleet.addWorker(number)
		}
		fleet.publishConfiguration()
		for number := range hosts {
			fleet.hostNames = append(fleet.hostNames, fmt.Sprintf("entry-%c-%d", 'a'+number%3, number/3))
		}
		for _, name := range fleet.hostNames {
			fleet.startHost(name)
		}
		time.Sleep(3 * time.Second)
		run(fleet)
		fleet.stopAndCheck()
	})
}

func (fleet *fleet) serve(host, address string, handler http.Handler) {
	fleet.Helper()
	listener, err := fleet.fabric.Host(host).Listen(address)
	if err != nil {
		fleet.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	fleet.servers = append(fleet.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (fleet *fleet) addWorker(number int) {
	worker := emulator.NewWorker(fmt.Sprintf("w-%d", number), "survey", string(rune('a'+number%3)), emulator.Amount{CPU: 16000, MemMB: 32000})
	fleet.runWorker(worker, workerAddress(number))
}

// runWorker serves a worker at an address and registers it at regular intervals.
func (fleet *fleet) runWorker(worker *emulator.Worker, address string) {
	fleet.workers = append(fleet.workers, worker)
	fleet.serve(worker.ID, address, worker.Handler())
	go func() {
		ticker := time.NewTicker(workerEntryInterval)
		defer ticker.Stop()
		for {
			if !worker.Down() {
				fleet.store.Register(worker, address, false)
			}
			select {
			case <-ticker.C:
			case <-fleet.stopWorkers:
				return
			}
		}
	}()
}

func workerAddress(number int) string { return fmt.Sprintf("10.8.0.%d:80", number+1) }

// publishConfiguration stores the next version of the operators' configuration.
func (fleet *fleet) publishConfiguration() {
	fleet.store.PutConfiguration(fleet.nextConfiguration())
}

// nextConfiguration returns the next version of the operators' configuration.
func (fleet *fleet) nextConfiguration() map[string]any {
	fleet.configVersion += 3
	return map[string]any{
		"version": fleet.configVersion,
		"routes": []map[string]any{{
			"name": "checks", "pathPrefix": fleet.pathPrefix, "service": "survey", "priority": 0, "maxAttempts": 3,
			"stretch": 2.0, "targetLatencyMs": 500,
		}},
		"services": []map[string]any{{"name": "survey"}},
		"tenants":  []map[string]any{{"name": "wardens", "apiKeys": fleet.apiKeys, "weight": 1000}},
		"limits":   map[string]any{"maxBodyBytes": 4096},
	}
}

func hostAddress(name string, port int) string {
	return fmt.Sprintf("10.1.%d.%s:%d", name[6], name[8:], port)
}

func (fleet *fleet) startHost(name string) {
	fleet.Helper()
	share := fleet.shares[name]
	if share == 0 {
		share = 1
	}
	log := slog.New(fleet.logged)
	if os.Getenv("EBONYSHUNT_TEST_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("at", name)
	}
	host, err := scheduler.Start(loader.Scheduling{
		Host: name, Zone: name[6:7], HTTPAddress: hostAddress(name, 80), ReadinessAddress: hostAddress(name, 81),
		PeerAddress: hostAddress(name, 82), ProcessorShare: share, MemoryMB: 4096, MaxOpenFiles: 4096, StoreAddress: fleetStoreAddress, PolicyAddress: fleetPolicyAddress,
		MaxLease: fleet.maxLease, MaxStopTime: 200 * time.Millisecond, StatusRetention: 2 * time.Minute,
		LearnRunTimes: fleet.learnRunTimes, PoolShares: fleet.poolShares, ForecastAdmission: fleet.forecast,
		CrossRackFactor: 1.5, ShutdownGrace: 5 * time.Second, DelegateFrom: fleet.delegateFrom, Seeds: []string{hostAddress(fleet.hostNames[0], 82)},
		MoveStragglers: fleet.moveStragglers,
	}, fleet.fabric.Host(name), log)
	if err != nil {
		fleet.Fatal(err)
	}
	fleet.hosts[name] = host
}

// messageCounter is a log handler that counts the records by message, and those with grounds also by both, with a space between.
type messageCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// count returns how many records had a message.
func (messageCounter *messageCounter) count(message string) int {
	messageCounter.mu.Lock()
	defer messageCounter.mu.Unlock()
	return messageCounter.counts[message]
}

// Enabled reports whether the level is logged in production.
func (*messageCounter) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle counts a record.
func (messageCounter *messageCounter) Handle(_ context.Context, record slog.Record) error {
	messageCounter.mu.Lock()
	defer messageCounter.mu.Unlock()
	messageCounter.counts[record.Message]++
	record.Attrs(func(attribute slog.Attr) bool {
		if attribute.Key == "grounds" {
			messageCounter.counts[record.Message+" "+attribute.Value.String()]++
		}
		return true
	})
	return nil
}

// WithAttrs returns the same handler.
func (messageCounter *messageCounter) WithAttrs([]slog.Attr) slog.Handler { return messageCounter }

// WithGroup returns the same handler.
func (messageCounter *messageCounter) WithGroup(string) slog.Handler { return messageCounter }

// killHost ends a host without a shutdown, as a power failure does.
func (fleet *fleet) killHost(name string) {
	fleet.fabric.Kill(name)
	fleet.hosts[name].Close()
	delete(fleet.hosts, name)
}

// decidingHost returns the host that decides, or nothing if none does. Hosts that are silenced do not count.
func (fleet *fleet) decidingHost() string {
	for _, name := range fleet.hostNames {
		if host := fleet.hosts[name]; host != nil && host.Deciding() && !slices.Contains(fleet.silenced, name) {
			return name
		}
	}
	return ""
}

type fleetAnswer struct {
	status     int
	state      string
	retryAfter string
}

// call sends one request and returns its answer. The status is 0 if there was no complete answer.
func (fleet *fleet) call(method, host, path, key, body string) fleetAnswer {
	request, err := http.NewRequest(method, "http://"+hostAddress(host, 80)+path, bytes.NewBufferString(body))
	if err != nil {
		fleet.Fatal(err)
	}
	request.Header.Set("X-Ebonyshunt-Key", key)
	request.Header.Set("X-Ebonyshunt-Deadline-Ms", "3000")
	response, err := fleet.client.Do(request)
	if err != nil {
		return fleetAnswer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fleetAnswer{}
	}
	var decoded struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		fleet.Errorf("answer %q: %v", data, err)
	}
	return fleetAnswer{response.StatusCode, decoded.State, response.Header.Get("Retry-After")}
}

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

const twoStepJob = `{"spec":"s","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":100},{"count":2,"cpu":1000,"memMb":10,"estimateMs":100,"dependsOn":[0]}]}`

// submitJob submits a job every 250 ms until it is accepted, 40 times at most, and through another host if the
// given one has ended.
func (fleet *fleet) submitJob(host string, number int) {
	fleet.Helper()
	for range 40 {
		if answer := fleet.call("POST", host, fleetPathPrefix+jobID(number), fleetKey, twoStepJob); answer.status == http.StatusOK {
			fleet.acceptedJobs = append(fleet.acceptedJobs, jobID(number))
			return
		}
		time.Sleep(250 * time.Millisecond)
		host = fleet.runningHost(host)
	}
	fleet.Fatalf("job %d was not accepted", number)
}

// runningHost returns the given host if it runs, or else the first host that runs.
func (fleet *fleet) runningHost(host string) string {
	if fleet.hosts[host] != nil {
		return host
	}
	for _, name := range fleet.hostNames {
		if fleet.hosts[name] != nil {
			return name
		}
	}
	return host
}

// awaitJobs waits until a host reports all accepted jobs as completed, and fails the test after the timeout.
func (fleet *fleet) awaitJobs(host string, timeout time.Duration) {
	fleet.Helper()
	deadline := time.Now().Add(timeout)
	for _, id := range fleet.acceptedJobs {
		for {
			answer := fleet.call("GET", fleet.runningHost(host), fleetPathPrefix+id, fleetKey, "")
			if answer.state == "completed" {
				break
			}
			if time.Now().After(deadline) {
				fleet.Fatalf("job %s is %+v after %v", id, answer, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stopAndCheck stops all hosts and servers and checks the runs of the workers.
func (fleet *fleet) stopAndCheck() {
	close(fleet.stopWorkers)
	for _, name := range fleet.silenced {
		fleet.fabric.Kill(name)
	}
	for _, name := range fleet.hostNames {
		if host := fleet.hosts[name]; host != nil {
			host.Close()
		}
	}
	for _, server := range fleet.servers {
		_ = server.Close()
	}
	fleet.client.CloseIdleConnections()
	fleet.checkRuns()
	time.Sleep(time.Minute) // lets delayed orders and timers end
}

// checkRuns checks that no task ran twice, see auditor.CheckRuns.
func (fleet *fleet) checkRuns() {
	for _, violation := range auditor.CheckRuns(fleet.workers) {
		fleet.Error(violation)
	}
}

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
		fleet.hosts[name].Shutdown(fleet.Context())
		delete(fleet.hosts, name)
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
