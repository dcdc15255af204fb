package linker

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/library/recorder"
)

// flakyListener fails to accept the first connections.
type flakyListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept fails while failures are left.
func (flakyListener *flakyListener) Accept() (net.Conn, error) {
	if flakyListener.failures.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return flakyListener.Listener.Accept()
}

// serveEcho starts a server that answers each call with an empty object.
func serveEcho(t *testing.T, listener net.Listener) {
	t.Helper()
	server := Serve(listener, "b", &recorder.Clock{}, nil, slog.New(slog.DiscardHandler), func(context.Context, string, string, json.RawMessage) (any, error) {
		return struct{}{}, nil
	})
	t.Cleanup(server.Close)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// TestAcceptErrors checks that a server goes on accepting connections after an error.
func TestAcceptErrors(t *testing.T) {
	listener := &flakyListener{Listener: listen(t)}
	listener.failures.Store(2)
	serveEcho(t, listener)
	pool := NewPool(dialer.TCP(), "a", &recorder.Clock{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := pool.Call(ctx, listener.Addr().String(), "x", struct{}{}, nil); err != nil {
		t.Error(err)
	}
}

// TestCallAfterClose guards against a call on a closed pool that opens a connection, which nothing would close.
func TestCallAfterClose(t *testing.T) {
	listener := listen(t)
	serveEcho(t, listener)
	pool := NewPool(dialer.TCP(), "a", &recorder.Clock{})
	pool.Close()
	if err := pool.Call(t.Context(), listener.Addr().String(), "x", struct{}{}, nil); !ErrUnsent.Has(err) {
		t.Errorf("error %v, want ErrUnsent", err)
	}
}

// TestDropWhileCalling checks that a call that already had the entry of a dropped connection opens no connection that
// the pool does not know.
func TestDropWhileCalling(t *testing.T) {
	listener := listen(t)
	serveEcho(t, listener)
	address := listener.Addr().String()
	pool := NewPool(dialer.TCP(), "a", &recorder.Clock{})
	defer pool.Close()
	entry := pool.peer(address)
	pool.Drop(address)
	if _, err := pool.connect(t.Context(), entry, address); !errors.Is(err, errDropped) {
		t.Errorf("error %v, want errDropped", err)
	}
	if err := pool.Call(t.Context(), address, "x", struct{}{}, nil); err != nil {
		t.Error(err)
	}
}

// TestManyLateCalls guards against a connection that is closed under all its calls: on a busy host, four calls at once that
// were late made the pool reopen the connection, which failed every other call on it.
func TestManyLateCalls(t *testing.T) {
	for _, test := range []struct {
		name    string
		silent  time.Duration // since the latest answer
		dropped bool
	}{
		{"answeredLately", 0, false},
		{"silent", 2 * silenceTimeout, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := NewPool(dialer.TCP(), "a", &recorder.Clock{})
			defer pool.Close()
			peer := pool.peer("x")
			pool.started = pool.started.Add(-test.silent)
			for range 2 * maxUnanswered {
				pool.recordTimeout(peer, "x")
			}
			if dropped := pool.peer("x") != peer; dropped != test.dropped {
				t.Errorf("dropped %t, want %t", dropped, test.dropped)
			}
		})
	}
}

// TestReplacedConnection guards against calls that fail since the connection to a slow peer was replaced: their answers were on the way,
// and each call that failed was repeated over the same link.
func TestReplacedConnection(t *testing.T) {
	listener := listen(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server := Serve(listener, "b", &recorder.Clock{}, nil, slog.New(slog.DiscardHandler), func(_ context.Context, _, method string, _ json.RawMessage) (any, error) {
		if method == "slow" {
			close(arrived)
			<-proceed
		}
		return struct{}{}, nil
	})
	t.Cleanup(server.Close)
	address := listener.Addr().String()
	pool := NewPool(dialer.TCP(), "a", &recorder.Clock{})
	defer pool.Close()
	if err := pool.Call(t.Context(), address, "x", struct{}{}, nil); err != nil {
		t.Fatal(err)
	}
	answers := make(chan error, 1)
	peer := pool.peer(address)
	go func() { answers <- pool.Call(t.Context(), address, "slow", struct{}{}, nil) }()
	<-arrived
	pool.started = pool.started.Add(-2 * silenceTimeout)
	for range maxUnanswered {
		pool.RecordLate(address)
	}
	if pool.peer(address) == peer {
		t.Error("the connection was not replaced")
	}
	if err := pool.Call(t.Context(), address, "x", struct{}{}, nil); err != nil {
		t.Errorf("call on the new connection: %v", err)
	}
	close(proceed)
	if err := <-answers; err != nil {
		t.Errorf("call on the replaced connection: %v", err)
	}
}
