package tests

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/standin/logserver"
)

// maxSliceDelay limits the time until a loaded zone has the slice that its work needs, while the platform is
// reachable.
const maxSliceDelay = 5 * time.Second

// runningMilliCores returns the millicores that a team runs now.
func (observer *observer) runningMilliCores(team string) int64 {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	return observer.teamMilliCores[team]
}

// TestSliceMovesToLoadedZone submits all work of a team in one zone. The zone must soon run as much of the team's
// limit as its workers hold, as it would under an allocator with global knowledge.
func TestSliceMovesToLoadedZone(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		const zoneMilliCores = 8000
		h.submitJob("entry-a-0", server.JobSpec{Service: "work", Idempotent: true, Tasks: taskSpecs(12, "?workMS=60000")})
		began := time.Now()
		for h.observer.runningMilliCores("one") < zoneMilliCores && time.Since(began) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		took, running := time.Since(began), h.observer.runningMilliCores("one")
		t.Logf("zone a runs %d of %d millicores after %s; an even share is %d", running, zoneMilliCores, took, teamLimitMilliCores/len(zoneNames))
		if running < zoneMilliCores || took > maxSliceDelay {
			t.Errorf("zone a runs %d millicores after %s, it could run %d", running, took, zoneMilliCores)
		}
	})
}

// TestLimitIsLowered lowers a limit below the running work while one zone is cut off from the log, and raises it
// again.
func TestLimitIsLowered(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		for _, host := range []string{"entry-a-0", "entry-b-0", "entry-c-0"} {
			h.submitJob(host, server.JobSpec{Service: "work", Idempotent: true, Tasks: taskSpecs(80, "?workMS=2000")})
		}
		time.Sleep(5 * time.Second)
		heal := h.fabric.Cut(h.nodesOfZone("c"), platformHosts)
		h.setLimit("cores:3")
		time.Sleep(10 * time.Second)
		heal()
		time.Sleep(10 * time.Second)
		if running := h.observer.runningMilliCores("one"); running > 3000 {
			t.Errorf("%d millicores run 10 s after every zone could read the limit of 3000", running)
		}
		h.setLimit("cores:12")
		peak := int64(0)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			peak = max(peak, h.observer.runningMilliCores("one"))
		}
		if peak != teamLimitMilliCores {
			t.Errorf("at most %d millicores ran in the 5 s after the limit was raised to %d", peak, teamLimitMilliCores)
		}
	})
}

func (harness *harness) setLimit(limit string) {
	harness.Helper()
	text := "owner = ops\nshare = 1\nlimit = " + limit + "\n"
	if _, err := harness.PublishSection(harness.ctx, "entry-a-0", "team one", text, harness.sectionVersion("entry-a-0", "team one")); err != nil {
		harness.Fatal(err)
	}
}

// TestSlicesDuringLogOutage stops the log. Each zone must continue with the slice that it holds, and a new decider
// with the floor of its zone.
func TestSlicesDuringLogOutage(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		h.Log.SetFaults(logserver.Faults{Down: true})
		for _, host := range h.Names {
			h.submitJob(host, server.JobSpec{Service: "work", Idempotent: true, Tasks: taskSpecs(10, "?workMS=3000")})
		}
		time.Sleep(5 * time.Second)
		if running := h.observer.runningMilliCores("one"); running != teamLimitMilliCores {
			t.Errorf("%d of %d millicores run in the outage", running, teamLimitMilliCores)
		}
		h.KillHost("entry-a-0")
		time.Sleep(2 * time.Minute)
		for _, host := range []string{"entry-a-1", "entry-b-0", "entry-c-0"} {
			if answer := h.post(host, "?workMS=10"); answer.outcome != "answered" {
				t.Errorf("%s: got problem %+v, want outcome answered", host, answer.problem)
			}
		}
	})
}

// TestForfeit guards against a forfeit that the log has refused and that is reported as possibly in force, and against the
// reverse.
func TestForfeit(t *testing.T) {
	forfeit := func(h *harness, wantStatus int, want responder.Outcome) {
		h.Helper()
		answer := h.send(h.ctx, "entry-a-0", http.MethodPost, "/v1/zones/gone/forfeit", rootKey, nil)
		if answer.status != wantStatus || answer.outcome != want {
			h.Errorf("status %d with outcome %q, want %d with %q", answer.status, answer.outcome, wantStatus, want)
		}
	}
	runCellTest(t, 1, func(h *harness) {
		forfeit(h, http.StatusNoContent, "")
		h.Log.SetFaults(logserver.Faults{LoseAnswers: 1})
		forfeit(h, http.StatusGatewayTimeout, responder.Unknown)
		h.Log.SetFaults(logserver.Faults{Down: true})
		forfeit(h, http.StatusServiceUnavailable, responder.NotRun)
	})
}

// TestForfeitedZone takes a lost zone out of the fleet and forfeits its slices, so that the other zones may use the whole
// limit. It then takes the zone back and repeats the append of the forfeit, and guards against a repetition that
// removes what the zone has taken since: the team would exceed its limit.
func TestForfeitedZone(t *testing.T) {
	runCellTest(t, 1, func(h *harness) {
		submit := func(host string) {
			h.submitJob(host, server.JobSpec{Service: "work", Idempotent: true, Tasks: taskSpecs(12, "?workMS=20000")})
		}
		h.KillHost("entry-c-0")
		h.setZones("a, b")
		if answer := h.send(h.ctx, "entry-a-0", http.MethodPost, "/v1/zones/c/forfeit", rootKey, nil); answer.status != http.StatusNoContent {
			h.Fatalf("not forfeited: %+v", answer)
		}
		submit("entry-a-0")
		submit("entry-b-0")
		time.Sleep(2 * maxSliceDelay)
		if running := h.observer.runningMilliCores("one"); running != teamLimitMilliCores {
			h.Errorf("%d of %d millicores run after the forfeit", running, teamLimitMilliCores)
		}
		h.setZones("a, b, c")
		h.startAgain("entry-c-0")
		submit("entry-c-0")
		time.Sleep(time.Minute)
		for _, host := range h.Names {
			submit(host)
		}
		time.Sleep(2 * maxSliceDelay)
		h.repeatForfeit()
		time.Sleep(time.Minute)
	})
}

func (harness *harness) setZones(zones string) {
	harness.Helper()
	text := "owner = ops\nzones = " + zones + "\n"
	if _, err := harness.PublishSection(harness.ctx, "entry-a-0", "fleet", text, harness.sectionVersion("entry-a-0", "fleet")); err != nil {
		harness.Fatal(err)
	}
}

// repeatForfeit appends the first forfeit in the log again.
func (harness *harness) repeatForfeit() {
	harness.Helper()
	client := logger.New(harness.client, harness.Hosts["entry-a-0"].Settings.LogAddress, "fleet")
	for next := int64(1); ; {
		page, err := client.Read(harness.ctx, next, 0)
		if err != nil || len(page.Entries) == 0 {
			harness.Fatalf("no forfeit in the log: %v", err)
		}
		for _, entry := range page.Entries {
			next = entry.Offset + 1
			var record replayer.Record
			if json.Unmarshal(entry.Data, &record) != nil || record.Slice == nil || record.Slice.Forfeit == "" {
				continue
			}
			if _, err := client.Append(harness.ctx, record); err != nil {
				harness.Fatal(err)
			}
			return
		}
	}
}
