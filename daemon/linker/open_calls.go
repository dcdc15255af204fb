package linker

import "sync"

// callBytes is the memory of a call that is answered, without its message: the stacks of its goroutines and its decoded form.
const callBytes = 8 << 10

// openCalls bounds the memory of the calls on all connections of a server that are being answered or whose answers were not read. At
// the limit the connection whose calls take the most is closed: a peer has few calls open, whatever others do.
type openCalls struct {
	maxBytes int64  // 0 for no limit
	met      func() // called for each connection that is closed

	mu    sync.Mutex
	bytes int64
	conns map[*connCalls]bool
}

// connCalls are the open calls on one connection. The fields are guarded by the mutex of openCalls.
type connCalls struct {
	openCalls *openCalls
	close     func() // closes the connection
	bytes     int64
	removed   bool
}

func newOpenCalls(memory *Memory) *openCalls {
	openCalls := &openCalls{conns: map[*connCalls]bool{}}
	if memory != nil {
		openCalls.maxBytes = memory.CallBytes
		openCalls.met = func() { memory.Met(CallMemory) }
	}
	return openCalls
}

// add adds a connection, which closeConn closes.
func (openCalls *openCalls) add(closeConn func()) *connCalls {
	openCalls.mu.Lock()
	defer openCalls.mu.Unlock()
	conn := &connCalls{openCalls: openCalls, close: closeConn}
	openCalls.conns[conn] = true
	return conn
}

// begin adds a call with a message of a size. It returns false if the connection is closed.
func (connCalls *connCalls) begin(size int) bool {
	openCalls := connCalls.openCalls
	openCalls.mu.Lock()
	if connCalls.removed {
		openCalls.mu.Unlock()
		return false
	}
	connCalls.bytes += costOfCall(size)
	openCalls.bytes += costOfCall(size)
	busiest := openCalls.closeAtLimit()
	found := !connCalls.removed
	openCalls.mu.Unlock()
	if busiest != nil {
		busiest.close()
		openCalls.met()
	}
	return found
}

// closeAtLimit removes and returns the connection whose calls take the most memory if all together take too much, or else nil.
func (openCalls *openCalls) closeAtLimit() *connCalls {
	if openCalls.maxBytes == 0 || openCalls.bytes <= openCalls.maxBytes {
		return nil
	}
	var busiest *connCalls
	for conn := range openCalls.conns {
		if busiest == nil || conn.bytes > busiest.bytes {
			busiest = conn
		}
	}
	busiest.leave()
	return busiest
}

// end removes a call with a message of a size.
func (connCalls *connCalls) end(size int) {
	connCalls.openCalls.mu.Lock()
	defer connCalls.openCalls.mu.Unlock()
	if !connCalls.removed {
		connCalls.bytes -= costOfCall(size)
		connCalls.openCalls.bytes -= costOfCall(size)
	}
}

// remove removes the connection.
func (connCalls *connCalls) remove() {
	connCalls.openCalls.mu.Lock()
	defer connCalls.openCalls.mu.Unlock()
	connCalls.leave()
}

func (connCalls *connCalls) leave() {
	if !connCalls.removed {
		connCalls.removed = true
		connCalls.openCalls.bytes -= connCalls.bytes
		delete(connCalls.openCalls.conns, connCalls)
	}
}

// costOfCall returns the memory of a call with a message of a size, beyond what the message claims of Memory.Budget.
func costOfCall(size int) int64 {
	if size > firstBytes {
		return callBytes + firstBytes
	}
	return callBytes + messageCopies*int64(size)
}
