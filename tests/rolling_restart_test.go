package tests

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
)

// restartGracefully stops hosts one after the other with a graceful shutdown, and starts each again at once. It waits
// for each until it is ready.
func (harness *harness) restartGracefully(names ...string) {
	harness.Helper()
	for _, name := range names {
		ctx, cancel := context.WithTimeout(harness.ctx, time.Minute)
		harness.Hosts[name].Server.Shutdown(ctx)
		cancel()
		harness.startAgain(name)
	}
}

// startAgain starts a host that was stopped, and waits until it is ready.
func (harness *harness) startAgain(name string) {
	harness.Helper()
	if err := harness.StartHost(name); err != nil {
		harness.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(harness.ctx, maxRestartTime)
	defer cancel()
	if err := harness.WaitReady(ctx, name); err != nil {
		harness.Errorf("after a restart: %v", err)
	}
}

// maxRestartTime bounds the time until a host that was restarted is ready.
const maxRestartTime = 30 * time.Second

// TestRollingRestarts restarts all hosts of a zone one after the other, so that no host is left that stored the copies
// of the zone's records when they were written. A key must still lead to the job or request that used it first.
func TestRollingRestarts(t *testing.T) {
	zone := []string{"entry-a-0", "entry-a-1", "entry-a-2"}
	restarts := map[string]func(*harness){
		"once": func(h *harness) { h.restartGracefully(zone...) },
		"twice": func(h *harness) {
			h.restartGracefully(zone...)
			h.restartGracefully(zone...)
		},
		"allTwice": func(h *harness) {
			h.restartGracefully(h.Names...)
			h.restartGracefully(h.Names...)
		},
		"onceThenDeciderKilled": func(h *harness) {
			h.restartGracefully(zone...)
			h.restartGracefully(zone[0])
			time.Sleep(time.Second)
			decider := h.deciderOf("a")
			h.KillHost(decider)
			h.startAgain(decider)
		},
	}
	for name, restart := range restarts {
		t.Run(name, func(t *testing.T) {
			runZonesTest(t, []string{"a"}, len(zone), func(h *harness) { checkKeysSurvive(h, restart) })
		})
	}
}

// deciderOf returns the name of the host that is the decider of a zone.
func (harness *harness) deciderOf(zone string) string {
	harness.Helper()
	answer := harness.send(harness.ctx, harness.Names[0], http.MethodGet, "/v1/hosts", rootKey, nil)
	var hosts []server.HostStatus
	if err := decode(answer.body, &hosts); err != nil {
		harness.Fatalf("decode hosts: %v: %+v", err, answer)
	}
	for _, host := range hosts {
		if host.Zone == zone && host.Deciding {
			return host.Name
		}
	}
	harness.Fatalf("no host of zone %s is the decider: %+v", zone, hosts)
	return ""
}

// checkKeysSurvive uses a key for a job that runs and a key for a request that is answered, restarts hosts, and uses
// both keys again.
func checkKeysSurvive(h *harness, restart func(*harness)) {
	h.Helper()
	spec := server.JobSpec{Service: "work", Tasks: taskSpecs(1, "?workMS=600000&name=kept")}
	job := h.submitJob("entry-a-0", spec, "Idempotency-Key", "friday")
	first := h.post("entry-a-0", "?name=once", "Idempotency-Key", "ticket")
	if first.outcome != responder.Answered {
		h.Fatalf("first request: got problem %+v, want outcome answered", first.problem)
	}
	time.Sleep(2 * time.Second)

	restart(h)

	if again := h.submitJob("entry-a-0", spec, "Idempotency-Key", "friday"); again.ID != job.ID {
		h.Errorf("the key of job %s leads to job %s after the restarts", job.ID, again.ID)
	}
	if found := h.fetchJob("entry-a-0", job.ID); found.ID != job.ID {
		h.Errorf("job %s is not known after the restarts: %+v", job.ID, found)
	}
	second := h.post("entry-a-0", "?name=once", "Idempotency-Key", "ticket")
	if string(second.body) != string(first.body) {
		h.Errorf("second answer for a key %q (problem %+v), want the first one %q", second.body, second.problem, first.body)
	}
	if attempts := h.observer.attemptsOf("name=once"); len(attempts) != 1 {
		h.Errorf("a request with a key ran %d times", len(attempts))
	}
}

// TestReadyHostKnowsAllDeciders restarts the only hosts of two zones. As soon as one of them is ready, it has to know the
// deciders of all zones.
func TestReadyHostKnowsAllDeciders(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		h.KillHost("entry-a-0")
		h.KillHost("entry-c-0")
		if err := h.StartHost("entry-c-0"); err != nil {
			h.Fatal(err)
		}
		h.startAgain("entry-a-0")
		for _, zone := range zoneNames {
			h.deciderOf(zone)
		}
	})
}

// TestReadyHostAcceptsJobs restarts the only host of a zone, which is cut off from the other zones for a while. It guards
// against a host that is ready although it does not know the decider of its own or another zone yet: it refuses the
// jobs and keys whose home that zone is.
func TestReadyHostAcceptsJobs(t *testing.T) {
	const keys = 12 // enough for some of each zone
	for _, cutOff := range []time.Duration{0, 1500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(cutOff.String(), func(t *testing.T) {
			runCellTest(t, 1, func(h *harness) {
				h.KillHost("entry-c-0")
				time.Sleep(time.Minute)
				heal := h.fabric.Cut([]string{"entry-c-0"}, []string{"entry-a-0", "entry-b-0"})
				time.AfterFunc(cutOff, heal)
				h.startAgain("entry-c-0")
				spec := server.JobSpec{Service: "work", Tasks: taskSpecs(1, "?workMS=10")}
				h.submitJob("entry-c-0", spec)
				for key := range keys {
					h.submitJob("entry-c-0", spec, "Idempotency-Key", fmt.Sprint("key", key))
				}
			})
		})
	}
}
