// Package scheduler is the process of an entry host that schedules jobs on a fleet of workers.
//
// Every host takes calls from callers. One of them, elected through the store, plans for the fleet; the
// others hand their calls to it and stand by. What lasts is in the store: accepted jobs, their progress
// and the runs that may exist. What runs is read from the workers.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/platform/translator"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("scheduler")

// Host is one process on an entry host.
type Host struct {
	settings loader.Scheduling
	network  dialer.Network
	log      *slog.Logger
	boot     string
	started  time.Time
	clock    *recorder.Clock
	metrics  *metrics

	store  *translator.Store
	orders *translator.Orders
	pool   *linker.Pool
	links  *linker.Server
	front  *http.Server
	ready  *http.Server
	status *http.Server

	catalog    atomic.Pointer[planner.Catalog]
	raw        atomic.Pointer[[]byte] // text of the catalog, for peers that the store turns away
	fleet      *fleet
	storeAt    atomic.Int64 // when the store last answered, Unix nanoseconds on the steady clock's base
	leaving    atomic.Bool
	watching   watchState
	yieldedAt  time.Duration // uptime when the host last offered to hand over
	relievedAt atomic.Int64  // uptime when the host last asked a peer to relieve it, or relieved one, nanoseconds
	passedAt   time.Duration // uptime when the host last asked a peer to decide because the store is out of its reach
	rest       time.Duration // before the next campaign, after one that failed

	mu     sync.Mutex
	tenure *tenure

	cancel context.CancelFunc
	ctx    context.Context
	wait   sync.WaitGroup
}

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute
	mostHeader     = 64 << 10
	memoryFraction = 0.7 // of the host's memory that the runtime may use before it collects harder
	collectPercent = 200
)

// Start begins to serve. It fails when an address cannot be listened on.
func Start(settings loader.Scheduling, network dialer.Network, log *slog.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(memoryFraction * float64(settings.MemoryMB<<20)))
	debug.SetGCPercent(collectPercent)
	clock := &recorder.Clock{}
	host := &Host{
		settings: settings, network: network, log: log, boot: uuid.NewString(), started: time.Now(), rest: firstRest, clock: clock,
		store:  translator.NewStore(client(network, storeConns), settings.StoreAddress),
		orders: translator.NewOrders(workerClient(network, int(settings.MostFiles))),
		pool:   linker.NewPool(network, settings.Host, clock),
		fleet:  newFleet(),
	}
	host.metrics = newMetrics(host)
	host.relievedAt.Store(-int64(reliefPause))
	host.ctx, host.cancel = context.WithCancel(context.Background())
	if err := host.listen(); err != nil {
		host.Close()
		return nil, err
	}
	host.wait.Go(host.followCatalog)
	host.wait.Go(host.followFleet)
	host.wait.Go(host.watch)
	log.Info("started", "host", settings.Host, "zone", settings.Zone, "boot", host.boot)
	return host, nil
}

const (
	storeConns    = 40
	workerConns   = 4
	connectWithin = time.Second
	idleConn      = 30 * time.Second
)

// client returns an HTTP client that keeps up to some connections to each address.
func client(network dialer.Network, conns int) *http.Client {
	made := network.Client()
	if transport, ok := made.Transport.(*http.Transport); ok {
		transport.MaxConnsPerHost = conns
		transport.MaxIdleConnsPerHost = conns
		transport.IdleConnTimeout = idleConn
		transport.ExpectContinueTimeout = 0
	}
	return made
}

// idleFraction is the part of the descriptors, as a divisor, that connections to workers may take while idle.
const idleFraction = 4

// workerClient returns a client for all workers, whose idle connections leave descriptors for others.
func workerClient(network dialer.Network, files int) *http.Client {
	made := client(network, workerConns)
	if transport, ok := made.Transport.(*http.Transport); ok {
		transport.MaxIdleConns = max(files/idleFraction, workerConns)
	}
	return made
}

func (host *Host) listen() error {
	peers, err := host.network.Listen(host.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen on peerAddress %s: %w", host.settings.PeerAddress, err)
	}
	host.links = linker.Serve(peers, host.settings.Host, host.clock, host.handle)
	ingress := &translator.Ingress{Gateway: &gateway{host: host}}
	host.front, err = host.serve(host.settings.HTTPAddress, ingress)
	if err != nil {
		return fmt.Errorf("listen on httpAddress %s: %w", host.settings.HTTPAddress, err)
	}
	host.ready, err = host.serve(host.settings.ReadinessAddress, http.HandlerFunc(host.answerReady))
	if err != nil {
		return fmt.Errorf("listen on readinessAddress %s: %w", host.settings.ReadinessAddress, err)
	}
	if host.settings.MetricsAddress != "" {
		host.status, err = host.serve(host.settings.MetricsAddress, host.routes())
		if err != nil {
			return fmt.Errorf("listen on metricsAddress %s: %w", host.settings.MetricsAddress, err)
		}
	}
	return nil
}

func (host *Host) serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := host.network.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: mostHeader,
		ErrorLog: slog.NewLogLogger(host.log.Handler(), slog.LevelDebug),
	}
	host.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			host.log.Error("listener ended", "address", address, "error", err)
		}
	})
	return server, nil
}

// answerReady tells the balancer whether to send new connections here.
func (host *Host) answerReady(writer http.ResponseWriter, _ *http.Request) {
	if host.leaving.Load() || host.catalog.Load() == nil || !host.reachesDecider() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// handOver is how long a leaving decider waits for its successor.
const handOver = 1500 * time.Millisecond

// Shutdown lets another host decide, answers what it has taken, and closes. It gives up when ctx is done.
func (host *Host) Shutdown(ctx context.Context) {
	host.log.Info("stopping", "host", host.settings.Host)
	host.leaving.Store(true)
	if host.present() != nil {
		handed, cancel := context.WithTimeout(ctx, handOver)
		host.handOver(handed)
		cancel()
	}
	if err := host.front.Shutdown(ctx); err != nil {
		host.log.Warn("callers were cut off", "error", err)
	}
	host.Close()
	host.log.Info("stopped", "host", host.settings.Host)
}

// Close ends all at once and waits for what was started.
func (host *Host) Close() {
	host.cancel()
	for _, server := range []*http.Server{host.front, host.ready, host.status} {
		if server != nil {
			_ = server.Close()
		}
	}
	if host.links != nil {
		host.links.Close()
	}
	host.pool.Close()
	if tenure := host.present(); tenure != nil {
		tenure.close()
	}
	host.wait.Wait()
}

// present returns the host's own tenure, or nil while another host decides.
func (host *Host) present() *tenure {
	host.mu.Lock()
	defer host.mu.Unlock()
	return host.tenure
}

// uptime returns the time since the host was started, on the steady clock.
func (host *Host) uptime() time.Duration { return time.Since(host.started) }

func (host *Host) storeAnswered() { host.storeAt.Store(int64(host.uptime())) }

// storeSilent returns for how long the store has not answered this host.
func (host *Host) storeSilent() time.Duration {
	return host.uptime() - time.Duration(host.storeAt.Load())
}

// Deciding reports whether the host plans for the fleet and has read the journal.
func (host *Host) Deciding() bool {
	tenure := host.present()
	if tenure == nil {
		return false
	}
	select {
	case <-tenure.opened:
		return true
	default:
		return false
	}
}
