package connector

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection. The fabric's mutex guards all fields of both ends.
type conn struct {
	fabric *Fabric
	host   string
	local  string
	remote string
	peer   *conn

	number        int64 // in the order in which connections were opened, the same for both ends
	stalledUntil  time.Time
	changed       *sync.Cond // signaled when either end or the path between their hosts changes
	inbox         []chunk    // data that the peer has sent and this end has not read
	inboxBytes    int
	closed        bool // by Close of this end
	reset         bool // by Fabric.Reset or Fabric.Kill, or by Close of the peer after SetLinger
	resetsPeer    bool // whether Close resets the connection
	readDeadline  time.Time
	writeDeadline time.Time
}

// maxSegmentBytes is the size of the parts in which the data of one write arrives.
const maxSegmentBytes = 16 << 10

// chunk is a part of the data of one write. It can be read from arrivesAt on.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// wait blocks until changed is signaled or the deadline passes. The caller holds the fabric's lock.
func (conn *conn) wait(deadline time.Time) {
	if !deadline.IsZero() {
		timer := time.AfterFunc(time.Until(deadline), conn.wake)
		defer timer.Stop()
	}
	conn.changed.Wait()
}

// maxInboxBytes is the number of unread bytes in one direction above which Write blocks.
const maxInboxBytes = 256 << 10

func (conn *conn) wake() {
	conn.fabric.mu.Lock()
	defer conn.fabric.mu.Unlock()
	conn.changed.Broadcast()
}

// Read reads data that has arrived, and waits for data if there is none or the path is cut or paused.
// It returns io.EOF once the peer has closed and all data is read, ECONNRESET after a reset, and
// os.ErrDeadlineExceeded after the read deadline.
func (conn *conn) Read(data []byte) (int, error) {
	fabric := conn.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for {
		switch {
		case conn.closed:
			return 0, net.ErrClosed
		case conn.reset:
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		case expired(conn.readDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		if fabric.reachable(conn.host, conn.peer.host) {
			if conn.timeToArrival() > 0 {
				conn.wait(earlier(conn.inbox[0].arrivesAt, conn.readDeadline))
				continue
			}
			if count := conn.readChunk(data); count > 0 {
				conn.peer.changed.Broadcast()
				return count, nil
			}
			if len(conn.inbox) == 0 && (conn.peer.closed || conn.peer.reset) {
				return 0, io.EOF
			}
		}
		conn.wait(conn.readDeadline)
	}
}

// timeToArrival returns the time until the first chunk of the inbox can be read, and 0 if the inbox is empty.
func (conn *conn) timeToArrival() time.Duration {
	if len(conn.inbox) == 0 {
		return 0
	}
	return time.Until(conn.inbox[0].arrivesAt)
}

// earlier returns the earlier one of a time and a deadline; the zero deadline means none.
func earlier(at, deadline time.Time) time.Time {
	if deadline.IsZero() || at.Before(deadline) {
		return at
	}
	return deadline
}

// readChunk moves data from the first chunk of the inbox to data and returns the number of bytes, 0 for an empty inbox.
func (conn *conn) readChunk(data []byte) int {
	if len(conn.inbox) == 0 {
		return 0
	}
	first := &conn.inbox[0]
	count := copy(data, first.data)
	first.data = first.data[count:]
	conn.inboxBytes -= count
	if len(first.data) == 0 {
		conn.inbox = conn.inbox[1:]
	}
	return count
}

// Write sends data. It blocks while more than maxInboxBytes are unread, and returns ECONNRESET on a broken
// connection and os.ErrDeadlineExceeded after the write deadline.
func (conn *conn) Write(data []byte) (int, error) {
	fabric := conn.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for conn.peer.inboxBytes > maxInboxBytes && !conn.broken() && !expired(conn.writeDeadline) {
		conn.wait(conn.writeDeadline)
	}
	switch {
	case conn.closed:
		return 0, net.ErrClosed
	case conn.broken():
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case expired(conn.writeDeadline):
		return 0, os.ErrDeadlineExceeded
	}
	for sent := range slices.Chunk(slices.Clone(data), maxSegmentBytes) {
		arrivesAt := fabric.arrivalTime(conn.host, conn.peer.host, len(sent))
		if arrivesAt.Before(conn.stalledUntil) {
			arrivesAt = conn.stalledUntil
		}
		conn.peer.inbox = append(conn.peer.inbox, chunk{data: sent, arrivesAt: arrivesAt})
	}
	conn.peer.inboxBytes += len(data)
	fabric.traffic[conn.host] += int64(len(data))
	fabric.sent[conn.host] += int64(len(data))
	fabric.traffic[conn.peer.host] += int64(len(data))
	conn.peer.changed.Broadcast()
	return len(data), nil
}

func (conn *conn) broken() bool { return conn.closed || conn.reset || conn.peer.closed }

// SetLinger lets Close reset the connection if seconds is 0, and keep the data that was sent otherwise, as net.TCPConn does.
func (conn *conn) SetLinger(seconds int) error {
	conn.fabric.mu.Lock()
	defer conn.fabric.mu.Unlock()
	conn.resetsPeer = seconds == 0
	return nil
}

// Close closes the connection. The peer can still read the data that was sent before, unless the connection is reset: data behind a cut is
// then lost.
func (conn *conn) Close() error {
	fabric := conn.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	conn.closed = true
	if conn.resetsPeer {
		conn.peer.inbox, conn.peer.inboxBytes = nil, 0
		conn.peer.reset = fabric.reachable(conn.host, conn.peer.host)
	}
	delete(fabric.conns, conn)
	conn.changed.Broadcast()
	conn.peer.changed.Broadcast()
	return nil
}

func (conn *conn) setDeadline(deadline *time.Time, at time.Time) {
	conn.fabric.mu.Lock()
	defer conn.fabric.mu.Unlock()
	*deadline = at
	conn.changed.Broadcast()
}

// LocalAddr returns the address of this end.
func (conn *conn) LocalAddr() net.Addr { return parseAddr(conn.local) }

// RemoteAddr returns the address of the other end.
func (conn *conn) RemoteAddr() net.Addr { return parseAddr(conn.remote) }

// SetDeadline sets the read and write deadlines; the zero time means none.
func (conn *conn) SetDeadline(at time.Time) error {
	conn.setDeadline(&conn.readDeadline, at)
	conn.setDeadline(&conn.writeDeadline, at)
	return nil
}

// SetReadDeadline sets the deadline of reads; the zero time means none.
func (conn *conn) SetReadDeadline(at time.Time) error {
	conn.setDeadline(&conn.readDeadline, at)
	return nil
}

// SetWriteDeadline sets the deadline of writes; the zero time means none.
func (conn *conn) SetWriteDeadline(at time.Time) error {
	conn.setDeadline(&conn.writeDeadline, at)
	return nil
}
