package crowder

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyshunt.org/standin/caller"
)

// client sends what one badly behaved client sends. The connection stays open until the test ends it. An error, such as of a
// connection that the host has closed, ends the client.
type client func(conn net.Conn, number int) error

const (
	dialTimeout = 5 * time.Second
	sendTimeout = 20 * time.Second // of all that one client sends
	// settleTime is how long a crowd stays after all of it was sent.
	settleTime = 2 * time.Second
)

// crowd is a number of clients whose connections are open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	wait  sync.WaitGroup
}

// sendCrowd lets so many clients call an address at once, and returns when each has sent all that it sends.
func sendCrowd(t *testing.T, address string, count int, send client) *crowd {
	t.Helper()
	crowd := &crowd{}
	t.Cleanup(crowd.close)
	for number := range count {
		crowd.wait.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return
			}
			crowd.add(conn)
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			_ = send(conn, number)
		})
	}
	crowd.wait.Wait()
	return crowd
}

// returningTime is how long the clients of a crowd return when their connections are closed.
const returningTime = 5 * time.Second

// returning returns a client that sends the same again over a new connection whenever the host has closed the one before.
func returning(address string, send client) client {
	return func(conn net.Conn, number int) error {
		for deadline := time.Now().Add(returningTime); time.Now().Before(deadline); {
			_ = send(conn, number)
			_ = conn.SetReadDeadline(deadline)
			_, _ = io.Copy(io.Discard, conn) // until the host closes it
			conn.Close()
			next, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return err
			}
			defer next.Close()
			conn = next
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
		}
		return nil
	}
}

func (crowd *crowd) add(conn net.Conn) {
	crowd.mu.Lock()
	defer crowd.mu.Unlock()
	crowd.conns = append(crowd.conns, conn)
}

// close ends all clients.
func (crowd *crowd) close() {
	crowd.mu.Lock()
	defer crowd.mu.Unlock()
	for _, conn := range crowd.conns {
		conn.Close()
	}
	crowd.conns = nil
}

// head returns the head of a submission with a key and further lines, without the empty line at its end.
func head(number int, key string, lines ...string) string {
	all := append([]string{
		fmt.Sprintf("POST %s%016x HTTP/1.1", prefix, 0xc0<<32+number),
		"Host: crowd",
		"X-Ebonyshunt-Key: " + key,
		"X-Ebonyshunt-Deadline-Ms: 3600000",
	}, lines...)
	return strings.Join(all, "\r\n") + "\r\n"
}

// largeBody is the beginning of the largest legal body, less its last byte.
var largeBody = []byte(`{"spec":"` + strings.Repeat("x", maxBodyBytes-len(`{"spec":"`)-1))

// send writes data in pieces of a size.
func send(conn net.Conn, data []byte, size int) error {
	for piece := range slicesOf(data, size) {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// slicesOf returns the parts of data of a size.
func slicesOf(data []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for start := 0; start < len(data); start += size {
			if !yield(data[start:min(start+size, len(data))]) {
				return
			}
		}
	}
}

// stalledBody sends a body with a declared length in pieces of a size, less its last byte.
func stalledBody(key string, size int) client {
	return func(conn net.Conn, number int) error {
		if _, err := conn.Write([]byte(head(number, key, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n")); err != nil {
			return err
		}
		return send(conn, largeBody, size)
	}
}

// stalledPart sends a body with a declared length of a size, less its last byte.
func stalledPart(size int) client {
	body := bytes.Repeat([]byte{' '}, size-1)
	return func(conn net.Conn, number int) error {
		if _, err := conn.Write([]byte(head(number, knownKey, fmt.Sprintf("Content-Length: %d", size)) + "\r\n")); err != nil {
			return err
		}
		return send(conn, body, size)
	}
}

// stalledChunks sends a body in chunks of a size, many of them at once, and not the end.
func stalledChunks(size int) client {
	var body bytes.Buffer
	for chunk := range slicesOf(largeBody, size) {
		fmt.Fprintf(&body, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return func(conn net.Conn, number int) error {
		if _, err := conn.Write([]byte(head(number, knownKey, "Transfer-Encoding: chunked") + "\r\n")); err != nil {
			return err
		}
		return send(conn, body.Bytes(), 64<<10)
	}
}

// wholeBody sends a complete request with a body, and reads no answer.
func wholeBody(body string) client {
	return func(conn net.Conn, number int) error {
		_, err := conn.Write([]byte(head(number, knownKey, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body))
		return err
	}
}

// repeated returns a JSON document of the largest legal size that consists of a beginning, an element many times, and an end.
func repeated(begin, element, end string) string {
	count := (maxBodyBytes - len(begin) - len(end)) / (len(element) + 1)
	return begin + strings.TrimSuffix(strings.Repeat(element+",", count), ",") + end
}

// stalledHead sends a head of many lines up to a size, without its end.
func stalledHead(line string, size int) client {
	lines := strings.Repeat(line, size/len(line))
	return func(conn net.Conn, number int) error {
		_, err := conn.Write([]byte(head(number, knownKey) + lines))
		return err
	}
}

// distinctLines sends a head of short lines with different names up to a size, without its end.
func distinctLines(size int) client {
	var lines strings.Builder
	for number := 0; lines.Len() < size; number++ {
		fmt.Fprintf(&lines, "%x:\n", number)
	}
	return func(conn net.Conn, number int) error {
		_, err := conn.Write([]byte(head(number, knownKey) + lines.String()))
		return err
	}
}

// silent sends nothing.
func silent(net.Conn, int) error { return nil }

// endless sends the same data again and again until the connection is closed or as many bytes are sent.
func endless(first string, data []byte, total int) client {
	return func(conn net.Conn, number int) error {
		if _, err := conn.Write([]byte(strings.ReplaceAll(first, "NUMBER", fmt.Sprintf("%016x", 0xc0<<32+number)))); err != nil {
			return err
		}
		for sent := 0; sent < total; sent += len(data) {
			if _, err := conn.Write(data); err != nil {
				return err
			}
		}
		return nil
	}
}

// requests returns a number of complete requests.
func requests(count int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: crowd\r\nX-Ebonyshunt-Key: %s\r\n\r\n", prefix, knownKey), count))
}

// smallPeerCalls returns complete small calls of a peer up to a size in all.
func smallPeerCalls(size int) []byte {
	var calls bytes.Buffer
	for number := 0; calls.Len() < size; number++ {
		text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"unknown","id":%d,"params":{"version":1,"from":"x","stamp":{},"body":{}}}`, number)
		calls.Write(binary.AppendUvarint(nil, uint64(len(text))))
		calls.WriteString(text)
	}
	return calls.Bytes()
}

// wholePeerMessage returns a complete call of a peer of a size, in the form of JSON-RPC 2.0 with the length before it.
func wholePeerMessage(size int) []byte {
	begin, end := `{"jsonrpc":"2.0","method":"submit","id":1,"params":{"version":1,"from":"x","stamp":{},"body":"`, `"}}`
	text := begin + strings.Repeat("x", size-len(begin)-len(end)) + end
	return append(binary.AppendUvarint(nil, uint64(size)), text...)
}

// ordinaryBody is the body of an ordinary submission.
var ordinaryBody = caller.Submission{Spec: "s", Steps: []caller.Step{{Count: 1, CPU: 500, MemMB: 10, EstimateMS: 300}}}.Encode()

const (
	ordinaryAttempts = 40
	ordinaryInterval = 250 * time.Millisecond
)

// assertAnswered checks that a host accepts an ordinary job from a client that returns after a refusal or a failure.
func assertAnswered(t *testing.T, host *host, id string, body string) {
	t.Helper()
	client := caller.New(host.address(httpGroup))
	defer client.Close()
	var answer caller.Answer
	for range ordinaryAttempts {
		answer = client.Call(caller.Submit, prefix+id, knownKey, body)
		if answer.Status == http.StatusOK {
			return
		}
		time.Sleep(max(ordinaryInterval, answer.RetryAfter))
	}
	t.Errorf("an ordinary job was not accepted, last answer %+v", answer)
}

// assertBounded checks what a process was seen to take.
func assertBounded(t *testing.T, most usage, maxDescriptors int) {
	t.Helper()
	t.Logf("at most %d MB, of which %d kept by the kernel, and %d descriptors", most.memory>>20, most.kept>>20, most.descriptors)
	if most.memory > *memoryMB<<20 {
		t.Errorf("%d MB of memory in use, the machine has %d", most.memory>>20, *memoryMB)
	}
	if most.descriptors > maxDescriptors {
		t.Errorf("%d descriptors in use, at most %d leave some for the host's own calls", most.descriptors, maxDescriptors)
	}
}
