// Package linker carries typed calls between the system's own processes, over jsonrpc2 on TCP.
//
// Each call is wrapped in an envelope with the protocol's version and the sender's logical clock.
package linker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/library/recorder"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Version is the version of the protocol between processes.
const Version = 1

// Error is the class of all errors of this package.
var Error = errs.Class("linker")

// ErrUnsent marks a call that surely did not reach the peer.
var ErrUnsent = errs.Class("call not sent")

// ErrVersion marks a call between processes of different protocol versions.
var ErrVersion = errs.Class("protocol version")

// Envelope wraps the body of each call and answer.
type Envelope struct {
	Version int             `json:"version"`
	From    string          `json:"from"`
	Stamp   recorder.Stamp  `json:"stamp"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// UnmarshalJSON decodes an envelope and refuses another version.
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

// Pool calls peers, with one connection each that is made when needed.
type Pool struct {
	network dialer.Network
	host    string
	clock   *recorder.Clock

	mu    sync.Mutex
	links map[string]*link
	bytes Counter
}

// link is one connection; turn holds a token while nobody is connecting.
type link struct {
	turn    chan struct{}
	conn    *jsonrpc2.Conn
	unheard atomic.Int32 // calls without an answer since the last one
}

func newLink() *link {
	made := &link{turn: make(chan struct{}, 1)}
	made.turn <- struct{}{}
	return made
}

const (
	connectTimeout = 300 * time.Millisecond
	writeTimeout   = time.Second
	mostUnheard    = 4 // calls without an answer after which a connection is made anew
)

// NewPool returns a pool of connections from the named host.
func NewPool(network dialer.Network, host string, clock *recorder.Clock) *Pool {
	return &Pool{network: network, host: host, clock: clock, links: map[string]*link{}}
}

// Bytes returns how many bytes went over the pool's connections in both directions.
func (pool *Pool) Bytes() int64 { return pool.bytes.Total() }

// Call sends a request to the peer at an address and decodes its answer into result.
func (pool *Pool) Call(ctx context.Context, address, method string, body, result any) error {
	link := pool.link(address)
	conn, err := pool.connect(ctx, link, address)
	if err != nil {
		return ErrUnsent.Wrap(fmt.Errorf("connect to %s: %w", address, err))
	}
	request, err := seal(pool.host, pool.clock, body)
	if err != nil {
		return err
	}
	var answer Envelope
	if err := conn.Call(ctx, method, request, &answer); err != nil {
		if errors.Is(err, context.DeadlineExceeded) && link.unheard.Add(1) >= mostUnheard {
			pool.Drop(address)
		}
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	link.unheard.Store(0)
	pool.clock.See(answer.Stamp)
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer.Body, result); err != nil {
		return fmt.Errorf("decode answer of %s: %w", method, err)
	}
	return nil
}

func seal(host string, clock *recorder.Clock, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, fmt.Errorf("encode body: %w", err)
	}
	return Envelope{Version: Version, From: host, Stamp: clock.Now(), Body: data}, nil
}

func (pool *Pool) link(address string) *link {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	found := pool.links[address]
	if found == nil {
		found = newLink()
		pool.links[address] = found
	}
	return found
}

func (pool *Pool) connect(ctx context.Context, found *link, address string) (*jsonrpc2.Conn, error) {
	select {
	case <-found.turn:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for connection: %w", ctx.Err())
	}
	defer func() { found.turn <- struct{}{} }()
	if found.conn != nil && !disconnected(found.conn) {
		return found.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := pool.network.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	stream := jsonrpc2.NewBufferedStream(pool.bytes.Wrap(raw), jsonrpc2.VarintObjectCodec{})
	found.conn = jsonrpc2.NewConn(context.Background(), stream, refuseAll{}, quiet)
	return found.conn, nil
}

func disconnected(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Drop closes the connection to an address, so that the next call makes a new one.
func (pool *Pool) Drop(address string) {
	pool.mu.Lock()
	found := pool.links[address]
	delete(pool.links, address)
	pool.mu.Unlock()
	if found != nil {
		found.close()
	}
}

func (link *link) close() {
	<-link.turn
	defer func() { link.turn <- struct{}{} }()
	if link.conn != nil {
		_ = link.conn.Close()
		<-link.conn.DisconnectNotify()
	}
}

// Close closes all connections and waits for them.
func (pool *Pool) Close() {
	pool.mu.Lock()
	links := pool.links
	pool.links = map[string]*link{}
	pool.mu.Unlock()
	for _, link := range links {
		link.close()
	}
}

// quiet drops what jsonrpc2 would log of answers that nobody waits for any more.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// refuseAll answers calls that come the wrong way over an outgoing connection.
type refuseAll struct{}

// Handle refuses a call.
func (refuseAll) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"})
}

// Refused reports whether the peer answered a call with an error of its own, and its text.
func Refused(err error) (string, bool) {
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		return answer.Message, true
	}
	return "", false
}

// Counter counts the bytes of wrapped connections.
type Counter struct {
	mu    sync.Mutex
	total int64
}

// Total returns the bytes so far.
func (counter *Counter) Total() int64 {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	return counter.total
}

func (counter *Counter) add(count int) {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	counter.total += int64(count)
}

// Wrap returns a connection whose bytes are counted.
func (counter *Counter) Wrap(conn net.Conn) net.Conn {
	return &counted{Conn: conn, counter: counter}
}

type counted struct {
	net.Conn
	counter *Counter
}

// Read reads and counts.
func (counted *counted) Read(data []byte) (int, error) {
	count, err := counted.Conn.Read(data)
	counted.counter.add(count)
	return count, err
}

// Write writes and counts; a peer that takes nothing for a while loses its connection, so that one that
// vanished does not hold up its callers.
func (counted *counted) Write(data []byte) (int, error) {
	if err := counted.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("bound write: %w", err)
	}
	count, err := counted.Conn.Write(data)
	counted.counter.add(count)
	return count, err
}
