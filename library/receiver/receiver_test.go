package receiver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/library/budgeter"
)

const (
	testMaxBytes = 64 << 10
	testTimeout  = 10 * time.Second
)

// serve starts a server that answers each request with the length of its body, or with the class of the error.
func serve(t *testing.T, receiver *Receiver) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := receiver.Receive(writer, request, testMaxBytes, receiver.Timeout)
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
			defer body.Close()
			fmt.Fprint(writer, len(body.Data))
		case errors.As(err, &tooLarge):
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
		case ErrLate.Has(err):
			writer.WriteHeader(http.StatusRequestTimeout)
		case budgeter.ErrFull.Has(err):
			writer.WriteHeader(http.StatusServiceUnavailable)
		default:
			writer.WriteHeader(http.StatusBadRequest)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// assertAnswer sends a request and checks its answer.
func assertAnswer(t *testing.T, address, request string, status int, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	if response.StatusCode != status || string(data) != text {
		t.Errorf("status %d, %q; want %d, %q", response.StatusCode, data, status, text)
	}
}

func withLength(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(size, count int, end string) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, count) + end
}

// TestReceive checks bodies of each form, and that their memory is returned.
func TestReceive(t *testing.T) {
	const end = "0\r\n\r\n"
	for _, test := range []struct {
		name    string
		request string
		status  int
		text    string
	}{
		{"empty", withLength(0, ""), http.StatusOK, "0"},
		{"small", withLength(5, "hello"), http.StatusOK, "5"},
		{"largest", withLength(testMaxBytes, strings.Repeat("x", testMaxBytes)), http.StatusOK, fmt.Sprint(testMaxBytes)},
		{"tooLarge", withLength(testMaxBytes+1, ""), http.StatusRequestEntityTooLarge, ""},
		{"chunked", chunked(1000, 10, end), http.StatusOK, "10000"},
		{"smallChunks", chunked(1, 10000, end), http.StatusOK, "10000"},
		{"largestChunked", chunked(1<<10, testMaxBytes>>10, end), http.StatusOK, fmt.Sprint(testMaxBytes)},
		{"tooLargeChunked", chunked(1<<10, testMaxBytes>>10+1, end), http.StatusRequestEntityTooLarge, ""},
		{"brokenChunk", chunked(10, 1, "no length\r\n"), http.StatusBadRequest, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			receiver := &Receiver{Budget: budgeter.New(16 << 20), Timeout: testTimeout}
			address := serve(t, receiver)
			assertAnswer(t, address, test.request, test.status, test.text)
			assertReturned(t, receiver.Budget)
		})
	}
}

// TestLate checks that a body that stalls is given up after its time.
func TestLate(t *testing.T) {
	receiver := &Receiver{Budget: budgeter.New(16 << 20), Timeout: 50 * time.Millisecond}
	address := serve(t, receiver)
	assertAnswer(t, address, withLength(100, "x"), http.StatusRequestTimeout, "")
	assertAnswer(t, address, chunked(100, 1, ""), http.StatusRequestTimeout, "")
	assertReturned(t, receiver.Budget)
}

// TestNoMemory checks that a body for which there is no memory is refused before it is sent.
func TestNoMemory(t *testing.T) {
	receiver := &Receiver{Budget: budgeter.New(2 * testMaxBytes * CostPerByte), Timeout: testTimeout}
	address := serve(t, receiver)
	claim, err := receiver.Budget.Claim(testMaxBytes*CostPerByte, func() {})
	if err != nil {
		t.Fatal(err)
	}
	assertAnswer(t, address, withLength(testMaxBytes, "x"), http.StatusServiceUnavailable, "")
	assertAnswer(t, address, withLength(5, "hello"), http.StatusOK, "5")
	claim.Release()
	assertAnswer(t, address, withLength(testMaxBytes, strings.Repeat("x", testMaxBytes)), http.StatusOK, fmt.Sprint(testMaxBytes))
}

// assertReturned checks that no memory is claimed once the handlers have ended.
func assertReturned(t *testing.T, budget *budgeter.Budget) {
	t.Helper()
	for range 1000 {
		if budget.Used() == 0 {
			return
		}
		time.Sleep(testTimeout / 1000)
	}
	t.Errorf("%d bytes are claimed", budget.Used())
}
