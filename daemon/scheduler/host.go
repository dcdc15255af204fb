// Package scheduler implements the process of an entry host, which schedules jobs on a fleet of workers.
//
// Every host accepts API calls. One of them, the decider, is elected through the store and plans for the whole
// fleet; the others forward calls to it and can take over. Durable state is kept in the store: accepted jobs,
// their progress and the runs that may exist. The runs that actually exist are read from the workers.
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

	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/timekeeper"
	"ebonyshunt.org/library/budgeter"
	"ebonyshunt.org/library/drainer"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/receiver"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/platform/translator"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("scheduler")

// Host is the scheduler process of one entry host.
type Host struct {
	settings loader.Scheduling
	network  dialer.Network // for callers, operators and the load balancer
	traffic  traffic
	log      *slog.Logger
	bootID   string
	started  time.Time
	// suspensions adds to the time since started for how long the machine was suspended.
	suspensions *timekeeper.Suspensions
	clock       *recorder.Clock
	metrics     *metrics
	limits      *acceptor.Reporter
	// requestBudget is the memory for the submissions that this host receives, forwards and, as the decider, gets from peers.
	requestBudget *budgeter.Budget

	store           *translator.Store
	workers         *translator.WorkerClient
	peerNetwork     dialer.Network
	peerPool        *linker.Pool
	peerServer      *linker.Server
	httpServer      *http.Server
	httpListener    *acceptor.Listener
	readinessServer *http.Server
	metricsServer   *http.Server

	catalog         atomic.Pointer[planner.Catalog]
	catalogText     atomic.Pointer[[]byte] // encoded catalog, for peers that cannot read it from the store
	catalogFetcher  *catalogFetcher
	hedgedCaller    *hedgedCaller
	drains          drainer.Register
	fleet           *fleet
	undecodable     *undecodable
	storeAnsweredAt atomic.Int64 // uptime when the store last answered, in nanoseconds
	shuttingDown    atomic.Bool
	deciderStatus   deciderStatus
	leaseTerm       atomic.Int64 // lowest term in which this process may give leases
	echo            atomic.Pointer[deciderEcho]
	sessions        *sessions
	// strongerTransferAt is the uptime when this host last asked a stronger host to take over.
	strongerTransferAt time.Duration
	// slowTransferAt is the uptime in nanoseconds when this host last asked a peer to take over since it is slowed, or
	// was asked to take over itself.
	slowTransferAt atomic.Int64
	// relayTransferAt is the uptime when this host last asked a peer to take over because it could not reach the store.
	relayTransferAt time.Duration
	campaignBackoff time.Duration // wait after the next failed campaign
	campaigning     chan struct{} // holds an element during a campaign, and from the shutdown on

	mu     sync.Mutex
	tenure *tenure

	cancel context.CancelFunc
	ctx    context.Context
	wait   sync.WaitGroup
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	// writeTimeout ends connections whose clients do not read their answers, from the end of the head on.
	writeTimeout   = time.Minute
	maxHeaderBytes = 64 << 10
	// memoryLimitFraction is the part of the host's memory above which the Go runtime collects garbage more often.
	memoryLimitFraction = 0.7
	gcPercent           = 200
)

// Start starts a host and serves its addresses. It returns an error if it cannot listen on one of them.
func Start(settings loader.Scheduling, network dialer.Network, log *slog.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB<<20)))
	debug.SetGCPercent(gcPercent)
	clock := &recorder.Clock{}
	host := &Host{
		settings: settings, network: network, log: log, bootID: uuid.NewString(), started: time.Now(), suspensions: timekeeper.New(), campaignBackoff: minCampaignBackoff, campaigning: make(chan struct{}, 1), clock: clock,
		requestBudget: budgeter.New(acceptor.RequestMemory(settings.MemoryMB << 20)),
		fleet:         newFleet(), sessions: newSessions(), undecodable: newUndecodable(),
	}
	host.peerNetwork = network.Metered(&host.traffic.peers)
	host.peerPool = linker.NewPool(host.peerNetwork, settings.Host, clock)
	host.peerPool.Allowance = host.linkAllowance
	host.store = translator.NewStore(newHTTPClient(network.Metered(&host.traffic.store), maxStoreConns), settings.StoreAddress)
	host.store.MaxRecordBytes = int(settings.MaxRecordBytes)
	host.workers = translator.NewWorkerClient(newWorkerClient(network.Resetting().Metered(&host.traffic.workers), int(settings.MaxOpenFiles)))
	host.metrics = newMetrics(host)
	host.limits = acceptor.NewReporter(host.metrics.registry, log)
	host.catalogFetcher = newCatalogFetcher(host)
	host.hedgedCaller = newHedgedCaller(host)
	host.slowTransferAt.Store(-int64(slowTransferInterval))
	host.ctx, host.cancel = context.WithCancel(context.Background())
	if err := host.listen(); err != nil {
		host.Close()
		return nil, err
	}
	host.wait.Go(host.followCatalog)
	host.wait.Go(host.catalogFetcher.run)
	host.wait.Go(host.followFleet)
	host.wait.Go(host.watchDecider)
	log.Info("started", "host", settings.Host, "zone", settings.Zone, "boot", host.bootID)
	return host, nil
}

const (
	maxStoreConns     = 40
	maxConnsPerWorker = 4
	idleConnTimeout   = 30 * time.Second
)

// newHTTPClient returns an HTTP client with at most maxConns connections to each address.
func newHTTPClient(network dialer.Network, maxConns int) *http.Client {
	client := network.Client()
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.MaxConnsPerHost = maxConns
		transport.MaxIdleConnsPerHost = maxConns
		transport.IdleConnTimeout = idleConnTimeout
		transport.ExpectContinueTimeout = 0
	}
	return client
}

// idleConnDivisor limits the idle connections to workers: the number of file descriptors divided by it.
const idleConnDivisor = 4

// newWorkerClient returns the HTTP client for all workers. Its limit on idle connections leaves file
// descriptors for other uses.
func newWorkerClient(network dialer.Network, maxFiles int) *http.Client {
	client := newHTTPClient(network, maxConnsPerWorker)
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.MaxIdleConns = max(maxFiles/idleConnDivisor, maxConnsPerWorker)
	}
	return client
}

func (host *Host) listen() error {
	peers, err := host.listenWithin(peerListener, host.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen on peerAddress %s: %w", host.settings.PeerAddress, err)
	}
	host.peerServer = linker.Serve(peers, host.settings.Host, host.clock, host.peerMemory(), host.log, host.handlePeerCall)
	ingress := &translator.Ingress{
		Gateway:  &gateway{host: host},
		Bodies:   &receiver.Receiver{Budget: host.requestBudget, Timeout: host.settings.BodyTimeout},
		LimitMet: func(limit translator.Limit) { host.recordLimit(httpListener, string(limit)) },
	}
	host.httpListener, err = host.listenWithin(httpListener, host.settings.HTTPAddress)
	if err != nil {
		return fmt.Errorf("listen on httpAddress %s: %w", host.settings.HTTPAddress, err)
	}
	host.httpServer = host.serveOn(host.httpListener, ingress)
	host.readinessServer, err = host.serve(readinessListener, host.settings.ReadinessAddress, http.HandlerFunc(host.handleReadiness))
	if err != nil {
		return fmt.Errorf("listen on readinessAddress %s: %w", host.settings.ReadinessAddress, err)
	}
	if host.settings.MetricsAddress != "" {
		host.metricsServer, err = host.serve(metricsListener, host.settings.MetricsAddress, host.routes())
		if err != nil {
			return fmt.Errorf("listen on metricsAddress %s: %w", host.settings.MetricsAddress, err)
		}
	}
	return nil
}

func (host *Host) serve(name listenerName, address string, handler http.Handler) (*http.Server, error) {
	listener, err := host.listenWithin(name, address)
	if err != nil {
		return nil, err
	}
	return host.serveOn(listener, handler), nil
}

// serveOn serves HTTP on a listener until the host is closed.
func (host *Host) serveOn(listener *acceptor.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: acceptor.Handle(handler), ConnContext: acceptor.WithConn,
		ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(host.log.Handler(), slog.LevelDebug),
	}
	host.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			host.log.Error("http server stopped unexpectedly", "address", listener.Addr().String(), "error", err)
		}
	})
	return server
}

// handleReadiness reports to the load balancer whether to send new connections to this host: 200 if so, 503 if not.
func (host *Host) handleReadiness(writer http.ResponseWriter, _ *http.Request) {
	if host.shuttingDown.Load() || host.catalog.Load() == nil || !host.reachesDecider() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// drainTimeout is how long a host that shuts down waits for requests that it has not received completely.
const drainTimeout = time.Second

// shutdownTransferTimeout is how long a decider that shuts down waits for its successor.
const shutdownTransferTimeout = 1500 * time.Millisecond

// Shutdown transfers the decider role to another host, completes the requests in progress and closes the host.
// It stops waiting when ctx is done.
func (host *Host) Shutdown(ctx context.Context) {
	host.log.Info("stopping", "host", host.settings.Host)
	host.shuttingDown.Store(true)
	host.endCampaigns(ctx)
	if tenure := host.currentTenure(); tenure != nil {
		tenure.awaitMinTerm(ctx)
		transferCtx, cancel := context.WithTimeout(ctx, shutdownTransferTimeout)
		host.transferOnShutdown(transferCtx, tenure)
		cancel()
	}
	host.httpListener.Drain(drainTimeout)
	if err := host.httpServer.Shutdown(ctx); err != nil {
		host.log.Warn("shutdown cut off open requests", "error", err)
	}
	if tenure := host.currentTenure(); tenure != nil { // no peer was elected, but one will be after this host has ended
		tenure.beginHandover(ctx)
	}
	host.Close()
	host.log.Info("stopped", "host", host.settings.Host)
}

// Close stops the host immediately and waits for its goroutines.
func (host *Host) Close() {
	host.cancel()
	for _, server := range []*http.Server{host.httpServer, host.readinessServer, host.metricsServer} {
		if server != nil {
			_ = server.Close()
		}
	}
	if host.peerServer != nil {
		host.peerServer.Close()
	}
	host.peerPool.Close()
	host.catalogFetcher.close()
	host.hedgedCaller.close()
	if tenure := host.currentTenure(); tenure != nil {
		tenure.close()
	}
	host.wait.Wait()
}

// currentTenure returns this host's tenure, or nil while it is not the decider.
func (host *Host) currentTenure() *tenure {
	host.mu.Lock()
	defer host.mu.Unlock()
	return host.tenure
}

// uptime returns the time since the host started, with the time for which its machine was suspended.
func (host *Host) uptime() time.Duration { return time.Since(host.started) + host.suspensions.Total() }

// timeAt converts an uptime to a time of the monotonic clock. That clock stands still while the machine is suspended, so that an uptime
// from before a suspension converts to a time that is earlier by its length.
func (host *Host) timeAt(uptime time.Duration) time.Time {
	return host.started.Add(uptime - host.suspensions.Total())
}

func (host *Host) recordStoreAnswer() { host.storeAnsweredAt.Store(int64(host.uptime())) }

// sinceStoreAnswer returns the time since the store last answered this host.
func (host *Host) sinceStoreAnswer() time.Duration {
	return host.uptime() - time.Duration(host.storeAnsweredAt.Load())
}

// Deciding reports whether this host is the decider and has restored its planner from the journal.
func (host *Host) Deciding() bool {
	tenure := host.currentTenure()
	if tenure == nil {
		return false
	}
	select {
	case <-tenure.ready:
		return true
	default:
		return false
	}
}
