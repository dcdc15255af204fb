package acceptor

import (
	"container/list"
	"net"
	"time"
)

// Conn is a connection that a Listener accepted. The fields are guarded by the listener's mutex.
type Conn struct {
	net.Conn
	listener *Listener
	open     bool          // counted by the listener
	element  *list.Element // in listener.receiving, nil while a request is served
	head     head
	// writeElement is the element of the connection in listener.writing, nil unless an answer is being written.
	writeElement *list.Element
	writeSince   time.Time
	// resumeElement is the element of the connection in listener.resumable, nil unless it has such an answer.
	resumeElement *list.Element
}

// Read reads from the connection and counts what may belong to the heads of requests.
func (conn *Conn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	limits := &conn.listener.limits
	switch {
	case count == 0:
	case limits.ByLatestRead:
		conn.moveToEnd()
	case len(data) > httpBufferBytes:
	case limits.HeadBytes > 0 && !conn.charge(data[:count]):
		return 0, errClosed
	case limits.Request != nil && !conn.limitHead(count):
		return 0, errHeadTooLarge
	}
	return count, err //nolint:wrapcheck // http.Server compares it
}

// Write writes to the connection. While it waits for the client to read, the connection may be closed for another one.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.beginWrite()
	defer conn.endWrite()
	return conn.Conn.Write(data) //nolint:wrapcheck // http.Server compares it
}

func (conn *Conn) beginWrite() {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	if conn.open && conn.writeElement == nil {
		conn.writeSince = time.Now()
		conn.writeElement = conn.listener.writing.PushBack(conn)
	}
}

func (conn *Conn) endWrite() {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	conn.stopWriting()
}

func (conn *Conn) stopWriting() {
	if conn.writeElement != nil {
		conn.listener.writing.Remove(conn.writeElement)
		conn.writeElement = nil
	}
}

// makeResumable records that the answer that is being written can be resumed.
func (conn *Conn) makeResumable() {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	if conn.open && conn.resumeElement == nil {
		conn.resumeElement = conn.listener.resumable.PushBack(conn)
	}
}

func (conn *Conn) endResumable() {
	if conn.resumeElement != nil {
		conn.listener.resumable.Remove(conn.resumeElement)
		conn.resumeElement = nil
	}
}

// moveToEnd makes the connection the one that has been receiving for the shortest time.
func (conn *Conn) moveToEnd() {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	if conn.element != nil {
		conn.listener.receiving.MoveToBack(conn.element)
	}
}

// SetReadDeadline sets the deadline of reads; a zero one ends it. The limits of each request make it earlier until the head was received. A
// request that was not received completely has none after the end of a drain.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	limits := conn.listener.requestLimits()
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	if timeout := conn.head.timeout(limits); conn.element != nil && timeout > 0 && time.Until(deadline) > timeout {
		deadline = time.Now().Add(timeout)
	}
	drainEnd := conn.listener.drainEnd
	if conn.element != nil && !drainEnd.IsZero() && (deadline.IsZero() || deadline.After(drainEnd)) {
		deadline = drainEnd
	}
	return conn.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // http.Server compares it
}

// Close closes the connection.
func (conn *Conn) Close() error {
	conn.listener.mu.Lock()
	conn.remove()
	conn.listener.mu.Unlock()
	return conn.Conn.Close() //nolint:wrapcheck // http.Server compares it
}

// remove removes the connection from the listener's counts.
func (conn *Conn) remove() {
	if !conn.open {
		return
	}
	conn.open = false
	conn.listener.conns--
	conn.releaseHead(conn.head.cost)
	conn.stopReceiving()
	conn.stopWriting()
	conn.endResumable()
}

func (conn *Conn) stopReceiving() {
	if conn.element != nil {
		conn.listener.receiving.Remove(conn.element)
		conn.element = nil
	}
}

// beginBody records that the head of a request was received, and limits the time for its body.
func (conn *Conn) beginBody() {
	if timeout := conn.listener.limits.BodyTimeout; timeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	}
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	conn.head.inBody = true
}

// endBody records that the body of a request was received.
func (conn *Conn) endBody() {
	conn.beginRequest()
	_ = conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}

// beginRequest records that a whole request was received. The connection stays open until it was answered.
func (conn *Conn) beginRequest() {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	conn.stopReceiving()
	if !conn.listener.drainEnd.IsZero() {
		_ = conn.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// endRequest records that a request was answered. What was read last may belong to the next one.
func (conn *Conn) endRequest() {
	listener := conn.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	conn.stopReceiving()
	conn.endResumable()
	conn.head.inBody, conn.head.bytes = false, 0
	if !conn.open {
		return
	}
	conn.releaseHead(conn.head.cost - conn.head.latest)
	conn.element = listener.receiving.PushBack(conn)
}

// CloseWrite ends the answers on the connection. http.Server calls it before it closes a connection from which it has not read all.
func (conn *Conn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // http.Server ignores it
	}
	return nil
}
