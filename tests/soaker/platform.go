package soaker

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ebonyshunt.org/standin/emulator"
)

// platform is the emulated platform: store, workers and the operator who writes the configuration.
type platform struct {
	store   *emulator.Store
	workers []*emulator.Worker
	port    int
	capCPU  int64 // of the team with the capped key
	servers []*http.Server
	stop    chan struct{}
	wait    sync.WaitGroup

	mu       sync.Mutex
	drains   map[string]int // how many events let a worker drain, by ID, or a zone, by name
	version  int            // of the newest configuration
	storedAt time.Time
}

const (
	registrationInterval = 1500 * time.Millisecond
	workerCPU            = 8000
	workerMemMB          = 32000
	maxLease             = 6 * time.Second
	stopTime             = 200 * time.Millisecond
	slowClock            = 0.98 // the speed of a worker's clock that the platform allows
	maxAttempts          = 3
	service              = "survey"
	teamWeight           = 1000 // of each team
	durableKey           = "soak-key"
	durablePrefix        = "/checks/"
	cappedKey            = "capped-key"
)

// startPlatform starts the servers of the store, one for each host, and those of the workers.
func startPlatform(plan Plan, port int) (*platform, error) {
	platform := &platform{store: emulator.NewStore(), port: port, capCPU: plan.CapCPU, stop: make(chan struct{}), drains: map[string]int{}}
	for host := 1; host <= plan.Hosts; host++ {
		// The addresses in what a host reads are those of its own links.
		handler := platform.store.HandlerWith(func(value []byte) { readdress(value, host) })
		if err := platform.serve(endpoint{storeGroup, host}, handler); err != nil {
			return platform, err
		}
	}
	for number := 1; number <= plan.Workers; number++ {
		worker := emulator.NewWorker(fmt.Sprintf("w-%d", number), service, zones[number%len(zones)], emulator.Amount{CPU: workerCPU, MemMB: workerMemMB})
		worker.MaxLease = maxLease
		worker.Simulate = func(task string, run int) (time.Duration, string) { return simulate(plan.Seed, task, run) }
		if number%4 == 0 {
			worker.ClockRate = slowClock
		}
		platform.workers = append(platform.workers, worker)
		if err := platform.serve(endpoint{workerGroup, number}, worker.Handler()); err != nil {
			return platform, err
		}
		platform.wait.Go(func() { platform.register(worker, endpoint{workerGroup, number}.address(listening, port)) })
	}
	platform.publish()
	return platform, nil
}

func (platform *platform) serve(at endpoint, handler http.Handler) error {
	listener, err := net.Listen("tcp", at.address(listening, platform.port))
	if err != nil {
		return fmt.Errorf("listen for %v: %w", at, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	platform.servers = append(platform.servers, server)
	platform.wait.Go(func() { _ = server.Serve(listener) })
	return nil
}

// register writes a worker's entry to the store at intervals.
func (platform *platform) register(worker *emulator.Worker, address string) {
	ticker := time.NewTicker(registrationInterval)
	defer ticker.Stop()
	for {
		platform.announce(worker, address)
		select {
		case <-ticker.C:
		case <-platform.stop:
			return
		}
	}
}

// announce writes a worker's entry to the store.
func (platform *platform) announce(worker *emulator.Worker, address string) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.store.Register(worker, address, platform.drains[worker.ID] > 0)
}

// drain changes how many events let a worker drain.
func (platform *platform) drain(number, change int) {
	worker := platform.workers[number-1]
	platform.mu.Lock()
	platform.drains[worker.ID] += change
	platform.mu.Unlock()
	platform.announce(worker, endpoint{workerGroup, number}.address(listening, platform.port))
}

// drainZone changes how many events drain a zone.
func (platform *platform) drainZone(zone string, change int) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.drains[zone] += change
	if platform.drains[zone] > 0 {
		platform.store.RequestDrain(zone)
	} else {
		platform.store.WithdrawDrain(zone)
	}
}

// Close stops all servers and waits for them.
func (platform *platform) Close() {
	close(platform.stop)
	for _, server := range platform.servers {
		_ = server.Close()
	}
	platform.wait.Wait()
}

// versionPrefix and versionKey are a queue and a key that only one version of the configuration has.
func versionPrefix(version int) string { return fmt.Sprintf("/only-%d/", version) }
func versionKey(version int) string    { return fmt.Sprintf("key-%d", version) }

// publish stores the next version of the configuration: its own queue and key come, those of the former version go.
func (platform *platform) publish() {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.version++
	route := func(prefix string) emulator.Route {
		return emulator.Route{Name: strings.Trim(prefix, "/"), PathPrefix: prefix, Service: service, MaxAttempts: maxAttempts, Stretch: 2, TargetLatencyMS: 500}
	}
	platform.store.PutConfiguration(emulator.Configuration{
		Version:  platform.version,
		Routes:   []emulator.Route{route(durablePrefix), route(versionPrefix(platform.version))},
		Services: []emulator.Service{{Name: service}},
		Tenants: []emulator.Tenant{
			{Name: "wardens", APIKeys: []string{durableKey, versionKey(platform.version)}, Weight: teamWeight},
			{Name: "council", APIKeys: []string{cappedKey}, Weight: teamWeight, Cap: &emulator.Amount{CPU: platform.capCPU}},
		},
		Limits: emulator.Limits{MaxBodyBytes: 4096},
	})
	platform.storedAt = time.Now()
}

// inForce returns the newest version and when it was stored.
func (platform *platform) inForce() (version int, storedAt time.Time) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.version, platform.storedAt
}

// simulate returns how long a run takes and how it ends, from the seed and the task's name. The members of a gang take
// equally long and do not fail, since the emulated workers do not end them together.
func simulate(seed uint64, task string, run int) (time.Duration, string) {
	kind := kindOf(task)
	name := fmt.Sprint(seed, task, run)
	if kind == gangJob {
		name = fmt.Sprint(seed, emulator.TrimIndex(task), run)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	random := hash.Sum64()
	share := float64(random>>11) / (1 << 53)
	switch {
	case kind == standingJob && random%4 == 0:
		return time.Second + time.Duration(share*float64(5*time.Second)), emulator.Failed
	case kind == standingJob:
		return time.Hour, emulator.Done
	case kind == longJob:
		return 4*time.Second + time.Duration(share*float64(4*time.Second)), emulator.Done
	case kind != gangJob && random%32 == 0:
		return 50 * time.Millisecond, emulator.Failed
	}
	return 50*time.Millisecond + time.Duration(share*float64(500*time.Millisecond)), emulator.Done
}
