package crowder

import (
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyshunt.org/standin/caller"
	"ebonyshunt.org/standin/emulator"
)

var (
	memoryMB = flag.Int64("memoryMB", 96, "memory of each host's machine")
	factor   = flag.Int("factor", 1, "by how much crowds are larger than in CI")
	files    = flag.Int("files", 0, "descriptors of each host, 0 for those of the tests")
)

const (
	manyFiles    = 2000 // descriptors, more than a crowd takes
	fewFiles     = 600  // descriptors, fewer than a crowd would take
	maxBodyBytes = 262144
	prefix       = "/crowd/"
	knownKey     = "known-key"
	service      = "survey"

	registrationInterval = time.Second
	readyWithin          = time.Minute
	shutdownGrace        = time.Minute
)

// cluster is a store and a worker, which the test serves, and hosts as processes of their own.
type cluster struct {
	t       *testing.T
	store   *emulator.Store
	program string
	files   int
	port    int
	hosts   []*host
}

// host is a scheduling host.
type host struct {
	*process
	number int
	port   int
}

// The addresses of a host have the form 127.0.GROUP.NUMBER.
const (
	httpGroup      = 2
	readinessGroup = 3
	peerGroup      = 4
	metricsGroup   = 5
)

func (host *host) address(group int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", group, host.number, host.port)
}

func (host *host) addresses() []string {
	return []string{host.address(httpGroup), host.address(readinessGroup), host.address(peerGroup), host.address(metricsGroup)}
}

var daemon struct {
	once sync.Once
	path string
	err  error
}

// buildDaemon builds the daemon once for all tests and returns the path of the program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemon.once.Do(func() {
		folder, err := os.MkdirTemp("", "crowder")
		if err != nil {
			daemon.err = err
			return
		}
		daemon.path = filepath.Join(folder, "ebonyshuntd")
		output, err := exec.Command("go", "build", "-o", daemon.path, "ebonyshunt.org/daemon").CombinedOutput()
		if err != nil {
			daemon.err = fmt.Errorf("build: %w\n%s", err, output)
		}
	})
	if daemon.err != nil {
		t.Fatal(daemon.err)
	}
	return daemon.path
}

// TestMain removes the program that buildDaemon built.
func TestMain(m *testing.M) {
	code := m.Run()
	if daemon.path != "" {
		_ = os.RemoveAll(filepath.Dir(daemon.path))
	}
	os.Exit(code)
}

// defaultRunTime is how long a task runs.
const defaultRunTime = 100 * time.Millisecond

// startCluster starts hosts one after the other, so that the first one is the decider. Each may open so many files.
func startCluster(t *testing.T, hosts, files int) *cluster {
	t.Helper()
	return startClusterWith(t, hosts, files, defaultRunTime)
}

// startClusterWith starts hosts as startCluster does, with tasks that run for a time.
func startClusterWith(t *testing.T, hosts, files int, runTime time.Duration) *cluster {
	t.Helper()
	cluster := &cluster{t: t, store: emulator.NewStore(), program: buildDaemon(t), files: files}
	storeAddress, port := serve(t, cluster.store.Handler())
	cluster.port = port
	worker := emulator.NewWorker("w-1", service, "a", emulator.Amount{CPU: 1 << 20, MemMB: 1 << 20})
	worker.RunTime = runTime
	workerAddress, _ := serve(t, worker.Handler())
	cluster.keepRegistered(worker, workerAddress)
	cluster.store.PutConfiguration(emulator.Configuration{
		Version:  1,
		Routes:   []emulator.Route{{Name: "crowd", PathPrefix: prefix, Service: service, MaxAttempts: 3, Stretch: 2, TargetLatencyMS: 500}},
		Services: []emulator.Service{{Name: service}},
		Tenants:  []emulator.Tenant{{Name: "wardens", APIKeys: []string{knownKey}, Weight: 1000}},
		Limits:   emulator.Limits{MaxBodyBytes: maxBodyBytes},
	})
	for number := 1; number <= hosts; number++ {
		cluster.start(number, storeAddress)
	}
	return cluster
}

// serve serves a handler on a port of its own until the test ends.
func serve(t *testing.T, handler http.Handler) (string, int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), listener.Addr().(*net.TCPAddr).Port
}

func (cluster *cluster) keepRegistered(worker *emulator.Worker, address string) {
	stop := make(chan struct{})
	cluster.t.Cleanup(func() { close(stop) })
	cluster.store.Register(worker, address, false)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(registrationInterval):
				cluster.store.Register(worker, address, false)
			}
		}
	}()
}

// start starts a host and waits until it is ready.
func (cluster *cluster) start(number int, storeAddress string) {
	cluster.t.Helper()
	folder := cluster.t.TempDir()
	added := &host{number: number, port: cluster.port}
	first := &host{number: 1, port: cluster.port}
	settings := filepath.Join(folder, "host.ini")
	lines := []string{
		"[host]",
		fmt.Sprintf("name = h-%d", number),
		"zone = a",
		"httpAddress = " + added.address(httpGroup),
		"readinessAddress = " + added.address(readinessGroup),
		"peerAddress = " + added.address(peerGroup),
		"metricsAddress = " + added.address(metricsGroup),
		"seeds = " + first.address(peerGroup),
		fmt.Sprintf("memoryMB = %d", *memoryMB),
		fmt.Sprintf("mostFiles = %d", cluster.files),
		"[store]",
		"address = " + storeAddress,
		"[bounds]",
		"shutdownGrace = " + shutdownGrace.String(),
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		cluster.t.Fatal(err)
	}
	added.process = startProcess(cluster.t, filepath.Join(folder, "host.log"), cluster.files, cluster.program, "schedule", "--settings", settings)
	cluster.hosts = append(cluster.hosts, added)
	probe := caller.New(added.address(readinessGroup))
	defer probe.Close()
	for deadline := time.Now().Add(readyWithin); !probe.IsReady(); time.Sleep(sampleInterval) {
		if time.Now().After(deadline) || added.hasEnded() {
			cluster.t.Fatalf("host %d is not ready", number)
		}
	}
}
