package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// The settings of the platform, as of the sheet of the site taymarks-sched.
const (
	serviceName   = "survey-app"
	holdMax       = 10 * time.Second       // holdMaxMs
	stopBound     = 900 * time.Millisecond // stopMs
	quotaOverage  = 0.1
	callDeadline  = 3 * time.Second
	requestHost   = "ficu95.example"
	maxCallTries  = 5 // one attempt and four retries
	retryInterval = 300 * time.Millisecond
	// firstWorker is the last byte of the first worker's address.
	firstWorker = 100
	// maxRecordedEvents is the number of starts and ends that are written to the record one by one.
	maxRecordedEvents = 3000
)

// rig plays the platform, the operator, the workers and the clients around processes of the project.
type rig struct {
	folder    string
	network   string // see newNetwork
	port      int
	trouble   bool
	store     *store
	hosts     []*host
	workers   []*worker
	client    *http.Client
	stopTakes time.Duration // how long a worker takes for a stop
	version   int

	mu        sync.Mutex
	record    *os.File
	began     time.Time
	events    []event
	durations map[string]time.Duration // of the tasks, by job; 0 for tasks that last
	sizes     map[string]amount        // of a task, by job
	teams     map[string]string        // by job
}

func newRig(recordPath string, trouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "ebonyshunt-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	network, port := newNetwork()
	return &rig{
		folder: folder, network: network, port: port, trouble: trouble, store: newStore(), record: record, began: time.Now(), stopTakes: 100 * time.Millisecond,
		client:    &http.Client{Timeout: callDeadline},
		durations: map[string]time.Duration{}, sizes: map[string]amount{}, teams: map[string]string{},
	}, nil
}

// close ends all processes and servers.
func (rig *rig) close() {
	for _, host := range rig.hosts {
		host.kill()
		_ = host.storeServer.Close()
	}
	for _, worker := range rig.workers {
		worker.mu.Lock()
		server := worker.server
		worker.mu.Unlock()
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(rig.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", rig.folder)
	}
	_ = rig.record.Close()
}

// say writes a line with the time since the start to the record.
func (rig *rig) say(format string, values ...any) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	fmt.Fprintf(rig.record, "%9.3f  %s\n", time.Since(rig.began).Seconds(), fmt.Sprintf(format, values...))
}

// note records what a worker saw.
func (rig *rig) note(noted event) {
	rig.mu.Lock()
	rig.events = append(rig.events, noted)
	quiet := len(rig.events) > maxRecordedEvents
	rig.mu.Unlock()
	if !quiet {
		rig.say("worker %s: %s run %d: %s", noted.worker, noted.task, noted.run, noted.how)
	}
}

// takes returns how long a task takes, 0 for one that lasts.
func (rig *rig) takes(task string) time.Duration {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.durations[jobOf(task)]
}

// seen returns what the workers saw of a job so far.
func (rig *rig) seen(job string) []event {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	var found []event
	for _, noted := range rig.events {
		if jobOf(noted.task) == job {
			found = append(found, noted)
		}
	}
	return found
}

// runningAt returns the worker on which a job has a run at work, nil without one.
func (rig *rig) runningAt(job string) *worker {
	for _, worker := range rig.workers {
		worker.mu.Lock()
		for task := range worker.running {
			if jobOf(task) == job {
				worker.mu.Unlock()
				return worker
			}
		}
		worker.mu.Unlock()
	}
	return nil
}

func (rig *rig) startWorkers(count int, capacity amount) error {
	zones := []string{"perth-a", "stirling-b", "dundee-c"}
	for number := range count {
		id, address := fmt.Sprintf("i-%010x", 0xa000+number), rig.address(firstWorker+number, 0)
		added, err := rig.newWorker(id, zones[number%len(zones)], address, capacity)
		if err != nil {
			return err
		}
		rig.workers = append(rig.workers, added)
	}
	return nil
}

// team is a tenant of the configuration.
type team struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	Weight  int      `json:"weight"`
	Cap     amount   `json:"cap"`
}

// configure writes a configuration with one queue and returns the time of its acknowledgement.
func (rig *rig) configure(teams ...team) time.Time {
	rig.version += 3
	rig.store.put("keyed.op", "config", map[string]any{
		"version": rig.version,
		"routes": []any{map[string]any{
			"name": "r-dev3nax", "host": requestHost, "pathPrefix": "/lohu930/", "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 250, "priority": 0, "service": serviceName, "maxAttempts": 4, "stretch": 1.5, "public": false,
		}},
		"services": []any{map[string]any{"name": serviceName, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  teams,
	})
	rig.say("operator: configuration version %d is acknowledged: %s", rig.version, encode(teams))
	return time.Now()
}

// step is a step of a submitted job.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"memMb"`
	EstimateMS  int64 `json:"estimateMs"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call to a host. It returns status 0 without an answer.
func (rig *rig) call(host *host, method, path, key string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(encode(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host.http+path, content)
	if err != nil {
		return 0, nil
	}
	request.Host = requestHost
	request.Header.Set("X-Ebonyshunt-Key", key)
	request.Header.Set("X-Ebonyshunt-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := rig.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// ask makes a call with retries at other hosts, as clients do, and returns the last answer.
func (rig *rig) ask(method, path, key string, body any) (int, []byte) {
	status, data := 0, []byte(nil)
	first := rand.IntN(len(rig.hosts))
	for try := range maxCallTries {
		host := rig.hosts[(first+try)%len(rig.hosts)]
		status, data = rig.call(host, method, path, key, body)
		if status != 0 && status < 500 {
			return status, data
		}
		time.Sleep(retryInterval)
	}
	return status, data
}

// submit hands a job in and reports whether it was accepted.
func (rig *rig) submit(id, team, key string, takes time.Duration, steps ...step) bool {
	rig.mu.Lock()
	rig.durations[id], rig.teams[id] = takes, team
	rig.sizes[id] = amount{CPU: steps[0].CPU, MemMB: steps[0].MemMB}
	rig.mu.Unlock()
	status, _ := rig.ask(http.MethodPost, "/lohu930/"+id, key, map[string]any{"spec": "work", "steps": steps})
	rig.say("client: POST job %s: %d", id, status)
	return status >= 200 && status < 300
}

// cancel cancels a job and reports whether that was acknowledged.
func (rig *rig) cancel(id, key string) bool {
	status, _ := rig.ask(http.MethodDelete, "/lohu930/"+id, key, nil)
	rig.say("client: DELETE job %s: %d", id, status)
	return status >= 200 && status < 300 || status == http.StatusGone
}

// state returns the state of a job, or the status of the answer in its place.
func (rig *rig) state(id, key string) string {
	status, data := rig.ask(http.MethodGet, "/lohu930/"+id, key, nil)
	var decoded struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &decoded) != nil {
		return fmt.Sprint(status)
	}
	return decoded.State
}

// pending returns the number of pending jobs that a host tells, -1 without an answer.
func (rig *rig) pending(host *host, key string) int {
	status, data := rig.call(host, http.MethodGet, "/lohu930/", key, nil)
	var decoded struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &decoded) != nil || decoded.Pending == nil {
		return -1
	}
	return *decoded.Pending
}

// await polls a condition until it holds, and reports whether it did within a time.
func await(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// begin starts workers and hosts with a configuration, and waits until all hosts are ready.
func (rig *rig) begin(hosts, workers int, capacity amount, teams ...team) error {
	rig.configure(teams...)
	if err := rig.startWorkers(workers, capacity); err != nil {
		return err
	}
	if err := rig.startHosts(hosts); err != nil {
		return err
	}
	ready := await(20*time.Second, func() bool {
		for _, host := range rig.hosts {
			response, err := rig.client.Get("http://" + host.readiness + "/-/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	if !ready {
		return fmt.Errorf("the hosts are not ready after 20 s")
	}
	time.Sleep(4 * time.Second)
	rig.say("all %d hosts are ready, %s decides", hosts, rig.leader().name)
	return nil
}

// logged copies the lines of the hosts' logs that contain one of the texts to the record, at most a number of each host.
func (rig *rig) logged(limit int, texts ...string) {
	for _, host := range rig.hosts {
		data, err := os.ReadFile(filepath.Clean(host.logPath))
		if err != nil {
			continue
		}
		count := 0
		for line := range strings.Lines(string(data)) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) && count < limit {
				count++
				rig.say("log of %s: %.260s", host.name, strings.TrimSpace(line))
			}
		}
	}
}
