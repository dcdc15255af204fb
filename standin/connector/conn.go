package connector

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection; its fabric's lock guards all members.
type conn struct {
	fabric *Fabric
	host   string
	local  string
	remote string
	peer   *conn

	changed *sync.Cond // at either end
	inbox   []chunk
	waiting int // bytes in the inbox
	closed  bool
	reset   bool
	readBy  time.Time
	writeBy time.Time
}

// chunk is data on its way.
type chunk struct {
	data []byte
	at   time.Time
}

func passed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// await waits for a change at either end, or for the deadline; the caller holds the lock.
func (conn *conn) await(deadline time.Time) {
	if !deadline.IsZero() {
		timer := time.AfterFunc(time.Until(deadline), conn.wake)
		defer timer.Stop()
	}
	conn.changed.Wait()
}

// mostWaiting bounds the bytes on their way in one direction.
const mostWaiting = 256 << 10

func (conn *conn) wake() {
	conn.fabric.mu.Lock()
	defer conn.fabric.mu.Unlock()
	conn.changed.Broadcast()
}

// Read returns what has arrived.
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
		case passed(conn.readBy):
			return 0, os.ErrDeadlineExceeded
		}
		if fabric.open(conn.host, conn.peer.host) {
			if left := conn.due(); left > 0 {
				fabric.mu.Unlock()
				time.Sleep(left)
				fabric.mu.Lock()
				continue
			}
			if count := conn.take(data); count > 0 {
				conn.peer.changed.Broadcast()
				return count, nil
			}
			if len(conn.inbox) == 0 && (conn.peer.closed || conn.peer.reset) {
				return 0, io.EOF
			}
		}
		conn.await(conn.readBy)
	}
}

// due returns how long the next data are still on their way.
func (conn *conn) due() time.Duration {
	if len(conn.inbox) == 0 {
		return 0
	}
	return time.Until(conn.inbox[0].at)
}

// take moves data that has arrived.
func (conn *conn) take(data []byte) int {
	if len(conn.inbox) == 0 {
		return 0
	}
	first := &conn.inbox[0]
	count := copy(data, first.data)
	first.data = first.data[count:]
	conn.waiting -= count
	if len(first.data) == 0 {
		conn.inbox = conn.inbox[1:]
	}
	return count
}

// Write sends data, waiting while too much is on its way.
func (conn *conn) Write(data []byte) (int, error) {
	fabric := conn.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	for conn.peer.waiting > mostWaiting && !conn.broken() && !passed(conn.writeBy) {
		conn.await(conn.writeBy)
	}
	switch {
	case conn.closed:
		return 0, net.ErrClosed
	case conn.broken():
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case passed(conn.writeBy):
		return 0, os.ErrDeadlineExceeded
	}
	sent := append([]byte(nil), data...)
	conn.peer.inbox = append(conn.peer.inbox, chunk{data: sent, at: time.Now().Add(fabric.Latency)})
	conn.peer.waiting += len(data)
	fabric.traffic[conn.host] += int64(len(data))
	fabric.traffic[conn.peer.host] += int64(len(data))
	conn.peer.changed.Broadcast()
	return len(data), nil
}

func (conn *conn) broken() bool { return conn.closed || conn.reset || conn.peer.closed }

// Close ends the connection; the peer reads what was sent before.
func (conn *conn) Close() error {
	fabric := conn.fabric
	fabric.mu.Lock()
	defer fabric.mu.Unlock()
	conn.closed = true
	delete(fabric.conns, conn)
	conn.changed.Broadcast()
	conn.peer.changed.Broadcast()
	return nil
}

func (conn *conn) setDeadline(which *time.Time, at time.Time) {
	conn.fabric.mu.Lock()
	defer conn.fabric.mu.Unlock()
	*which = at
	conn.changed.Broadcast()
}

// LocalAddr returns the address of this end.
func (conn *conn) LocalAddr() net.Addr { return addr(conn.local) }

// RemoteAddr returns the address of the other end.
func (conn *conn) RemoteAddr() net.Addr { return addr(conn.remote) }

// SetDeadline bounds reads and writes.
func (conn *conn) SetDeadline(at time.Time) error {
	conn.setDeadline(&conn.readBy, at)
	conn.setDeadline(&conn.writeBy, at)
	return nil
}

// SetReadDeadline bounds reads.
func (conn *conn) SetReadDeadline(at time.Time) error {
	conn.setDeadline(&conn.readBy, at)
	return nil
}

// SetWriteDeadline bounds writes.
func (conn *conn) SetWriteDeadline(at time.Time) error {
	conn.setDeadline(&conn.writeBy, at)
	return nil
}
