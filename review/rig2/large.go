package main

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	largeRoots    = 66 // steps on which all others depend
	largeTaskTime = 300 * time.Millisecond
	// largeWait is above the 14 s of finish_s, and above the 3 s after 4 s of calm in which a job may have nothing running.
	largeWait = 25 * time.Second
	// largeSlack is how many bytes the job stays below the size that is refused.
	largeSlack = 10
)

var sizeInRefusal = regexp.MustCompile(`takes (\d+) bytes .* at most (\d+) are`)

// large submits a job with many steps that is nearly as large as a job may be, kills the host that decides while the job runs, and
// waits for the job to be completed.
func large(rig *rig) int {
	work := func(string, int) (time.Duration, string) { return largeTaskTime, "done" }
	storeAddress := rig.serveStore()
	rig.putConfig(7, 3, "batch")
	for number := range workersPerPool {
		rig.newWorker(workerID("batch", number), "batch", "zone-1", "r-1", work)
	}
	rig.startHosts(3, storeAddress)
	time.Sleep(2 * time.Second)
	const job = "00000000000000e5"
	leaves, spec := 930, 2000
	size, limit := rig.refusedSize(job, leaves, spec)
	smaller, _ := rig.refusedSize(job, leaves-1, spec)
	perLeaf := size - smaller
	for size > limit-largeSlack {
		size -= perLeaf
		leaves--
	}
	spec += limit - largeSlack - size
	if status, _ := rig.client("POST", "/batch/"+job, largeJob(leaves, spec)); status != 200 {
		fatal("the job was not accepted")
	}
	rig.record("accepted with %d steps and a spec of %d bytes", leaves+largeRoots, spec)
	time.Sleep(500 * time.Millisecond)
	if rig.trouble {
		decider := rig.decider()
		if decider == nil {
			fatal("no decider is known")
		}
		rig.killHost(decider)
		time.Sleep(500 * time.Millisecond)
		rig.startHost(decider)
		rig.record("%s started again", decider.name)
	}
	state := ""
	for until := time.Now().Add(largeWait); time.Now().Before(until) && state != "completed"; time.Sleep(2 * time.Second) {
		state = rig.state("/batch/" + job)
	}
	rig.record("result: job %s is %s", job, state)
	if state == "completed" {
		return exitHeld
	}
	return exitBroken
}

// refusedSize submits a job that is too large, and returns its size and the limit, which the refusal names.
func (rig *rig) refusedSize(job string, leaves, spec int) (size, limit int) {
	status, text := rig.client("POST", "/batch/"+job, largeJob(leaves, spec))
	found := sizeInRefusal.FindStringSubmatch(text)
	if found == nil {
		fatal("unexpected answer: %d %s", status, text)
	}
	size, _ = strconv.Atoi(found[1])
	limit, _ = strconv.Atoi(found[2])
	return size, limit
}

func largeJob(leaves, spec int) map[string]any {
	steps := []any{}
	roots := make([]int, largeRoots)
	for number := range largeRoots {
		roots[number] = number
		steps = append(steps, map[string]any{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 300})
	}
	for range leaves {
		steps = append(steps, map[string]any{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 300, "dependsOn": roots})
	}
	return map[string]any{"spec": strings.Repeat("x", spec), "steps": steps}
}
