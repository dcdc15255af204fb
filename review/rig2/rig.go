// Command rig plays a small deployment of the users' platform for the cases of the second review: it starts hosts of ebonyshuntd as
// processes, with a store, workers and a client of its own in this process, all on loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

type rig struct {
	daemon  string // path of ebonyshuntd
	folder  string // temporary folder for settings and logs
	store   *store
	workers []*worker
	hosts   []*host
	trouble bool
	began   time.Time

	mu           sync.Mutex
	out          *os.File
	startedTasks map[string]int // highest run that was started, by task
	gangs        *gangs         // nil unless all jobs are gangs
}

type host struct {
	name, zone, http, ready, peer string
	process                       *exec.Cmd
}

var current *rig

func fatal(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	if current != nil {
		current.record(format, values...)
		current.stop()
	}
	os.Exit(exitFailed)
}

// record writes a line to the record of the case.
func (rig *rig) record(format string, values ...any) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	fmt.Fprintf(rig.out, "%8.3f %s\n", time.Since(rig.began).Seconds(), fmt.Sprintf(format, values...))
}

// serveStore starts the store and returns its address.
func (rig *rig) serveStore() string {
	listener := listen()
	server := &http.Server{Handler: rig.store.handler()}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() string {
	listener := listen()
	defer listener.Close()
	return listener.Addr().String()
}

const settings = `[host]
name = %s
zone = %s
region = region-1
httpAddress = %s
readinessAddress = %s
peerAddress = %s
seeds = %s
processorShare = 0.4
memoryMB = 284
mostFiles = 4100

[store]
address = %s

[bounds]
longestLease = 10000ms
stopTime = 900ms
statusFor = 120s
spread = 1.5
shutdownGrace = 6s
`

// startHosts starts hosts, in zones by turns, and waits until all of them are ready.
func (rig *rig) startHosts(count int, storeAddress string) {
	for number := range count {
		rig.hosts = append(rig.hosts, &host{
			name: fmt.Sprintf("host-%d", number+1), zone: fmt.Sprintf("zone-%d", number%3+1),
			http: freeAddress(), ready: freeAddress(), peer: freeAddress(),
		})
	}
	for _, host := range rig.hosts {
		text := fmt.Sprintf(settings, host.name, host.zone, host.http, host.ready, host.peer, rig.hosts[0].peer, storeAddress)
		if err := os.WriteFile(filepath.Join(rig.folder, host.name+".ini"), []byte(text), 0o600); err != nil {
			fatal("write settings: %v", err)
		}
		rig.startHost(host)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, host := range rig.hosts {
		for !host.isReady() {
			if time.Now().After(deadline) {
				fatal("host %s does not become ready", host.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	rig.record("%d hosts are ready", count)
}

func (rig *rig) startHost(host *host) {
	log, err := os.OpenFile(filepath.Join(rig.folder, host.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("open log: %v", err)
	}
	defer log.Close()
	host.process = exec.Command(rig.daemon, "schedule")
	host.process.Env = []string{"EBONYSHUNT_SETTINGS=" + filepath.Join(rig.folder, host.name+".ini"), "PATH=" + os.Getenv("PATH")}
	host.process.Stdout, host.process.Stderr = log, log
	host.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := host.process.Start(); err != nil {
		fatal("start %s: %v", host.name, err)
	}
}

func (rig *rig) killHost(host *host) {
	_ = host.process.Process.Kill()
	_ = host.process.Wait()
	rig.record("%s killed", host.name)
}

func (host *host) isReady() bool {
	response, err := http.Get("http://" + host.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes.
func (rig *rig) stop() {
	for _, host := range rig.hosts {
		if host.process != nil && host.process.ProcessState == nil {
			_ = host.process.Process.Kill()
			_ = host.process.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(rig.folder)
	}
}

// decider returns the host that the store names as the decider.
func (rig *rig) decider() *host {
	rig.store.mu.Lock()
	defer rig.store.mu.Unlock()
	var election struct {
		Host string `json:"host"`
	}
	records := rig.store.topic("keyed.ebonyshunt-fleet").records
	for index := len(records) - 1; index >= 0; index-- {
		size := int(records[index][0])
		if string(records[index][1:1+size]) == "decider" {
			_ = json.Unmarshal(records[index][1+size:], &election)
			break
		}
	}
	for _, host := range rig.hosts {
		if host.name == election.Host {
			return host
		}
	}
	return nil
}

// client sends a call to hosts by turns until one gives a final answer, as clients do, and returns its status and body.
func (rig *rig) client(method, path string, body any) (int, string) {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	for attempt := range 10 {
		host := rig.hosts[attempt%len(rig.hosts)]
		request, _ := http.NewRequest(method, "http://"+host.http+path, bytes.NewReader(data))
		request.Host = "jobs.example"
		request.Header.Set("X-Ebonyshunt-Key", "key-1")
		request.Header.Set("X-Ebonyshunt-Deadline-Ms", "3000")
		request.Header.Set("Content-Type", "application/json")
		client := &http.Client{Timeout: 3 * time.Second}
		response, err := client.Do(request)
		if err != nil {
			rig.record("%s %s to %s: no answer", method, path, host.name)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		rig.record("%s %s to %s: %d %s", method, path, host.name, response.StatusCode, text)
		if response.StatusCode < 500 {
			return response.StatusCode, string(text)
		}
		time.Sleep(time.Second)
	}
	return 0, ""
}

// state returns the state of a job as a client is shown it.
func (rig *rig) state(path string) string {
	status, body := rig.client(http.MethodGet, path, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var decoded struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &decoded)
	return decoded.State
}

// putConfig writes a configuration with a queue for each service, named after it.
func (rig *rig) putConfig(version, maxAttempts int, services ...string) {
	routes, entries := []any{}, []any{}
	for _, service := range services {
		routes = append(routes, map[string]any{
			"name": "q-" + service, "host": "jobs.example", "pathPrefix": "/" + service + "/", "service": service, "priority": 1,
			"maxAttempts": maxAttempts, "stretch": 4, "targetLatencyMs": 3000, "timeoutMs": 3000,
		})
		entries = append(entries, map[string]any{"name": service, "admissionCheck": false})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": entries,
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}, "weight": 100}},
		"limits":  map[string]any{"maxBodyBytes": 262144},
	})
	rig.store.put("keyed.op", "config", body)
}

func main() {
	if len(os.Args) != 4 {
		fatal("usage: rig CASE EBONYSHUNTD FOLDER")
	}
	folder, err := os.MkdirTemp("", "ebonyshunt-review-")
	if err != nil {
		fatal("make a folder: %v", err)
	}
	out, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fatal("open record: %v", err)
	}
	current = &rig{daemon: os.Args[2], folder: folder, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: out, startedTasks: map[string]int{}}
	time.AfterFunc(115*time.Second, func() { fatal("the case takes too long") })
	cases := map[string]func(*rig) int{"removed": removed, "large": large, "gang": gang}
	play, found := cases[os.Args[1]]
	if !found {
		fatal("unknown case %q", os.Args[1])
	}
	code := play(current)
	current.record("exit code %d", code)
	current.stop()
	os.Exit(code)
}
