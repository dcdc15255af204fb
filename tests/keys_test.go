package tests

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/standin/workerserver"
)

// TestIdempotencyKeyAcrossZones fills a zone, so that requests with idempotency keys run in other zones, kills their
// entry host while they run, and sends them again through another zone. None may run twice.
func TestIdempotencyKeyAcrossZones(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
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
			attempts := h.observer.attemptsOf("&name=" + name)
			if len(attempts) > 1 {
				t.Errorf("%s ran %d times: %v", name, len(attempts), attempts)
			}
			if len(attempts) == 1 && again.outcome == responder.NotRun && again.problem.Code() != responder.CodeInProgress {
				t.Errorf("%s: refused as not run, got %+v, want inProgress", name, again.problem)
			}
		}
	})
}

// TestOpenQueue sends requests without an API key, before and after a queue is opened to all callers.
func TestOpenQueue(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		path := "/v1/services/work"
		if answer := h.send(h.ctx, "entry-a-0", "POST", path, "", nil); answer.problem.Code() != responder.CodeKeyRefused {
			t.Errorf("without an open queue: got problem %+v, want keyRefused", answer.problem)
		}
		text := "owner = ops\nteam = one\nopen = true\nservices = work\n"
		if _, err := h.PublishSection(h.ctx, "entry-a-0", "queue public", text, 0); err != nil {
			t.Fatal(err)
		}
		if answer := h.send(h.ctx, "entry-a-0", "POST", path, "", nil); answer.outcome != responder.Answered {
			t.Errorf("with an open queue: got problem %+v, want outcome answered", answer.problem)
		}
		if answer := h.send(h.ctx, "entry-a-0", "POST", path, "", nil, "Ebonyshunt-Queue", "oneLive"); answer.outcome != responder.NotRun {
			t.Errorf("team one's closed queue: got problem %+v, want outcome notRun", answer.problem)
		}
	})
}

// TestHandles sends a request twice with the same handle, which must run once. Then it cuts off the handle's zone,
// where new handles must still work, while hosts outside must refuse the old one.
func TestHandles(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		handle := h.createHandle("entry-a-0")
		first := h.post("entry-a-0", "?name=handled", "Idempotency-Key", handle)
		second := h.post("entry-c-1", "?name=handled", "Idempotency-Key", handle)
		if first.outcome != responder.Answered || string(first.body) != string(second.body) {
			t.Errorf("first answer %q, second answer %q, want the same", first.body, second.body)
		}
		if attempts := h.observer.attemptsOf("name=handled"); len(attempts) != 1 {
			t.Errorf("ran %d times", len(attempts))
		}
		otherNodes := append(h.nodesOfZone("b"), h.nodesOfZone("c")...)
		heal := h.fabric.Cut(h.nodesOfZone("a"), otherNodes)
		time.Sleep(20 * time.Second)
		if answer := h.post("entry-a-1", "?name=inside", "Idempotency-Key", h.createHandle("entry-a-1")); answer.outcome != responder.Answered {
			t.Errorf("inside the cut-off zone: got problem %+v, want outcome answered", answer.problem)
		}
		outside := h.post("entry-b-0", "?name=outside", "Idempotency-Key", handle)
		if outside.problem.Code() != responder.CodeHomeUnreachable || outside.outcome != responder.NotRun {
			t.Errorf("from outside the cut-off zone: got problem %+v, want homeUnreachable", outside.problem)
		}
		heal()
		time.Sleep(20 * time.Second)
	})
}

// createHandle requests a new handle from a host.
func (harness *harness) createHandle(host string) string {
	harness.Helper()
	answer := harness.send(harness.ctx, host, "POST", "/v1/handles", teamKey, nil)
	var created struct{ Handle string }
	if err := decode(answer.body, &created); err != nil || created.Handle == "" {
		harness.Fatalf("answer without a handle: %+v", answer)
	}
	return created.Handle
}

// TestUsageAboveGrantDoesNotOvercommit makes workers report four times the granted usage.
func TestUsageAboveGrantDoesNotOvercommit(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		for _, worker := range h.Workers {
			worker.SetFaults(workerserver.Faults{Usage: 4})
		}
		for range 20 {
			if answer := h.post("entry-a-0", "?workMS=100"); answer.outcome != responder.Answered {
				t.Errorf("got problem %+v, want outcome answered", answer.problem)
			}
		}
	})
}
