package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig runs the project's hosts as processes against the stand-ins, and records what was sent, answered and run.
type rig struct {
	folder  string // temporary
	record  *os.File
	began   time.Time
	store   *store
	workers []*worker
	hosts   []*host
	version int

	mu        sync.Mutex
	durations map[string]time.Duration // of a task's work, by spec; 0 for tasks that last
	runs      []*runRecord
}

// runRecord is a run that a minion began.
type runRecord struct {
	task, machine, minion, spec, how string
	number                           int
	began, ended                     time.Time
}

// host is a process of the project.
type host struct {
	name, zone       string
	http, ready      string
	peer             string
	metricsPort      string
	settings, output string
	command          *exec.Cmd
	done             chan struct{}
}

func newRig(recordPath string) (*rig, error) {
	folder, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &rig{folder: folder, record: record, began: time.Now(), store: newStore(), durations: map[string]time.Duration{}}, nil
}

func (rig *rig) log(format string, values ...any) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	fmt.Fprintf(rig.record, "%8.3f s  %s\n", time.Since(rig.began).Seconds(), fmt.Sprintf(format, values...))
}

func (rig *rig) duration(spec string) time.Duration {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.durations[spec]
}

func (rig *rig) setDuration(spec string, lasts time.Duration) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.durations[spec] = lasts
}

func (rig *rig) runStarted(w *worker, task string, run int, spec string) {
	rig.log("minion %s starts %s run %d", w.id, task, run)
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.runs = append(rig.runs, &runRecord{task: task, machine: w.machine, minion: w.id, spec: spec, number: run, began: time.Now()})
}

func (rig *rig) runEnded(w *worker, task string, run int, how string) {
	rig.log("minion %s: %s run %d ends: %s", w.id, task, run, how)
	rig.mu.Lock()
	defer rig.mu.Unlock()
	for _, record := range rig.runs {
		if record.task == task && record.number == run && record.minion == w.id && record.ended.IsZero() {
			record.ended, record.how = time.Now(), how
		}
	}
}

// runsOf returns copies of the runs of a job.
func (rig *rig) runsOf(job string) []runRecord {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	var found []runRecord
	for _, record := range rig.runs {
		if strings.HasPrefix(record.task, job+".") {
			found = append(found, *record)
		}
	}
	return found
}

// The ports of servers that start later lie below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// loopback is the loopback address of this run, so that runs side by side don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(254))

// given holds the addresses that freeAddress has returned, which may not be listened on yet.
var given = map[string]bool{}

func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+rand.IntN(lastPort-firstPort))
		if given[address] {
			continue
		}
		given[address] = true
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

func (rig *rig) addWorker(machine, service, zone, rack, kind string, cpu, mem int64) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	added := &worker{rig: rig, machine: machine, service: service, zone: zone, rack: rack, kind: kind, cpu: cpu, mem: mem, address: address, speed: 1}
	rig.workers = append(rig.workers, added)
	return added.begin()
}

// startHosts starts the hosts with the command and the template of the deploy file.
func (rig *rig) startHosts(zones []string) error {
	template, err := os.ReadFile("deploy/ebonyshuntd.ini")
	if err != nil {
		return err
	}
	var seeds []string
	for number, zone := range zones {
		added := &host{name: fmt.Sprintf("frontend-%s-%d", zone, number+1), zone: zone}
		for _, address := range []*string{&added.http, &added.ready, &added.peer, &added.metricsPort} {
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		_, added.metricsPort, _ = strings.Cut(added.metricsPort, ":")
		seeds = append(seeds, added.peer)
		rig.hosts = append(rig.hosts, added)
	}
	for _, h := range rig.hosts {
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(listener, rig.store.handler(h.name)) }()
		fields := strings.NewReplacer(
			"{{nodeName}}", h.name, "{{zone}}", h.zone, "{{region}}", "region", "{{listen.frontend}}", h.http, "{{listen.readiness}}", h.ready,
			"{{listen.control}}", h.peer, "{{seeds}}", strings.Join(seeds[:min(3, len(seeds))], ","), "{{ip}}", loopback, "{{portRange.1}}", h.metricsPort,
			"{{limits.cpuShare}}", "0.4", "{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{platform.address}}", listener.Addr().String(),
			"{{advice}}", "", "{{bounds.holdMaxMs}}", fmt.Sprint(maxLeaseMS), "{{bounds.stopMs}}", "900", "{{bounds.status_s}}", "120",
			"{{bounds.spreadFactor}}", "1.5", "{{bounds.graceS}}", "6",
		)
		h.settings = filepath.Join(rig.folder, h.name+".ini")
		h.output = filepath.Join(rig.folder, h.name+".log")
		if err := os.WriteFile(h.settings, []byte(fields.Replace(string(template))), 0o600); err != nil {
			return err
		}
		if err := rig.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

func (rig *rig) startHost(h *host) error {
	output, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	h.command = exec.Command("target/ebonyshuntd", "schedule")
	h.command.Env = []string{"EBONYSHUNT_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) { _ = command.Wait(); close(done) }(h.command, h.done)
	rig.log("host %s starts", h.name)
	return nil
}

func (rig *rig) signal(h *host, signal syscall.Signal) {
	rig.log("host %s gets signal %v", h.name, signal)
	_ = h.command.Process.Signal(signal)
}

// close ends all processes that the rig started and removes its temporary folder.
func (rig *rig) close() {
	for _, h := range rig.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Kill()
			<-h.done
		}
	}
	if kept := os.Getenv("RIG_KEEP"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(rig.folder))
	}
	_ = os.RemoveAll(rig.folder)
	_ = rig.record.Close()
}

// publish stores a version of the configuration, as the operator does.
func (rig *rig) publish(routes, tenants []map[string]any, services ...string) {
	rig.version++
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "admissionCheck": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": rig.version, "routes": routes, "services": list, "tenants": tenants, "limits": map[string]any{"maxBodyBytes": 262144},
	})
	rig.store.put("keyed.op", "config", data)
	var names []string
	for _, route := range routes {
		names = append(names, route["name"].(string))
	}
	rig.log("the operator stores version %d, acknowledged: routes %v", rig.version, names)
}

func route(name, hostName, prefix, service string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "service": service, "priority": priority, "maxAttempts": attempts,
		"stretch": 1.5, "targetLatencyMs": 250, "timeoutMs": 3000,
	}
}

func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "weight": 100, "cap": map[string]int64{"cpu": 0, "memMb": 0, "gpu": 0}}
}

// awaitReady waits until all hosts answer their readiness checks with 200.
func (rig *rig) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range rig.hosts {
			client := http.Client{Timeout: time.Second}
			if response, err := client.Get("http://" + h.ready + "/-/readyz"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(rig.hosts) {
			rig.log("all hosts are ready")
			return nil
		}
	}
	return fmt.Errorf("not all hosts became ready")
}

// call makes a client's call to a host and returns the status, 0 without an answer, and the body.
func (rig *rig) call(h *host, method, hostName, path, key string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, "http://"+h.http+path, bytes.NewReader(data))
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Ebonyshunt-Key", key)
	request.Header.Set("X-Ebonyshunt-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		rig.log("client: %s %s with key %s at %s: no answer: %v", method, path, key, h.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	rig.log("client: %s %s with key %s at %s: %d %s", method, path, key, h.name, response.StatusCode, strings.TrimSpace(string(answer)))
	return response.StatusCode, string(answer)
}

// callAny makes a call at one host after the other until one answers with a final answer.
func (rig *rig) callAny(method, hostName, path, key string, body any) (int, string) {
	for attempt := 0; attempt < 20; attempt++ {
		status, answer := rig.call(rig.hosts[attempt%len(rig.hosts)], method, hostName, path, key, body)
		switch status {
		case 0, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
			time.Sleep(500 * time.Millisecond)
		default:
			return status, answer
		}
	}
	return 0, ""
}

func stateIn(answer string) string {
	var decoded struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &decoded)
	return decoded.State
}
