// Package acceptor accepts the connections of clients within limits that hold for all of them together.
package acceptor

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"ebonyshunt.org/daemon/capper"
)

// Reason is a reason for which a connection was closed.
type Reason string

// The reasons for which connections are closed.
const (
	TooManyConnections Reason = "connections"
	TooManyHeads       Reason = "heads" // the heads of all requests together take too much memory
)

// Limits are what all connections of a listener may take together.
type Limits struct {
	Conns int // maximum number of connections
	// HeadBytes is the memory for the heads of requests, which the connection with the oldest head that is not complete gives back
	// at the limit, 0 for no limit.
	HeadBytes int64
	// ReceiveBuffer is the number of bytes that the kernel keeps for each connection until they are read, of which it may take twice as
	// many, 0 for its default.
	ReceiveBuffer int
	// FullBuffers is the number of connections with such a buffer, 0 for all. Those that are accepted beyond it get MinReceiveBuffer.
	FullBuffers int
	// BodyTimeout is the maximum duration of receiving a body, also of one that is not read by the handler, 0 for no limit.
	BodyTimeout time.Duration
	// ByLatestRead is set for protocols other than HTTP, on whose connections requests do not follow each other: each read counts as
	// the end of a request.
	ByLatestRead bool
	// Request returns the limits of each request that are in force, nil for none.
	Request func() RequestLimits
	// Closed is called for each connection that is closed because of a limit, nil for no call.
	Closed func(Reason)
}

// RequestLimits are the limits of each request. Those that are 0 do not hold.
type RequestLimits struct {
	MaxHeadBytes int
	HeadTimeout  time.Duration // from the first byte of a head to its end
	IdleTimeout  time.Duration // without a byte of the next request
}

// Listener is a net.Listener that accepts connections within limits. A connection is receiving until a whole request was read from it,
// and again after the request was answered. At a limit, the connection that has been receiving for the longest time is closed: a
// client that sends its request soon is not closed, and neither is one whose request is being served, unless it does not read the answer
// or can resume it.
type Listener struct {
	net.Listener
	limits Limits

	mu        sync.Mutex
	conns     int
	headBytes int64
	receiving list.List // of *Conn, the one that has been receiving for the longest time first
	writing   list.List // of *Conn, those to which an answer is being written, the longest one first
	resumable list.List // of *Conn, those with an answer that the client can resume, the longest one first
	drainEnd  time.Time // deadline of requests that are not received completely, zero before Drain
}

// Wrap returns a listener that accepts the connections of another one within limits.
func Wrap(listener net.Listener, limits Limits) *Listener {
	if limits.ReceiveBuffer > 0 {
		limitKernel(listener, limits)
	}
	return &Listener{Listener: listener, limits: limits}
}

// backlogShare is the inverse of the part of the connections that may wait to be accepted: the kernel keeps what they send, too.
const backlogShare = 4

// limitKernel bounds the receive buffers of the connections that a listener accepts, which inherit its own, and the number of connections that
// wait to be accepted. The listener of a network in memory has neither.
func limitKernel(listener net.Listener, limits Limits) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // without it, the kernel's own bounds hold
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, limits.ReceiveBuffer)
		_ = syscall.Listen(int(descriptor), max(limits.Conns/backlogShare, 1))
	})
}

// Accept waits for the next connection. It closes another one if there are too many.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := listener.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // http.Server compares it
		}
		if conn := listener.add(raw); conn != nil {
			return conn, nil
		}
		_ = raw.Close()
		listener.report(TooManyConnections)
	}
}

// add adds a connection, and closes another one if there are too many. It returns nil if all others are being served, read their answers and
// cannot resume them.
func (listener *Listener) add(raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, listener: listener}
	listener.mu.Lock()
	var oldest *Conn
	if listener.conns >= listener.limits.Conns {
		if oldest = listener.oldest(); oldest == nil {
			listener.mu.Unlock()
			return nil
		}
		oldest.remove()
	}
	listener.conns++
	conn.open = true
	conn.element = listener.receiving.PushBack(conn)
	hasFullBuffer := listener.limits.FullBuffers == 0 || listener.conns <= listener.limits.FullBuffers
	listener.mu.Unlock()
	capper.LimitUnsent(raw)
	if !hasFullBuffer {
		capper.LimitReceived(raw, MinReceiveBuffer)
	}
	if oldest != nil {
		_ = oldest.Conn.Close()
		listener.report(TooManyConnections)
	}
	return conn
}

// minUnreadTime is how long an answer waits to be read before its connection is closed for another one.
const minUnreadTime = time.Second

// oldest returns the connection that has been receiving for the longest time. If there is none, it returns the one whose answer has
// been waiting to be read for the longest time, minUnreadTime at least, or else the one with the oldest answer that its client can resume.
// It returns nil if there is none of these.
func (listener *Listener) oldest() *Conn {
	if element := listener.receiving.Front(); element != nil {
		return element.Value.(*Conn)
	}
	if element := listener.writing.Front(); element != nil {
		if conn := element.Value.(*Conn); time.Since(conn.writeSince) >= minUnreadTime {
			return conn
		}
	}
	if element := listener.resumable.Front(); element != nil {
		return element.Value.(*Conn)
	}
	return nil
}

func (listener *Listener) report(reason Reason) {
	if listener.limits.Closed != nil {
		listener.limits.Closed(reason)
	}
}

// Drain ends the requests that are not received completely within a time, also those that begin later. Those that were received
// completely are served.
func (listener *Listener) Drain(timeout time.Duration) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.drainEnd = time.Now().Add(timeout)
	for element := listener.receiving.Front(); element != nil; element = element.Next() {
		_ = element.Value.(*Conn).Conn.SetReadDeadline(listener.drainEnd) // fails only if the connection is closed
	}
}

// requestLimits returns the limits of each request.
func (listener *Listener) requestLimits() RequestLimits {
	if listener.limits.Request == nil {
		return RequestLimits{}
	}
	return listener.limits.Request()
}

// Conns returns the number of open connections.
func (listener *Listener) Conns() int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.conns
}
