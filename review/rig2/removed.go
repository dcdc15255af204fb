package main

import (
	"strings"
	"time"
)

const (
	workersPerPool  = 8
	removedTaskTime = 3 * time.Second
	// removedWait is how long nothing of the job may run before the rule is broken: 3 s, after 4 s without a disruption, and 5 s more.
	removedWait = 12 * time.Second
)

// removed takes a route out of the configuration while an accepted job of it has a step to come and a task that lasts. The job stays
// accepted, so that both have to go on.
func removed(rig *rig) int {
	const job, standing = "00000000000000c3", "00000000000000d4"
	work := func(task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, standing) {
			return removedTaskTime, "failed" // a task that lasts may fail at any time
		}
		return removedTaskTime, "done"
	}
	storeAddress := rig.serveStore()
	rig.putConfig(7, 3, "batch", "other")
	for number := range workersPerPool {
		rig.newWorker(workerID("batch", number), "batch", "zone-1", "r-1", work)
		rig.newWorker(workerID("other", number), "other", "zone-2", "r-2", work)
	}
	rig.startHosts(3, storeAddress)
	time.Sleep(2 * time.Second)
	step := map[string]any{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 3000}
	second := map[string]any{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 3000, "dependsOn": []int{0}}
	lasting := map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "longRunning": true}
	status, _ := rig.client("POST", "/batch/"+job, map[string]any{"spec": "x", "steps": []any{step, second}})
	lastingStatus, _ := rig.client("POST", "/batch/"+standing, map[string]any{"spec": "x", "steps": []any{lasting}})
	if status != 200 || lastingStatus != 200 {
		fatal("the jobs were not accepted")
	}
	time.Sleep(time.Second)
	if rig.trouble {
		rig.putConfig(8, 3, "other")
		rig.record("version 8 is acknowledged: without the route of service batch, whose minions stay")
	}
	time.Sleep(removedTaskTime)
	idle, lastingIdle := 0*time.Second, 0*time.Second
	completed := false
	for until := time.Now().Add(removedWait + 8*time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		completed = completed || rig.started(job+".0.1.0") && rig.started(job+".0.1.1")
		if worker, _ := rig.runOf(job); worker == nil && !completed {
			idle += 200 * time.Millisecond
		}
		if worker, _ := rig.runOf(standing); worker == nil {
			lastingIdle += 200 * time.Millisecond
		}
	}
	rig.state("/batch/" + job)
	rig.record("result: nothing of job %s ran for %v while its second step could run, second step started: %v", job, idle, completed)
	rig.record("result: the task that lasts of job %s did not run for %v", standing, lastingIdle)
	if idle >= removedWait || lastingIdle >= removedWait {
		return exitBroken
	}
	if !completed {
		return exitFailed
	}
	return exitHeld
}
