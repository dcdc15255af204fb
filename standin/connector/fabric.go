// Package connector implements an in-memory network for tests. Paths between hosts can be cut, and hosts can be
// paused, reset or killed.
package connector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"ebonyshunt.org/daemon/dialer"
)

// Fabric is an in-memory network. Hosts are identified by name; an address is only a key under which a host listens.
type Fabric struct {
	Latency time.Duration // one-way delay of data

	mu           sync.Mutex
	listeners    map[string]*listener
	cuts         map[hostPair]int // number of cuts in force on each path
	refusals     map[hostPair]int // number of those that refuse connections
	paused       map[string]bool
	conns        map[*conn]bool
	opened       int64 // connections opened so far
	traffic      map[string]int64
	sent         map[string]int64
	bandwidths   map[string]int64         // of the hosts' links, in bytes per second and direction
	linkBusy     map[linkDirection][]span // when each link passes the data that was sent so far, in order of time
	delays       map[string]time.Duration // added to the latency of what the hosts send and receive
	pathsChanged chan struct{}            // closed and replaced when a path or listener changes
}

// notifyChange wakes all pending dials, reads, writes and accepts after a path or listener changed.
// The caller holds the lock.
func (fabric *Fabric) notifyChange() {
	close(fabric.pathsChanged)
	fabric.pathsChanged = make(chan struct{})
	for conn := range fabric.conns {
		conn.changed.Broadcast()
	}
	for _, listener := range fabric.listeners {
		listener.changed.Broadcast()
	}
}

// New returns a fabric without hosts or cuts, with the given one-way latency.
func New(latency time.Duration) *Fabric {
	return &Fabric{
		Latency:      latency,
		listeners:    map[string]*listener{},
		cuts:         map[hostPair]int{},
		refusals:     map[hostPair]int{},
		paused:       map[string]bool{},
		conns:        map[*conn]bool{},
		traffic:      map[string]int64{},
		sent:         map[string]int64{},
		bandwidths:   map[string]int64{},
		linkBusy:     map[linkDirection][]span{},
		delays:       map[string]time.Duration{},
		pathsChanged: make(chan struct{}),
	}
}

// Host returns the network interface of the named host.
func (fabric *Fabric) Host(name string) dialer.Network {
	return dialer.Network{
		Listen: func(address string) (net.Listener, error) { return fabric.listen(name, address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return fabric.dial(ctx, name, address)
		},
	}
}

// Traffic returns the number of bytes sent from and to a host so far.
func (fabric *Fabric) Traffic(host string) int64 {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	return fabric.traffic[host]
}

// BusierDirection returns the number of bytes that a host has sent or received so far, whichever is more.
func (fabric *Fabric) BusierDirection(host string) int64 {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	return max(fabric.sent[host], fabric.traffic[host]-fabric.sent[host])
}

// linkDirection is one direction of a host's link.
type linkDirection struct {
	host    string
	inbound bool
}

// SetBandwidth limits the link of a host to a number of bytes per second in each direction. Links have no limit at first.
func (fabric *Fabric) SetBandwidth(host string, bytesPerSecond int64) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.bandwidths[host] = bytesPerSecond
}

// SetDelay adds a delay to the latency of all data that a host sends or receives from now on. Data stays in order.
func (fabric *Fabric) SetDelay(host string, delay time.Duration) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.delays[host] = delay
}

// arrivalTime returns when data that is sent now arrives. The caller holds the lock.
func (fabric *Fabric) arrivalTime(from, to string, bytes int) time.Time {
	sentAt := fabric.passLink(linkDirection{host: from}, time.Now(), bytes)
	latency := fabric.Latency + fabric.delays[from] + fabric.delays[to]
	return fabric.passLink(linkDirection{host: to, inbound: true}, sentAt.Add(latency), bytes)
}

// span is a time in which a link passes data.
type span struct{ from, to time.Time }

// passLink returns when data that reaches a link at a time has passed it. The data uses the times from then on in which the
// link does not pass data that was sent before: what waits long on its sender's link must not hold up, on the link of its
// receiver, what reaches that link earlier.
func (fabric *Fabric) passLink(direction linkDirection, at time.Time, bytes int) time.Time {
	bandwidth := fabric.bandwidths[direction.host]
	if bandwidth <= 0 {
		return at
	}
	remaining := time.Duration(bytes) * time.Second / time.Duration(bandwidth)
	var busy []span
	for _, taken := range fabric.linkBusy[direction] {
		if taken.to.Before(time.Now()) {
			continue
		}
		if free := min(taken.from.Sub(at), remaining); free > 0 {
			busy = appendSpan(busy, span{from: at, to: at.Add(free)})
			at, remaining = at.Add(free), remaining-free
		}
		busy = appendSpan(busy, taken)
		if remaining > 0 && taken.to.After(at) {
			at = taken.to
		}
	}
	if remaining > 0 {
		busy = appendSpan(busy, span{from: at, to: at.Add(remaining)})
	}
	fabric.linkBusy[direction] = busy
	return at.Add(remaining)
}

// appendSpan appends a span to spans in order of time, and joins it with the last one if they touch.
func appendSpan(spans []span, next span) []span {
	if last := len(spans) - 1; last >= 0 && !next.from.After(spans[last].to) {
		spans[last].to = next.to
		return spans
	}
	return append(spans, next)
}

// StallOldest simulates a lost packet on the oldest connection between two hosts: what is sent on it meanwhile, in either
// direction, arrives only after the given time. Other connections are not affected.
func (fabric *Fabric) StallOldest(a, b string, duration time.Duration) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	oldest := int64(0)
	for conn := range fabric.conns {
		if pairOf(conn.host, conn.peer.host) == pairOf(a, b) && !conn.broken() && (oldest == 0 || conn.number < oldest) {
			oldest = conn.number
		}
	}
	for conn := range fabric.conns {
		if conn.number == oldest {
			conn.stalledUntil = time.Now().Add(duration)
		}
	}
}

// hostPair is an unordered pair of hosts, stored in the order of their names.
type hostPair struct{ first, second string }

func pairOf(a, b string) hostPair {
	return hostPair{first: min(a, b), second: max(a, b)}
}

// Cut partitions two sets of hosts: no data passes between them until heal is called. Cuts may overlap; a path
// carries data again once all its cuts are healed.
func (fabric *Fabric) Cut(near, far []string) (heal func()) {
	fabric.addCuts(near, far, 1)
	return func() { fabric.addCuts(near, far, -1) }
}

// CutRefusing is Cut for a partition that is not silent: it resets the connections between the two sets, and refuses new ones.
func (fabric *Fabric) CutRefusing(near, far []string) (heal func()) {
	fabric.addRefusals(near, far, 1)
	healCuts := fabric.Cut(near, far)
	return func() {
		fabric.addRefusals(near, far, -1)
		healCuts()
	}
}

func (fabric *Fabric) addRefusals(near, far []string, delta int) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for _, a := range near {
		for _, b := range far {
			pair := pairOf(a, b)
			fabric.refusals[pair] += delta
			fabric.resetIf(func(conn *conn) bool { return pairOf(conn.host, conn.peer.host) == pair })
		}
	}
}

func (fabric *Fabric) addCuts(near, far []string, delta int) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for _, a := range near {
		for _, b := range far {
			fabric.cuts[pairOf(a, b)] += delta
		}
	}
	fabric.notifyChange()
}

// Reset resets all connections of a host. Its listeners stay open.
func (fabric *Fabric) Reset(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.reset(host)
	fabric.notifyChange()
}

func (fabric *Fabric) reset(host string) {
	fabric.resetIf(func(conn *conn) bool { return conn.host == host || conn.peer.host == host })
}

// resetIf resets the connections for which applies returns true. The caller holds the lock.
func (fabric *Fabric) resetIf(applies func(*conn) bool) {
	for conn := range fabric.conns {
		if applies(conn) {
			conn.reset = true
			conn.changed.Broadcast()
			delete(fabric.conns, conn)
		}
	}
}

// Pause holds back all data from and to a host until Resume. Connections stay open.
func (fabric *Fabric) Pause(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.paused[host] = true
}

// Resume ends the pause of a host.
func (fabric *Fabric) Resume(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	delete(fabric.paused, host)
	fabric.notifyChange()
}

// Kill resets all connections of a host and closes its listeners, as when the host crashes.
func (fabric *Fabric) Kill(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.reset(host)
	for address, listener := range fabric.listeners {
		if listener.host == host {
			listener.closed = true
			listener.changed.Broadcast()
			delete(fabric.listeners, address)
		}
	}
	fabric.notifyChange()
}

// reachable reports whether the path between two hosts is neither cut nor paused. The caller holds the lock.
func (fabric *Fabric) reachable(from, to string) bool {
	return fabric.cuts[pairOf(from, to)] == 0 && !fabric.paused[from] && !fabric.paused[to]
}

type listener struct {
	fabric  *Fabric
	host    string
	address string
	backlog []*conn
	closed  bool
	changed *sync.Cond
}

func (fabric *Fabric) listen(host, address string) (net.Listener, error) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	if _, inUse := fabric.listeners[address]; inUse {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	added := &listener{fabric: fabric, host: host, address: address, changed: sync.NewCond(&fabric.mu)}
	fabric.listeners[address] = added
	return added, nil
}

// Accept waits for the next connection. It returns net.ErrClosed once the listener is closed.
func (listener *listener) Accept() (net.Conn, error) {
	fabric := listener.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for len(listener.backlog) == 0 && !listener.closed {
		listener.changed.Wait()
	}
	if listener.closed {
		return nil, net.ErrClosed
	}
	next := listener.backlog[0]
	listener.backlog = listener.backlog[1:]
	return next, nil
}

// Close closes the listener and frees its address.
func (listener *listener) Close() error {
	fabric := listener.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	listener.closed = true
	if fabric.listeners[listener.address] == listener {
		delete(fabric.listeners, listener.address)
	}
	listener.changed.Broadcast()
	return nil
}

// Addr returns the listener's address.
func (listener *listener) Addr() net.Addr { return parseAddr(listener.address) }

func parseAddr(address string) net.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(parsed)
}

func (fabric *Fabric) dial(ctx context.Context, host, address string) (net.Conn, error) {
	for {
		dialed, pathsChanged, err := fabric.tryDial(host, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: parseAddr(address), Err: err}
		}
		if dialed != nil {
			return fabric.awaitHandshake(ctx, dialed, address)
		}
		select {
		case <-pathsChanged:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: parseAddr(address), Err: ctx.Err()}
		}
	}
}

// handshakeBytes is the size of the packets in each direction that open a connection.
const handshakeBytes = 60

// awaitHandshake returns a connection after the time that the packets take that open it.
func (fabric *Fabric) awaitHandshake(ctx context.Context, dialed *conn, address string) (net.Conn, error) {
	fabric.mu.Lock()
	to := dialed.peer.host
	openedAt := fabric.arrivalTime(dialed.host, to, handshakeBytes)
	openedAt = openedAt.Add(time.Until(fabric.arrivalTime(to, dialed.host, handshakeBytes)))
	fabric.mu.Unlock()
	select {
	case <-time.After(time.Until(openedAt)):
		return dialed, nil
	case <-ctx.Done():
		_ = dialed.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: parseAddr(address), Err: ctx.Err()}
	}
}

// tryDial returns a connection if the path is open. Otherwise it returns a channel that is closed when a path or
// listener changes, after which the caller tries again. It returns ECONNREFUSED if no host listens on the address, or a cut refuses
// connections.
func (fabric *Fabric) tryDial(host, address string) (*conn, <-chan struct{}, error) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	found := fabric.listeners[address]
	if found == nil || fabric.refusals[pairOf(host, found.host)] > 0 {
		return nil, nil, syscall.ECONNREFUSED
	}
	if !fabric.reachable(host, found.host) {
		return nil, fabric.pathsChanged, nil
	}
	return fabric.connect(host, found), nil, nil
}

func (fabric *Fabric) connect(host string, to *listener) *conn {
	fabric.opened++
	near := &conn{fabric: fabric, host: host, remote: to.address, number: fabric.opened, changed: sync.NewCond(&fabric.mu)}
	far := &conn{fabric: fabric, host: to.host, local: to.address, number: fabric.opened, changed: sync.NewCond(&fabric.mu)}
	near.peer, far.peer = far, near
	fabric.conns[near], fabric.conns[far] = true, true
	to.backlog = append(to.backlog, far)
	to.changed.Broadcast()
	return near
}
