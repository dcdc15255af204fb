package tests

import (
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/standin/logserver"
)

// sliceBound is how long a slice may take to reach the work while the platform can be reached.
const sliceBound = 5 * time.Second

// runningOf returns the millicores that team one runs now.
func (witness *witness) runningOf(team string) int64 {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	return witness.team[team]
}

// TestSliceReachesTheWork hands in all work of a team in one zone, where an allocator that knows all would
// give that zone as much of the limit as its workers hold.
func TestSliceReachesTheWork(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		const zoneMilliCores = 8000
		h.submit("entry-a-0", server.JobSpec{Service: "work", Idempotent: true, Tasks: tasks(12, "?workMS=60000")})
		began := time.Now()
		for h.witness.runningOf("one") < zoneMilliCores && time.Since(began) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		took, runs := time.Since(began), h.witness.runningOf("one")
		t.Logf("zone a runs %d of %d millicores after %s; its even part is %d", runs, zoneMilliCores, took, limitMilliCores/len(zoneNames))
		if runs < zoneMilliCores || took > sliceBound {
			t.Errorf("zone a runs %d millicores after %s, it could run %d", runs, took, zoneMilliCores)
		}
	})
}

// TestLimitIsLowered lowers a limit below what runs, during a log outage of one zone, and raises it again.
func TestLimitIsLowered(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		for _, host := range []string{"entry-a-0", "entry-b-0", "entry-c-0"} {
			h.submit(host, server.JobSpec{Service: "work", Idempotent: true, Tasks: tasks(80, "?workMS=2000")})
		}
		time.Sleep(5 * time.Second)
		heal := h.fabric.Cut(h.hostsOf("c"), platformHosts)
		h.setLimit("cores:3")
		time.Sleep(10 * time.Second)
		heal()
		time.Sleep(10 * time.Second)
		if runs := h.witness.runningOf("one"); runs > 3000 {
			t.Errorf("%d millicores run 10 s after every zone could know the limit of 3000", runs)
		}
		h.setLimit("cores:12")
		most := int64(0)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			most = max(most, h.witness.runningOf("one"))
		}
		if most != limitMilliCores {
			t.Errorf("at most %d millicores ran in the 5 s after the limit was raised to %d", most, limitMilliCores)
		}
	})
}

func (h *harness) setLimit(limit string) {
	h.Helper()
	text := "owner = ops\nshare = 1\nlimit = " + limit + "\n"
	if _, err := h.PublishSection(h.ctx, "entry-a-0", "team one", text, h.version("entry-a-0", "team one")); err != nil {
		h.Fatal(err)
	}
}

// TestOutageKeepsSlices lets the log be down: each zone goes on with what it holds, a new decider with
// its floor.
func TestOutageKeepsSlices(t *testing.T) {
	inBubble(t, 2, func(h *harness) {
		h.Log.SetFaults(logserver.Faults{Down: true})
		for _, host := range h.Names {
			h.submit(host, server.JobSpec{Service: "work", Idempotent: true, Tasks: tasks(10, "?workMS=3000")})
		}
		time.Sleep(5 * time.Second)
		if runs := h.witness.runningOf("one"); runs != limitMilliCores {
			t.Errorf("%d of %d millicores run in the outage", runs, limitMilliCores)
		}
		h.KillHost("entry-a-0")
		time.Sleep(2 * time.Minute)
		for _, id := range []string{"entry-a-1", "entry-b-0", "entry-c-0"} {
			if answer := h.post(id, "?workMS=10"); answer.outcome != "answered" {
				t.Errorf("%s: got %+v", id, answer.problem)
			}
		}
	})
}
