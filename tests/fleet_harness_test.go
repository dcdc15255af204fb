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
	maxRecordBytes int64              // loader.Scheduling.MaxRecordBytes of the hosts, 0 if they do not know the store's limit
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
		t.Cleanup(fleet.stopAndCheck) // also after a failure: goroutines that are left when a bubble ends panic and hide it
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
		MoveStragglers: fleet.moveStragglers, MaxRecordBytes: fleet.maxRecordBytes,
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
	// hold is called with each message, by the goroutine that logs it, nil to call nothing.
	hold func(message string)
}

// holdAt calls a function with each message from now on.
func (messageCounter *messageCounter) holdAt(hold func(message string)) {
	messageCounter.mu.Lock()
	defer messageCounter.mu.Unlock()
	messageCounter.hold = hold
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
	hold := messageCounter.hold
	messageCounter.mu.Unlock()
	if hold != nil {
		hold(record.Message)
	}
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
