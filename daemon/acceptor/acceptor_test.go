package acceptor

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// testServer is an HTTP server behind a Listener.
type testServer struct {
	*Listener
	address string
	closed  chan Reason
	served  chan struct{} // receives an element when a request begins
	proceed chan struct{} // an element lets a request end
}

// largeAnswer is the answer to requests to /large, more than the kernel keeps for a client that does not read.
var largeAnswer = make([]byte, 16<<20)

// newServer starts a server whose requests to /wait end when proceed is sent to. Other requests are answered once their body was read.
func newServer(t *testing.T, limits Limits) *testServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{address: raw.Addr().String(), closed: make(chan Reason, 100), served: make(chan struct{}, 100), proceed: make(chan struct{})}
	limits.Closed = func(reason Reason) { server.closed <- reason }
	server.Listener = Wrap(raw, limits)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/stream" {
			Resumable(request)
			server.served <- struct{}{}
			<-request.Context().Done()
			return
		}
		server.served <- struct{}{}
		if request.URL.Path == "/wait" {
			<-server.proceed
		}
		if request.URL.Path == "/large" {
			_, _ = writer.Write(largeAnswer)
			return
		}
		if request.Context().Err() != nil {
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		writer.WriteHeader(http.StatusNoContent)
	})
	httpServer := &http.Server{Handler: Handle(handler), ConnContext: WithConn, ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout}
	go func() { _ = httpServer.Serve(server) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return server
}

// dial opens a connection and sends text.
func (testServer *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", testServer.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitConns waits until the listener has so many connections.
func (testServer *testServer) awaitConns(t *testing.T, count int) {
	t.Helper()
	for range 1000 {
		if testServer.Conns() == count {
			return
		}
		time.Sleep(testTimeout / 1000)
	}
	t.Fatalf("%d connections, want %d", testServer.Conns(), count)
}

func assertStatus(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != status {
		t.Errorf("status %d, want %d", response.StatusCode, status)
	}
}

// assertClosed checks that the other side has closed a connection without an answer.
func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	data, err := io.ReadAll(conn)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() || len(data) > 0 { //nolint:errorlint // set by the connection itself
		t.Errorf("read %q, %v; want a closed connection", data, err)
	}
}

func request(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) }

// TestResumableAnswers checks that streams that their clients can resume make room for others, the oldest one first.
func TestResumableAnswers(t *testing.T) {
	server := newServer(t, Limits{Conns: 2})
	first := server.dial(t, request("/stream"))
	<-server.served
	second := server.dial(t, request("/stream"))
	<-server.served
	third := server.dial(t, request("/"))
	assertStatus(t, third, http.StatusNoContent)
	assertClosed(t, first)
	fourth := server.dial(t, request("/"))
	assertStatus(t, fourth, http.StatusNoContent)
	assertClosed(t, third)
	if err := second.SetReadDeadline(time.Now()); err != nil {
		t.Error(err)
	}
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the second stream ended although another connection was idle: %v", err)
	}
}

// TestUnreadAnswers checks that clients that do not read their answers make room for others.
func TestUnreadAnswers(t *testing.T) {
	server := newServer(t, Limits{Conns: 2})
	first := server.dial(t, request("/large"))
	// The answer that has been written for the longest time is closed. The second one begins once the first one has.
	const begun = 64 << 10
	if _, err := io.CopyN(io.Discard, first, begun); err != nil {
		t.Fatal(err)
	}
	second := server.dial(t, request("/large"))
	if _, err := io.CopyN(io.Discard, second, begun); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * minUnreadTime)
	third := server.dial(t, request("/"))
	assertStatus(t, third, http.StatusNoContent)
	if reason := <-server.closed; reason != TooManyConnections {
		t.Errorf("reason %q", reason)
	}
	if read, err := io.Copy(io.Discard, first); read >= int64(len(largeAnswer))-begun {
		t.Errorf("the first client was not closed: %d bytes, %v", read, err)
	}
	if read, _ := io.CopyN(io.Discard, second, int64(len(largeAnswer))-begun); read < int64(len(largeAnswer))-begun {
		t.Errorf("the second client read %d bytes only", read)
	}
}

// TestOldestIsClosed checks which connection is closed when there are too many.
func TestOldestIsClosed(t *testing.T) {
	t.Run("silent", func(t *testing.T) {
		server := newServer(t, Limits{Conns: 2})
		first := server.dial(t, "")
		server.awaitConns(t, 1)
		second := server.dial(t, "")
		server.awaitConns(t, 2)
		third := server.dial(t, request("/"))
		assertClosed(t, first)
		assertStatus(t, third, http.StatusNoContent)
		if _, err := io.WriteString(second, request("/")); err != nil {
			t.Error(err)
		}
		assertStatus(t, second, http.StatusNoContent)
		if reason := <-server.closed; reason != TooManyConnections {
			t.Errorf("reason %q", reason)
		}
	})
	t.Run("stalledBody", func(t *testing.T) {
		server := newServer(t, Limits{Conns: 1})
		first := server.dial(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
		server.awaitConns(t, 1)
		assertStatus(t, server.dial(t, request("/")), http.StatusNoContent)
		assertClosed(t, first)
	})
	t.Run("notServed", func(t *testing.T) {
		server := newServer(t, Limits{Conns: 2})
		served := server.dial(t, request("/wait"))
		<-server.served
		idle := server.dial(t, "")
		server.awaitConns(t, 2)
		assertStatus(t, server.dial(t, request("/")), http.StatusNoContent)
		assertClosed(t, idle)
		server.proceed <- struct{}{}
		assertStatus(t, served, http.StatusNoContent)
	})
	t.Run("allServed", func(t *testing.T) {
		server := newServer(t, Limits{Conns: 1})
		served := server.dial(t, request("/wait"))
		<-server.served
		assertClosed(t, server.dial(t, ""))
		server.proceed <- struct{}{}
		assertStatus(t, served, http.StatusNoContent)
	})
	t.Run("afterAnswer", func(t *testing.T) { // a connection whose request was answered counts anew
		server := newServer(t, Limits{Conns: 2})
		first := server.dial(t, "")
		server.awaitConns(t, 1)
		second := server.dial(t, "")
		server.awaitConns(t, 2)
		if _, err := io.WriteString(first, request("/")); err != nil {
			t.Fatal(err)
		}
		assertStatus(t, first, http.StatusNoContent)
		assertStatus(t, server.dial(t, request("/")), http.StatusNoContent)
		assertClosed(t, second)
	})
}

// TestLatestRead checks that the connection that sent nothing for the longest time is closed where each read counts.
func TestLatestRead(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := Wrap(raw, Limits{Conns: 2, ByLatestRead: true})
	defer listener.Close()
	var accepted []net.Conn
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		other, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { other.Close() })
		accepted = append(accepted, other)
		return conn
	}
	first, second := dial(), dial()
	if _, err := io.WriteString(first, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := accepted[0].Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	dial()
	assertClosed(t, second)
	if _, err := io.WriteString(first, "x"); err != nil {
		t.Error(err)
	}
	if _, err := accepted[0].Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

// TestServedWhileDrained guards against requests that are cut although they were received completely before the end of a drain.
func TestServedWhileDrained(t *testing.T) {
	const timeout = 500 * time.Millisecond
	server := newServer(t, Limits{Conns: 10})
	server.Drain(timeout)
	conn := server.dial(t, request("/wait"))
	<-server.served
	time.Sleep(2 * timeout)
	server.proceed <- struct{}{}
	assertStatus(t, conn, http.StatusNoContent)
}

// heads returns the memory of the heads that a listener counts.
func (testServer *testServer) heads() int64 {
	testServer.mu.Lock()
	defer testServer.mu.Unlock()
	return testServer.headBytes
}

// TestHeads checks that the oldest head that is not complete gives its memory to others, and that complete ones return theirs.
func TestHeads(t *testing.T) {
	line := "X-Line: " + strings.Repeat("x", 990) + "\r\n"
	begin := "GET / HTTP/1.1\r\nHost: x\r\n"
	const limit = 32 << 10
	t.Run("oldest", func(t *testing.T) {
		server := newServer(t, Limits{Conns: 10, HeadBytes: limit})
		silent := server.dial(t, "")
		server.awaitConns(t, 1)
		first := server.dial(t, begin+strings.Repeat(line, 6))
		server.awaitHeads(t, 6*costPerHeadByte*int64(len(line)))
		second := server.dial(t, begin+strings.Repeat(line, 6)+"\r\n")
		assertClosed(t, first)
		assertStatus(t, second, http.StatusNoContent)
		if _, err := io.WriteString(silent, request("/")); err != nil {
			t.Error(err)
		}
		assertStatus(t, silent, http.StatusNoContent)
		if reason := <-server.closed; reason != TooManyHeads {
			t.Errorf("reason %q", reason)
		}
	})
	t.Run("shortLines", func(t *testing.T) { // each takes more memory than its bytes
		server := newServer(t, Limits{Conns: 10, HeadBytes: limit})
		first := server.dial(t, begin+strings.Repeat("a:\n", 150))
		server.awaitHeads(t, 150*costPerHeadLine)
		server.dial(t, begin+strings.Repeat("a:\n", 150))
		assertClosed(t, first)
	})
	t.Run("inARow", func(t *testing.T) { // the end of what was read for one head may be the beginning of the next
		server := newServer(t, Limits{Conns: 10, HeadBytes: limit})
		conn := server.dial(t, request("/")+begin+strings.Repeat("a:\n", 100))
		assertStatus(t, conn, http.StatusNoContent)
		server.awaitHeads(t, 100*costPerHeadLine)
	})
	t.Run("returned", func(t *testing.T) {
		server := newServer(t, Limits{Conns: 10, HeadBytes: limit})
		conn := server.dial(t, "")
		reader := bufio.NewReader(conn)
		for range 20 {
			if _, err := io.WriteString(conn, begin+strings.Repeat(line, 3)+"\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := http.ReadResponse(reader, nil); err != nil { // no body follows
				t.Fatal(err)
			}
		}
		conn.Close()
		server.awaitConns(t, 0)
		if heads := server.heads(); heads != 0 {
			t.Errorf("%d bytes of heads without a connection", heads)
		}
	})
}

// awaitHeads waits until the heads take a number of bytes at least.
func (testServer *testServer) awaitHeads(t *testing.T, bytes int64) {
	t.Helper()
	for range 1000 {
		if testServer.heads() >= bytes {
			return
		}
		time.Sleep(testTimeout / 1000)
	}
	t.Fatalf("%d bytes of heads, want %d", testServer.heads(), bytes)
}

// TestDrain checks that a drained listener ends requests that are not received completely, and serves the others.
func TestDrain(t *testing.T) {
	const body = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx"
	server := newServer(t, Limits{Conns: 10, BodyTimeout: time.Hour})
	served := server.dial(t, request("/wait"))
	<-server.served
	server.dial(t, body)
	server.dial(t, "GET / HTTP/1.1\r\n")
	server.dial(t, "")
	server.awaitConns(t, 4)
	server.Drain(0)
	server.awaitConns(t, 1)
	server.dial(t, body)
	server.awaitConns(t, 1)
	server.proceed <- struct{}{}
	assertStatus(t, served, http.StatusNoContent)
}

// TestReceiveBuffer checks that the kernel keeps few bytes for connections that are not read, and fewer for those beyond a number.
func TestReceiveBuffer(t *testing.T) {
	const limit = 16 << 10
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := Wrap(raw, Limits{Conns: 3, ReceiveBuffer: limit, FullBuffers: 2})
	defer listener.Close()
	for _, want := range []int{limit, limit, MinReceiveBuffer} {
		conn, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		assertReceiveBuffer(t, accepted, want)
	}
}

// assertReceiveBuffer checks the size that was set for the receive buffer of an accepted connection. The kernel doubles it.
func assertReceiveBuffer(t *testing.T, accepted net.Conn, want int) {
	t.Helper()
	socket, err := accepted.(*Conn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := socket.Control(func(descriptor uintptr) {
		size, err := syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		if err != nil || size > 2*want {
			t.Errorf("receive buffer of %d bytes, error %v, want at most %d", size, err, 2*want)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// TestRequestLimits checks the limits of each request.
func TestRequestLimits(t *testing.T) {
	const short, long = 50 * time.Millisecond, time.Hour
	const begin = "GET / HTTP/1.1\r\nHost: x\r\n"
	serve := func(t *testing.T, limits RequestLimits) *testServer {
		return newServer(t, Limits{Conns: 10, Request: func() RequestLimits { return limits }})
	}
	t.Run("headTimeout", func(t *testing.T) {
		server := serve(t, RequestLimits{HeadTimeout: short, IdleTimeout: long})
		server.dial(t, begin)
		waiting := server.dial(t, "")
		server.awaitConns(t, 2)
		server.awaitConns(t, 1)
		if _, err := io.WriteString(waiting, request("/")); err != nil {
			t.Fatal(err)
		}
		assertStatus(t, waiting, http.StatusNoContent)
	})
	t.Run("idleTimeout", func(t *testing.T) {
		server := serve(t, RequestLimits{HeadTimeout: long, IdleTimeout: short})
		answered := server.dial(t, request("/"))
		assertStatus(t, answered, http.StatusNoContent)
		assertClosed(t, answered)
	})
	t.Run("servedAndBodies", func(t *testing.T) { // neither is idle
		server := serve(t, RequestLimits{HeadTimeout: short, IdleTimeout: short})
		served := server.dial(t, request("/wait"))
		<-server.served
		body := server.dial(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
		time.Sleep(2 * short)
		if _, err := io.WriteString(body, "x"); err != nil {
			t.Fatal(err)
		}
		assertStatus(t, body, http.StatusNoContent)
		server.proceed <- struct{}{}
		assertStatus(t, served, http.StatusNoContent)
	})
	t.Run("headBytes", func(t *testing.T) {
		const limit = 1 << 10
		server := serve(t, RequestLimits{MaxHeadBytes: limit})
		assertStatus(t, server.dial(t, begin+"X: "+strings.Repeat("x", limit/2)+"\r\n\r\n"), http.StatusNoContent)
		assertStatus(t, server.dial(t, begin+"X: "+strings.Repeat("x", limit+2*httpBufferBytes)+"\r\n\r\n"), http.StatusBadRequest)
		large := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000)
		assertStatus(t, server.dial(t, large), http.StatusNoContent)
	})
}
