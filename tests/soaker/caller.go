package soaker

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// caller calls one host over a connection that it uses until the host ends it. It repeats no call by itself, which an
// http.Client would do.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a caller has seen of one call.
type answer struct {
	sentAt     time.Time
	receivedAt time.Time // or the time of the failure
	status     int       // 0 without a complete answer
	state      string
	retryAfter time.Duration
	refused    bool // no connection was made, or an error before the call was sent
	timedOut   bool
}

const (
	callDeadline = 3 * time.Second
	callSlack    = 500 * time.Millisecond // for the way of an answer that is sent at the deadline
)

// isRejected reports whether the answer says that the job was not accepted.
func (answer answer) isRejected() bool {
	return answer.status == http.StatusTooManyRequests || answer.status == http.StatusServiceUnavailable
}

// call makes one call.
func (caller *caller) call(method, path, key, body string) answer {
	result := answer{sentAt: time.Now()}
	if caller.conn == nil {
		conn, err := net.DialTimeout("tcp", caller.address, time.Second)
		if err != nil {
			result.receivedAt, result.refused = time.Now(), true
			return result
		}
		caller.conn, caller.reader = conn, bufio.NewReader(conn)
	}
	_ = caller.conn.SetDeadline(time.Now().Add(callDeadline + callSlack))
	_, err := fmt.Fprintf(caller.conn, "%s %s HTTP/1.1\r\nHost: soak\r\nX-Ebonyshunt-Key: %s\r\nX-Ebonyshunt-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, key, callDeadline.Milliseconds(), len(body), body)
	result.sentAt = time.Now()
	if err != nil {
		result.receivedAt, result.refused = time.Now(), true
		caller.Close()
		return result
	}
	err = caller.read(method, &result)
	result.receivedAt = time.Now()
	if err != nil {
		result.status = 0
		result.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		caller.Close()
	}
	return result
}

// read reads the answer to a call.
func (caller *caller) read(method string, result *answer) error {
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: method})
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	result.status = response.StatusCode
	var decoded struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &decoded) == nil {
		result.state = decoded.State
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.retryAfter = time.Duration(seconds) * time.Second
	}
	if response.Close || strings.EqualFold(response.Header.Get("Connection"), "close") {
		caller.Close()
	}
	return nil
}

// Close closes the connection. The next call opens another one.
func (caller *caller) Close() {
	if caller.conn != nil {
		caller.conn.Close()
		caller.conn = nil
	}
}
