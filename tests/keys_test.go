package tests

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/standin/workerserver"
)

// TestKeyFollowsARequestToAnotherZone fills a zone, so that keyed requests run in others, ends their entry
// host while they run, and offers them again.
func TestKeyFollowsARequestToAnotherZone(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		for range 8 {
			go h.post("entry-a-1", "?workMS=30000")
		}
		time.Sleep(time.Second)
		const requests = 6
		for number := range requests {
			name := fmt.Sprintf("moved%d", number)
			go h.post("entry-a-0", "?workMS=20000&name="+name, "Idempotency-Key", name)
		}
		time.Sleep(5 * time.Second)
		h.KillHost("entry-a-0")
		time.Sleep(20 * time.Second)
		for number := range requests {
			name := fmt.Sprintf("moved%d", number)
			again := h.post("entry-b-0", "?workMS=20000&name="+name, "Idempotency-Key", name)
			begins := h.witness.begins("&name=" + name)
			if len(begins) > 1 {
				t.Errorf("%s ran %d times: %v", name, len(begins), begins)
			}
			if len(begins) == 1 && again.outcome == responder.NotRun && again.problem.Code() != responder.CodeInProgress {
				t.Errorf("%s: got %+v", name, again.problem)
			}
		}
	})
}

// TestOpenQueue sends requests without a key, before and after a queue is open to all.
func TestOpenQueue(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		path := "/v1/services/work"
		if answer := h.ask(h.ctx, "entry-a-0", "POST", path, "", nil); answer.problem.Code() != responder.CodeKeyRefused {
			t.Errorf("without an open queue: got %+v", answer.problem)
		}
		text := "owner = ops\nteam = one\nopen = true\nservices = work\n"
		if _, err := h.PublishSection(h.ctx, "entry-a-0", "queue public", text, 0); err != nil {
			t.Fatal(err)
		}
		if answer := h.ask(h.ctx, "entry-a-0", "POST", path, "", nil); answer.outcome != responder.Answered {
			t.Errorf("with an open queue: got %+v", answer.problem)
		}
		if answer := h.ask(h.ctx, "entry-a-0", "POST", path, "", nil, "Ebonyshunt-Queue", "oneLive"); answer.outcome != responder.NotRun {
			t.Errorf("another team's queue: got %+v", answer.problem)
		}
	})
}

// TestHandles sends a request under a handle of its zone, twice, and under one whose zone is cut off.
func TestHandles(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		handle := h.handle("entry-a-0")
		first := h.post("entry-a-0", "?name=handled", "Idempotency-Key", handle)
		second := h.post("entry-c-1", "?name=handled", "Idempotency-Key", handle)
		if first.outcome != responder.Answered || string(first.body) != string(second.body) {
			t.Errorf("got %s and %s", first.body, second.body)
		}
		if begins := h.witness.begins("name=handled"); len(begins) != 1 {
			t.Errorf("ran %d times", len(begins))
		}
		everyone := append(h.hostsOf("b"), h.hostsOf("c")...)
		heal := h.fabric.Cut(h.hostsOf("a"), everyone)
		time.Sleep(20 * time.Second)
		if answer := h.post("entry-a-1", "?name=inside", "Idempotency-Key", h.handle("entry-a-1")); answer.outcome != responder.Answered {
			t.Errorf("inside the cut-off zone: got %+v", answer.problem)
		}
		outside := h.post("entry-b-0", "?name=outside", "Idempotency-Key", handle)
		if outside.problem.Code() != responder.CodeHomeUnreachable || outside.outcome != responder.NotRun {
			t.Errorf("from outside: got %+v", outside.problem)
		}
		heal()
		time.Sleep(20 * time.Second)
	})
}

// handle takes a handle from a host.
func (h *harness) handle(host string) string {
	h.Helper()
	answer := h.ask(h.ctx, host, "POST", "/v1/handles", teamKey, nil)
	var given struct{ Handle string }
	if err := decode(answer.body, &given); err != nil || given.Handle == "" {
		h.Fatalf("got no handle: %+v", answer)
	}
	return given.Handle
}

// TestUsageBeyondTheGrantOvercommitsNothing lets workers report four times what was granted.
func TestUsageBeyondTheGrantOvercommitsNothing(t *testing.T) {
	inBubble(t, 1, func(h *harness) {
		for _, worker := range h.Workers {
			worker.SetFaults(workerserver.Faults{Usage: 4})
		}
		for range 20 {
			if answer := h.post("entry-a-0", "?workMS=100"); answer.outcome != responder.Answered {
				t.Errorf("got %+v", answer.problem)
			}
		}
	})
}
