package acceptor

import (
	"bytes"
	"time"

	"github.com/zeebo/errs"
)

// errHeadTooLarge reports that a head is larger than RequestLimits.MaxHeadBytes.
var errHeadTooLarge = errs.New("the head of the request is too large")

// errClosed reports that a limit closed the connection.
var errClosed = errs.New("the connection was closed because of a limit")

const (
	// httpBufferBytes is the size of the buffer with which http.Server reads heads. Larger reads are those of bodies.
	httpBufferBytes = 4 << 10
	// costPerHeadByte and costPerHeadLine are the memory that a head takes: the name and the values of each line become entries of a map.
	costPerHeadByte = 3
	costPerHeadLine = 160
)

// head is the memory of the head that a connection receives or serves.
type head struct {
	cost   int64 // bytes, with what may follow the head in the buffer
	latest int64 // of the latest read, part of cost
	bytes  int   // received of the head, with what may follow it in the buffer
	inBody bool  // the head was received, and the body was not
}

// charge counts data that may belong to a head, and closes the connections with the oldest heads if all together take too much
// memory. It returns false if that was this connection.
func (conn *Conn) charge(data []byte) bool {
	listener := conn.listener
	cost := costPerHeadByte*int64(len(data)) + costPerHeadLine*int64(bytes.Count(data, []byte{'\n'}))
	listener.mu.Lock()
	if !conn.open {
		listener.mu.Unlock()
		return false
	}
	conn.addHeadCost(cost)
	var closed []*Conn
	for listener.headBytes > listener.limits.HeadBytes {
		oldest := listener.oldestHead()
		if oldest == nil {
			oldest = conn
		}
		oldest.remove()
		closed = append(closed, oldest)
	}
	open := conn.open
	listener.mu.Unlock()
	for _, other := range closed {
		_ = other.Conn.Close()
		listener.report(TooManyHeads)
	}
	return open
}

// limitHead applies the limits of a request to a number of bytes that were read of its head. It returns false if it is too large.
func (conn *Conn) limitHead(count int) bool {
	limits := conn.listener.requestLimits()
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	if conn.element == nil || conn.head.inBody {
		return true
	}
	if conn.head.bytes == 0 && limits.HeadTimeout > 0 && conn.listener.drainEnd.IsZero() {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(limits.HeadTimeout)) // fails only if the connection is closed
	}
	conn.head.bytes += count
	return limits.MaxHeadBytes <= 0 || conn.head.bytes <= limits.MaxHeadBytes+httpBufferBytes
}

// timeout returns the time in which something has to arrive while no whole head was received, 0 for no limit.
func (head *head) timeout(limits RequestLimits) time.Duration {
	switch {
	case head.inBody:
		return 0
	case head.bytes > 0:
		return limits.HeadTimeout
	}
	return limits.IdleTimeout
}

// addHeadCost adds the memory of a read. While a request is served or its body is read, only the latest read may be the beginning of
// another head.
func (conn *Conn) addHeadCost(cost int64) {
	head := &conn.head
	if conn.element == nil || head.inBody {
		conn.releaseHead(head.latest)
	}
	head.latest = cost
	head.cost += cost
	conn.listener.headBytes += cost
}

// releaseHead returns a part of the memory of the head.
func (conn *Conn) releaseHead(bytes int64) {
	conn.head.cost -= bytes
	conn.listener.headBytes -= bytes
}

// oldestHead returns the connection that has been receiving a head for the longest time, or nil if there is none.
func (listener *Listener) oldestHead() *Conn {
	for element := listener.receiving.Front(); element != nil; element = element.Next() {
		if conn := element.Value.(*Conn); conn.head.cost > 0 {
			return conn
		}
	}
	return nil
}
