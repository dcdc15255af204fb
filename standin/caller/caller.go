// Package caller calls scheduling hosts as clients of the users' platform do. It writes the platform's published protocol
// by itself, so that an error in the hosts' own adapter shows.
package caller

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

// The methods of calls.
const (
	Submit = http.MethodPost   // submits a job
	Query  = http.MethodGet    // asks for the state of a job
	Cancel = http.MethodDelete // cancels a job
)

// The states of a job in answers.
const (
	Queued    = "queued"
	Running   = "running"
	Completed = "completed"
	Failed    = "failed"
	Canceled  = "cancelled" //nolint:misspell // the platform's spelling
)

// Submission is the body of a call that submits a job.
type Submission struct {
	Spec  string `json:"spec"` // payload of the tasks
	Steps []Step `json:"steps"`
}

// Step is a step of a job.
type Step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"` // thousandths of a core
	MemMB       int64 `json:"memMb"`
	EstimateMS  int64 `json:"estimateMs"`
	DependsOn   []int `json:"dependsOn,omitempty"` // indexes of steps
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

// Encode returns the submission in the form of the protocol.
func (submission Submission) Encode() string {
	data, err := json.Marshal(submission)
	if err != nil {
		panic(err) // unreachable: a submission consists of strings, numbers and lists of them
	}
	return string(data)
}

// Answer is what a Caller has seen of one call.
type Answer struct {
	SentAt     time.Time
	ReceivedAt time.Time // or the time of the failure
	Status     int       // 0 without a complete answer
	State      string
	RetryAfter time.Duration
	Refused    bool // no connection was made, or an error before the call was sent
	TimedOut   bool
}

// IsRejected reports whether the answer says that the job was not accepted.
func (answer Answer) IsRejected() bool {
	return answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable
}

// Caller calls one host over a connection that it uses until the host ends it. It repeats no call by itself, which an
// http.Client would do.
type Caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// New returns a caller of the host at a host:port address, without a connection yet.
func New(address string) *Caller { return &Caller{address: address} }

const (
	dialTimeout    = time.Second
	callDeadline   = 3 * time.Second
	callSlack      = 500 * time.Millisecond // for the way of an answer that is sent at the deadline
	requestHost    = "soak"                 // routes without a host apply to any
	readinessPath  = "/-/readyz"
	keyHeader      = "X-Ebonyshunt-Key"
	deadlineHeader = "X-Ebonyshunt-Deadline-Ms"
)

// IsReady asks the address of a host's readiness, as a load balancer does, and reports whether the host is ready.
func (caller *Caller) IsReady() bool {
	return caller.Call(http.MethodGet, readinessPath, "", "").Status == http.StatusOK
}

// Call makes one call with the key of a team. Only submissions have a body.
func (caller *Caller) Call(method, path, key, body string) Answer {
	result := Answer{SentAt: time.Now()}
	if caller.conn == nil {
		conn, err := net.DialTimeout("tcp", caller.address, dialTimeout)
		if err != nil {
			result.ReceivedAt, result.Refused = time.Now(), true
			return result
		}
		caller.conn, caller.reader = conn, bufio.NewReader(conn)
	}
	_ = caller.conn.SetDeadline(time.Now().Add(callDeadline + callSlack))
	_, err := fmt.Fprintf(caller.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, requestHost, keyHeader, key, deadlineHeader, callDeadline.Milliseconds(), len(body), body)
	result.SentAt = time.Now()
	if err != nil {
		result.ReceivedAt, result.Refused = time.Now(), true
		caller.Close()
		return result
	}
	err = caller.read(method, &result)
	result.ReceivedAt = time.Now()
	if err != nil {
		result.Status = 0
		result.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
		caller.Close()
	}
	return result
}

// read reads the answer to a call.
func (caller *Caller) read(method string, result *Answer) error {
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: method})
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	result.Status = response.StatusCode
	var decoded struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &decoded) == nil {
		result.State = decoded.State
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	if response.Close || strings.EqualFold(response.Header.Get("Connection"), "close") {
		caller.Close()
	}
	return nil
}

// Close closes the connection. The next call opens another one.
func (caller *Caller) Close() {
	if caller.conn != nil {
		caller.conn.Close()
		caller.conn = nil
	}
}
