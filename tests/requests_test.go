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

// raw sends bytes over a connection of its own and returns the connection.
func (h *harness) raw(host, text string) net.Conn {
	h.Helper()
	conn, err := h.fabric.Host("caller").Dial(h.ctx, h.Hosts[host].Settings.HTTPAddress)
	if err != nil {
		h.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		h.Fatal(err)
	}
	return conn
}

func head(method, path string, headers ...string) string {
	lines := append([]string{method + " /v1/services/work" + path + " HTTP/1.1", "Host: x", "Authorization: Bearer " + teamKey}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func statusOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func TestMalformedRequests(t *testing.T) {
	cases := map[string]struct {
		text string
		want int
	}{
		"conflictingLengths": {head("POST", "", "Content-Length: 3", "Content-Length: 4") + "abcd", http.StatusBadRequest},
		"badLength":          {head("POST", "", "Content-Length: x"), http.StatusBadRequest},
		"noHost":             {"GET /v1/services/work HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"badHeader":          {head("GET", "", "Bad Header: x"), http.StatusBadRequest},
		"twoKeys":            {head("POST", "", "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 0"), http.StatusBadRequest},
		"emptyKey":           {head("POST", "", "Idempotency-Key:", "Content-Length: 0"), http.StatusBadRequest},
		"noLine":             {"nonsense\r\n\r\n", http.StatusBadRequest},
	}
	inBubble(t, 1, func(h *harness) {
		for name, test := range cases {
			conn := h.raw("entry-a-0", test.text)
			if status := statusOf(t, conn); status != test.want {
				t.Errorf("%s: status %d, want %d", name, status, test.want)
			}
			conn.Close()
		}
		if begun, _ := h.witness.counts(); begun != 0 {
			t.Errorf("%d requests ran", begun)
		}
	})
}

func TestCallerBehavior(t *testing.T) {
	t.Run("bodyIsCutOff", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			conn := h.raw("entry-a-0", head("POST", "?workMS=100", "Content-Length: 1000")+"part")
			time.Sleep(time.Second)
			conn.Close()
			time.Sleep(10 * time.Second)
			if begun, finished := h.witness.counts(); begun != finished {
				t.Errorf("%d tasks began, %d ended", begun, finished)
			}
		})
	})
	t.Run("callerSendsOneByteASecond", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			conn := h.raw("entry-a-0", head("POST", "?echo", "Content-Length: 20", "Connection: close"))
			for range 20 {
				time.Sleep(time.Second)
				_, _ = conn.Write([]byte("x"))
			}
			if status := statusOf(t, conn); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
			conn.Close()
		})
	})
	t.Run("callerStopsReading", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			conn := h.raw("entry-a-0", head("GET", "?lines=100000&workMS=0"))
			time.Sleep(10 * time.Second)
			if answer := h.post("entry-a-0", ""); answer.outcome != responder.Answered {
				t.Errorf("another request got %+v", answer)
			}
			conn.Close()
			time.Sleep(10 * time.Second)
			if begun, finished := h.witness.counts(); begun != finished {
				t.Errorf("%d tasks began, %d ended", begun, finished)
			}
		})
	})
	t.Run("expectContinueWaitsForTheWorker", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			conn := h.raw("entry-a-0", head("POST", "", "Content-Length: 4", "Expect: 100-continue"))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || !strings.Contains(line, "100") {
				t.Errorf("got %q, %v", line, err)
			}
			conn.Close()
			refused := h.raw("entry-a-0", head("POST", "", "Content-Length: 99999999999", "Expect: 100-continue"))
			if status := statusOf(t, refused); status != http.StatusRequestEntityTooLarge {
				t.Errorf("status %d", status)
			}
			refused.Close()
		})
	})
	t.Run("keyIsWithdrawnWhileQueued", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			done := make(chan reply, 60)
			for range cap(done) {
				go func() { done <- h.post("entry-a-0", "?workMS=5000") }()
			}
			time.Sleep(time.Second)
			before, _ := h.witness.counts()
			h.withdrawKey("entry-a-0")
			refused := 0
			for range cap(done) {
				if answer := <-done; answer.problem.Code() == responder.CodeKeyRefused && answer.outcome == responder.NotRun {
					refused++
				}
			}
			if begun, _ := h.witness.counts(); begun != before || refused != cap(done)-before {
				t.Errorf("%d began before and %d in all, %d of %d were refused", before, begun, refused, cap(done))
			}
		})
	})
	t.Run("callerGoesAwayWhileQueued", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			for number := range 90 {
				go h.post(h.Names[number%len(h.Names)], "?workMS=5000")
			}
			time.Sleep(2 * time.Second)
			ctx, cancel := context.WithTimeout(h.ctx, 500*time.Millisecond)
			defer cancel()
			h.ask(ctx, "entry-a-0", http.MethodPost, "/v1/services/work?name=gone", teamKey, nil)
			time.Sleep(30 * time.Second)
			if begins := h.witness.begins("name=gone"); len(begins) > 0 {
				t.Errorf("a request ran whose caller had gone while it was queued: %v", begins)
			}
		})
	})
}

func TestLargeBodyPassesWithoutBeingGathered(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		body := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
		answer := h.ask(h.ctx, "entry-a-0", http.MethodPost, "/v1/services/work?echo", teamKey, body)
		if !bytes.Equal(answer.body, body) || answer.outcome != responder.Answered {
			t.Errorf("echoed %d of %d bytes, outcome %s", len(answer.body), len(body), answer.outcome)
		}
	})
}

func TestUpstreamEnds(t *testing.T) {
	t.Run("halfWayThroughAStream", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			done := make(chan reply, 1)
			go func() {
				done <- h.ask(h.ctx, "entry-a-0", http.MethodGet, "/v1/services/work?lines=100&workMS=100", teamKey, nil)
			}()
			time.Sleep(2 * time.Second)
			for name := range h.Workers {
				h.Workers[name].Reboot()
				h.fabric.Reset(name)
			}
			if answer := <-done; answer.err == nil || answer.outcome == responder.Answered {
				t.Errorf("a cut answer looks whole: %+v", answer.outcome)
			}
		})
	})
	t.Run("beforeItsAnswer", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
			done := make(chan reply, 1)
			go func() { done <- h.post("entry-a-0", "?workMS=5000") }()
			time.Sleep(2 * time.Second)
			for name := range h.Workers {
				h.Workers[name].Reboot()
				h.fabric.Reset(name)
			}
			answer := <-done
			if answer.outcome != responder.Unknown {
				t.Errorf("got %s %+v", answer.outcome, answer.problem)
			}
			if answer.took > 10*time.Second {
				t.Errorf("the final answer came after %s", answer.took)
			}
		})
	})
	t.Run("failsEverything", func(t *testing.T) {
		inBubble(t, 1, func(h *harness) {
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
		inBubble(t, 1, func(h *harness) {
			h.List.Leave("w-a-00")
			time.Sleep(3 * time.Second)
			for range 20 {
				h.post("entry-a-0", "?name=afterLeaving")
			}
			for _, begin := range h.witness.begins("name=afterLeaving") {
				if begin.worker == "w-a-00" {
					t.Error("a leaving worker got new work")
				}
			}
		})
	})
}

func TestSettingsForTheWrongZone(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		listed := h.Hosts["entry-a-0"].Settings
		h.List.Add(lister.Host{Name: "entry-a-0", Kind: lister.KindEntry, Address: listed.PeerAddress, Zone: "b"})
		time.Sleep(3 * time.Second)
		answer := h.ask(h.ctx, "entry-a-0", http.MethodGet, "/readyz", "", nil)
		if answer.status != http.StatusServiceUnavailable || !strings.Contains(string(answer.body), "correct [host] zone") {
			t.Errorf("got %d %s", answer.status, answer.body)
		}
	})
}

func TestPeerOfAnotherVersion(t *testing.T) {
	var envelope linker.Envelope
	err := decode([]byte(`{"version":2,"from":"entry-new","body":{}}`), &envelope)
	if !linker.ErrVersion.Has(err) || !strings.Contains(err.Error(), `peer "entry-new" speaks version 2, this program speaks 1`) {
		t.Errorf("got %v", err)
	}
}

func TestShutdown(t *testing.T) {
	t.Run("cutsNoRequest", func(t *testing.T) {
		inBubble(t, 2, func(h *harness) {
			const requests = 12
			done := make(chan reply, requests)
			for number := range requests {
				go func() {
					if number%3 == 0 {
						done <- h.ask(h.ctx, "entry-a-0", http.MethodGet, "/v1/services/work?lines=20&workMS=200", teamKey, nil)
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
					t.Errorf("got %s %v %+v", answer.outcome, answer.err, answer.problem)
				}
			}
			time.Sleep(time.Minute)
		})
	})
	t.Run("endsStreamsAfterARecord", func(t *testing.T) {
		inBubble(t, 2, func(h *harness) {
			done := make(chan reply, 2)
			for _, query := range []string{"?events&lines=100000&workMS=100", "?events&lines=3&workMS=3600000"} {
				go func() { done <- h.ask(h.ctx, "entry-a-0", http.MethodGet, "/v1/services/work"+query, teamKey, nil) }()
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
					t.Errorf("got %v, outcome %s, %d bytes", answer.err, answer.outcome, len(answer.body))
				}
			}
			time.Sleep(time.Minute)
		})
	})
	t.Run("handsTheZoneToAPeer", func(t *testing.T) {
		inBubble(t, 2, func(h *harness) {
			go func() {
				ctx, cancel := context.WithTimeout(h.ctx, time.Minute)
				defer cancel()
				h.Hosts["entry-a-0"].Server.Shutdown(ctx)
				h.Hosts["entry-a-0"].Server = nil
			}()
			time.Sleep(50 * time.Millisecond)
			answer := h.post("entry-a-1", "?workMS=10")
			if answer.outcome != responder.Answered || answer.took > urgentBound {
				t.Errorf("during the hand-over: %s after %s", answer.outcome, answer.took)
			}
			time.Sleep(time.Minute)
		})
	})
}

func TestTakeover(t *testing.T) {
	cases := map[string]func(*harness){
		"killed": func(h *harness) { h.KillHost("entry-a-0") },
		"paused": func(h *harness) { h.fabric.Pause("entry-a-0") },
		"cutOff": func(h *harness) {
			h.fabric.Cut([]string{"entry-a-0"}, append(append(h.hostsOf("a"), h.hostsOf("b")...), h.hostsOf("c")...))
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(h *harness) {
				fail(h)
				answer := h.post("entry-a-1", "?workMS=10")
				t.Logf("answered after %s", answer.took)
				if answer.outcome != responder.Answered || answer.took > urgentBound {
					t.Errorf("%s after %s, the bound is %s: %+v", answer.outcome, answer.took, urgentBound, answer.problem)
				}
			})
		})
	}
}

func TestCutOffZoneGoesOnServing(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		everyone := append(append(h.hostsOf("b"), h.hostsOf("c")...), platformHosts...)
		heal := h.fabric.Cut(h.hostsOf("a"), everyone)
		time.Sleep(30 * time.Second)
		for _, host := range h.Names {
			if answer := h.post(host, "?workMS=10"); answer.outcome != responder.Answered {
				t.Errorf("%s: got %+v", host, answer.problem)
			}
		}
		h.KillHost("entry-a-0")
		time.Sleep(5 * time.Second)
		if answer := h.post("entry-a-1", "?workMS=10"); answer.outcome != responder.Answered {
			t.Errorf("after the takeover in the cut-off zone: got %+v", answer.problem)
		}
		heal()
		time.Sleep(10 * time.Second)
	})
}
