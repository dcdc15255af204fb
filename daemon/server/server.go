// Package server is the daemon: it takes requests from callers, decides for its zone when it is the one
// to do so, and keeps configuration and accepted work with its peers.
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

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/daemon/tailer"
	"ebonyshunt.org/library/admitter"
	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/keeper"
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
	started     time.Time
	metrics     *metrics

	Timeline *recorder.Ring

	register  *replayer.Register
	viewer    *viewer.Viewer
	tailer    *tailer.Tailer
	logClient *logger.Client
	lists     *lister.Client
	workers   *starter.Client
	transport *http.Client

	peers    *detector.Detector
	pool     *linker.Pool
	links    *linker.Server
	kept     *keeper.Table
	gate     *admitter.Gate
	budget   *retrier.Budget
	http     *http.Server
	inFlight sync.WaitGroup

	leaving   atomic.Bool
	fetching  atomic.Bool
	misplaced atomic.Pointer[string] // zone of the platform's list, where it is another one
	knewZone  atomic.Bool            // copies of the zone's records came to this host
	abandoned context.Context        // done once shutdown gives up waiting
	abandon   context.CancelFunc
	ending    context.Context // done once a stopping host ends its streams of records
	endAll    context.CancelFunc
	requests  sync.Map // request ID to when it arrived

	mu           sync.Mutex
	closed       bool
	leftAt       time.Time
	tenure       *tenure
	sentBeats    map[sentTo]Beat
	heardBeats   map[string]Beat     // last whole beat, by host
	peerCalls    map[string]peerCall // by peer: ends when it is no longer the live process that was called
	handedBack   map[string]string   // by zone: the decider that has this host's copies
	hosts        []lister.Host
	peerStale    time.Duration // of the freshest peer, at peerStaleAt
	peerStaleAt  time.Time
	sectionsWait chan struct{} // closed when the register moves

	beats  int // rounds of beats, of the one goroutine that sends them
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

const (
	zoneBeat       = 350 * time.Millisecond
	fleetBeat      = 6 * zoneBeat
	livenessEvery  = 50 * time.Millisecond
	peerTimeout    = 3 * zoneBeat
	fleetTimeout   = 3 * fleetBeat
	listEvery      = time.Second
	callTimeout    = 500 * time.Millisecond
	retryRatio     = 0.1
	retryBurst     = 10
	expireEvery    = 5 * time.Second
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	mostHeaderSize = 64 << 10
)

// Start begins to serve. It fails when an address cannot be listened on.
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
	server := build(settings, network, log)
	server.run(listener, peerListener)
	return server, nil
}

func build(settings loader.Settings, network dialer.Network, log *slog.Logger) *Server {
	client := network.Client()
	ring := recorder.New(settings.Host, settings.Zone, settings.TimelineSize)
	server := &Server{
		settings:     settings,
		log:          log.With("host", settings.Host, "zone", settings.Zone),
		incarnation:  uuid.NewString(),
		started:      time.Now(),
		handedBack:   map[string]string{},
		peerCalls:    map[string]peerCall{},
		sentBeats:    map[sentTo]Beat{},
		heardBeats:   map[string]Beat{},
		metrics:      newMetrics(),
		Timeline:     ring,
		register:     &replayer.Register{},
		viewer:       viewer.New(),
		logClient:    logger.New(client, settings.LogAddress, settings.Stream),
		lists:        lister.New(client, settings.ListAddress),
		workers:      starter.New(client),
		transport:    client,
		peers:        detector.New(settings.Zone, peerTimeout, fleetTimeout),
		pool:         linker.NewPool(network, settings.Host, ring.Clock),
		kept:         &keeper.Table{},
		gate:         admitter.New(settings.MostRequests),
		budget:       retrier.NewBudget(retryRatio, retryBurst),
		sectionsWait: make(chan struct{}),
	}
	server.abandoned, server.abandon = context.WithCancel(context.Background())
	server.ending, server.endAll = context.WithCancel(context.Background())
	server.metrics.observe(server)
	return server
}

func (server *Server) run(listener, peerListener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	server.cancel = cancel
	server.tailer = tailer.Start(server.logClient, server.register, server.log, server.moved)
	server.links = linker.Serve(peerListener, server.settings.Host, server.Timeline.Clock, server.answer)
	server.http = &http.Server{
		Handler:           server.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    mostHeaderSize,
		ErrorLog:          slog.NewLogLogger(server.log.Handler(), slog.LevelDebug),
	}
	server.wait.Go(func() { _ = server.http.Serve(listener) })
	server.wait.Go(func() { server.every(ctx, listEvery, server.pollHosts) })
	server.wait.Go(func() { server.every(ctx, zoneBeat, server.beat) })
	server.wait.Go(func() { server.every(ctx, livenessEvery, server.checkPeers) })
	server.wait.Go(func() { server.every(ctx, expireEvery, server.expire) })
	server.wait.Go(func() { server.every(ctx, checkpointEvery, server.checkpoint) })
	server.log.Info("started", "http", server.settings.HTTPAddress, "peers", server.settings.PeerAddress,
		"region", server.settings.Region, "log", server.settings.LogAddress, "list", server.settings.ListAddress)
	server.Timeline.Record(recorder.Event{Kind: "hostStarted", Detail: server.incarnation})
}

// every calls a step at once and then at an interval, until the context ends.
func (server *Server) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
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

// expire drops what is past its time.
func (server *Server) expire(context.Context) {
	server.kept.Expire(time.Now())
	if tenure := server.deciding(); tenure != nil {
		tenure.expire(time.Now())
	}
}

// pollHosts fetches the platform's list and hands the zone's workers to the decider.
func (server *Server) pollHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listEvery)
	defer cancel()
	list, err := server.lists.Fetch(ctx)
	if err != nil {
		server.log.Debug("host list not fetched", "error", err)
		return
	}
	server.mu.Lock()
	server.hosts = list.Hosts
	server.mu.Unlock()
	server.checkZone(list)
	if tenure := server.deciding(); tenure != nil {
		tenure.refresh()
	}
}

// checkZone takes the host out of service while the platform lists it in another zone than its settings.
func (server *Server) checkZone(list lister.List) {
	misplaced := ""
	for _, host := range list.Hosts {
		if host.Kind == lister.KindEntry && host.Name == server.settings.Host && host.Zone != server.settings.Zone {
			misplaced = host.Zone
		}
	}
	if former := server.misplaced.Swap(&misplaced); (former == nil || *former != misplaced) && misplaced != "" {
		server.log.Error("settings are for another zone: correct [host] zone", "settings", server.settings.Zone, "list", misplaced)
	}
}

// listedElsewhere returns the zone in which the platform lists this host, if it is not that of the settings.
func (server *Server) listedElsewhere() string {
	if zone := server.misplaced.Load(); zone != nil {
		return *zone
	}
	return ""
}

// listed returns the hosts of the platform's last list.
func (server *Server) listed() []lister.Host {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.hosts
}

// deciding returns the present tenure, or nil when this host does not decide.
func (server *Server) deciding() *tenure {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.tenure
}

// moved takes over what changed in the register after an offset.
func (server *Server) moved(since int64) {
	state := server.register.Since(since)
	for _, section := range server.viewer.Update(state) {
		server.log.Warn("section does not decode, its last text stays in force", "section", section)
		server.Timeline.Record(recorder.Event{Kind: "sectionUndecodable", Section: section})
	}
	for _, version := range state.Sections {
		detail := fmt.Sprintf("version %d by %s", version.Number, version.Author)
		server.Timeline.Record(recorder.Event{Kind: "sectionInForce", Section: version.Section, Detail: detail})
	}
	server.mu.Lock()
	close(server.sectionsWait)
	server.sectionsWait = make(chan struct{})
	server.mu.Unlock()
	if tenure := server.deciding(); tenure != nil {
		tenure.refresh()
	}
}

// answer handles the calls of peers.
func (server *Server) answer(ctx context.Context, from, method string, body json.RawMessage) (any, error) {
	switch method {
	case methodBeat:
		return handle(body, server.answerBeat)
	case methodSections:
		return handle(body, func(call SectionsCall) (replayer.State, error) {
			return server.register.Since(call.Since), nil
		})
	case methodKeep:
		return handle(body, server.keepFor)
	case methodKept:
		return handle(body, func(call KeptCall) (KeptAnswer, error) {
			return KeptAnswer{Records: server.kept.Home(call.Zone)}, nil
		})
	case methodTimeline:
		return handle(body, func(filter recorder.Filter) ([]recorder.Event, error) {
			return server.Timeline.Events(filter), nil
		})
	}
	tenure := server.deciding()
	if tenure == nil {
		return nil, errNotDeciding
	}
	return tenure.answer(ctx, from, method, body)
}

// handle decodes the body of a call and passes it on.
func handle[Call, Answer any](body json.RawMessage, next func(Call) (Answer, error)) (any, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	return next(call)
}

var errNotDeciding = Error.New("this host does not decide for its zone")

// enter counts a handler in flight, unless the process is ending.
func (server *Server) enter() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.closed {
		return false
	}
	server.inFlight.Add(1)
	return true
}

// Close ends the process at once, as a crash would, and waits for its goroutines.
func (server *Server) Close() {
	server.mu.Lock()
	server.closed = true
	server.mu.Unlock()
	server.endAll()
	server.abandon()
	server.cancel()
	server.setTenure(nil)
	_ = server.http.Close()
	server.links.Close()
	server.pool.Close()
	server.tailer.Close()
	server.transport.CloseIdleConnections()
	server.wait.Wait()
	server.setTenure(nil)
	server.inFlight.Wait()
	server.transport.CloseIdleConnections()
}
