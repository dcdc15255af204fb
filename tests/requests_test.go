package tests

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/standin/workerserver"
)

// sendRaw writes text to a new connection to a host and returns the connection.
func (harness *harness) sendRaw(host, text string) net.Conn {
	harness.Helper()
	conn, err := harness.fabric.Host("caller").Dial(harness.ctx, harness.Hosts[host].Settings.HTTPAddress)
	if err != nil {
		harness.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		harness.Fatal(err)
	}
	return conn
}

func requestHead(method, path string, headers ...string) string {
	lines := append([]string{method + " /v1/services/work" + path + " HTTP/1.1", "Host: x", "Authorization: Bearer " + teamKey}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestMalformedRequests sends requests that violate HTTP or repeat a header that must be unique. Each must be answered
// with status 400, and none may run.
func TestMalformedRequests(t *testing.T) {
	cases := map[string]struct {
		text string
		want int
	}{
		"conflictingLengths": {requestHead("POST", "", "Content-Length: 3", "Content-Length: 4") + "abcd", http.StatusBadRequest},
		"badLength":          {requestHead("POST", "", "Content-Length: x"), http.StatusBadRequest},
		"noHost":             {"GET /v1/services/work HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"badHeader":          {requestHead("GET", "", "Bad Header: x"), http.StatusBadRequest},
		"twoKeys":            {requestHead("POST", "", "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 0"), http.StatusBadRequest},
		"emptyKey":           {requestHead("POST", "", "Idempotency-Key:", "Content-Length: 0"), http.StatusBadRequest},
		"noLine":             {"nonsense\r\n\r\n", http.StatusBadRequest},
	}
	runCellTest(t, 1, func(h *harness) {
		for name, test := range cases {
			conn := h.sendRaw("entry-a-0", test.text)
			if status := readStatus(t, conn); status != test.want {
				t.Errorf("%s: status %d, want %d", name, status, test.want)
			}
			conn.Close()
		}
		if begun, _ := h.observer.counts(); begun != 0 {
			t.Errorf("%d requests ran", begun)
		}
	})
}

// TestKeyLength sends idempotency keys of letters that take two bytes each. It guards against a limit of the length that
// counts bytes although the message speaks of characters.
func TestKeyLength(t *testing.T) {
	const maxCharacters = 256
	runCellTest(t, 1, func(h *harness) {
		longest := strings.Repeat("é", maxCharacters)
		if answer := h.post("entry-a-0", "", "Idempotency-Key", longest); answer.outcome != responder.Answered {
			t.Errorf("key of %d characters: got problem %+v, want outcome answered", maxCharacters, answer.problem)
		}
		answer := h.post("entry-a-0", "", "Idempotency-Key", longest+"é")
		if answer.status != http.StatusBadRequest || !strings.Contains(answer.problem.Detail, "257 characters") {
			t.Errorf("key of %d characters: got %+v, want status 400", maxCharacters+1, answer.problem)
		}
	})
}

// TestCallerBehavior covers callers that send slowly, disconnect, stop reading or lose their key. Every task that began
// must end, and a request that is refused or abandoned while it is queued must not run.
func TestCallerBehavior(t *testing.T) {
	t.Run("bodyIsCutOff", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			conn := h.sendRaw("entry-a-0", requestHead("POST", "?workMS=100", "Content-Length: 1000")+"part")
			time.Sleep(time.Second)
			conn.Close()
			time.Sleep(10 * time.Second)
			if begun, finished := h.observer.counts(); begun != finished {
				t.Errorf("%d tasks began, %d ended", begun, finished)
			}
		})
	})
	t.Run("callerSendsOneByteASecond", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			conn := h.sendRaw("entry-a-0", requestHead("POST", "?echo", "Content-Length: 20", "Connection: close"))
			for range 20 {
				time.Sleep(time.Second)
				_, _ = conn.Write([]byte("x"))
			}
			if status := readStatus(t, conn); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			conn.Close()
		})
	})
	t.Run("callerStopsReading", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			conn := h.sendRaw("entry-a-0", requestHead("GET", "?lines=100000&workMS=0"))
			time.Sleep(10 * time.Second)
			if answer := h.post("entry-a-0", ""); answer.outcome != responder.Answered {
				t.Errorf("another request got %+v", answer)
			}
			conn.Close()
			time.Sleep(10 * time.Second)
			if begun, finished := h.observer.counts(); begun != finished {
				t.Errorf("%d tasks began, %d ended", begun, finished)
			}
		})
	})
	t.Run("expectContinueWaitsForTheWorker", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			conn := h.sendRaw("entry-a-0", requestHead("POST", "", "Content-Length: 4", "Expect: 100-continue"))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || !strings.Contains(line, "100") {
				t.Errorf("got status line %q, error %v, want status 100", line, err)
			}
			conn.Close()
			refused := h.sendRaw("entry-a-0", requestHead("POST", "", "Content-Length: 99999999999", "Expect: 100-continue"))
			if status := readStatus(t, refused); status != http.StatusRequestEntityTooLarge {
				t.Errorf("status %d, want 413", status)
			}
			refused.Close()
		})
	})
	t.Run("keyIsWithdrawnWhileQueued", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			done := make(chan reply, 60)
			for range cap(done) {
				go func() { done <- h.post("entry-a-0", "?workMS=5000") }()
			}
			time.Sleep(time.Second)
			before, _ := h.observer.counts()
			h.withdrawKey("entry-a-0")
			refused := 0
			for range cap(done) {
				if answer := <-done; answer.problem.Code() == responder.CodeKeyRefused && answer.outcome == responder.NotRun {
					refused++
				}
			}
			if begun, _ := h.observer.counts(); begun != before || refused != cap(done)-before {
				t.Errorf("%d began before and %d in all, %d of %d were refused", before, begun, refused, cap(done))
			}
		})
	})
	t.Run("callerDisconnectsWhileQueued", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			for number := range 90 {
				go h.post(h.Names[number%len(h.Names)], "?workMS=5000")
			}
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(h.ctx, 500*time.Millisecond)
			defer cancel()
			h.send(ctx, "entry-a-0", http.MethodPost, "/v1/services/work?name=gone", teamKey, nil)
			time.Sleep(30 * time.Second)
			if attempts := h.observer.attemptsOf("name=gone"); len(attempts) > 0 {
				t.Errorf("a request ran although its caller had disconnected while it was queued: %v", attempts)
			}
		})
	})
}

// TestLargeBodyIsStreamed sends a body of 4 MiB to a service that echoes it.
func TestLargeBodyIsStreamed(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		body := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
		answer := h.send(h.ctx, "entry-a-0", http.MethodPost, "/v1/services/work?echo", teamKey, body)
		if !bytes.Equal(answer.body, body) || answer.outcome != responder.Answered {
			t.Errorf("echoed %d of %d bytes, outcome %s", len(answer.body), len(body), answer.outcome)
		}
	})
}

// TestUpstreamEnds restarts, breaks or drains workers. A request that may have run must not be reported as not run, and a
// truncated answer must not be reported as complete.
func TestUpstreamEnds(t *testing.T) {
	t.Run("midStream", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			done := make(chan reply, 1)
			go func() {
				done <- h.send(h.ctx, "entry-a-0", http.MethodGet, "/v1/services/work?lines=100&workMS=100", teamKey, nil)
			}()
			time.Sleep(2 * time.Second)
			for name := range h.Workers {
				h.Workers[name].Reboot()
				h.fabric.Reset(name)
			}
			if answer := <-done; answer.err == nil || answer.outcome == responder.Answered {
				t.Errorf("a truncated answer appears to be complete: %+v", answer.outcome)
			}
		})
	})
	t.Run("beforeItsAnswer", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			done := make(chan reply, 1)
			go func() { done <- h.post("entry-a-0", "?workMS=5000") }()
			time.Sleep(2 * time.Second)
			for name := range h.Workers {
				h.Workers[name].Reboot()
				h.fabric.Reset(name)
			}
			answer := <-done
			if answer.outcome != responder.Unknown {
				t.Errorf("got outcome %s, problem %+v, want outcome unknown", answer.outcome, answer.problem)
			}
			if answer.took > 10*time.Second {
				t.Errorf("the final answer came after %s", answer.took)
			}
		})
	})
	t.Run("failsEverything", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			h.Workers["w-a-00"].SetFaults(workerserver.Faults{FailAll: true})
			failed := 0
			for range 40 {
				if h.post("entry-a-0", "").outcome == responder.Failed {
					failed++
				}
			}
			if failed == 0 || failed > 5 {
				t.Errorf("%d of 40 requests failed on the bad worker", failed)
			}
		})
	})
	t.Run("leavesAndGetsNoNewWork", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			h.List.Leave("w-a-00")
			time.Sleep(3 * time.Second)
			for range 20 {
				h.post("entry-a-0", "?name=afterLeaving")
			}
			for _, attempt := range h.observer.attemptsOf("name=afterLeaving") {
				if attempt.worker == "w-a-00" {
					t.Error("a leaving worker got new work")
				}
			}
		})
	})
}

// TestSettingsForTheWrongZone lists a host in another zone than its settings name. The host must report that it is not
// ready, and how to correct its settings.
func TestSettingsForTheWrongZone(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		listed := h.Hosts["entry-a-0"].Settings
		h.List.Add(lister.Host{Name: "entry-a-0", Kind: lister.KindEntry, Address: listed.PeerAddress, Zone: "b"})
		time.Sleep(3 * time.Second)
		answer := h.send(h.ctx, "entry-a-0", http.MethodGet, "/readyz", "", nil)
		if answer.status != http.StatusServiceUnavailable || !strings.Contains(string(answer.body), "correct [host] zone") {
			t.Errorf("got readiness %d %s, want 503 with the correct zone", answer.status, answer.body)
		}
	})
}

// TestPeerOfAnotherVersion decodes an envelope of a newer protocol version. The error must name the peer and both
// versions.
func TestPeerOfAnotherVersion(t *testing.T) {
	var envelope linker.Envelope
	err := decode([]byte(`{"version":2,"from":"entry-new","body":{}}`), &envelope)
	if !linker.ErrVersion.Has(err) || !strings.Contains(err.Error(), `peer "entry-new" speaks version 2, this program speaks 1`) {
		t.Errorf("got error %v", err)
	}
}

// TestShutdown shuts hosts down under load. No request may be cut off, streams must end after a complete record, and the
// zone must go on answering urgent work through a peer.
func TestShutdown(t *testing.T) {
	t.Run("cutsNoRequest", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			const requests = 12
			done := make(chan reply, requests)
			for number := range requests {
				go func() {
					if number%3 == 0 {
						done <- h.send(h.ctx, "entry-a-0", http.MethodGet, "/v1/services/work?lines=20&workMS=200", teamKey, nil)
						return
					}
					done <- h.post("entry-a-0", fmt.Sprintf("?workMS=%d", 500*number))
				}()
			}
			time.Sleep(300 * time.Millisecond)
			for _, name := range []string{"entry-a-0", "entry-b-0"} {
				go func() {
					ctx, cancel := context.WithTimeout(h.ctx, time.Minute)
					defer cancel()
					if abandoned := h.Hosts[name].Server.Shutdown(ctx); len(abandoned) != 0 {
						t.Errorf("%s abandoned %v", name, abandoned)
					}
					h.Hosts[name].Server = nil
				}()
			}
			for range requests {
				if answer := <-done; answer.outcome != responder.Answered {
					t.Errorf("got outcome %s, error %v, problem %+v, want outcome answered", answer.outcome, answer.err, answer.problem)
				}
			}
			time.Sleep(time.Minute)
		})
	})
	t.Run("endsStreamsAfterARecord", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			done := make(chan reply, 2)
			for _, query := range []string{"?events&lines=100000&workMS=100", "?events&lines=3&workMS=3600000"} {
				go func() { done <- h.send(h.ctx, "entry-a-0", http.MethodGet, "/v1/services/work"+query, teamKey, nil) }()
			}
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(h.ctx, 20*time.Second)
			defer cancel()
			if abandoned := h.Hosts["entry-a-0"].Server.Shutdown(ctx); len(abandoned) != 0 {
				t.Errorf("abandoned %v", abandoned)
			}
			h.Hosts["entry-a-0"].Server = nil
			for range cap(done) {
				answer := <-done
				if answer.err != nil || answer.outcome != responder.Unknown || !bytes.HasSuffix(answer.body, []byte("\n\n")) {
					t.Errorf("got error %v, outcome %s, %d bytes, want outcome unknown after a complete record", answer.err, answer.outcome, len(answer.body))
				}
			}
			time.Sleep(time.Minute)
		})
	})
	t.Run("transfersTheZoneToAPeer", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			go func() {
				ctx, cancel := context.WithTimeout(h.ctx, time.Minute)
				defer cancel()
				h.Hosts["entry-a-0"].Server.Shutdown(ctx)
				h.Hosts["entry-a-0"].Server = nil
			}()
			time.Sleep(50 * time.Millisecond)
			answer := h.post("entry-a-1", "?workMS=10")
			if answer.outcome != responder.Answered || answer.took > maxUrgentDelay {
				t.Errorf("during the transfer: %s after %s", answer.outcome, answer.took)
			}
			time.Sleep(time.Minute)
		})
	})
}

// TestTakeover limits the time until a zone answers urgent work after its decider was lost.
func TestTakeover(t *testing.T) {
	cases := map[string]func(*harness){
		"killed": func(h *harness) { h.KillHost("entry-a-0") },
		"paused": func(h *harness) { h.fabric.Pause("entry-a-0") },
		"cutOff": func(h *harness) {
			h.fabric.Cut([]string{"entry-a-0"}, append(append(h.nodesOfZone("a"), h.nodesOfZone("b")...), h.nodesOfZone("c")...))
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			runCellTest(t, 2, func(h *harness) {
				fail(h)
				answer := h.post("entry-a-1", "?workMS=10")
				t.Logf("answered after %s", answer.took)
				if answer.outcome != responder.Answered || answer.took > maxUrgentDelay {
					t.Errorf("%s after %s, the bound is %s: %+v", answer.outcome, answer.took, maxUrgentDelay, answer.problem)
				}
			})
		})
	}
}

// TestPartitionedZoneKeepsServing cuts a zone off from the others and from the platform. All hosts must go on answering,
// and the cut-off zone also after it has lost a host.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		otherNodes := append(append(h.nodesOfZone("b"), h.nodesOfZone("c")...), platformHosts...)
		heal := h.fabric.Cut(h.nodesOfZone("a"), otherNodes)
		time.Sleep(30 * time.Second)
		for _, host := range h.Names {
			if answer := h.post(host, "?workMS=10"); answer.outcome != responder.Answered {
				t.Errorf("%s: got problem %+v, want outcome answered", host, answer.problem)
			}
		}
		h.KillHost("entry-a-0")
		time.Sleep(5 * time.Second)
		if answer := h.post("entry-a-1", "?workMS=10"); answer.outcome != responder.Answered {
			t.Errorf("after the takeover in the cut-off zone: got problem %+v, want outcome answered", answer.problem)
		}
		heal()
		time.Sleep(10 * time.Second)
	})
}
