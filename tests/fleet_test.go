package tests

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/scheduler"
	"ebonyshunt.org/standin/connector"
	"ebonyshunt.org/standin/emulator"
)

// fleet is a set of scheduling hosts on an emulated platform, in a bubble with a paused clock.
type fleet struct {
	*testing.T
	fabric  *connector.Fabric
	store   *emulator.Store
	workers []*emulator.Worker
	hosts   map[string]*scheduler.Host
	names   []string
	client  *http.Client
	servers []*http.Server
	version int
	keys    []string
	prefix  string
	given   []string // jobs that were accepted
	stop    chan struct{}
}

const (
	fleetStore   = "10.9.0.1:80"
	fleetPolicy  = "10.9.0.2:80"
	fleetKey     = "fleet-key"
	fleetQueue   = "/checks/"
	fleetLatency = 500 * time.Microsecond
	entryEvery   = 1500 * time.Millisecond
)

// inFleet runs a test on some hosts, over three zones, and six workers, and checks the rules at its end.
func inFleet(t *testing.T, hosts int, run func(fleet *fleet)) {
	t.Helper()
	if raceDetector {
		t.Skip("the race detector's runtime crashes in large bubbles")
	}
	synctest.Test(t, func(t *testing.T) {
		fleet := &fleet{
			T: t, fabric: connector.New(fleetLatency), store: emulator.NewStore(), hosts: map[string]*scheduler.Host{},
			keys: []string{fleetKey}, prefix: fleetQueue, stop: make(chan struct{}),
		}
		fleet.client = fleet.fabric.Host("client").Client()
		fleet.serve("store", fleetStore, fleet.store.Handler())
		for number := range 6 {
			fleet.addWorker(number)
		}
		fleet.publish()
		for number := range hosts {
			fleet.names = append(fleet.names, fmt.Sprintf("entry-%c-%d", 'a'+number%3, number/3))
		}
		for _, name := range fleet.names {
			fleet.start(name)
		}
		time.Sleep(3 * time.Second)
		run(fleet)
		fleet.finish()
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
	address := fmt.Sprintf("10.8.0.%d:80", number+1)
	fleet.workers = append(fleet.workers, worker)
	fleet.serve(worker.ID, address, worker.Handler())
	go func() {
		ticker := time.NewTicker(entryEvery)
		defer ticker.Stop()
		for {
			fleet.store.Put("keyed.servers", worker.ID, worker.Entry(address, "ready"))
			select {
			case <-ticker.C:
			case <-fleet.stop:
				return
			}
		}
	}()
}

// publish writes the operators' next configuration.
func (fleet *fleet) publish() {
	fleet.version += 3
	document := map[string]any{
		"version": fleet.version,
		"routes": []map[string]any{{
			"name": "checks", "pathPrefix": fleet.prefix, "service": "survey", "priority": 0, "maxAttempts": 3,
			"stretch": 2.0, "targetLatencyMs": 500,
		}},
		"services": []map[string]any{{"name": "survey"}},
		"tenants":  []map[string]any{{"name": "wardens", "apiKeys": fleet.keys, "weight": 1000}},
		"limits":   map[string]any{"maxBodyBytes": 4096},
	}
	data, err := json.Marshal(document)
	if err != nil {
		fleet.Fatal(err)
	}
	fleet.store.Put("keyed.op", "config", data)
}

func hostAddress(name string, port int) string {
	return fmt.Sprintf("10.1.%d.%s:%d", name[6], name[8:], port)
}

func (fleet *fleet) start(name string) {
	fleet.Helper()
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("EBONYSHUNT_TEST_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("at", name)
	}
	host, err := scheduler.Start(loader.Scheduling{
		Host: name, Zone: name[6:7], HTTPAddress: hostAddress(name, 80), ReadinessAddress: hostAddress(name, 81),
		PeerAddress: hostAddress(name, 82), ProcessorShare: 1, MemoryMB: 4096, MostFiles: 4096, StoreAddress: fleetStore, PolicyAddress: fleetPolicy,
		LongestLease: 6 * time.Second, StopTime: 200 * time.Millisecond, StatusFor: 2 * time.Minute,
		Spread: 1.5, ShutdownGrace: 5 * time.Second, Seeds: []string{hostAddress(fleet.names[0], 82)},
	}, fleet.fabric.Host(name), log)
	if err != nil {
		fleet.Fatal(err)
	}
	fleet.hosts[name] = host
}

// kill ends a host at once, as a loss of power does.
func (fleet *fleet) kill(name string) {
	fleet.fabric.Kill(name)
	fleet.hosts[name].Close()
	delete(fleet.hosts, name)
}

func (fleet *fleet) decider() string {
	for _, name := range fleet.names {
		if host := fleet.hosts[name]; host != nil && host.Deciding() {
			return name
		}
	}
	return ""
}

type fleetAnswer struct {
	status int
	state  string
	after  string
}

// call makes one call and returns its answer, with status 0 where there was none.
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
	var said struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &said); err != nil {
		fleet.Errorf("answer %q: %v", data, err)
	}
	return fleetAnswer{response.StatusCode, said.State, response.Header.Get("Retry-After")}
}

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

const twoSteps = `{"spec":"s","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":100},{"count":2,"cpu":1000,"memMb":10,"estimateMs":100,"dependsOn":[0]}]}`

// submit hands a job in until it is accepted, as a caller with patience does.
func (fleet *fleet) submit(host string, number int) {
	fleet.Helper()
	for range 40 {
		if answer := fleet.call("POST", host, fleetQueue+jobID(number), fleetKey, twoSteps); answer.status == http.StatusOK {
			fleet.given = append(fleet.given, jobID(number))
			return
		}
		time.Sleep(250 * time.Millisecond)
		host = fleet.alive(host)
	}
	fleet.Fatalf("job %d was not accepted", number)
}

// alive returns a host that runs, the given one if it does.
func (fleet *fleet) alive(host string) string {
	if fleet.hosts[host] != nil {
		return host
	}
	for _, name := range fleet.names {
		if fleet.hosts[name] != nil {
			return name
		}
	}
	return host
}

// await waits until all accepted jobs are shown as completed, on a host.
func (fleet *fleet) await(host string, within time.Duration) {
	fleet.Helper()
	until := time.Now().Add(within)
	for _, id := range fleet.given {
		for {
			answer := fleet.call("GET", fleet.alive(host), fleetQueue+id, fleetKey, "")
			if answer.state == "completed" {
				break
			}
			if time.Now().After(until) {
				fleet.Fatalf("job %s is %+v after %v", id, answer, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// finish ends everything and checks what the workers ran.
func (fleet *fleet) finish() {
	close(fleet.stop)
	for _, name := range fleet.names {
		if host := fleet.hosts[name]; host != nil {
			host.Close()
		}
	}
	for _, server := range fleet.servers {
		_ = server.Close()
	}
	fleet.client.CloseIdleConnections()
	fleet.checkRuns()
	time.Sleep(time.Minute) // lets late orders and timers pass
}

// checkRuns checks that no task ran twice at a time, or again after a run whose end as done was
// acknowledged. An end that was not dies with its worker, and the task then runs again.
func (fleet *fleet) checkRuns() {
	byTask := map[string][]emulator.RunRecord{}
	for _, worker := range fleet.workers {
		for _, begun := range worker.History() {
			byTask[begun.Task] = append(byTask[begun.Task], begun)
		}
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b emulator.RunRecord) int { return a.At.Compare(b.At) })
		for index, begun := range runs[1:] {
			former := runs[index]
			if former.Outcome == "done" && former.Acknowledged || former.Ended.IsZero() || begun.At.Before(former.Ended) {
				fleet.Errorf("%s: run %d began beside or after run %d (%s)", task, begun.Run, former.Run, former.Outcome)
			}
		}
	}
}

// TestFleetPath takes jobs through every host and answers each caller's call.
func TestFleetPath(t *testing.T) {
	t.Run("jobsOfTwoSteps", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			for number := range 20 {
				fleet.submit(fleet.names[number%4], number)
			}
			fleet.await(fleet.names[1], 10*time.Second)
		})
	})
	t.Run("answers", func(t *testing.T) {
		inFleet(t, 3, func(fleet *fleet) {
			path := fleetQueue + jobID(1)
			cases := []struct {
				name, method, path, key, body string
				status                        int
			}{
				{"unknownKey", "POST", path, "other", twoSteps, 401},
				{"unknownQueue", "POST", "/other/" + jobID(1), fleetKey, twoSteps, 404},
				{"unknownJob", "GET", path, fleetKey, "", 410},
				{"cancelOfUnknownJob", "DELETE", path, fleetKey, "", 410},
				{"shortID", "POST", fleetQueue + "12", fleetKey, twoSteps, 404},
				{"noJSON", "POST", path, fleetKey, "{", 400},
				{"noSteps", "POST", path, fleetKey, `{"spec":"s","steps":[]}`, 400},
				{"noTasks", "POST", path, fleetKey, `{"spec":"s","steps":[{"count":0}]}`, 400},
				{"laterStep", "POST", path, fleetKey, `{"spec":"s","steps":[{"count":1,"dependsOn":[1]},{"count":1}]}`, 400},
				{"itself", "POST", path, fleetKey, `{"spec":"s","steps":[{"count":1,"dependsOn":[0]}]}`, 400},
				{"tooLarge", "POST", path, fleetKey, `{"spec":"` + string(bytes.Repeat([]byte("x"), 5000)) + `"}`, 413},
				{"pending", "GET", fleetQueue, fleetKey, "", 200},
			}
			for _, tried := range cases {
				if answer := fleet.call(tried.method, fleet.names[1], tried.path, tried.key, tried.body); answer.status != tried.status {
					fleet.Errorf("%s: status %d, want %d", tried.name, answer.status, tried.status)
				}
			}
		})
	})
	t.Run("sameJobThroughTwoHosts", func(t *testing.T) {
		inFleet(t, 3, func(fleet *fleet) {
			answers := make(chan fleetAnswer, 3)
			for _, name := range fleet.names {
				go func() { answers <- fleet.call("POST", name, fleetQueue+jobID(1), fleetKey, twoSteps) }()
			}
			for range fleet.names {
				if answer := <-answers; answer.status != http.StatusOK {
					fleet.Errorf("status %d, want 200", answer.status)
				}
			}
			fleet.given = []string{jobID(1)}
			fleet.await(fleet.names[0], 5*time.Second)
		})
	})
	t.Run("cancel", func(t *testing.T) {
		inFleet(t, 3, func(fleet *fleet) {
			for _, worker := range fleet.workers {
				worker.RunTime = time.Hour
			}
			fleet.submit(fleet.names[0], 1)
			time.Sleep(time.Second)
			if answer := fleet.call("DELETE", fleet.names[1], fleetQueue+jobID(1), fleetKey, ""); answer.status != http.StatusOK {
				fleet.Errorf("status %d, want 200", answer.status)
			}
			time.Sleep(time.Second)
			if answer := fleet.call("GET", fleet.names[2], fleetQueue+jobID(1), fleetKey, ""); answer.state != "cancelled" { //nolint:misspell // the platform's spelling
				fleet.Errorf("state %q", answer.state)
			}
			for _, worker := range fleet.workers {
				for _, begun := range worker.History() {
					if begun.Ended.IsZero() {
						fleet.Errorf("%s still runs", begun.Task)
					}
				}
			}
		})
	})
}

// fleetFaults are what may happen while jobs are handed in; each returns what undoes it.
var fleetFaults = []struct {
	name  string
	begin func(fleet *fleet) (end func())
}{
	{"deciderKilled", func(fleet *fleet) func() {
		name := fleet.decider()
		fleet.kill(name)
		return func() { fleet.start(name) }
	}},
	{"deciderPaused", func(fleet *fleet) func() {
		name := fleet.decider()
		fleet.fabric.Pause(name)
		return func() { fleet.fabric.Resume(name) }
	}},
	{"deciderCutFromStore", func(fleet *fleet) func() {
		return fleet.fabric.Cut([]string{fleet.decider()}, []string{"store"})
	}},
	{"deciderCutFromPeers", func(fleet *fleet) func() {
		decider := fleet.decider()
		others := slices.DeleteFunc(slices.Clone(fleet.names), func(name string) bool { return name == decider })
		return fleet.fabric.Cut([]string{decider}, others)
	}},
	{"deciderCutFromSomeWorkers", func(fleet *fleet) func() {
		return fleet.fabric.Cut([]string{fleet.decider()}, []string{"w-0", "w-1"})
	}},
	{"deciderStops", func(fleet *fleet) func() {
		name := fleet.decider()
		fleet.hosts[name].Shutdown(fleet.Context())
		delete(fleet.hosts, name)
		return func() { fleet.start(name) }
	}},
	{"allHostsKilled", func(fleet *fleet) func() {
		for _, name := range fleet.names {
			fleet.kill(name)
		}
		return func() {
			for _, name := range fleet.names {
				fleet.start(name)
			}
		}
	}},
	{"storeDown", storeFault(emulator.StoreFaults{Down: true})},
	{"storeSilent", storeFault(emulator.StoreFaults{Silent: true})},
	{"storeSlow", storeFault(emulator.StoreFaults{Delay: 300 * time.Millisecond})},
	{"storeLosesAnswers", storeFault(emulator.StoreFaults{LoseEvery: 3})},
	{"storeTakesAppendsLate", storeFault(emulator.StoreFaults{LateEvery: 3, LateBy: 2 * time.Second})},
	{"historyForgotten", func(fleet *fleet) func() {
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.ebonyshunt-fleet"} {
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
		return fleet.fabric.Cut([]string{"w-0"}, append(slices.Clone(fleet.names), "store"))
	}},
	{"unreadableEntry", func(fleet *fleet) func() {
		fleet.store.Put("keyed.servers", "w-x", []byte("{"))
		fleet.store.Put("keyed.servers", "w-y", []byte(`{"service":"survey","state":"odd","address":"10.8.0.1:80"}`))
		fleet.store.Put("keyed.ebonyshunt-fleet", "decider", []byte(`{"term":"x"}`))
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

// TestFleetFaults hands jobs in before, during and after each fault, alone and on top of the next one.
func TestFleetFaults(t *testing.T) {
	for index, fault := range fleetFaults {
		t.Run(fault.name, func(t *testing.T) {
			inFleet(t, 4, func(fleet *fleet) { fleet.suffer(fault.begin) })
		})
		next := fleetFaults[(index+5)%len(fleetFaults)]
		t.Run(fault.name+"+"+next.name, func(t *testing.T) {
			inFleet(t, 4, func(fleet *fleet) { fleet.suffer(fault.begin, next.begin) })
		})
	}
}

// suffer keeps handing jobs in while faults come and go.
func (fleet *fleet) suffer(faults ...func(*fleet) func()) {
	for number := range 8 {
		fleet.submit(fleet.names[number%len(fleet.names)], number)
	}
	var ends []func()
	for _, begin := range faults {
		if fleet.decider() == "" {
			time.Sleep(2 * time.Second)
		}
		ends = append(ends, begin(fleet))
	}
	time.AfterFunc(2*time.Second, func() {
		for _, end := range slices.Backward(ends) {
			end()
		}
	})
	time.Sleep(100 * time.Millisecond)
	for number := range 8 {
		fleet.submit(fleet.alive(fleet.names[number%len(fleet.names)]), 100+number)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for number := range 4 {
		fleet.submit(fleet.names[number], 200+number)
	}
	fleet.await(fleet.names[1], 40*time.Second)
}

// TestFleetConfiguration applies versions on every host and never goes back.
func TestFleetConfiguration(t *testing.T) {
	status := func(fleet *fleet, key string) []int {
		var found []int
		for _, name := range fleet.names {
			found = append(found, fleet.call("GET", name, fleet.prefix+jobID(7), key, "").status)
		}
		return found
	}
	want := func(fleet *fleet, key string, code int) {
		fleet.Helper()
		for index, found := range status(fleet, key) {
			if found != code {
				fleet.Errorf("%s answers %d, want %d", fleet.names[index], found, code)
			}
		}
	}
	t.Run("keyIsWithdrawn", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			fleet.keys = []string{"new"}
			fleet.publish()
			time.Sleep(500 * time.Millisecond)
			want(fleet, fleetKey, 401)
			want(fleet, "new", 410)
		})
	})
	t.Run("hostThatTheStoreTurnsAwayLearnsFromPeers", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			heal := fleet.fabric.Cut([]string{"entry-b-0"}, []string{"store"})
			time.Sleep(time.Second)
			fleet.keys = []string{"new"}
			fleet.publish()
			time.Sleep(1500 * time.Millisecond)
			want(fleet, fleetKey, 401)
			heal()
		})
	})
	t.Run("olderVersionIsIgnored", func(t *testing.T) {
		inFleet(t, 3, func(fleet *fleet) {
			former := fleet.version
			fleet.keys = []string{"new"}
			fleet.publish()
			time.Sleep(500 * time.Millisecond)
			fleet.version, fleet.keys = former-4, []string{fleetKey}
			fleet.publish()
			time.Sleep(500 * time.Millisecond)
			want(fleet, fleetKey, 401)
		})
	})
	t.Run("routeIsDroppedAndAdded", func(t *testing.T) {
		inFleet(t, 3, func(fleet *fleet) {
			fleet.prefix = "/rebuilt/"
			fleet.publish()
			time.Sleep(500 * time.Millisecond)
			want(fleet, fleetKey, 410)
			fleet.prefix = fleetQueue
			want(fleet, fleetKey, 404)
		})
	})
}

// TestFleetTakeover bounds the time until the next decider answers.
func TestFleetTakeover(t *testing.T) {
	for _, tried := range []struct {
		name  string
		lose  func(fleet *fleet, name string)
		bound time.Duration
	}{
		{"killed", func(fleet *fleet, name string) { fleet.kill(name) }, 1400 * time.Millisecond},
		{"silent", func(fleet *fleet, name string) { fleet.fabric.Pause(name) }, 1400 * time.Millisecond},
	} {
		t.Run(tried.name, func(t *testing.T) {
			inFleet(t, 4, func(fleet *fleet) {
				lost := fleet.decider()
				tried.lose(fleet, lost)
				began := time.Now()
				other := fleet.names[(slices.Index(fleet.names, lost)+1)%len(fleet.names)]
				fleet.submit(other, 1)
				fleet.await(other, 10*time.Second)
				took := time.Since(began) - 250*time.Millisecond // of which the job runs 200 ms
				t.Logf("%s: a job is completed %v after the loss", tried.name, took)
				if took > tried.bound {
					t.Errorf("took %v, the bound for urgent work is %v", took, tried.bound)
				}
				fleet.fabric.Resume(lost)
			})
		})
	}
}

// TestFleetStoreCut cuts the decider off from the store, which its peers reach: a job handed in then is still
// completed within its objective, and another host decides later.
func TestFleetStoreCut(t *testing.T) {
	const objective = 900 * time.Millisecond // twice the 200 ms of two steps, and the queue's 500 ms
	cut := func(t *testing.T, lost int) {
		inFleet(t, 5, func(fleet *fleet) {
			former := fleet.decider()
			away := []string{former}
			for _, name := range slices.Sorted(slices.Values(fleet.names)) { // the order in which peers are asked
				if name != former && len(away) < lost {
					away = append(away, name)
				}
			}
			heal := fleet.fabric.Cut(away, []string{"store"})
			for number := range 10 {
				if took := fleet.timeJob(fleet.names[number%5], number); took > objective {
					fleet.Errorf("job %d took %v, its objective is %v", number, took, objective)
				}
			}
			if slices.Contains(away, fleet.decider()) {
				fleet.Error("a host that the store does not answer still decides")
			}
			heal()
		})
	}
	t.Run("decider", func(t *testing.T) { cut(t, 1) })
	t.Run("deciderAndTwoPeers", func(t *testing.T) { cut(t, 3) })
}

// TestFleetLateAppends hands many jobs in at once while the store carries appends out late and without an
// answer: batches that came before their turn are repeated as soon as it has come.
func TestFleetLateAppends(t *testing.T) {
	const objective = 900 * time.Millisecond
	inFleet(t, 4, func(fleet *fleet) {
		fleet.store.SetFaults(emulator.StoreFaults{LateShare: 0.6, LateBy: 3 * time.Second})
		fleet.wantMostInTime(60, objective)
	})
}

// TestFleetMuteWorkers hands jobs in while a part of the orders and looks at workers have no answer.
func TestFleetMuteWorkers(t *testing.T) {
	const objective = 900 * time.Millisecond
	inFleet(t, 4, func(fleet *fleet) {
		for _, worker := range fleet.workers {
			worker.SetFaults(emulator.WorkerFaults{MuteEvery: 6})
		}
		fleet.wantMostInTime(60, objective)
	})
}

// wantMostInTime hands jobs in, one each 10 ms. Most have to meet their objective, and none may take three
// times as long, after which it earns its caller nothing.
func (fleet *fleet) wantMostInTime(jobs int, objective time.Duration) {
	fleet.Helper()
	all := make(chan time.Duration)
	for number := range jobs {
		go func() {
			time.Sleep(time.Duration(number) * 10 * time.Millisecond)
			all <- fleet.timeJob(fleet.names[number%len(fleet.names)], number)
		}()
	}
	late := 0
	for range jobs {
		took := <-all
		if took > objective {
			late++
		}
		if took > 3*objective {
			fleet.Errorf("a job took %v, its objective is %v", took, objective)
		}
	}
	if 2*late > jobs {
		fleet.Errorf("%d of %d jobs missed their objective", late, jobs)
	}
}

// timeJob hands a job in once, and returns the time until it is shown as completed.
func (fleet *fleet) timeJob(host string, number int) time.Duration {
	began := time.Now()
	if answer := fleet.call("POST", host, fleetQueue+jobID(number), fleetKey, twoSteps); answer.status != http.StatusOK {
		fleet.Errorf("job %d: status %d", number, answer.status)
		return 0
	}
	for fleet.call("GET", host, fleetQueue+jobID(number), fleetKey, "").state != "completed" {
		if time.Since(began) > time.Minute {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// TestFleetAllLost ends all hosts at once, and with them a worker that runs a standing task: the task runs
// elsewhere once the last lease has run out, since no process that could renew it is left.
func TestFleetAllLost(t *testing.T) {
	const standing = `{"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":10,"longRunning":true}]}`
	const leaseOnSlowClock = 6500 * time.Millisecond // 6 s on a clock that is 2 % slow, and what is waited beyond
	inFleet(t, 4, func(fleet *fleet) {
		for _, worker := range fleet.workers {
			worker.RunTime = time.Hour
		}
		if answer := fleet.call("POST", fleet.names[0], fleetQueue+jobID(1), fleetKey, standing); answer.status != http.StatusOK {
			fleet.Fatalf("status %d", answer.status)
		}
		time.Sleep(20 * time.Second)
		first, began := fleet.lastRun()
		if began == 0 {
			fleet.Fatal("the task does not run")
		}
		fleet.fabric.Kill(first)
		for _, worker := range fleet.workers {
			if worker.ID == first {
				worker.Restart() // ends what ran there, and nobody can reach it any more
			}
		}
		for _, name := range fleet.names {
			fleet.kill(name)
		}
		for _, name := range fleet.names {
			fleet.start(name)
		}
		back := time.Now()
		for {
			if worker, run := fleet.lastRun(); worker != first && run > 1 {
				break
			}
			if time.Since(back) > time.Minute {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(back); took > leaseOnSlowClock+time.Second { // for the election
			fleet.Errorf("the task runs elsewhere after %v, its leases had run out after %v", took, leaseOnSlowClock)
		}
	})
}

// lastRun returns the worker and the number of the run that was begun last.
func (fleet *fleet) lastRun() (string, int) {
	worker, number := "", 0
	for _, other := range fleet.workers {
		for _, begun := range other.History() {
			if begun.Run > number {
				worker, number = other.ID, begun.Run
			}
		}
	}
	return worker, number
}

// TestFleetDeposed asks a host that decided until the store turned it away, while another one decides.
func TestFleetDeposed(t *testing.T) {
	deny := func(fleet *fleet, former string, cutFrom []string) {
		heal := fleet.fabric.Cut([]string{former}, cutFrom)
		other := fleet.names[(slices.Index(fleet.names, former)+1)%len(fleet.names)]
		for number := range 12 {
			fleet.submit(other, number)
			path := fleetQueue + jobID(number)
			for _, method := range []string{"GET", "DELETE"} {
				if answer := fleet.call(method, former, path, fleetKey, ""); answer.status == http.StatusGone {
					fleet.Errorf("after %d jobs the former decider denies job %d", number, number)
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		heal()
	}
	t.Run("cutFromTheStore", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			former := fleet.decider()
			deny(fleet, former, []string{"store"})
			if fleet.decider() == former {
				fleet.Error("the former decider does not know that it is one")
			}
		})
	})
	t.Run("cutFromTheStoreAndItsPeers", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			former := fleet.decider()
			others := slices.DeleteFunc(slices.Clone(fleet.names), func(name string) bool { return name == former })
			deny(fleet, former, append(others, "store"))
		})
	})
	t.Run("idleAndBackWithItsPeersOnly", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			former := fleet.decider()
			others := slices.DeleteFunc(slices.Clone(fleet.names), func(name string) bool { return name == former })
			healStore := fleet.fabric.Cut([]string{former}, []string{"store"})
			healPeers := fleet.fabric.Cut([]string{former}, others)
			time.Sleep(6 * time.Second)
			healPeers()
			time.Sleep(4 * time.Second)
			if fleet.hosts[former].Deciding() {
				fleet.Error("the former decider does not know that it is one")
			}
			healStore()
		})
	})
	t.Run("learnsOfItFromPeersWhileTheStoreIsAway", func(t *testing.T) {
		inFleet(t, 4, func(fleet *fleet) {
			former := fleet.decider()
			heal := fleet.fabric.Cut([]string{former}, []string{"store"})
			fleet.submit(fleet.alive(former), 1)
			time.Sleep(4 * time.Second)
			if fleet.hosts[former].Deciding() {
				fleet.Error("the former decider does not know that it is one")
			}
			heal()
		})
	})
}
