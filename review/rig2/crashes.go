package main

import "time"

const (
	crashAfter     = 1500 * time.Millisecond // work that a run has done when its worker crashes
	crashDowntime  = 1500 * time.Millisecond
	crashCount     = 2
	workersPerPool = 8
)

// crashes lets the worker of a job's only task crash and come back, twice. No run of the task ends as failed, so that the job may not
// be shown as failed.
func crashes(rig *rig) int {
	work := func(string, int) (time.Duration, string) { return 5 * time.Second, "done" }
	lasting := func(string, int) (time.Duration, string) { return time.Hour, "done" }
	storeAddress := rig.serveStore()
	rig.putConfig(7, 3, "batch", "lasting")
	for number := range workersPerPool {
		rig.newWorker(workerID("batch", number), "batch", "zone-1", "r-1", work)
		rig.newWorker(workerID("lasting", number), "lasting", "zone-2", "r-2", lasting)
	}
	rig.startHosts(3, storeAddress)
	time.Sleep(2 * time.Second)
	const batch, standing = "00000000000000a1", "00000000000000b2"
	step := map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": 5000}
	lastingStep := map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "longRunning": true}
	status, _ := rig.client("POST", "/batch/"+batch, map[string]any{"spec": "x", "steps": []any{step}})
	lastingStatus, _ := rig.client("POST", "/lasting/"+standing, map[string]any{"spec": "x", "steps": []any{lastingStep}})
	if status != 200 || lastingStatus != 200 {
		fatal("the jobs were not accepted")
	}
	for _, job := range []string{batch, standing} {
		for range crashCount {
			worker := rig.awaitRun(job)
			if worker == nil {
				break
			}
			if rig.trouble {
				rig.record("worker %s crashes", worker.id)
				worker.crash()
				time.Sleep(crashDowntime)
				worker.begin()
				rig.record("worker %s is back", worker.id)
			}
		}
	}
	deadline := time.Now().Add(25 * time.Second)
	batchState, lastingState := "", ""
	for time.Now().Before(deadline) {
		batchState, lastingState = rig.state("/batch/"+batch), rig.state("/lasting/"+standing)
		if (batchState == "completed" || batchState == "failed") && time.Until(deadline) < 15*time.Second {
			break
		}
		time.Sleep(time.Second)
	}
	worker, _ := rig.runOf(standing)
	rig.record("result: job %s is %s, job %s is %s and runs: %v", batch, batchState, standing, lastingState, worker != nil)
	if batchState == "failed" || lastingState == "failed" || worker == nil {
		return exitBroken
	}
	if batchState != "completed" || lastingState != "running" {
		return exitFailed
	}
	return exitHeld
}

// awaitRun waits until a task of a job has run for crashAfter, and returns its worker, or nil if it does not within 15 s.
func (rig *rig) awaitRun(job string) *worker {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if worker, age := rig.runOf(job); worker != nil && age >= crashAfter {
			return worker
		}
	}
	return nil
}
