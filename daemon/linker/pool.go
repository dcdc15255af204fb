// Package linker implements remote procedure calls between the system's own processes, as JSON-RPC 2.0 over TCP.
//
// Each call and each answer is wrapped in an Envelope with the protocol version and a stamp of the sender's
// hybrid logical clock.
package linker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/library/recorder"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Version is the version of the protocol between the processes. Peers of another version are refused.
const Version = 1

// Error is the class of all errors of this package.
var Error = errs.Class("linker")

// ErrUnsent marks a call that certainly did not reach the peer.
var ErrUnsent = errs.Class("call not sent")

// ErrVersion marks a call between processes with different protocol versions.
var ErrVersion = errs.Class("protocol version")

// Envelope wraps the body of a call or an answer.
type Envelope struct {
	Version int             `json:"version"`
	From    string          `json:"from"` // name of the sending host
	Stamp   recorder.Stamp  `json:"stamp"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// UnmarshalJSON decodes an envelope. It returns an error of class ErrVersion for another protocol version.
func (envelope *Envelope) UnmarshalJSON(data []byte) error {
	type plain Envelope
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode envelope: %w", err)
	}
	if decoded.Version != Version {
		return ErrVersion.New("peer %q speaks version %d, this program speaks %d", decoded.From, decoded.Version, Version)
	}
	*envelope = Envelope(decoded)
	return nil
}

// Pool calls peers over one connection per address, which it opens on the first call and reopens after a loss.
type Pool struct {
	// Allowance returns the time to add to the one within which a connection has to be made, nil for none. It is set before the first call.
	Allowance func() time.Duration

	network dialer.Network
	host    string
	clock   *recorder.Clock
	started time.Time

	mu    sync.Mutex
	conns map[string]*peerConn // by address
	// retired holds the connections that take no further calls, and whose calls may still be answered, with the timers that close them.
	retired map[*peerConn]*time.Timer
	closed  bool
	bytes   ByteCounter
}

// peerConn is the connection to one address. The channel lock is a mutex that guards conn: it holds a token
// while unlocked, so that the wait for it can end with a context.
type peerConn struct {
	lock       chan struct{}
	conn       *jsonrpc2.Conn
	closed     bool         // dropped from the pool, and opens no connection any more
	unanswered atomic.Int32 // calls that timed out since the last answer
	answeredAt atomic.Int64 // when the latest answer arrived or the connection was opened, as the time since Pool.started
}

func newPeerConn() *peerConn {
	peer := &peerConn{lock: make(chan struct{}, 1)}
	peer.lock <- struct{}{}
	return peer
}

const (
	connectTimeout = time.Second
	writeTimeout   = time.Second
	maxUnanswered  = 4 // calls that time out in a row before the connection is reopened
	// silenceTimeout is the minimum time without an answer before the connection is reopened: many calls may time out at
	// once while a peer or this process is busy.
	silenceTimeout = 500 * time.Millisecond
	// retirementTime is how long a retired connection stays open for the answers to its calls.
	retirementTime = 2 * time.Second
)

// NewPool returns a pool whose calls carry the name of the given host and the stamps of its clock.
func NewPool(network dialer.Network, host string, clock *recorder.Clock) *Pool {
	return &Pool{network: network, host: host, clock: clock, started: time.Now(), conns: map[string]*peerConn{}, retired: map[*peerConn]*time.Timer{}}
}

// Bytes returns the number of bytes read and written on the pool's connections.
func (pool *Pool) Bytes() int64 { return pool.bytes.Total() }

// Call sends a request to the peer at an address and decodes its answer into result, unless that is nil.
// The error is of class ErrUnsent if no connection could be made.
func (pool *Pool) Call(ctx context.Context, address, method string, body, result any) error {
	peer := pool.peer(address)
	conn, err := pool.connect(ctx, peer, address)
	if errors.Is(err, errDropped) {
		peer = pool.peer(address) // the entry that replaces the dropped one
		conn, err = pool.connect(ctx, peer, address)
	}
	if err != nil {
		return ErrUnsent.Wrap(fmt.Errorf("connect to %s: %w", address, err))
	}
	request, err := newEnvelope(pool.host, pool.clock, body)
	if err != nil {
		return err
	}
	var answer Envelope
	if err := conn.Call(ctx, method, request, &answer); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			pool.recordTimeout(peer, address)
		}
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	peer.unanswered.Store(0)
	peer.answeredAt.Store(int64(time.Since(pool.started)))
	pool.clock.Observe(answer.Stamp)
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer.Body, result); err != nil {
		return fmt.Errorf("decode answer of %s: %w", method, err)
	}
	return nil
}

// RecordLate counts a call to the peer at an address whose answer is late as one that timed out, while the caller goes on waiting
// for it.
func (pool *Pool) RecordLate(address string) { pool.recordTimeout(pool.peer(address), address) }

// recordTimeout counts a call that timed out, and retires the connection if it is likely to be broken.
func (pool *Pool) recordTimeout(peer *peerConn, address string) {
	silence := time.Since(pool.started) - time.Duration(peer.answeredAt.Load())
	if peer.unanswered.Add(1) >= maxUnanswered && silence >= silenceTimeout {
		pool.retire(peer, address)
	}
}

// retire makes the next call to an address open a new connection. The former one is closed after retirementTime: if the peer is
// only slow, the calls on it are still answered, and need not be repeated.
func (pool *Pool) retire(peer *peerConn, address string) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.conns[address] != peer {
		return
	}
	delete(pool.conns, address)
	pool.retired[peer] = time.AfterFunc(retirementTime, func() {
		pool.mu.Lock()
		delete(pool.retired, peer)
		pool.mu.Unlock()
		peer.close()
	})
}

func newEnvelope(host string, clock *recorder.Clock, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, fmt.Errorf("encode body: %w", err)
	}
	return Envelope{Version: Version, From: host, Stamp: clock.Now(), Body: data}, nil
}

// peer returns the entry of an address, which may have no connection yet. Once the pool is closed, it opens none.
func (pool *Pool) peer(address string) *peerConn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.conns[address]
	if peer == nil {
		peer = newPeerConn()
		peer.closed = pool.closed
		pool.conns[address] = peer
	}
	return peer
}

func (pool *Pool) connect(ctx context.Context, peer *peerConn, address string) (*jsonrpc2.Conn, error) {
	select {
	case <-peer.lock:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for connection: %w", ctx.Err())
	}
	defer func() { peer.lock <- struct{}{} }()
	if peer.closed {
		return nil, errDropped
	}
	if peer.conn != nil && !disconnected(peer.conn) {
		return peer.conn, nil
	}
	timeout := connectTimeout
	if pool.Allowance != nil {
		timeout += pool.Allowance()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := pool.network.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	stream := jsonrpc2.NewBufferedStream(pool.bytes.Wrap(raw), codec{})
	peer.conn = jsonrpc2.NewConn(context.Background(), stream, rejectingHandler{}, discardLogs)
	peer.answeredAt.Store(int64(time.Since(pool.started)))
	return peer.conn, nil
}

func disconnected(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Drop closes the connection to an address. The next call opens a new one.
func (pool *Pool) Drop(address string) {
	pool.mu.Lock()
	peer := pool.conns[address]
	delete(pool.conns, address)
	pool.mu.Unlock()
	if peer != nil {
		peer.close()
	}
}

// errDropped reports that the connection to a peer was dropped while a call waited for it.
var errDropped = errors.New("the connection was dropped")

// close closes the connection, and keeps calls that already have this entry from opening another one, which nothing
// would close.
func (peerConn *peerConn) close() {
	<-peerConn.lock
	defer func() { peerConn.lock <- struct{}{} }()
	peerConn.closed = true
	if peerConn.conn != nil {
		_ = peerConn.conn.Close()
		<-peerConn.conn.DisconnectNotify()
	}
}

// Close closes all connections and waits until they have ended. Later calls open no connection.
func (pool *Pool) Close() {
	pool.mu.Lock()
	conns := slices.Collect(maps.Values(pool.conns))
	for peer, timer := range pool.retired {
		timer.Stop()
		conns = append(conns, peer)
	}
	pool.conns, pool.closed = map[string]*peerConn{}, true
	pool.mu.Unlock()
	for _, peer := range conns {
		peer.close()
	}
}

// discardLogs drops the log lines of jsonrpc2, which logs each answer that arrives after its call has ended.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// rejectingHandler rejects calls from the peer on outgoing connections, on which only this process sends calls.
type rejectingHandler struct{}

// Handle answers a call with the error "method not found".
func (rejectingHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls are accepted on an outgoing connection"})
}

// RemoteError returns the text of the error that the peer returned in its answer, and false if err is another error,
// such as a broken connection.
func RemoteError(err error) (string, bool) {
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		return answer.Message, true
	}
	return "", false
}

// ByteCounter counts the bytes that are read and written on the connections that it wraps.
type ByteCounter struct {
	mu    sync.Mutex
	total int64
}

// Total returns the number of bytes counted so far.
func (byteCounter *ByteCounter) Total() int64 {
	byteCounter.mu.Lock()
	defer byteCounter.mu.Unlock()
	return byteCounter.total
}

func (byteCounter *ByteCounter) add(count int) {
	byteCounter.mu.Lock()
	defer byteCounter.mu.Unlock()
	byteCounter.total += int64(count)
}

// Wrap returns a connection that counts its bytes, and on which each write is limited to writeTimeout.
func (byteCounter *ByteCounter) Wrap(conn net.Conn) net.Conn {
	return &countingConn{Conn: conn, byteCounter: byteCounter}
}

type countingConn struct {
	net.Conn
	byteCounter *ByteCounter
}

// Read reads from the connection and counts the bytes.
func (countingConn *countingConn) Read(data []byte) (int, error) {
	count, err := countingConn.Conn.Read(data)
	countingConn.byteCounter.add(count)
	return count, err
}

// Write writes to the connection and counts the bytes. A write that takes longer than writeTimeout fails and ends
// the connection, so that an unreachable peer does not block its callers.
func (countingConn *countingConn) Write(data []byte) (int, error) {
	if err := countingConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	count, err := countingConn.Conn.Write(data)
	countingConn.byteCounter.add(count)
	return count, err
}
