// Package server implements the daemon of an entry host. It serves the requests of callers, schedules the work
// of its zone while it is the zone's decider, and replicates configuration and accepted work to its peers.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/acceptor"
	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/daemon/tailer"
	"ebonyshunt.org/library/admitter"
	"ebonyshunt.org/library/budgeter"
	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/receiver"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/retrier"
	"ebonyshunt.org/library/viewer"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("server")

// Server is one process on an entry host.
type Server struct {
	settings    loader.Settings
	log         *slog.Logger
	incarnation string
	startedAt   time.Time
	metrics     *metrics
	limits      *acceptor.Reporter
	bodies      *receiver.Receiver // reads the bodies that are kept in memory
	jobAnswers  *budgeter.Budget   // for jobs that are sent to callers

	Timeline *recorder.Ring

	register     *replayer.Register
	viewer       *viewer.Viewer
	tailer       *tailer.Tailer
	logClient    *logger.Client
	listClient   *lister.Client
	workerClient *starter.Client
	httpClient   *http.Client

	peers       *detector.Detector
	peerPool    *linker.Pool
	peerServer  *linker.Server
	records     *keeper.Table
	admission   *admitter.Gate
	retryBudget *retrier.Budget
	httpServer  *http.Server
	inFlight    sync.WaitGroup // HTTP handlers, and the reports to deciders that they send in the background

	shuttingDown      atomic.Bool
	fetchingSections  atomic.Bool
	otherListedZone   atomic.Pointer[string] // zone in which the platform lists this host, empty if it is that of the settings
	hasZoneRecords    atomic.Bool            // this host has copies of all records of its own zone
	abandonContext    context.Context        // canceled when shutdown no longer waits for requests
	abandon           context.CancelFunc
	endStreamsContext context.Context // canceled when a stopping host ends its streams of records
	endStreams        context.CancelFunc
	activeRequests    sync.Map // requests in flight: ID (string) to arrival time (time.Time)

	mu                 sync.Mutex
	closed             bool
	shutdownStartedAt  time.Time
	tenure             *tenure
	sentHeartbeats     map[heartbeatTarget]Heartbeat
	receivedHeartbeats map[string]Heartbeat   // last full heartbeat, by host name
	peerContexts       map[string]peerContext // by host name
	handedBackTo       map[string]string      // by zone: incarnation and term of the decider that got this host's records
	hosts              []lister.Host
	peerStaleness      time.Duration // staleness of the freshest peer at peerStalenessAt
	peerStalenessAt    time.Time
	sectionsChanged    chan struct{} // closed and replaced when the register changes

	heartbeatRounds int // number of calls of sendDueHeartbeats; only its goroutine uses it
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup // other goroutines, except those of the tenure
}

const (
	zoneHeartbeatInterval  = 350 * time.Millisecond
	fleetHeartbeatInterval = 6 * zoneHeartbeatInterval
	livenessInterval       = 50 * time.Millisecond
	peerTimeout            = 3 * zoneHeartbeatInterval
	fleetTimeout           = 3 * fleetHeartbeatInterval
	listInterval           = time.Second
	callTimeout            = 500 * time.Millisecond
	retryRatio             = 0.1
	retryBurst             = 10
	expireInterval         = 5 * time.Second
	headerTimeout          = 10 * time.Second
	idleTimeout            = 2 * time.Minute
	maxHeaderBytes         = 64 << 10
)

// Start starts a server. It returns an error if it cannot listen on one of its addresses.
func Start(settings loader.Settings, network dialer.Network, log *slog.Logger) (*Server, error) {
	settings = settings.WithDefaults()
	listener, err := network.Listen(settings.HTTPAddress)
	if err != nil {
		return nil, fmt.Errorf("listen on httpAddress %s: %w", settings.HTTPAddress, err)
	}
	peerListener, err := network.Listen(settings.PeerAddress)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen on peerAddress %s: %w", settings.PeerAddress, err), listener.Close())
	}
	server := newServer(settings, network, log)
	server.run(listener, peerListener)
	return server, nil
}

func newServer(settings loader.Settings, network dialer.Network, log *slog.Logger) *Server {
	client := network.Client()
	workers := network.Buffered(answerBuffers(settings.MemoryMB << 20))
	ring := recorder.New(settings.Host, settings.Zone, settings.TimelineSize)
	server := &Server{
		settings:           settings,
		log:                log.With("host", settings.Host, "zone", settings.Zone),
		incarnation:        uuid.NewString(),
		startedAt:          time.Now(),
		handedBackTo:       map[string]string{},
		peerContexts:       map[string]peerContext{},
		sentHeartbeats:     map[heartbeatTarget]Heartbeat{},
		receivedHeartbeats: map[string]Heartbeat{},
		metrics:            newMetrics(),
		Timeline:           ring,
		register:           &replayer.Register{},
		viewer:             viewer.New(),
		logClient:          logger.New(client, settings.LogAddress, settings.Stream),
		listClient:         lister.New(client, settings.ListAddress),
		workerClient:       starter.New(workers.Client()),
		httpClient:         client,
		peers:              detector.New(settings.Zone, peerTimeout, fleetTimeout),
		peerPool:           linker.NewPool(network, settings.Host, ring.Clock),
		records:            &keeper.Table{},
		admission:          admitter.New(settings.MaxRequestsInFlight),
		retryBudget:        retrier.NewBudget(retryRatio, retryBurst),
		sectionsChanged:    make(chan struct{}),
	}
	server.abandonContext, server.abandon = context.WithCancel(context.Background())
	server.endStreamsContext, server.endStreams = context.WithCancel(context.Background())
	server.metrics.registerGauges(server)
	server.limits = acceptor.NewReporter(server.metrics.registry, server.log)
	server.jobAnswers = budgeter.New(settings.MemoryMB << 20 / jobAnswerMemoryShare)
	server.bodies = &receiver.Receiver{Budget: budgeter.New(acceptor.RequestMemory(settings.MemoryMB << 20)), Timeout: receiveTimeout}
	return server
}

func (server *Server) run(listener, peerListener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	server.cancel = cancel
	server.tailer = tailer.Start(server.logClient, server.register, server.log, server.applyChanges)
	server.peerServer = linker.Serve(server.limitPeers(peerListener), server.settings.Host, server.Timeline.Clock, server.peerMemory(), server.log, server.handlePeerCall)
	server.httpServer = &http.Server{
		Handler:           acceptor.Handle(server.routes()),
		ConnContext:       acceptor.WithConn,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(server.log.Handler(), slog.LevelDebug),
	}
	callers := server.limitCallers(listener)
	server.goroutines.Go(func() { _ = server.httpServer.Serve(callers) })
	server.goroutines.Go(func() { server.runEvery(ctx, listInterval, server.pollHosts) })
	server.goroutines.Go(func() { server.runEvery(ctx, zoneHeartbeatInterval, server.sendDueHeartbeats) })
	server.goroutines.Go(func() { server.runEvery(ctx, livenessInterval, server.checkPeers) })
	server.goroutines.Go(func() { server.runEvery(ctx, expireInterval, server.removeExpired) })
	server.goroutines.Go(func() { server.runEvery(ctx, checkpointInterval, server.appendCheckpoint) })
	server.log.Info("started", "http", server.settings.HTTPAddress, "peers", server.settings.PeerAddress,
		"region", server.settings.Region, "log", server.settings.LogAddress, "list", server.settings.ListAddress)
	server.Timeline.Record(recorder.Event{Kind: "hostStarted", Detail: server.incarnation})
}

// runEvery calls step immediately and then at the interval until the context ends.
func (server *Server) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// removeExpired removes expired records and, while this host is the decider, expired state of the tenure.
func (server *Server) removeExpired(context.Context) {
	server.records.Expire(time.Now())
	if tenure := server.currentTenure(); tenure != nil {
		tenure.removeExpired(time.Now())
	}
}

// pollHosts fetches the platform's host list and updates the decider with the workers of the zone.
func (server *Server) pollHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	list, err := server.listClient.Fetch(ctx)
	if err != nil {
		server.log.Debug("host list not fetched", "error", err)
		return
	}
	server.mu.Lock()
	server.hosts = list.Hosts
	server.mu.Unlock()
	server.checkZone(list)
	if tenure := server.currentTenure(); tenure != nil {
		tenure.refresh()
	}
}

// checkZone compares the zone of this host on the platform's list with that of the settings. While they differ, the
// host is not ready and begins no term.
func (server *Server) checkZone(list lister.List) {
	otherZone := ""
	for _, host := range list.Hosts {
		if host.Kind == lister.KindEntry && host.Name == server.settings.Host && host.Zone != server.settings.Zone {
			otherZone = host.Zone
		}
	}
	if former := server.otherListedZone.Swap(&otherZone); (former == nil || *former != otherZone) && otherZone != "" {
		server.log.Error("settings are for another zone: correct [host] zone", "settings", server.settings.Zone, "list", otherZone)
	}
}

// conflictingZone returns the zone in which the platform lists this host if it differs from that of the settings,
// else "".
func (server *Server) conflictingZone() string {
	if zone := server.otherListedZone.Load(); zone != nil {
		return *zone
	}
	return ""
}

// listedHosts returns the hosts of the last list that was fetched from the platform.
func (server *Server) listedHosts() []lister.Host {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.hosts
}

// currentTenure returns the current tenure, or nil if this host is not the decider of its zone.
func (server *Server) currentTenure() *tenure {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.tenure
}

// applyChanges applies the changes in the register after an offset to the view, the timeline and the decider, and
// wakes the callers that wait for a change.
func (server *Server) applyChanges(since int64) {
	state := server.register.Since(since)
	for _, section := range server.viewer.Update(state) {
		server.log.Warn("section does not decode: its last valid version stays in force", "section", section)
		server.Timeline.Record(recorder.Event{Kind: "sectionUndecodable", Section: section})
	}
	for _, version := range state.Sections {
		detail := fmt.Sprintf("version %d by %s", version.Offset, version.Author)
		server.Timeline.Record(recorder.Event{Kind: "sectionInForce", Section: version.Section, Detail: detail})
	}
	server.mu.Lock()
	close(server.sectionsChanged)
	server.sectionsChanged = make(chan struct{})
	server.mu.Unlock()
	if tenure := server.currentTenure(); tenure != nil {
		tenure.refresh()
	}
}

// handlePeerCall handles the calls of peers. Methods that only a decider serves go to the current tenure.
func (server *Server) handlePeerCall(ctx context.Context, from, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodHeartbeat:
		return decodeAndCall(body, server.handleHeartbeat)
	case methodSections:
		return decodeAndCall(body, func(call SectionsCall) (replayer.State, error) {
			return server.register.Since(call.Since), nil
		})
	case methodStoreRecords:
		return decodeAndCall(body, server.storeRecords)
	case methodListRecords:
		return decodeAndCall(body, func(call ListRecordsCall) (ListRecordsAnswer, error) {
			return ListRecordsAnswer{Records: server.records.ByHome(call.Zone)}, nil
		})
	case methodReplicas:
		return decodeAndCall(body, func(struct{}) (ReplicasAnswer, error) {
			tenure := server.currentTenure()
			if tenure == nil {
				return ReplicasAnswer{}, errNotDeciding
			}
			return ReplicasAnswer{Complete: tenure.replicasComplete()}, nil
		})
	case methodTimeline:
		return decodeAndCall(body, func(filter recorder.Filter) ([]recorder.Event, error) {
			return server.Timeline.Events(filter), nil
		})
	}
	tenure := server.currentTenure()
	if tenure == nil {
		return nil, errNotDeciding
	}
	return tenure.handleCall(ctx, from, method, body)
}

// decodeAndCall decodes the body of a call and calls next with it.
func decodeAndCall[Call, Answer any](body json.RawMessage, next func(Call) (Answer, error)) (any, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	return next(call)
}

var errNotDeciding = Error.New("this host does not decide for its zone")

// beginHandler adds a handler to inFlight. It returns false if the server is closed.
func (server *Server) beginHandler() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.closed {
		return false
	}
	server.inFlight.Add(1)
	return true
}

// Close stops the server immediately, as a crash would: requests are not drained. It waits for all goroutines.
func (server *Server) Close() {
	server.mu.Lock()
	server.closed = true
	server.mu.Unlock()
	server.endStreams()
	server.abandon()
	server.cancel()
	server.replaceTenure(nil)
	_ = server.httpServer.Close()
	server.peerServer.Close()
	server.peerPool.Close()
	server.tailer.Close()
	server.httpClient.CloseIdleConnections()
	server.goroutines.Wait()
	server.replaceTenure(nil)
	server.inFlight.Wait()
	server.httpClient.CloseIdleConnections()
}
