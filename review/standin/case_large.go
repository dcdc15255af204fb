package main

import (
	"fmt"
	"time"
)

// playLarge hands in one large job beside a stream of small ones of another tenant. All fit into the fleet several times over.
func (rig *rig) playLarge() error {
	const (
		smallKey, largeKey = "3hh2b9wu3fexd9dnn2ct", "nfzs989anu6wsjnbanfq"
		largeTasks         = 5000
		largeTakes         = 80 * time.Second
		smallTakes         = 500 * time.Millisecond
		interval           = 250 * time.Millisecond
		trafficTime        = 45 * time.Second
		finish             = 14 * time.Second // finish_s
		idleTime           = 3 * time.Second
	)
	teams := []team{{Name: "hule930", APIKeys: []string{smallKey}, Weight: 11}, {Name: "dacu673", APIKeys: []string{largeKey}, Weight: 11}}
	if err := rig.begin(3, 35, amount{CPU: 32000, MemMB: 65536}, teams...); err != nil {
		return err
	}
	var accepted []string
	refused, large := 0, ""
	for end := time.Now().Add(trafficTime); time.Now().Before(end); time.Sleep(interval) {
		if rig.trouble && large == "" && time.Until(end) < trafficTime-5*time.Second {
			large = newID()
			rig.say("trouble: a large job comes: %d tasks of 0.05 cores", largeTasks)
			rig.submit(large, teams[1].Name, largeKey, largeTakes, step{Count: largeTasks, CPU: 50, MemMB: 64, EstimateMS: largeTakes.Milliseconds()})
		}
		job := newID()
		small := step{Count: 2, CPU: 500, MemMB: 256, EstimateMS: 500}
		then := small
		then.DependsOn = []int{0}
		if rig.submit(job, teams[0].Name, smallKey, smallTakes, small, then) {
			accepted = append(accepted, job)
		} else {
			refused++
		}
	}
	rig.say("the traffic ends: %d small jobs accepted, %d not", len(accepted), refused)
	time.Sleep(finish)
	rig.say("%d tasks of the large job began; largest record of a job's progress: %d bytes; appends refused for a record above %d bytes: %d",
		len(rig.seen(large)), rig.store.largest("keyed.ebonyshunt-jobs", "run/"), maxRecordBytes, rig.store.refusals("keyed.ebonyshunt-jobs"))
	lost := 0
	for _, job := range accepted {
		state := rig.state(job, smallKey)
		if state == "completed" {
			continue
		}
		latest := time.Time{}
		for _, seen := range rig.seen(job) {
			latest = seen.at
		}
		if rig.runningAt(job) == nil && time.Since(latest) > idleTime {
			lost++
			idle := "it has never begun"
			if !latest.IsZero() {
				idle = fmt.Sprintf("it has nothing running, and had nothing for %.1f s", time.Since(latest).Seconds())
			}
			rig.say("client: GET job %s: %s; %s", job, state, idle)
		}
		if lost >= 10 {
			break
		}
	}
	rig.logged(30, `"msg":"decider"`, "journal lost", "resigned")
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d or more accepted jobs have nothing running %v after the end of the traffic", errBroken, lost, finish)
	}
	return nil
}
