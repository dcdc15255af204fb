package main

import (
	"fmt"
	"time"
)

var cases = map[string]func(*rig) error{
	"crashes": (*rig).playCrashes,
	"quota":   (*rig).playQuota,
	"pending": (*rig).playPending,
	"large":   (*rig).playLarge,
	"config":  (*rig).playConfig,
	"delete":  (*rig).playDelete,
}

// playCrashes hands in a job with one task that lasts, and lets the worker that runs it crash, twice. Nobody cancels the job and no run of it
// ends as failed, so that it must not be shown as failed.
func (rig *rig) playCrashes() error {
	const (
		key      = "3hh2b9wu3fexd9dnn2ct"
		downTime = 4500 * time.Millisecond
	)
	capacity := amount{CPU: 32000, MemMB: 65536}
	if err := rig.begin(3, 8, capacity, team{Name: "hule930", APIKeys: []string{key}, Weight: 11}); err != nil {
		return err
	}
	job := newID()
	if !rig.submit(job, "hule930", key, 0, step{Count: 1, CPU: 8100, MemMB: 12000, EstimateMS: 400, LongRunning: true}) {
		return fmt.Errorf("the job was not accepted")
	}
	for crash := range 2 {
		if !await(12*time.Second, func() bool { return rig.runningAt(job) != nil }) {
			break
		}
		time.Sleep(5 * time.Second)
		worker := rig.runningAt(job)
		if worker == nil || !rig.trouble {
			continue
		}
		rig.say("trouble: worker %s crashes (crash %d), for %v", worker.id, crash+1, downTime)
		worker.crash()
		time.Sleep(downTime)
		if err := worker.boot(); err != nil {
			return err
		}
		rig.say("worker %s is back", worker.id)
	}
	time.Sleep(12 * time.Second)
	state, at := rig.state(job, key), rig.runningAt(job)
	failed := 0
	for _, seen := range rig.seen(job) {
		if seen.how == "failed" {
			failed++
		}
	}
	rig.say("client: GET job %s: %s; %d of its runs ended as failed; nobody cancelled it; it runs now: %t", job, state, failed, at != nil)
	rig.logged(20, "given up", "job ended")
	if state == "failed" && failed == 0 {
		return fmt.Errorf("%w: LOST: an accepted job that lasts is shown as failed, and none of its runs ended as failed", errBroken)
	}
	if state != "running" || at == nil {
		return fmt.Errorf("%w: LOST: the job that lasts is shown as %s and runs: %t", errBroken, state, at != nil)
	}
	return nil
}
