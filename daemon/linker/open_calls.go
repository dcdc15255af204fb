package linker

import (
	"sync"
	"time"
)

const (
	// callBytes is the memory of a call that is answered, without its message: the stacks of its goroutines and its decoded form.
	callBytes = 8 << 10
	// maxMemoryWait is how long a call waits for the calls on closed connections to end, and memoryWaitStep the time between two looks.
	maxMemoryWait  = 100 * time.Millisecond
	memoryWaitStep = 5 * time.Millisecond
)

// openCalls bounds the memory of the calls on all connections of a server that are being answered or whose answers were not read. At
// the limit the connection whose calls take the most is closed: a peer has few calls open, whatever others do. New calls then wait
// for those of the closed connection to end.
type openCalls struct {
	maxBytes int64  // 0 for no limit
	met      func() // called for each connection that is closed

	mu          sync.Mutex
	bytes       int64 // of all calls
	closedBytes int64 // of them, of those on closed connections, which are about to end
	conns       map[*connCalls]bool
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

// begin adds a call with a message of a size. It returns false, without having added the call, if the connection is closed.
func (connCalls *connCalls) begin(size int) bool {
	found, busiest := connCalls.add(costOfCall(size))
	if busiest != nil {
		busiest.close()
		connCalls.openCalls.met()
	}
	if found {
		connCalls.openCalls.awaitMemory()
	}
	return found
}

// add adds a call that takes a number of bytes. It reports false if the connection is closed, and returns the connection that has to
// be closed for the call, nil for none.
func (connCalls *connCalls) add(bytes int64) (found bool, busiest *connCalls) {
	openCalls := connCalls.openCalls
	openCalls.mu.Lock()
	defer openCalls.mu.Unlock()
	if connCalls.removed {
		return false, nil
	}
	connCalls.bytes += bytes
	openCalls.bytes += bytes
	busiest = openCalls.closeAtLimit()
	if connCalls.removed {
		connCalls.subtract(bytes)
		return false, busiest
	}
	return true, busiest
}

// awaitMemory waits until the calls take no more than the limit, at most maxMemoryWait.
func (openCalls *openCalls) awaitMemory() {
	for waited := time.Duration(0); waited < maxMemoryWait && openCalls.isFull(); waited += memoryWaitStep {
		time.Sleep(memoryWaitStep)
	}
}

func (openCalls *openCalls) isFull() bool {
	openCalls.mu.Lock()
	defer openCalls.mu.Unlock()
	return openCalls.maxBytes > 0 && openCalls.bytes > openCalls.maxBytes
}

// closeAtLimit removes and returns the connection whose calls take the most memory if those on all open connections take too much, or
// else nil.
func (openCalls *openCalls) closeAtLimit() *connCalls {
	if openCalls.maxBytes == 0 || openCalls.bytes-openCalls.closedBytes <= openCalls.maxBytes {
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
	connCalls.subtract(costOfCall(size))
}

func (connCalls *connCalls) subtract(bytes int64) {
	connCalls.bytes -= bytes
	connCalls.openCalls.bytes -= bytes
	if connCalls.removed {
		connCalls.openCalls.closedBytes -= bytes
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
		connCalls.openCalls.closedBytes += connCalls.bytes
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
