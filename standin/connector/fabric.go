// Package connector is a network in memory whose paths can be cut and whose hosts can be paused or killed.
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

// Fabric connects hosts by name; addresses are made up.
type Fabric struct {
	Latency time.Duration // one way

	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[path]int // paths that carry nothing, by how many cuts
	paused    map[string]bool
	conns     map[*conn]bool
	traffic   map[string]int64
	opened    chan struct{} // closed when paths or listeners change
}

// announce wakes everyone who waits for a path; the caller holds the lock.
func (fabric *Fabric) announce() {
	close(fabric.opened)
	fabric.opened = make(chan struct{})
	for conn := range fabric.conns {
		conn.changed.Broadcast()
	}
	for _, listener := range fabric.listeners {
		listener.changed.Broadcast()
	}
}

// New returns a fabric without hosts or cuts.
func New(latency time.Duration) *Fabric {
	return &Fabric{
		Latency:   latency,
		listeners: map[string]*listener{},
		cuts:      map[path]int{},
		paused:    map[string]bool{},
		conns:     map[*conn]bool{},
		traffic:   map[string]int64{},
		opened:    make(chan struct{}),
	}
}

// Host returns the network as the named host sees it.
func (fabric *Fabric) Host(name string) dialer.Network {
	return dialer.Network{
		Listen: func(address string) (net.Listener, error) { return fabric.listen(name, address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return fabric.dial(ctx, name, address)
		},
	}
}

// Traffic returns the bytes that a host sent and received so far.
func (fabric *Fabric) Traffic(host string) int64 {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	return fabric.traffic[host]
}

// path is a pair of hosts, in the order of their names.
type path struct{ first, second string }

func pathOf(a, b string) path {
	return path{first: min(a, b), second: max(a, b)}
}

// Cut stops all traffic between two sets of hosts until the returned function is called.
func (fabric *Fabric) Cut(near, far []string) (heal func()) {
	fabric.change(near, far, 1)
	return func() { fabric.change(near, far, -1) }
}

func (fabric *Fabric) change(near, far []string, by int) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for _, a := range near {
		for _, b := range far {
			fabric.cuts[pathOf(a, b)] += by
		}
	}
	fabric.announce()
}

// Reset breaks all connections of a host, which goes on listening.
func (fabric *Fabric) Reset(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.reset(host)
	fabric.announce()
}

func (fabric *Fabric) reset(host string) {
	for conn := range fabric.conns {
		if conn.host == host || conn.peer.host == host {
			conn.reset = true
			conn.changed.Broadcast()
			delete(fabric.conns, conn)
		}
	}
}

// Pause holds all traffic from and to a host until Resume.
func (fabric *Fabric) Pause(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	fabric.paused[host] = true
}

// Resume ends a pause.
func (fabric *Fabric) Resume(host string) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	delete(fabric.paused, host)
	fabric.announce()
}

// Kill resets all connections of a host and closes its listeners.
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
	fabric.announce()
}

// open reports whether traffic flows between two hosts; the caller holds the lock.
func (fabric *Fabric) open(from, to string) bool {
	return fabric.cuts[pathOf(from, to)] == 0 && !fabric.paused[from] && !fabric.paused[to]
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
	if _, taken := fabric.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	made := &listener{fabric: fabric, host: host, address: address, changed: sync.NewCond(&fabric.mu)}
	fabric.listeners[address] = made
	return made, nil
}

// Accept waits for the next connection.
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

// Close ends the listener.
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

// Addr returns the address that is listened on.
func (listener *listener) Addr() net.Addr { return addr(listener.address) }

func addr(address string) net.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return net.TCPAddrFromAddrPort(parsed)
}

func (fabric *Fabric) dial(ctx context.Context, host, address string) (net.Conn, error) {
	for {
		made, opened, err := fabric.tryDial(host, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: err}
		}
		if made != nil {
			return made, nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: ctx.Err()}
		}
	}
}

// tryDial connects now, or returns what to wait for.
func (fabric *Fabric) tryDial(host, address string) (*conn, <-chan struct{}, error) {
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	found := fabric.listeners[address]
	if found == nil {
		return nil, nil, syscall.ECONNREFUSED
	}
	if !fabric.open(host, found.host) {
		return nil, fabric.opened, nil
	}
	return fabric.connect(host, found), nil, nil
}

func (fabric *Fabric) connect(host string, to *listener) *conn {
	near := &conn{fabric: fabric, host: host, remote: to.address, changed: sync.NewCond(&fabric.mu)}
	far := &conn{fabric: fabric, host: to.host, local: to.address, changed: sync.NewCond(&fabric.mu)}
	near.peer, far.peer = far, near
	fabric.conns[near], fabric.conns[far] = true, true
	to.backlog = append(to.backlog, far)
	to.changed.Broadcast()
	return near
}
