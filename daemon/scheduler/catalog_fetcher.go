package scheduler

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/linker"
)

// CatalogRequest asks a peer for its configuration if it is newer than a version.
type CatalogRequest struct {
	Host    string `json:"host"` // name of the asking host
	Version int64  `json:"version"`
}

// CatalogAnswer is the answer to a CatalogRequest. All fields are zero if the peer has no newer configuration.
type CatalogAnswer struct {
	Version    int64  `json:"version,omitempty"`    // version of the peer's configuration
	Compressed []byte `json:"compressed,omitempty"` // the configuration as the operators wrote it, compressed by gzip
	Busy       bool   `json:"busy,omitempty"`       // the peer has just sent it to another host
}

const (
	// catalogFetchDelay is how long a host that lacks a newer configuration waits for the store to deliver it.
	catalogFetchDelay = 750 * time.Millisecond
	// minCatalogFetchInterval is the time between two requests to peers. It is doubled after each one that brought no newer
	// configuration.
	minCatalogFetchInterval = 100 * time.Millisecond
	maxCatalogFetchInterval = time.Second
	// catalogFetchTimeout allows for a large configuration over a slow link.
	catalogFetchTimeout = 4 * time.Second
	// catalogServeInterval is the minimum time between two copies that a host sends. A host that was asked too often is
	// relieved by those that have got a copy from it.
	catalogServeInterval = 150 * time.Millisecond
	// maxCatalogBytes bounds the decompressed configuration that a peer may send.
	maxCatalogBytes = 64 << 20
)

// catalogFetcher gets newer configurations from peers while the store does not deliver them. Heartbeats only tell
// versions: their answers have to arrive within heartbeatTimeout, which a large configuration on a slow link does not.
type catalogFetcher struct {
	host *Host
	pool *linker.Pool // with connections of its own, so that a copy delays no heartbeat

	mu              sync.Mutex
	reportedVersion int64  // newest version that a peer has reported
	reportedBy      string // address of that peer
	reported        chan struct{}

	served     atomic.Pointer[servedCatalog]
	lastSentAt atomic.Int64 // uptime when this host last sent a copy, in nanoseconds
}

// servedCatalog is a compressed configuration.
type servedCatalog struct {
	version    int64
	compressed []byte
}

func newCatalogFetcher(host *Host) *catalogFetcher {
	fetcher := &catalogFetcher{
		host: host, pool: linker.NewPool(host.peerNetwork, host.settings.Host, host.clock), reported: make(chan struct{}, 1),
	}
	fetcher.lastSentAt.Store(-int64(catalogServeInterval))
	return fetcher
}

// report records the version that a peer has in force.
func (catalogFetcher *catalogFetcher) report(version int64, address string) {
	if version <= catalogFetcher.host.catalogVersion() {
		return
	}
	catalogFetcher.mu.Lock()
	defer catalogFetcher.mu.Unlock()
	if version < catalogFetcher.reportedVersion {
		return
	}
	catalogFetcher.reportedVersion, catalogFetcher.reportedBy = version, address
	select {
	case catalogFetcher.reported <- struct{}{}:
	default:
	}
}

// run gets configurations from peers until the host is closed, one at a time.
func (catalogFetcher *catalogFetcher) run() {
	host := catalogFetcher.host
	for {
		select {
		case <-host.ctx.Done():
			return
		case <-catalogFetcher.reported:
		}
		sleep(host.ctx, catalogFetchDelay)
		catalogFetcher.fetchUntilCurrent()
	}
}

// fetchUntilCurrent asks peers until the newest version that one has reported is in force.
func (catalogFetcher *catalogFetcher) fetchUntilCurrent() {
	host := catalogFetcher.host
	interval := minCatalogFetchInterval
	for attempt := 0; host.ctx.Err() == nil && catalogFetcher.isBehind(); attempt++ {
		address, version := catalogFetcher.source(attempt), host.catalogVersion()
		if err := catalogFetcher.fetch(address); err != nil {
			host.log.Info("peer did not send its configuration", "peer", address, "error", err)
		}
		if host.catalogVersion() == version {
			interval = min(2*interval, maxCatalogFetchInterval)
		}
		sleep(host.ctx, interval/2+rand.N(interval/2)) // so that hosts do not ask in step
	}
}

// isBehind reports whether a peer has reported a newer version than the one in force.
func (catalogFetcher *catalogFetcher) isBehind() bool {
	catalogFetcher.mu.Lock()
	defer catalogFetcher.mu.Unlock()
	return catalogFetcher.reportedVersion > catalogFetcher.host.catalogVersion()
}

// source returns the address of the peer to ask. Every other attempt goes to a random peer, since most hosts hear of a
// version from the decider, which could not serve all of them at once.
func (catalogFetcher *catalogFetcher) source(attempt int) string {
	peers := catalogFetcher.host.fleet.others(catalogFetcher.host.settings.Host)
	if attempt%2 == 0 && len(peers) > 0 {
		return peers[rand.IntN(len(peers))].Address
	}
	catalogFetcher.mu.Lock()
	defer catalogFetcher.mu.Unlock()
	return catalogFetcher.reportedBy
}

// fetch asks a peer for a newer configuration and puts it in force.
func (catalogFetcher *catalogFetcher) fetch(address string) error {
	host := catalogFetcher.host
	ctx, cancel := context.WithTimeout(host.ctx, catalogFetchTimeout)
	defer cancel()
	var answer CatalogAnswer
	request := CatalogRequest{Host: host.settings.Host, Version: host.catalogVersion()}
	if err := catalogFetcher.pool.Call(ctx, address, methodCatalog, request, &answer); err != nil {
		return fmt.Errorf("get configuration from %s: %w", address, err)
	}
	if len(answer.Compressed) == 0 || answer.Version <= host.catalogVersion() {
		return nil // the store may have delivered it meanwhile
	}
	text, err := decompress(answer.Compressed)
	if err != nil {
		return fmt.Errorf("get configuration from %s: %w", address, err)
	}
	host.applyCatalog(text, "peer")
	return nil
}

// answer answers a peer that asks for a newer configuration.
func (catalogFetcher *catalogFetcher) answer(request CatalogRequest) (CatalogAnswer, error) {
	host := catalogFetcher.host
	version := host.catalogVersion()
	if version == 0 || version <= request.Version {
		return CatalogAnswer{}, nil
	}
	if !catalogFetcher.mayServe() {
		return CatalogAnswer{Version: version, Busy: true}, nil
	}
	served, err := catalogFetcher.compressedCatalog()
	if err != nil {
		return CatalogAnswer{}, err
	}
	host.metrics.sentCatalogBytes.Add(float64(len(served.compressed)))
	host.log.Info("configuration sent", "to", request.Host, "version", served.version, "bytes", len(served.compressed))
	return CatalogAnswer{Version: served.version, Compressed: served.compressed}, nil
}

// mayServe reports whether the last copy was sent long enough ago, and counts one more if so.
func (catalogFetcher *catalogFetcher) mayServe() bool {
	now := int64(catalogFetcher.host.uptime())
	last := catalogFetcher.lastSentAt.Load()
	return now-last >= int64(catalogServeInterval) && catalogFetcher.lastSentAt.CompareAndSwap(last, now)
}

// compressedCatalog returns the configuration in force. It is compressed once for each version.
func (catalogFetcher *catalogFetcher) compressedCatalog() (*servedCatalog, error) {
	host := catalogFetcher.host
	host.mu.Lock()
	version, text := host.catalogVersion(), host.catalogText.Load()
	host.mu.Unlock()
	if served := catalogFetcher.served.Load(); served != nil && served.version == version {
		return served, nil
	}
	compressed, err := compress(*text)
	if err != nil {
		return nil, err
	}
	served := &servedCatalog{version: version, compressed: compressed}
	catalogFetcher.served.Store(served)
	return served, nil
}

// close closes the connections to peers.
func (catalogFetcher *catalogFetcher) close() { catalogFetcher.pool.Close() }

func compress(text []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := writer.Write(text); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return buffer.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxCatalogBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(text) > maxCatalogBytes {
		return nil, Error.New("decompress configuration: it has more than %d bytes", maxCatalogBytes)
	}
	return text, nil
}
