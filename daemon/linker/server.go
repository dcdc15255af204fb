package linker

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/retrier"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler serves one call of the host from. Its result is encoded as JSON in the body of the answer.
// The context ends when the connection or the server does.
type Handler func(ctx context.Context, from, method string, body json.RawMessage) (any, error)

// Server answers the calls of peers.
type Server struct {
	host    string
	clock   *recorder.Clock
	handler Handler
	memory  *Memory
	calls   *openCalls
	log     *slog.Logger
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	bytes   ByteCounter

	mu       sync.Mutex
	listener net.Listener
	conns    map[*jsonrpc2.Conn]bool
	closed   bool
}

// acceptRetryDelay is the wait after a connection could not be accepted, for example because all file descriptors are in
// use.
const acceptRetryDelay = 100 * time.Millisecond

// Serve starts a server that accepts connections on the listener and answers their calls until Close. Large messages claim memory
// from their first bytes until they are answered; without any, their connection is closed. All calls take memory until the peer has
// read their answers. Nil stands for no limit.
func Serve(listener net.Listener, host string, clock *recorder.Clock, memory *Memory, log *slog.Logger, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{host: host, clock: clock, handler: handler, memory: memory, calls: newOpenCalls(memory), log: log, cancel: cancel, listener: listener, conns: map[*jsonrpc2.Conn]bool{}}
	server.wait.Go(func() { server.accept(ctx) })
	return server
}

// Bytes returns the number of bytes read and written on the server's connections.
func (server *Server) Bytes() int64 { return server.bytes.Total() }

func (server *Server) accept(ctx context.Context) {
	for {
		raw, err := server.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			server.log.Warn("cannot accept a peer's connection, retrying", "error", err)
			retrier.Sleep(ctx, acceptRetryDelay)
			continue
		}
		inbound := &inbound{memory: server.memory, close: func() { _ = raw.Close() }}
		stream := jsonrpc2.NewBufferedStream(server.bytes.Wrap(raw), codec{inbound})
		calls := server.calls.add(inbound.close)
		conn := jsonrpc2.NewConn(ctx, stream, callHandler{server, inbound, calls}, discardLogs)
		if !server.addConn(conn) {
			_ = conn.Close()
			return
		}
		go server.removeOnDisconnect(conn, calls)
	}
}

// addConn registers a connection, for whose end Close waits. It returns false if the server is closing.
func (server *Server) addConn(conn *jsonrpc2.Conn) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.closed {
		return false
	}
	server.wait.Add(1)
	server.conns[conn] = true
	return true
}

// removeOnDisconnect waits until a connection has ended and removes it.
func (server *Server) removeOnDisconnect(conn *jsonrpc2.Conn, calls *connCalls) {
	defer server.wait.Done()
	<-conn.DisconnectNotify()
	calls.remove()
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.conns, conn)
}

// callHandler handles the calls on one connection.
type callHandler struct {
	server  *Server
	inbound *inbound
	calls   *connCalls
}

// Handle answers one call of a peer in a new goroutine, so that calls on one connection run concurrently. A call that arrives while the
// server is closing, or that lost its memory to others, gets no answer, and neither does one on a connection with too many.
func (callHandler callHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	release, found := callHandler.inbound.take()
	if !found {
		return
	}
	server, calls, size := callHandler.server, callHandler.calls, callHandler.inbound.size
	if !calls.begin(size) {
		release()
		return
	}
	if !server.beginCall() {
		calls.end(size)
		release()
		return
	}
	go func() {
		defer server.wait.Done()
		defer calls.end(size)
		defer release()
		server.reply(ctx, conn, request)
	}()
}

// beginCall registers a call, for whose end Close waits. It returns false if the server is closing.
func (server *Server) beginCall() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.closed {
		return false
	}
	server.wait.Add(1)
	return true
}

func (server *Server) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	answer, err := server.answer(ctx, conn, request)
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, request.ID, answer)
}

func (server *Server) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) (Envelope, error) {
	if request.Params == nil {
		return Envelope{}, Error.New("call %q without parameters", request.Method)
	}
	var call Envelope
	if err := json.Unmarshal(*request.Params, &call); err != nil {
		return Envelope{}, fmt.Errorf("decode call %q: %w", request.Method, err)
	}
	server.clock.Observe(call.Stamp)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-conn.DisconnectNotify():
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := server.handler(ctx, call.From, request.Method, call.Body)
	if err != nil {
		return Envelope{}, err
	}
	return newEnvelope(server.host, server.clock, result)
}

// Close stops accepting connections, closes the open ones, cancels running calls and waits for all of them.
func (server *Server) Close() {
	server.cancel()
	_ = server.listener.Close()
	server.mu.Lock()
	server.closed = true
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.mu.Unlock()
	server.wait.Wait()
}
